"""Orders to load weights."""

import attrs

__all__ = ["SwapOrder"]


@attrs.frozen
class SwapOrder:
    """One order: the version to serve, and the offset of the record that says so."""

    version: int
    fence: int

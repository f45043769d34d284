"""Data types of weight swaps."""

import attrs

__all__ = ["SwapOrder"]


@attrs.frozen
class SwapOrder:
    """An order to load a version of the weights.

    `fence` is the order's fencing token: the log offset of the record that requests the version.
    """

    version: int
    fence: int

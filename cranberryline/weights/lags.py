"""How many versions before the named one each trainer allows, taken from its newest job."""

import attrs

__all__ = ["TrainerLags"]


@attrs.frozen
class _Newest:
    min_version: int
    named: int


class TrainerLags:
    """Keep, for each model, the newest job's oldest allowed version and what was named then.

    After a start all jobs of the last minutes come again, in any order, and the version that is named
    by now is not the one of their time. Only the newest job counts, then: an old one would make
    engines pass for useful that serve no step any more, and steps would wait for versions that nobody
    orders.
    """

    def __init__(self) -> None:
        self._newest: dict[str, _Newest] = {}

    def note(self, model: str, min_version: int, named: int) -> None:
        """Take a job; `named` is the version named when it came, 0 if that is not known yet."""
        known = self._newest.get(model)
        if known is None or min_version >= known.min_version:
            self._newest[model] = _Newest(min_version, named)

    def lag(self, model: str, named: int) -> int:
        """Return the lag in versions, 0 for a trainer without a job yet."""
        newest = self._newest.get(model)
        if newest is None:
            return 0
        return max(0, (newest.named or named) - newest.min_version)

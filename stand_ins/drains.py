"""How long after its leave was acknowledged the last request reached an upstream."""

import time
from collections.abc import Callable

import attrs

__all__ = ["DrainBook", "Leave"]


@attrs.define
class Leave:
    """An upstream that leaves: when that was acknowledged, and the requests that reached it since.

    Times are in seconds. `last_after` is how long after the acknowledgement the last request arrived.
    """

    at: float
    requests: int = 0
    last_after: float = 0.0


class DrainBook:
    """Notes of each upstream that leaves when the last request reached it."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._leaves: dict[str, Leave] = {}
        self._over: list[Leave] = []

    def left(self, upstream: str) -> None:
        """Take that the store has acknowledged that an upstream is draining or gone."""
        self._leaves.setdefault(upstream, Leave(self._now()))

    def back(self, upstream: str) -> None:
        """Take that an upstream is in use again, as another start under its id is."""
        leave = self._leaves.pop(upstream, None)
        if leave is not None:
            self._over.append(leave)

    def since_left(self, upstream: str) -> float | None:
        """Return the seconds since an upstream left, None if it has not."""
        leave = self._leaves.get(upstream)
        return None if leave is None else self._now() - leave.at

    def reached(self, upstream: str) -> None:
        """Take a request that reached an upstream."""
        leave = self._leaves.get(upstream)
        if leave is not None:
            leave.requests += 1
            leave.last_after = self._now() - leave.at

    @property
    def leaves(self) -> list[Leave]:
        """Return all leaves so far."""
        return [*self._over, *self._leaves.values()]

    @property
    def last_after(self) -> float:
        """Return the longest time in seconds after which a request still arrived, 0 if none did."""
        return max((leave.last_after for leave in self.leaves), default=0.0)

    def summary(self, bound_s: float) -> str:
        """Return one line with the last arrival and its margin to a bound in seconds."""
        last = self.last_after
        return (
            f"{len(self.leaves)} upstreams left, the last request reached one {last:.3f} s after the "
            f"acknowledgement, margin {bound_s - last:+.3f} s to {bound_s:.1f} s"
        )

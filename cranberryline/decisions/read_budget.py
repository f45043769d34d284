"""Spread a process's reads of the store so that all processes stay within its limit together."""

from datetime import timedelta

from .const import ZERO

__all__ = ["ReadBudget"]

# Part of the limit that paced reads may use. The rest is left to those that do not wait.
PACED_SHARE = 0.75
# Reads of this span may be made at once.
BURST = timedelta(seconds=1)


class ReadBudget:
    """Delays reads beyond one process's part of `limit` reads per second, None for no limit.

    A store that is read too often turns reads away, in the same way as one that serves other
    processes only. Each process would then read through peers, which are turned away as well, so
    more processes make ever more calls and learn ever less.
    """

    def __init__(self, limit: float | None) -> None:
        self._limit = limit
        self._next_at = ZERO

    def take(self, sharers: int, now: timedelta) -> timedelta:
        """Count a read of one of `sharers` processes, and return how long it should wait."""
        if not self._limit:
            return ZERO
        start_at = max(self._next_at, now - BURST)
        self._next_at = start_at + timedelta(seconds=max(1, sharers) / (self._limit * PACED_SHARE))
        return max(start_at - now, ZERO)

"""Selection of the entries that read the log, and resend schedule for unacknowledged pushes."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from cranberryline.decisions import rendezvous

__all__ = ["TAILER_KEY", "ResendSchedule", "TailerRanking"]

# Hash key of the ranking; a tailer is an entry that reads the configuration stream of the log.
TAILER_KEY = "config-tailers"


class TailerRanking:
    """Ranks the live entries by rendezvous hashing; the first `tailers` entries read the log."""

    def __init__(self, vm_id: str, live_entries: Callable[[], Iterable[str]], tailers: int) -> None:
        self._vm_id = vm_id
        self._live_entries = live_entries
        self._count = tailers
        self._members: frozenset[str] = frozenset()
        self._ranked: list[str] = []

    def rank(self) -> int:
        """Return the zero-based rank of this entry, which always counts as live."""
        return self._ranking().index(self._vm_id)

    def tailers(self) -> list[str]:
        """Return the entries that read the log if all entries are reachable."""
        return self._ranking()[: self._count]

    def _ranking(self) -> list[str]:
        members = frozenset(self._live_entries()) | {self._vm_id}
        if members != self._members:
            self._members = members
            self._ranked = rendezvous.rank(TAILER_KEY, members)
        return self._ranked


@attrs.frozen
class _Attempt:
    """Time of the next send to a peer, and the back-off delay before it."""

    at: timedelta
    wait: timedelta


class ResendSchedule:
    """Exponential back-off for each peer that has not acknowledged the pushed records."""

    def __init__(self, first: timedelta, longest: timedelta) -> None:
        self._first = first
        self._longest = longest
        self._attempts: dict[str, _Attempt] = {}

    @property
    def pending(self) -> bool:
        """Return whether any peer has unacknowledged records."""
        return bool(self._attempts)

    def record_sent(self, peer: str, now: timedelta) -> None:
        """Record that a push was sent to a peer, and schedule the next one."""
        last = self._attempts.get(peer)
        wait = self._first
        if last is not None and last.at <= now:
            wait = min(last.wait * 2, self._longest)
        self._attempts[peer] = _Attempt(now + wait, wait)

    def is_due(self, peer: str, now: timedelta) -> bool:
        """Return whether the next push to a peer that is behind is due."""
        attempt = self._attempts.get(peer)
        return attempt is None or attempt.at <= now

    def remove(self, peer: str) -> None:
        """Remove a peer that has acknowledged all records or has disconnected."""
        self._attempts.pop(peer, None)

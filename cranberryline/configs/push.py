"""Who reads the log, and when a peer that has not acknowledged gets its records again."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from cranberryline.decisions import rendezvous

__all__ = ["TAILER_KEY", "ResendSchedule", "TailerRanking"]

TAILER_KEY = "config-tailers"


class TailerRanking:
    """Rank the live entries by rendezvous hash; the first few read the log."""

    def __init__(self, vm_id: str, live_entries: Callable[[], Iterable[str]], tailers: int) -> None:
        self._vm_id = vm_id
        self._live_entries = live_entries
        self._count = tailers
        self._members: frozenset[str] = frozenset()
        self._ranked: list[str] = []

    def rank(self) -> int:
        """Return this entry's place, from 0; the entry itself always counts as live."""
        return self._ranking().index(self._vm_id)

    def tailers(self) -> list[str]:
        """Return the entries that read the log, if all are up."""
        return self._ranking()[: self._count]

    def _ranking(self) -> list[str]:
        members = frozenset(self._live_entries()) | {self._vm_id}
        if members != self._members:
            self._members = members
            self._ranked = rendezvous.rank(TAILER_KEY, members)
        return self._ranked


@attrs.frozen
class _Attempt:
    """The next time to send to a peer, and how long the wait before it was."""

    at: timedelta
    wait: timedelta


class ResendSchedule:
    """Exponential backoff for each peer that has not acknowledged what was pushed."""

    def __init__(self, first: timedelta, longest: timedelta) -> None:
        self._first = first
        self._longest = longest
        self._attempts: dict[str, _Attempt] = {}

    @property
    def pending(self) -> bool:
        """Return whether any peer has not acknowledged."""
        return bool(self._attempts)

    def sent(self, peer: str, now: timedelta) -> None:
        """Note that records were pushed to a peer."""
        last = self._attempts.get(peer)
        wait = self._first
        if last is not None and last.at <= now:
            wait = min(last.wait * 2, self._longest)
        self._attempts[peer] = _Attempt(now + wait, wait)

    def due(self, peer: str, now: timedelta) -> bool:
        """Return whether a peer that is behind has to be sent to again."""
        attempt = self._attempts.get(peer)
        return attempt is None or attempt.at <= now

    def done(self, peer: str) -> None:
        """Forget a peer that has all, or is gone."""
        self._attempts.pop(peer, None)

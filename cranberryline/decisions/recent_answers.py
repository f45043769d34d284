"""Requests that were answered recently."""

from collections import OrderedDict
from datetime import timedelta

__all__ = ["ANSWER_TTL", "RecentAnswers"]

ANSWER_TTL = timedelta(minutes=1)
MAX_RECENT_ANSWERS = 4096


class RecentAnswers:
    """Time of the last answer by request fingerprint, for at most `MAX_RECENT_ANSWERS` requests.

    If many callers send the same request, it runs on several upstreams at once, and upstreams that
    are killed together crash while they run it. A request that crashes its upstreams is never
    answered, so one that was answered within `ANSWER_TTL` did not cause the crashes.
    """

    def __init__(self) -> None:
        self._answered_at: OrderedDict[str, timedelta] = OrderedDict()

    def record(self, request: str, now: timedelta) -> None:
        """Record an answer."""
        self._answered_at[request] = now
        self._answered_at.move_to_end(request)
        if len(self._answered_at) > MAX_RECENT_ANSWERS:
            self._answered_at.popitem(last=False)

    def contains(self, request: str, now: timedelta) -> bool:
        """Return whether a request was answered within `ANSWER_TTL`."""
        answered_at = self._answered_at.get(request)
        return answered_at is not None and now - answered_at < ANSWER_TTL

"""Remember which requests were answered just now.

Load answered: a path that many callers ask for runs at several upstreams at once, so that upstreams that are
killed together crash under it like under a request that crashes them. That one is never answered; a request
that was, within `ANSWERED_FOR`, is not to blame. At most `MAX_ANSWERED` are remembered, the newest.
"""

from collections import OrderedDict
from datetime import timedelta

__all__ = ["ANSWERED_FOR", "RecentAnswers"]

ANSWERED_FOR = timedelta(minutes=1)
MAX_ANSWERED = 4096


class RecentAnswers:
    """Requests by fingerprint, with when they were answered last."""

    def __init__(self) -> None:
        self._answered: OrderedDict[str, timedelta] = OrderedDict()

    def note(self, request: str, now: timedelta) -> None:
        """Note an answer."""
        self._answered[request] = now
        self._answered.move_to_end(request)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def has(self, request: str, now: timedelta) -> bool:
        """Tell whether a request was answered within `ANSWERED_FOR`."""
        at = self._answered.get(request)
        return at is not None and now - at < ANSWERED_FOR

"""When a gateway sends its next exchange to a keeper."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from cranberryline.helpers.clock import Clock

from .const import REFRESH_INTERVAL

__all__ = ["ExchangePacing"]


class ExchangePacing:
    """Calls `send` at the end of a turn, at most once in a gap, and to refresh."""

    def __init__(self, clock: Clock, send: Callable[[], None]) -> None:
        self._clock = clock
        self._send = send
        self._sent = clock.monotonic() - REFRESH_INTERVAL
        self._due = timedelta.max
        self._timer: asyncio.Handle | None = None

    def request(self, gap: timedelta) -> None:
        """Send soon, but not within `gap` of the last time; an earlier time that is set stays."""
        due = max(self._clock.monotonic(), self._sent + gap)
        if due < self._due:
            self._set(due)

    def record_sent(self, refresh: bool) -> None:
        """Record that an exchange is sent now; `refresh` says whether to repeat it."""
        self.cancel()
        self._sent = self._clock.monotonic()
        if refresh:
            self._set(self._sent + REFRESH_INTERVAL)

    def delay(self, until: timedelta) -> None:
        """Send at a time on the monotonic clock, and not before."""
        self._set(until)

    def cancel(self) -> None:
        """Do not send unless it is requested again."""
        self._due = timedelta.max
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set(self, due: timedelta) -> None:
        self.cancel()
        self._due = due
        loop = asyncio.get_running_loop()
        left = (due - self._clock.monotonic()).total_seconds()
        if left > 0:
            self._timer = loop.call_later(left, self._fire)
        else:
            self._timer = loop.call_soon(self._fire)

    def _fire(self) -> None:
        self._timer = None
        self._due = timedelta.max
        self._send()

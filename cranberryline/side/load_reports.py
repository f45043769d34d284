"""Early load reports to entries that believe an upstream to be full."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from cranberryline.helpers.clock import Clock
from cranberryline.transport import Connection
from cranberryline.transport.model import Load

__all__ = ["LoadReporter"]

# An upstream with this share of its slots in use leaves entries hardly any to choose from.
_BUSY_SHARE = 0.75
# Share of the slots that must have become free before a report is worth its message.
_FREED_SHARE = 0.25
# Bounds the traffic of an upstream that is full and idle by turns.
_MIN_INTERVAL = timedelta(milliseconds=100)
# Collects requests that end together.
_COLLECT_TIME = timedelta(milliseconds=10)


def _in_use(load: Load) -> int:
    return load.running + load.queued


@attrs.define(eq=False)
class LoadReporter:
    """Sends load reports on heartbeats, and early once a full upstream has free slots again.

    An entry does not use slots that its last report shows as taken by other entries. With reports
    on heartbeats alone it would keep callers waiting, or refuse them, for up to a second after
    those slots have become free.
    """

    _clock: Clock
    _load: Callable[[], Load | None]
    _send: Callable[[Connection, Load], None]
    _connections: Callable[[], Iterable[Connection]]
    _reported: dict[str, Load] = attrs.field(factory=dict)
    _last_early: timedelta | None = None
    _timer: asyncio.TimerHandle | None = None

    def report(self, conn: Connection) -> None:
        """Send the current load to one entry."""
        load = self._load()
        if load is None:
            return
        self._reported[conn.name] = load
        self._send(conn, load)

    def forget(self, conn: Connection) -> None:
        """Forget what was reported over a connection that has ended."""
        self._reported.pop(conn.name, None)

    def request_ended(self) -> None:
        """Report early if entries believe that the upstream has far fewer free slots."""
        if self._timer is not None or not self._outdated():
            return
        wait = _COLLECT_TIME
        if self._last_early is not None:
            wait = max(wait, self._last_early + _MIN_INTERVAL - self._clock.monotonic())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait.total_seconds(), self._report_early)

    def close(self) -> None:
        """Send no more early reports."""
        if self._timer is not None:
            self._timer.cancel()

    def _report_early(self) -> None:
        self._timer = None
        outdated = self._outdated()
        if outdated:
            self._last_early = self._clock.monotonic()
        for conn in outdated:
            self.report(conn)

    def _outdated(self) -> list[Connection]:
        load = self._load()
        if load is None:
            return []
        freed = max(1.0, load.slots * _FREED_SHARE)
        return [
            conn
            for conn in self._connections()
            if (reported := self._reported.get(conn.name)) is not None
            and _in_use(reported) >= load.slots * _BUSY_SHARE
            and _in_use(reported) - _in_use(load) >= freed
        ]

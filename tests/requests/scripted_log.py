"""A log whose appends are answered by a test, or by a script."""

import asyncio
from datetime import timedelta
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryline.helpers.clock import FakeClock
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import LogPage, LogPort, LogRecord

__all__ = ["BUDGET", "LOST", "REFUSED", "TURNS", "WINDOW", "Append", "ScriptedLog"]

WINDOW = timedelta(minutes=10)
BUDGET = timedelta(seconds=30)
TURNS = 40
LOST = Err(PlatformError(PlatformReason.TIMEOUT))
REFUSED = Err(PlatformError(PlatformReason.UNREACHABLE, may_have_run=False))


@attrs.define(eq=False)
class Append:
    """An append whose answer is still to be decided."""

    records: list[tuple[str, dict[str, Any]]]
    fut: "asyncio.Future[Result[list[int], PlatformError]]"


class ScriptedLog(LogPort):
    """A log whose appends are answered by the test."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.records: list[LogRecord] = []
        self.first = 1
        self.pending: list[Append] = []
        self.reads_fail = False
        self.script: list[str] | None = None

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Wait for the test's decision."""
        append = Append(list(records), asyncio.get_running_loop().create_future())
        if self.script is not None:
            return self._answer_by_script(append)
        self.pending.append(append)
        return await append.fut

    def _answer_by_script(self, append: Append) -> Result[list[int], PlatformError]:
        how = self.script.pop(0) if self.script else "ok"
        if how in ("ok", "lost_after"):
            offsets = self.apply(append)
        if how == "late":
            self.pending.append(append)
        return Ok(offsets) if how == "ok" else REFUSED if how == "refused" else LOST

    def apply(self, append: Append) -> list[int]:
        """Let an append take effect."""
        offsets = []
        for record_id, data in append.records:
            offset = len(self.records) + 1
            self.records.append(LogRecord(offset, self.clock.now(), record_id, data))
            offsets.append(offset)
        return offsets

    def forget(self, before: timedelta) -> None:
        """Drop what is older than that."""
        limit = self.clock.now() - before
        while self.first <= len(self.records) and self.records[self.first - 1].time < limit:
            self.first += 1

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Answer at once, or fail."""
        if self.reads_fail:
            return LOST
        start = max(start, self.first)
        rows = tuple(self.records[start - 1 : start - 1 + min(limit, 3)])
        return Ok(LogPage(self.first, start + len(rows), rows))

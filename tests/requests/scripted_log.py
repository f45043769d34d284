"""Fake log whose appends are answered by a test or by a script of outcomes."""

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
TURNS = 40  # event loop iterations after which all tasks wait for the test
LOST = Err(PlatformError(PlatformReason.TIMEOUT))
REFUSED = Err(PlatformError(PlatformReason.UNREACHABLE, may_have_run=False))


@attrs.define(eq=False)
class Append:
    """An append that the test has not answered yet."""

    records: list[tuple[str, dict[str, Any]]]
    fut: "asyncio.Future[Result[list[int], PlatformError]]"


class ScriptedLog(LogPort):
    """Fake log; appends wait in `pending` for the test, or follow `script` if there is one.

    Outcomes in a script: `ok`, `refused`, `lost_before` and `lost_after` (the answer is lost,
    before or after the append took effect) and `late` (lost; the append stays in `pending` for
    the test to apply later). An empty script means `ok`.
    """

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
        """Return the scripted answer, or wait until the test sets one."""
        append = Append(list(records), asyncio.get_running_loop().create_future())
        if self.script is not None:
            return self._answer_by_script(append)
        self.pending.append(append)
        return await append.fut

    def _answer_by_script(self, append: Append) -> Result[list[int], PlatformError]:
        outcome = self.script.pop(0) if self.script else "ok"
        if outcome in ("ok", "lost_after"):
            offsets = self.apply(append)
        if outcome == "late":
            self.pending.append(append)
        return Ok(offsets) if outcome == "ok" else REFUSED if outcome == "refused" else LOST

    def apply(self, append: Append) -> list[int]:
        """Add the records of an append to the log and return their offsets."""
        offsets = []
        for record_id, data in append.records:
            offset = len(self.records) + 1
            self.records.append(LogRecord(offset, self.clock.now(), record_id, data))
            offsets.append(offset)
        return offsets

    def apply_retention(self, retention: timedelta) -> None:
        """Drop the records that are older than the retention."""
        limit = self.clock.now() - retention
        while self.first <= len(self.records) and self.records[self.first - 1].time < limit:
            self.first += 1

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Return a page of at most 3 records without waiting, or fail."""
        if self.reads_fail:
            return LOST
        start = max(start, self.first)
        rows = tuple(self.records[start - 1 : start - 1 + min(limit, 3)])
        return Ok(LogPage(self.first, start + len(rows), rows))

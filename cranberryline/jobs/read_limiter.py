"""Limits concurrent reads of the log to as many as the store answers quickly."""

import asyncio
from datetime import timedelta

from result import Err, Result

from cranberryline.decisions.startup_reads import StartupReadLimits
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.tail import ReadTurns, TimedRead
from cranberryline.ports.store import LogRead, StoreError, StoreProblem

__all__ = ["ReadLimiter"]


class ReadLimiter(ReadTurns):
    """Runs reads with the concurrency and timeouts of `StartupReadLimits`.

    A read that takes longer than its turn continues, but no longer counts towards the limit.
    """

    def __init__(self, limits: StartupReadLimits, clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._active_turns = 0
        self._changed = asyncio.Event()

    async def async_run(self, read: TimedRead) -> Result[LogRead, StoreError]:
        """Wait for a turn, then run the read with the current read timeout."""
        await self._async_acquire_turn()
        began_at = self._clock.monotonic()
        task = asyncio.ensure_future(read(self._limits.timeout))
        try:
            await self._async_release_turn(task)
            answer = await task
        finally:
            task.cancel()
        self._record(answer, self._clock.monotonic() - began_at)
        return answer

    async def _async_release_turn(
        self, task: "asyncio.Future[Result[LogRead, StoreError]]"
    ) -> None:
        """Wait until a read is done or its turn is over, then free its turn."""
        try:
            await asyncio.wait((task,), timeout=self._limits.slot_time.total_seconds())
        finally:
            self._active_turns -= 1
            self._notify()

    async def _async_acquire_turn(self) -> None:
        while self._active_turns >= self._limits.max_concurrent:
            await self._changed.wait()
        self._active_turns += 1

    def _record(self, answer: Result[LogRead, StoreError], duration: timedelta) -> None:
        if not isinstance(answer, Err):
            self._limits.record_answer(duration)
        elif answer.unwrap_err().problem is StoreProblem.UNKNOWN:
            self._limits.record_timeout()
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

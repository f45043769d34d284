"""Follow every record of a partition."""

import abc
from collections.abc import Awaitable, Callable
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.ports.store import LogRead, SharedLog, StoreError, StoreProblem

from .base import SNAPSHOT_TIMEOUT, Moment, Tail

__all__ = ["PartitionTail", "ReadTurns", "TimedRead"]

TimedRead = Callable[[timedelta], Awaitable[Result[LogRead, StoreError]]]


class ReadTurns(abc.ABC):
    """The turns in which the tails of one node read up to the end for the first time."""

    @abc.abstractmethod
    async def async_run(self, read: TimedRead) -> Result[LogRead, StoreError]:
        """Make a read in its turn, and give it the time that it may take."""


class PartitionTail(Tail):
    """Follow every record of a partition, from the oldest that is kept.

    Tails of one node may share `first_reads`.
    """

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        part: int,
        clock: Clock,
        health: StoreHealth,
        on_record: Callable[[int, bytes], None],
        on_batch: Callable[[], None] = lambda: None,
        on_gap: Callable[[], None] = lambda: None,
        first_reads: ReadTurns | None = None,
    ) -> None:
        super().__init__(log, topic, part, clock, health)
        self._first_reads = first_reads
        self._on_record = on_record
        self._on_batch = on_batch
        self._on_gap = on_gap

    async def async_page(self) -> StoreError | None:
        """Read the next page without waiting for records; return why it brought nothing."""
        as_of = self._moment()
        return await self._async_taken(await self._async_next_page(), as_of)

    async def async_read_to_end(self) -> StoreError | None:
        """Read up to the partition's end without following it; return why that failed."""
        self.at_end = False
        while not self.at_end:
            error = await self.async_page()
            if error is not None:
                return error
        return None

    async def _async_step(self) -> StoreError | None:
        as_of = self._moment()
        if self.loaded.is_set():
            read, as_of = await self._async_poll()
        else:
            read = await self._async_next_page()
        if isinstance(read, Ok) and read.unwrap().end < self.offset and not self.loaded.is_set():
            self._health.unsound("offset_past_end", topic=self.topic, part=self.part)
            self.offset = 0
            return None
        return await self._async_taken(read, as_of)

    async def _async_next_page(self) -> Result[LogRead, StoreError]:
        if self._first_reads is None:
            return await self._async_first_read(SNAPSHOT_TIMEOUT)
        return await self._first_reads.async_run(self._async_first_read)

    async def _async_first_read(self, timeout: timedelta) -> Result[LogRead, StoreError]:
        return await self._log.async_read(self.topic, self.part, self.offset, timedelta(), timeout)

    async def _async_taken(
        self, read: Result[LogRead, StoreError], as_of: Moment
    ) -> StoreError | None:
        if isinstance(read, Err):
            error = read.unwrap_err()
            if error.problem is not StoreProblem.GONE or error.position <= self.offset:
                # A position that leads nowhere, asked for again at once, would be a loop without a pause.
                return error
            if self.offset > 0:
                self._hand_on(self._on_gap)
            self.offset = error.position
            self.at_end = False
            return None
        if await self._async_take(read.unwrap(), as_of):
            self.loaded.set()
        if read.unwrap().records:
            self._hand_on(self._on_batch)
        return None

    def _fold(self, offset: int, record: bytes) -> None:
        self._on_record(offset, record)

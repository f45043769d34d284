"""Reading of the records that precede the mark at which this node started a partition."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tail import PartitionTail, ReadTurns, StoreHealth
from cranberryline.ports.store import SharedLog

from .book import JobBook
from .const import REFRESH_RETRY_DELAY, TOPIC_JOBS

__all__ = ["PartitionHistory"]

_LOGGER = get_logger(__name__)


class PartitionHistory:
    """Read a partition from its oldest record when an unknown job is requested.

    The partition is read into a separate book, up to the offset that the node's own tail has
    reached; jobs that the node lacks are then merged from it. All records are needed in their
    order, because the positions of a job's results depend on it and some records of a finished job
    may follow the mark.
    """

    def __init__(
        self,
        log: SharedLog,
        tails: Sequence[PartitionTail],
        clock: Clock,
        health: StoreHealth,
        make_book: Callable[[], JobBook],
        apply_record: Callable[[JobBook, int, int, bytes], None],
        merge: Callable[[int, JobBook], None],
        read_turns: ReadTurns,
    ) -> None:
        self._log = log
        self._tails = tails
        self._clock = clock
        self._health = health
        self._make_book = make_book
        self._apply_record = apply_record
        self._merge = merge
        self._read_turns = read_turns
        self._incomplete_partitions: set[int] = set()
        self._read_tasks: dict[int, asyncio.Task[None]] = {}

    def require_backfill(self, partition: int) -> None:
        """Record that a partition is read from a mark instead of its oldest record."""
        self._incomplete_partitions.add(partition)

    async def async_backfill(self, partition: int, timeout: timedelta) -> bool:
        """Read the missing records of a partition; return False if that exceeds the timeout.

        Concurrent callers share one read. It continues after the timeout, so a retry finds more of
        it done.
        """
        if partition not in self._incomplete_partitions:
            return True
        if partition not in self._read_tasks:
            task = asyncio.ensure_future(self._async_read(partition))
            self._read_tasks[partition] = task
            task.add_done_callback(lambda _: self._read_tasks.pop(partition, None))
        await asyncio.wait(
            (self._read_tasks[partition],), timeout=max(timeout, timedelta()).total_seconds()
        )
        return partition not in self._incomplete_partitions

    async def async_close(self) -> None:
        """Cancel all reads."""
        tasks = list(self._read_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_read(self, partition: int) -> None:
        started_at = self._clock.monotonic()
        book, own_tail = self._make_book(), self._tails[partition]
        tail = PartitionTail(
            self._log,
            TOPIC_JOBS,
            partition,
            self._clock,
            self._health,
            lambda offset, data: self._apply_record(book, partition, offset, data),
            first_reads=self._read_turns,
        )
        while tail.offset < own_tail.offset:
            if await tail.async_page() is not None:
                await self._clock.async_sleep(REFRESH_RETRY_DELAY)
        self._merge(partition, book)
        self._incomplete_partitions.discard(partition)
        duration_ms = in_milliseconds(self._clock.monotonic() - started_at)
        _LOGGER.info(
            "history_read", part=partition, records=tail.offset, jobs=len(book.jobs), ms=duration_ms
        )

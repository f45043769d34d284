"""Appends the results of items to the log until they are known to be in it."""

import asyncio
import random
from collections.abc import Callable, Iterator
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.partition import partition_of

from .codec import encode_result
from .const import MAX_CALL_BYTES
from .model import JobRecord, ResultRecord
from .service import JobService
from .text_memory import TextMemory

__all__ = ["ResultWriter"]

# Collects results that complete at nearly the same time into one append.
_BATCH_DELAY = timedelta(milliseconds=4)
_APPEND_RETRY_DELAY = timedelta(milliseconds=250)
_MAX_BATCH_RECORDS = 200
# Of a record besides its text and score.
_RECORD_OVERHEAD_BYTES = 200
# A record of the store has at most 256 KiB; compression brings most longer texts below that.
_LONG_RECORD_BYTES = 256 * 1024

OnEnded = Callable[[ResultRecord, bool], None]


class ResultWriter:
    """Appends results, each partition's in a task of its own.

    `on_ended` is called for each result that is recorded or no longer needed, and whether it is listed.
    """

    def __init__(
        self,
        jobs: JobService,
        clock: Clock,
        rng: random.Random,
        memory: TextMemory,
        on_ended: OnEnded,
    ) -> None:
        self._memory = memory
        self._jobs = jobs
        self._clock = clock
        self._rng = rng
        self._on_ended = on_ended
        self._unrecorded: dict[int, list[ResultRecord]] = {}
        self._writers: dict[int, asyncio.Task[None]] = {}

    @property
    def busy(self) -> bool:
        """Return whether results are waiting to be recorded."""
        return any(self._unrecorded.values())

    def add(self, record: ResultRecord) -> None:
        """Append a result as soon as the store accepts it."""
        self._memory.add(record.result)
        partition = partition_of(record.job, len(self._jobs.tails))
        self._unrecorded.setdefault(partition, []).append(record)
        if partition not in self._writers:
            self._writers[partition] = asyncio.ensure_future(self._async_write(partition))

    async def async_close(self) -> None:
        """Cancel pending appends."""
        tasks = list(self._writers.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_write(self, partition: int) -> None:
        """Append the results of a partition until none is left, then unregister this writer.

        The writer is removed here and not in a done callback, which runs one event loop iteration
        after the last check for results. A result queued in that iteration would be left to a
        writer that has ended, and its step would wait until another node runs the item again. No
        other code runs between the last check and the end of `finally`.
        """
        try:
            await self._async_write_all(partition)
        finally:
            del self._writers[partition]

    async def _async_write_all(self, partition: int) -> None:
        """Append results until the partition's queue is empty.

        An append without an answer is repeated. This is idempotent, since the first record of a
        result wins, whereas a lost result would block its step. Results that the store did not take
        go behind the others, so that one which it never takes does not hold them up.
        """
        await self._clock.async_sleep(_BATCH_DELAY)
        while waiting := self._drop_obsolete(partition):
            batch = _first_batch(waiting)
            recorded = await self._async_record(batch)
            tried = {id(record) for record in batch}
            others = [rec for rec in self._unrecorded[partition] if id(rec) not in tried]
            self._unrecorded[partition] = others if recorded else [*others, *batch]
            if recorded:
                for record in batch:
                    self._end(record, True)
                continue
            await self._clock.async_sleep(_APPEND_RETRY_DELAY * (0.5 + self._rng.random()))

    async def _async_record(self, batch: list[ResultRecord]) -> bool:
        """Append results, a long one in as many calls as it takes; return whether all are stored."""
        for records in _calls_of(batch):
            if not await self._jobs.async_record(batch[0].job, records):
                return False
        return True

    def _end(self, record: ResultRecord, listed: bool) -> None:
        self._memory.remove(record.result)
        self._on_ended(record, listed)

    def _drop_obsolete(self, partition: int) -> list[ResultRecord]:
        """Remove results that are recorded or whose job has ended; return the remaining ones."""
        jobs = self._jobs.book.jobs
        remaining: list[ResultRecord] = []
        for record in self._unrecorded.get(partition, []):
            state = jobs.get(record.job)
            if state is not None and not state.ended and record.index not in state.done:
                remaining.append(record)
            else:
                self._end(record, state is not None and record.index in state.done)
        self._unrecorded[partition] = remaining
        return remaining


def _first_batch(waiting: list[ResultRecord]) -> list[ResultRecord]:
    """Return the first results that one call of the store takes, one at least.

    An append beyond the store's limits is refused as a whole, each time that it is repeated. A result
    that may be too long for a record goes by itself.
    """
    size = 0
    for count, record in enumerate(waiting[:_MAX_BATCH_RECORDS]):
        added = _size_of(record)
        size += added
        if count and (size > MAX_CALL_BYTES or added > _LONG_RECORD_BYTES):
            return waiting[:count]
        if added > _LONG_RECORD_BYTES:
            return waiting[:1]
    return waiting[:_MAX_BATCH_RECORDS]


def _calls_of(batch: list[ResultRecord]) -> Iterator[list[JobRecord]]:
    """Yield the records of results, as many at a time as one call of the store takes."""
    call: list[JobRecord] = []
    size = 0
    for record in batch:
        for part in encode_result(record):
            added = len(part.data) + _RECORD_OVERHEAD_BYTES
            if call and size + added > MAX_CALL_BYTES:
                yield call
                call, size = [], 0
            call.append(part)
            size += added
    yield call


def _size_of(record: ResultRecord) -> int:
    """Return the bytes of a record before its compression."""
    result = record.result
    return len(result.text.encode()) + len(result.score) + _RECORD_OVERHEAD_BYTES

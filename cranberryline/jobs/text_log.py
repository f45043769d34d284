"""Storage of incomplete texts in a topic that is read only by runs that resume one."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

from result import Err, Ok

from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.partition import partition_of
from cranberryline.ports.store import LogRead, SharedLog, StoreProblem

from .book import JobBook
from .codec import decode_record, encode_records
from .const import (
    APPEND_TIMEOUT,
    MARK_TIMEOUT,
    READ_TIMEOUT,
    STORE_RETRY_DELAY,
    TEXTS_READ_TIMEOUT,
    TOPIC_JOBS,
    TOPIC_TEXTS,
)
from .model import TextPiece, TextsStart
from .state import JobState

__all__ = ["TextLog"]

_LOGGER = get_logger(__name__)


class TextLog:
    """Append text pieces, announce where those of a job start, and read them to resume a run.

    In the topic of the jobs every node would read every piece, a volume that grows with texts times
    nodes. No node follows the topic of texts; the other nodes only read the offset of the first
    piece, once per job.
    """

    def __init__(self, log: SharedLog, partition_count: int, clock: Clock, book: JobBook) -> None:
        self._log = log
        self._partition_count = partition_count
        self._clock = clock
        self._book = book
        self._unannounced: dict[str, int] = {}
        self._read_tasks: dict[str, asyncio.Task[None]] = {}

    async def async_append(self, pieces: list[TextPiece]) -> bool:
        """Append pieces of one partition; return False if the append was not acknowledged."""
        partition = partition_of(pieces[0].job, self._partition_count)
        records = encode_records(pieces)
        appended = await self._log.async_append(TOPIC_TEXTS, partition, records, APPEND_TIMEOUT)
        if isinstance(appended, Err):
            return False
        for piece in pieces:
            self._book.add_piece(piece)
            self._unannounced.setdefault(piece.job, appended.unwrap().offset)
        await self._async_announce(partition, {piece.job for piece in pieces})
        return True

    async def async_read(self, state: JobState) -> None:
        """Read the pieces that other nodes have stored for a job.

        No further page is requested after `TEXTS_READ_TIMEOUT`.
        """
        if state.texts_start is None:
            return
        job_id = state.head.id
        if job_id not in self._read_tasks:
            task = asyncio.ensure_future(self._async_read(state))
            self._read_tasks[job_id] = task
            task.add_done_callback(lambda _: self._read_tasks.pop(job_id, None))
        await asyncio.wait((self._read_tasks[job_id],))

    async def async_trim(self, partition: int) -> None:
        """Delete the pieces of a partition that precede those of all needed jobs.

        A job whose first piece is not announced yet may lose it; a run that would resume its text
        then starts over.
        """
        start_offset = self._book.texts_start(
            lambda job_id: partition_of(job_id, self._partition_count) == partition
        )
        if start_offset:
            await self._log.async_trim(TOPIC_TEXTS, partition, start_offset, MARK_TIMEOUT)

    async def async_close(self) -> None:
        """Cancel all reads."""
        tasks = list(self._read_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_announce(self, partition: int, job_ids: Iterable[str]) -> None:
        """Record where texts start, for jobs without a known earlier piece.

        An announcement that was not acknowledged is repeated with the next piece. Otherwise that
        later piece would look like the first one.
        """
        new_job_ids = [job_id for job_id in job_ids if self._needs_announcement(job_id)]
        if not new_job_ids:
            return
        records = encode_records(
            [TextsStart(job_id, self._unannounced[job_id]) for job_id in new_job_ids]
        )
        appended = await self._log.async_append(TOPIC_JOBS, partition, records, APPEND_TIMEOUT)
        if isinstance(appended, Ok):
            for job_id in new_job_ids:
                self._unannounced.pop(job_id, None)

    def _needs_announcement(self, job_id: str) -> bool:
        """Return whether this node has an earlier piece than the announced one.

        Offsets that no longer need an announcement are discarded.
        """
        state = self._book.jobs.get(job_id)
        start_offset = self._unannounced[job_id]
        if (
            state is not None
            and not state.ended
            and (state.texts_start is None or start_offset < state.texts_start)
        ):
            return True
        del self._unannounced[job_id]
        return False

    async def _async_read(self, state: JobState) -> None:
        started_at = self._clock.monotonic()
        first_offset = state.texts_read_offset
        while self._clock.monotonic() - started_at < TEXTS_READ_TIMEOUT and not state.ended:
            if await self._async_page(state):
                break
        duration_ms = in_milliseconds(self._clock.monotonic() - started_at)
        records = state.texts_read_offset - first_offset
        _LOGGER.info("texts_read", request_id=state.head.id, records=records, ms=duration_ms)

    async def _async_page(self, state: JobState) -> bool:
        """Read one page; return True at the end of the partition."""
        partition = partition_of(state.head.id, self._partition_count)
        read = await self._log.async_read(
            TOPIC_TEXTS, partition, state.texts_read_offset, timedelta(), READ_TIMEOUT
        )
        if isinstance(read, Ok):
            return self._apply_page(state, read.unwrap())
        error = read.unwrap_err()
        if error.problem is StoreProblem.GONE and error.position > state.texts_read_offset:
            state.texts_read_offset = error.position
            return False
        await self._clock.async_sleep(STORE_RETRY_DELAY)
        return False

    def _apply_page(self, state: JobState, read: LogRead) -> bool:
        for data in read.records[max(state.texts_read_offset - read.start, 0) :]:
            state.texts_read_offset += 1
            piece = decode_record(data)
            if isinstance(piece, TextPiece) and piece.job == state.head.id:
                self._book.add_piece(piece)
        return state.texts_read_offset >= read.end

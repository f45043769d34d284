"""Application service for batch jobs: submits, reads, records and ends them."""

import asyncio
import uuid
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from functools import partial

import attrs
import msgspec
from result import Err, Ok, Result

from cranberryline.decisions.outage_retry import outage_retry_delay
from cranberryline.decisions.startup_reads import StartupReadLimits
from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.partition import partition_of
from cranberryline.helpers.tail import PartitionTail, StoreHealth
from cranberryline.ports.store import SharedLog, StoreProblem
from cranberryline.workspaces import may_access

from .book import JobBook
from .codec import decode_record, encode_job, encode_records
from .const import (
    ACCEPT_TIMEOUT,
    APPEND_CHECK_TIMEOUT,
    APPEND_TIMEOUT,
    MAX_CALL_BYTES,
    MAX_PAGE_BYTES,
    READ_TIMEOUT,
    STORE_RETRY_DELAY,
    TOPIC_JOBS,
)
from .errors import JobProblem, JobRefused
from .freshness import JobFreshness
from .history import PartitionHistory
from .marks import PartitionMark
from .model import ItemHead, ItemResult, Job, JobEnded, JobPart, JobRecord
from .read_limiter import ReadLimiter
from .state import JobState
from .text_log import TextLog

__all__ = ["JobPage", "JobService"]

_LOGGER = get_logger(__name__)


@attrs.frozen
class JobPage:
    """Consecutive results of a job from a position on.

    `total` is the number of items of the job; `next` is the position after the last result.
    """

    total: int
    next: int
    results: tuple[tuple[ItemHead, ItemResult], ...]


class JobService:
    """Maintains this node's copy of all jobs from the log, and answers callers from it.

    Jobs are split over `partitions` partitions of the log and retained for `retention`.
    """

    def __init__(
        self,
        log: SharedLog,
        partitions: int,
        clock: Clock,
        health: StoreHealth,
        metrics: Metrics,
        retention: timedelta,
    ) -> None:
        self.book = JobBook(clock, retention)
        self._log = log
        self._clock = clock
        self._health = health
        self._metrics = metrics
        self._change_events: dict[str, asyncio.Event] = {}
        self._batch_listeners: list[Callable[[], None]] = []
        first_reads = ReadLimiter(StartupReadLimits(), clock)
        self.tails = [
            PartitionTail(
                log,
                TOPIC_JOBS,
                partition,
                clock,
                health,
                partial(self._apply_record, self.book, partition),
                self._on_batch,
                partial(self._on_gap, partition),
                first_reads,
            )
            for partition in range(partitions)
        ]
        self.freshness = JobFreshness(self.tails, clock)
        self._history = PartitionHistory(
            log,
            self.tails,
            clock,
            health,
            lambda: JobBook(clock, retention),
            self._apply_record,
            lambda partition, older_book: self.book.adopt(
                older_book, self._partition_filter(partition)
            ),
            first_reads,
        )
        self.texts = TextLog(log, partitions, clock, self.book)
        self.book.listen(self._on_change)

    @property
    def loaded(self) -> bool:
        """Return whether every partition has been read to its end at least once."""
        return all(tail.loaded.is_set() for tail in self.tails)

    def listen_batches(self, listener: Callable[[], None]) -> None:
        """Call a listener after each batch of records that was read and applied."""
        self._batch_listeners.append(listener)

    def start_from_mark(self, partition: int, mark: PartitionMark) -> None:
        """Start reading a partition at its checkpoint; must be called before its tail runs."""
        if mark.offset <= self.tails[partition].offset:
            return
        self.tails[partition].offset = mark.offset
        self.book.close(mark.closed)
        self._history.require_backfill(partition)

    def mark(self, partition: int) -> PartitionMark:
        """Return the checkpoint from which a node that starts now may read the partition.

        The partition must have been read to its end.
        """
        return self.book.mark(self.tails[partition].offset, self._partition_filter(partition))

    async def async_close(self) -> None:
        """Cancel background reads."""
        await self._history.async_close()
        await self.texts.async_close()

    async def async_submit(self, job: Job) -> Result[None, JobRefused]:
        """Store a job durably. On failure, the error tells whether the job may still be stored."""
        known = self.book.jobs.get(job.id)
        if known is not None and not may_access(job.workspace or None, known.head.workspace):
            _LOGGER.warning("job_id_taken", request_id=job.id)
            return Err(JobRefused(JobProblem.OTHER_OWNER))
        if known is not None or self.book.closed(job.id):
            _LOGGER.info("job_known", request_id=job.id)
            return Ok(None)
        began = self._clock.monotonic()
        parts = encode_job(job, uuid.uuid4().hex)
        # While it is appended, a long job is held as its parts alone, each until it is sent.
        job_id, item_count, job = job.id, len(job.items), msgspec.structs.replace(job, items=())
        if not parts:
            _LOGGER.warning("job_too_long", request_id=job_id)
            self._metrics.refuse(JobProblem.NOT_STORED.value)
            return Err(JobRefused(JobProblem.NOT_STORED))
        parts.reverse()
        for batch in _split_batches(_encode_last(parts)):
            error = await self._async_append_with_retry(
                job_id, batch, lambda: job_id in self.book.jobs
            )
            if error is not None:
                self._metrics.refuse(error.problem.value)
                _LOGGER.info("job_not_accepted", request_id=job_id, problem=error.problem)
                return Err(error)
        _LOGGER.info(
            "job_accepted",
            request_id=job_id,
            items=item_count,
            step=job.step,
            model=job.model,
            group_count=job.group_count,
            min_version=job.min_version,
            ms=in_milliseconds(self._clock.monotonic() - began),
        )
        return Ok(None)

    async def async_end(
        self, job_id: str, workspace: str | None = None
    ) -> Result[None, JobRefused]:
        """Record durably that a job has ended; see `async_find` for the workspace."""
        found = await self.async_find(job_id, workspace)
        if isinstance(found, Err):
            return Err(found.unwrap_err())
        if found.unwrap().ended:
            return Ok(None)
        state = found.unwrap()
        records = encode_records([JobEnded(job_id)])
        error = await self._async_append_with_retry(job_id, records, lambda: state.ended)
        if error is not None:
            return Err(error)
        state.ended = True
        self._on_change(state)
        _LOGGER.info("job_ended", request_id=job_id)
        return Ok(None)

    async def async_find(
        self, job_id: str, workspace: str | None = None
    ) -> Result[JobState, JobRefused]:
        """Return a job that callers of a workspace may access; None stands for any workspace.

        A job of another workspace is reported like one that does not exist. Otherwise the error is
        `UNKNOWN_JOB` only if the whole partition has been read, and `UNCERTAIN` if the partition
        cannot be read now or records of the job may be missing.
        """
        state = self.book.jobs.get(job_id)
        if state is None:
            read = await self._async_read_whole_partition(job_id)
            state = self.book.jobs.get(job_id)
            if state is None and read:
                return Err(JobRefused(JobProblem.UNKNOWN_JOB))
        if state is not None and not may_access(workspace, state.head.workspace):
            return Err(JobRefused(JobProblem.UNKNOWN_JOB))
        if state is None or state.results_missing:
            return Err(JobRefused(JobProblem.UNCERTAIN))
        return Ok(state)

    async def _async_read_whole_partition(self, job_id: str) -> bool:
        """Read all of a job's partition, including the records before the checkpoint.

        Return False if this takes longer than `READ_TIMEOUT`.
        """
        deadline = self._clock.monotonic() + READ_TIMEOUT
        if not await self._tail(job_id).async_sync(READ_TIMEOUT):
            return False
        partition = partition_of(job_id, len(self.tails))
        return await self._history.async_backfill(partition, deadline - self._clock.monotonic())

    async def async_read(
        self, job_id: str, after: int, wait: timedelta, workspace: str | None = None
    ) -> Result[JobPage, JobRefused]:
        """Return the results from a position on, waiting up to `wait` for the first one.

        See `async_find` for the workspace.

        An empty page is returned only after reading to the end of the partition. Otherwise a
        lagging node would deny results that another node has already listed.
        """
        found = await self.async_find(job_id, workspace)
        if isinstance(found, Err):
            return Err(found.unwrap_err())
        state = found.unwrap()
        deadline = self._clock.monotonic() + wait
        while len(state.listed) <= after and state.open:
            remaining = deadline - self._clock.monotonic()
            if remaining <= timedelta() or not await self._async_wait_for_change(job_id, remaining):
                break
        complete = len(state.listed) == len(state.head.items)
        may_be_outdated = len(state.listed) <= after and not complete
        if may_be_outdated and not await self._tail(job_id).async_sync(READ_TIMEOUT):
            return Err(JobRefused(JobProblem.UNCERTAIN))
        if state.results_missing:
            return Err(JobRefused(JobProblem.UNCERTAIN))
        page = _make_page(state, after)
        if groups := state.groups.newly_read(state.listed, after, page.next):
            _LOGGER.info("groups_read", request_id=job_id, groups=groups, next=page.next)
        return Ok(page)

    async def async_record(self, job_id: str, records: list[JobRecord]) -> bool:
        """Append records of a job; return False if it is unknown whether they were stored."""
        partition = partition_of(job_id, len(self.tails))
        appended = await self._log.async_append(
            TOPIC_JOBS, partition, encode_records(records), APPEND_TIMEOUT
        )
        return isinstance(appended, Ok)

    async def _async_append_with_retry(
        self, job_id: str, records: list[bytes], is_stored: Callable[[], bool]
    ) -> JobRefused | None:
        """Append records, and retry appends that the store definitely rejected.

        Return None on success, otherwise whether the records may still be stored. An append without
        an answer can take effect seconds later, so it is never reported as rejected: the caller
        would rely on that, and the job would run nevertheless. `is_stored` returns whether the
        records are found in the log after such an append.
        """
        partition = partition_of(job_id, len(self.tails))
        deadline = self._clock.monotonic() + ACCEPT_TIMEOUT - APPEND_CHECK_TIMEOUT
        while (remaining := deadline - self._clock.monotonic()) > timedelta():
            appended = await self._log.async_append(TOPIC_JOBS, partition, records, remaining)
            if isinstance(appended, Ok):
                return None
            if appended.unwrap_err().problem is not StoreProblem.REFUSED:
                await self._tail(job_id).async_sync(APPEND_CHECK_TIMEOUT)
                return None if is_stored() else self._make_error(JobProblem.MAY_BE_STORED, job_id)
            await self._clock.async_sleep(STORE_RETRY_DELAY)
        return self._make_error(JobProblem.NOT_STORED, job_id)

    def _make_error(self, problem: JobProblem, job_id: str) -> JobRefused:
        """Return an error with a retry delay that depends on the duration of the outage."""
        current_at = self._tail(job_id).current_at
        outage = timedelta() if current_at is None else self._clock.monotonic() - current_at
        return JobRefused(problem, outage_retry_delay(outage))

    async def _async_wait_for_change(self, job_id: str, wait: timedelta) -> bool:
        event = self._change_events.setdefault(job_id, asyncio.Event())
        try:
            async with asyncio.timeout(wait.total_seconds()):
                await event.wait()
        except TimeoutError:
            return False
        return True

    def _tail(self, job_id: str) -> PartitionTail:
        return self.tails[partition_of(job_id, len(self.tails))]

    def _partition_filter(self, partition: int) -> Callable[[str], bool]:
        return lambda job_id: partition_of(job_id, len(self.tails)) == partition

    def _apply_record(self, book: JobBook, partition: int, offset: int, data: bytes) -> None:
        """Apply a record of one partition to a job book.

        A record of a job that belongs to another partition is skipped. Nodes read partitions in
        parallel, so two results of an item in two partitions would be in a different order at each
        node.
        """
        record = decode_record(data)
        if record is None:
            self._health.unsound("job_record_unreadable", part=partition, offset=offset)
            return
        if partition_of(record.job, len(self.tails)) != partition:
            self._health.unsound("job_record_misplaced", part=partition, offset=offset)
            return
        applied = book.apply(record, offset)
        if isinstance(applied, Err):
            detail = applied.unwrap_err()
            self._health.unsound("job_record_unsound", part=partition, offset=offset, detail=detail)

    def _on_batch(self) -> None:
        self.book.forget_old()
        for listener in self._batch_listeners:
            listener()

    def _on_gap(self, partition: int) -> None:
        self.book.miss_records(self._partition_filter(partition))

    def _on_change(self, state: JobState) -> None:
        event = self._change_events.pop(state.head.id, None)
        if event is not None:
            event.set()


def _encode_last(parts: list[JobPart]) -> Iterator[bytes]:
    """Remove parts from the end of a list, and return each encoded."""
    while parts:
        yield from encode_records([parts.pop()])


def _split_batches(records: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Split records into batches that do not exceed the store's call size."""
    batch: list[bytes] = []
    size = 0
    for record in records:
        if batch and size + len(record) > MAX_CALL_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += len(record)
    if batch:
        yield batch


def _make_page(state: JobState, after: int) -> JobPage:
    results: list[tuple[ItemHead, ItemResult]] = []
    size = 0
    for index, listed in state.listed[after:]:
        result = listed.result
        size += len(result.text.encode()) + len(result.score) + 100
        if results and size > MAX_PAGE_BYTES:
            break
        results.append((state.head.items[index], result))
    return JobPage(len(state.head.items), after + len(results), tuple(results))

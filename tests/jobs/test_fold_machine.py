"""All orders of job records and all start offsets of readers: the same records give the same lists.

Several writers append the same jobs with interleaved, delayed and duplicated records; readers start
at any offset. Their lists are compared with `expected`, which does not use the code under test.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cranberryline.helpers.clock import FakeClock
from cranberryline.jobs import (
    ItemResult,
    ItemState,
    JobBook,
    JobEnded,
    JobPart,
    JobState,
    ResultRecord,
    decode_record,
    encode_job,
    encode_records,
)
from cranberryline.jobs.const import RESULT_READ_PERIOD
from cranberryline.jobs.marks import PartitionMark
from cranberryline.jobs.model import JobRecord
from tests.jobs.test_book import make_job

RETENTION = timedelta(seconds=180)
JOBS = ("job-1", "job-2")
WRITERS = ("a", "b", "c")
ITEMS = 4

jobs = st.sampled_from(JOBS)
writers = st.sampled_from(WRITERS)


def parts_of(job_id: str, writer: str, count: int) -> list[JobPart]:
    """Return a writer's copy of a job in `count` parts.

    The copies differ, so that a test can tell which one was accepted.
    """
    data = b"".join(
        part.data for part in encode_job(make_job(job_id, ITEMS, writer.encode()), writer)
    )
    size = -(-len(data) // count)
    pieces = [data[offset : offset + size] for offset in range(0, len(data), size)]
    return [
        JobPart(job_id, writer, index, len(pieces), piece) for index, piece in enumerate(pieces)
    ]


@attrs.define
class Expected:
    """The expected list of a job."""

    writer: str
    ended: bool = False
    results: list[tuple[int, str]] = attrs.field(factory=list)


def expected(records: list[JobRecord], job_id: str) -> Expected | None:
    """Compute the expected list of a job from all records of a log.

    The first complete copy of the job and the first result of each item win.
    """
    job_records = [record for record in records if record.job == job_id]
    seen_parts: dict[str, set[int]] = {}
    ended = False
    result_list: Expected | None = None
    for record in job_records:
        if isinstance(record, JobEnded):
            ended = True
        elif isinstance(record, JobPart) and result_list is None:
            seen_parts.setdefault(record.writer, set()).add(record.index)
            if len(seen_parts[record.writer]) == record.total:
                result_list = Expected(record.writer)
        elif isinstance(record, ResultRecord) and result_list is not None:
            listed = {index for index, _ in result_list.results}
            if record.index in range(ITEMS) and record.index not in listed:
                result_list.results.append((record.index, record.result.text))
    if result_list is not None:
        result_list.ended = ended
    return result_list


@attrs.define
class Reader:
    """A node that reads the log from `start`; `seen` is what it listed at the last check.

    A reader that started at a mark knows all jobs that were open at `marked_at`, the offset at
    which the mark was made.
    """

    start: int
    offset: int
    book: JobBook
    clock: FakeClock
    marked_at: int | None = None
    seen: dict[str, Expected] = attrs.field(factory=dict)


def listed(state: JobState) -> Expected:
    """Return what a book lists of a job."""
    writer = state.job.items[0].body.decode()
    return Expected(writer, state.ended, [(index, each.text) for index, each in state.results])


class FoldMachine(RuleBasedStateMachine):
    """Writers and readers of one partition.

    The deep run: `pytest tests/jobs/test_fold_machine.py --hypothesis-profile deep`.
    """

    book_class: type[JobBook] = JobBook

    def __init__(self) -> None:
        super().__init__()
        self.log: list[bytes] = []
        self.records: list[JobRecord] = []
        self.first = 0
        self.unwritten_parts: dict[tuple[str, str], list[JobPart]] = {}
        self.delayed: list[JobRecord] = []
        self.readers: list[Reader] = []

    @initialize(counts=st.lists(st.integers(1, 4), min_size=6, max_size=6))
    def create_copies(self, counts: list[int]) -> None:
        copies = [(job_id, writer) for job_id in JOBS for writer in WRITERS]
        self.unwritten_parts = {
            copy: parts_of(*copy, count) for copy, count in zip(copies, counts, strict=True)
        }
        self.readers = [self._reader(0), self._reader(0)]

    @rule(job_id=jobs, writer=writers, count=st.integers(1, 4))
    def next_parts(self, job_id: str, writer: str, count: int) -> None:
        parts = self.unwritten_parts[(job_id, writer)]
        for part in parts[:count]:
            self._append(part)
        del parts[:count]

    @rule(job_id=jobs, writer=writers)
    def next_part_is_delayed(self, job_id: str, writer: str) -> None:
        parts = self.unwritten_parts[(job_id, writer)]
        if parts:
            self.delayed.append(parts.pop(0))

    @rule(job_id=jobs, index=st.integers(-1, ITEMS), late=st.booleans())
    def result(self, job_id: str, index: int, late: bool) -> None:
        text = f"{len(self.records)}.{len(self.delayed)}"
        record = ResultRecord(job_id, index, ItemResult(ItemState.COMPLETED, text))
        if late:
            self.delayed.append(record)
        else:
            self._append(record)

    @rule(job_id=jobs)
    def end(self, job_id: str) -> None:
        self._append(JobEnded(job_id))

    @rule(pick=st.integers(0, 50))
    def insert_delayed_record(self, pick: int) -> None:
        if self.delayed:
            self._append(self.delayed.pop(pick % len(self.delayed)))

    @rule(pick=st.integers(0, 200))
    def duplicate_record(self, pick: int) -> None:
        if self.records:
            self._append(self.records[pick % len(self.records)])

    @rule(pick=st.integers(0, 200))
    def trim(self, pick: int) -> None:
        if len(self.log) > self.first:
            self.first += pick % (len(self.log) - self.first + 1)

    @rule()
    def reader_starts(self) -> None:
        if len(self.readers) < 6:
            self.readers.append(self._reader(self.first))

    @rule(pick=st.integers(0, 5), after_read_period=st.booleans())
    def reader_starts_at_a_mark(self, pick: int, after_read_period: bool) -> None:
        source = self.readers[pick % len(self.readers)]
        if len(self.readers) >= 6 or (source.start and source.marked_at is None):
            return
        if after_read_period:
            source.clock.advance(RESULT_READ_PERIOD)
        mark = source.book.mark(source.offset, lambda _: True)
        if mark.offset >= self.first:
            reader = self._reader(mark.offset)
            reader.book.close(mark.closed)
            reader.marked_at = source.offset
            self.readers.append(reader)

    @rule(pick=st.integers(0, 5))
    def reads_records_before_its_mark(self, pick: int) -> None:
        reader = self.readers[pick % len(self.readers)]
        if reader.marked_at is None or self.first:
            return
        older = self._reader(0)
        for offset, data in enumerate(self.log[: reader.offset]):
            record = decode_record(data)
            assert record is not None
            older.book.apply(record, offset)
        reader.book.adopt(older.book, lambda _: True)
        reader.start, reader.marked_at = 0, None

    @rule(pick=st.integers(0, 5), count=st.integers(1, 40))
    def reads(self, pick: int, count: int) -> None:
        reader = self.readers[pick % len(self.readers)]
        for data in self.log[reader.offset : reader.offset + count]:
            record = decode_record(data)
            assert record is not None
            reader.book.apply(record, reader.offset)
            reader.offset += 1

    @invariant()
    def all_lists_match(self) -> None:
        """Compare what is listed with what was read, for every start offset."""
        for reader in self.readers:
            for job_id in JOBS:
                self._check(reader, job_id)

    def teardown(self) -> None:
        """Let every reader read all records, then compare the lists."""
        for number in range(len(self.readers)):
            self.reads(number, len(self.log))
        self.all_lists_match()

    def _check(self, reader: Reader, job_id: str) -> None:
        state = reader.book.jobs.get(job_id)
        now = None if state is None else listed(state)
        before = reader.seen.get(job_id)
        if before is not None:
            assert now is not None and now.writer == before.writer
            assert now.results[: len(before.results)] == before.results, "a position changed"
            assert now.ended or not before.ended, "an ended job is open again"
        if now is not None:
            reader.seen[job_id] = now
            assert state is not None and not (now.ended and state.open)
        if reader.marked_at is not None and now is None:
            self._check_closed(reader, job_id)
        elif reader.marked_at is not None or self._started_before_job(reader, job_id):
            assert now == expected(self.records[: reader.offset], job_id)

    def _check_closed(self, reader: Reader, job_id: str) -> None:
        """Check that a job missing after a start at a mark was already over.

        It must have been over when the reader had read all records that the mark covers.
        """
        if reader.marked_at is not None and reader.offset >= reader.marked_at:
            found = expected(self.records[: reader.offset], job_id)
            assert found is None or found.ended or len(found.results) == ITEMS

    def _started_before_job(self, reader: Reader, job_id: str) -> bool:
        """Return whether a reader started before the first record of the job."""
        return all(record.job != job_id for record in self.records[: reader.start])

    def _append(self, record: JobRecord) -> None:
        self.records.append(record)
        self.log += encode_records([record])

    def _reader(self, start: int) -> Reader:
        clock = FakeClock()
        return Reader(start, start, self.book_class(clock, RETENTION), clock)


def test_readers_list_the_same_for_any_order_of_records() -> None:
    """Copies are interleaved, delayed and duplicated, and readers start at any offset.

    All readers of the same records must list the same.
    """
    run_state_machine_as_test(FoldMachine, settings=settings())


class _LastResultWins(JobBook):
    def _apply_result(self, state: JobState, record: ResultRecord) -> None:
        state.done.discard(record.index)
        super()._apply_result(state, record)


class _EndIsLost(JobBook):
    def apply(self, record: JobRecord, offset: int = 0) -> None:
        super().apply(record, offset)
        self._ended_before_seen.clear()


class _WritersAreMixed(JobBook):
    def _apply_part(self, part: JobPart, offset: int) -> None:
        super()._apply_part(JobPart(part.job, "", part.index, part.total, part.data), offset)


class _ClosedJobsAreLost(JobBook):
    def close(self, job_ids: Iterable[str]) -> None:
        pass


class _MarkOffsetIsTooHigh(JobBook):
    def mark(self, end: int, among: Callable[[str], bool]) -> PartitionMark:
        return PartitionMark(end, super().mark(end, among).closed)


@pytest.mark.parametrize(
    "broken",
    [_LastResultWins, _EndIsLost, _WritersAreMixed, _ClosedJobsAreLost, _MarkOffsetIsTooHigh],
)
def test_the_state_machine_detects_a_faulty_book(broken: type[JobBook]) -> None:
    """Faulty books: the last result wins, an end is lost, copies are mixed, or marks are wrong.

    If the state machine missed one of these faults, its success would prove nothing about the real
    book.
    """
    machine = type("BrokenFoldMachine", (FoldMachine,), {"book_class": broken})
    # Each fault is found within a few tens of examples. The examples drawn depend on which modules
    # are loaded, so the limit leaves room.
    found = settings(max_examples=1000, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=found)

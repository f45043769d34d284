"""Records of jobs that no gateway wrote, or not for this job or partition."""

import asyncio
import tracemalloc
import zlib
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs import (
    Item,
    ItemResult,
    ItemState,
    Job,
    JobBook,
    JobEnded,
    JobPart,
    ResultRecord,
    decode_record,
    encode_job,
    encode_records,
)
from cranberryline.jobs.codec import decode_job
from cranberryline.jobs.const import MAX_JOB_BYTES, MAX_RECORD_BYTES, TOPIC_JOBS
from cranberryline.jobs.errors import JobProblem
from cranberryline.jobs.partition import partition_of
from cranberryline.jobs.service import JobService
from tests.foreign import HUGE, deep, foreign
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

from .test_book import KEEP, make_job

PARTS = 2
DROPS = "cranberryline_drops_total"
DONE = ItemResult(ItemState.COMPLETED, "t", (1,), "seal")
SOUND = encode_records(
    [*encode_job(make_job(), "w"), ResultRecord("job-1", 1, DONE), JobEnded("j")]
)
numbers = st.sampled_from(HUGE) | st.integers(-3, 6)


def _book() -> JobBook:
    return JobBook(FakeClock(), KEEP)


class Node:
    """A node's jobs, and what it counted."""

    def __init__(self, store: FakeStore) -> None:
        clock = LoopClock()
        self.metrics = Metrics()
        self.link = StoreLink(store)
        health = StoreHealth(clock, self.metrics)
        self.jobs = JobService(self.link, PARTS, clock, health, self.metrics, KEEP)
        self.tasks = [asyncio.ensure_future(tail.async_run()) for tail in self.jobs.tails]

    def dropped(self, reason: str) -> float:
        """Return how many records were passed over for a reason."""
        return self.metrics.value(DROPS, reason=reason)


@given(foreign(*SOUND))
def test_no_bytes_raise(data: bytes) -> None:
    """A record, or none."""
    record = decode_record(data)
    assert record is None or record.job is not None
    assert isinstance(decode_job([data]), Ok | Err)


@pytest.mark.parametrize("inner", deep(b"\x97\xa4part\xa1j\xa1w\x00\x01\xc4\x00"))
@pytest.mark.parametrize("packed", [False, True])
def test_records_that_nest_deeply_are_none(inner: bytes, packed: bool) -> None:
    """Plain and compressed, as a record and as the job within one."""
    assert decode_record(b"z" + zlib.compress(inner) if packed else b"p" + inner) is None
    assert isinstance(decode_job([zlib.compress(inner)]), Err)


@pytest.mark.parametrize("bound", [MAX_JOB_BYTES, MAX_RECORD_BYTES])
def test_a_bomb_is_no_record_and_takes_a_bounded_amount_of_memory(bound: int) -> None:
    """A record of the store's longest size grows to 260 MB, more than a VM has."""
    bomb = zlib.compress(bytes(260_000_000), 9)
    assert len(bomb) <= 256 * 1024
    tracemalloc.start()
    if bound == MAX_JOB_BYTES:
        assert isinstance(decode_job([bomb]), Err)
    else:
        assert decode_record(b"z" + bomb) is None
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 2.5 * bound


@given(
    st.lists(
        st.builds(
            JobPart,
            st.just("job-1"),
            st.sampled_from(["w", "x"]),
            numbers,
            numbers,
            st.binary(max_size=20),
        ),
        max_size=12,
    ),
    st.lists(st.builds(ResultRecord, st.sampled_from(["job-1", "no job"]), numbers, st.just(DONE))),
)
def test_odd_parts_and_results_take_no_place(
    parts: list[JobPart], results: list[ResultRecord]
) -> None:
    """Negative and huge numbers, parts that disagree, items that are none: the sound ones stand."""
    book = _book()
    for part in parts:
        book.apply(part)
    for part in encode_job(make_job(), "sound"):
        assert book.apply(part) == Ok(None)
    listed = [record for record in results if record.job == "job-1" and 0 <= record.index < 4]
    for record in results:
        book.apply(record)
    assert book.jobs["job-1"].job == make_job()
    assert [index for index, _ in book.jobs["job-1"].results] == list(
        dict.fromkeys(record.index for record in listed)
    )


def test_parts_of_one_writer_that_disagree_on_their_number_harm_no_others() -> None:
    """A part that tells of nine hundred others comes first, under the name of the real writer.

    Taken at its word, the real parts would never be enough, and an accepted job would be lost.
    """
    first, second = _in_two(make_job())
    book = _book()
    book.apply(_with_total(first, 300))
    book.apply(first)
    assert book.apply(second) == Ok(None)
    assert book.jobs["job-1"].job == make_job()


def test_parts_that_make_no_job_leave_those_of_another_writer() -> None:
    """A gateway has appended the first part of a job; somebody's nonsense is complete before it.

    Thrown away with the nonsense, the first part would be missing when the second one comes: a job
    that was accepted would be gone.
    """
    first, second = _in_two(make_job())
    book = _book()
    book.apply(first)
    assert isinstance(book.apply(JobPart("job-1", "bad", 0, 1, b"nonsense")), Err)
    whole = encode_job(make_job("job-2"), "bad")[0]
    assert isinstance(book.apply(JobPart("job-1", "bad", 0, 1, whole.data)), Err)
    assert book.apply(second) == Ok(None)
    assert book.jobs["job-1"].job == make_job()


def _with_total(part: JobPart, total: int) -> JobPart:
    """Return a part that tells of another number of parts."""
    return msgspec.structs.replace(part, total=total, data=b"x")


def _in_two(job: Job) -> tuple[JobPart, JobPart]:
    (part,) = encode_job(job, "w")
    half = len(part.data) // 2
    first, second = part.data[:half], part.data[half:]
    return JobPart(job.id, "w", 0, 2, first), JobPart(job.id, "w", 1, 2, second)


def test_parts_whose_writer_never_came_to_the_last_are_forgotten() -> None:
    """Each gateway that dies between two calls leaves some; kept for good they would fill the VM."""
    clock = FakeClock()
    book = JobBook(clock, KEEP)
    book.apply(_in_two(make_job())[0])
    assert book._parts
    clock.advance(KEEP + timedelta(seconds=1))
    book.forget_old()
    assert not book._parts


@pytest.mark.parametrize("submitted", [float("nan"), float("inf"), float("-inf")])
def test_a_job_of_no_time_is_none(submitted: float) -> None:
    """Its items could never be given up."""
    (part,) = encode_job(msgspec.structs.replace(make_job(), submitted=submitted), "w")
    assert isinstance(_book().apply(part), Err)


def test_a_job_with_an_item_twice_is_none() -> None:
    """Its item would stand at two positions."""
    item = Item("i", "/p/x", (), b"")
    (part,) = encode_job(Job("job-1", "h", "/p/1", (item, item), 0.0), "w")
    assert isinstance(_book().apply(part), Err)


def test_a_job_too_long_to_be_read_again_is_refused() -> None:
    """Accepted it would be lost: no node could decode it."""

    async def scene() -> None:
        node = Node(FakeStore())
        job = make_job(items=1, body=bytes(MAX_JOB_BYTES))
        refused = await node.jobs.async_submit(job)
        assert refused.unwrap_err().problem is JobProblem.NOT_KEPT
        assert not node.link.appends

    run_virtual(scene())


def test_bad_records_of_each_kind_are_counted_and_the_sound_ones_behind_them_taken() -> None:
    """A partition holds bytes, a bomb, a part of no job and a result of no item before sound records."""

    async def scene() -> None:
        store = FakeStore()
        part = partition_of("job-1", PARTS)
        parts = encode_job(make_job(), "w")
        bomb = b"z" + zlib.compress(bytes(40_000_000))
        bad = [b"", b"\xff\xff", bomb, *encode_records([JobPart("job-1", "w", -1, 1, b"")])]
        odd = ResultRecord("job-1", -1, DONE)
        good = encode_records([*parts, odd, ResultRecord("job-1", 2, DONE)])
        store.append(TOPIC_JOBS, part, [*bad, *good])
        node = Node(store)
        await asyncio.sleep(0.1)
        assert [index for index, _ in node.jobs.book.jobs["job-1"].results] == [2]
        assert node.dropped("job_record_unreadable") == 3
        assert node.dropped("job_record_unsound") == 2
        assert not any(task.done() for task in node.tasks)

    run_virtual(scene())


def test_a_result_in_another_partition_than_its_jobs_is_passed_over() -> None:
    """Two results of one item stand in two partitions.

    Nodes read partitions side by side, so that each would list the one that it happened to read
    first: the same position would hold another result at another node.
    """

    async def scene() -> None:
        store = FakeStore()
        part = partition_of("job-1", PARTS)
        store.append(TOPIC_JOBS, part, encode_records(encode_job(make_job(), "w")))
        node = Node(store)
        await asyncio.sleep(0.1)
        other = ItemResult(ItemState.COMPLETED, "other")
        store.append(TOPIC_JOBS, 1 - part, encode_records([ResultRecord("job-1", 0, other)]))
        await asyncio.sleep(0.1)
        store.append(TOPIC_JOBS, part, encode_records([ResultRecord("job-1", 0, DONE)]))
        await asyncio.sleep(0.1)
        assert node.jobs.book.jobs["job-1"].results == [(0, DONE)]
        assert node.dropped("job_record_misplaced") == 1

    run_virtual(scene())


@given(st.lists(foreign(*SOUND), max_size=5))
def test_whatever_stands_in_a_partition_the_job_behind_it_is_known(records: list[bytes]) -> None:
    """The tail goes on over all of it."""

    async def scene() -> None:
        store = FakeStore()
        node = Node(store)
        part = partition_of("job-9", PARTS)
        store.append(
            TOPIC_JOBS, part, [*records, *encode_records(encode_job(make_job("job-9"), "w"))]
        )
        await asyncio.sleep(0.1)
        assert "job-9" in node.jobs.book.jobs
        assert not any(task.done() for task in node.tasks)

    run_virtual(scene())

"""Job records that are invalid, or stored for another job or in the wrong partition."""

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
from cranberryline.helpers.partition import partition_of
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
from cranberryline.jobs.service import JobService
from tests.foreign import HUGE, deep, foreign
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

from .test_book import RETENTION, make_job

PARTS = 2
DROPS = "cranberryline_drops_total"
DONE = ItemResult(ItemState.COMPLETED, "t", (1,), "seal")
VALID_RECORDS = encode_records(
    [*encode_job(make_job(), "w"), ResultRecord("job-1", 1, DONE), JobEnded("j")]
)
odd_numbers = st.sampled_from(HUGE) | st.integers(-3, 6)


def _book() -> JobBook:
    return JobBook(FakeClock(), RETENTION)


class Node:
    """The jobs of a node and its count of dropped records."""

    def __init__(self, store: FakeStore) -> None:
        clock = LoopClock()
        self.metrics = Metrics()
        self.link = StoreLink(store)
        health = StoreHealth(clock, self.metrics)
        self.jobs = JobService(self.link, PARTS, clock, health, self.metrics, RETENTION)
        self.tasks = [asyncio.ensure_future(tail.async_run()) for tail in self.jobs.tails]

    def dropped(self, reason: str) -> float:
        """Return the number of records that were dropped for a reason."""
        return self.metrics.value(DROPS, reason=reason)


@given(foreign(*VALID_RECORDS))
def test_decoding_arbitrary_bytes_does_not_raise(data: bytes) -> None:
    """Any bytes decode to a record or to none."""
    record = decode_record(data)
    assert record is None or record.job is not None
    assert isinstance(decode_job([data]), Ok | Err)


@pytest.mark.parametrize("inner", deep(b"\x97\xa4part\xa1j\xa1w\x00\x01\xc4\x00"))
@pytest.mark.parametrize("packed", [False, True])
def test_deeply_nested_records_are_rejected(inner: bytes, packed: bool) -> None:
    """Uncompressed and compressed, as a record and as the job inside a record."""
    assert decode_record(b"z" + zlib.compress(inner) if packed else b"p" + inner) is None
    assert isinstance(decode_job([zlib.compress(inner)]), Err)


@pytest.mark.parametrize("bound", [MAX_JOB_BYTES, MAX_RECORD_BYTES])
def test_a_decompression_bomb_is_rejected_with_bounded_memory(bound: int) -> None:
    """A record of the store's maximum size expands to 260 MB, more memory than a VM has."""
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
            odd_numbers,
            odd_numbers,
            st.binary(max_size=20),
        ),
        max_size=12,
    ),
    st.lists(
        st.builds(ResultRecord, st.sampled_from(["job-1", "no job"]), odd_numbers, st.just(DONE))
    ),
)
def test_invalid_parts_and_results_do_not_displace_valid_ones(
    parts: list[JobPart], results: list[ResultRecord]
) -> None:
    """Negative and huge numbers, contradicting parts and unknown items are ignored."""
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


def test_parts_with_another_total_do_not_block_the_valid_parts() -> None:
    """A first part with the name of the real writer declares a total of 300 parts.

    If that total was used, the real parts would never be complete and an accepted job would be
    lost.
    """
    first, second = _in_two(make_job())
    book = _book()
    book.apply(_with_total(first, 300))
    book.apply(first)
    assert book.apply(second) == Ok(None)
    assert book.jobs["job-1"].job == make_job()


def test_an_invalid_copy_does_not_discard_parts_of_another_writer() -> None:
    """A gateway has appended the first part of a job; then an invalid copy becomes complete.

    If the first part was discarded with the invalid copy, it would be missing when the second part
    arrives, and an accepted job would be lost.
    """
    first, second = _in_two(make_job())
    book = _book()
    book.apply(first)
    assert isinstance(book.apply(JobPart("job-1", "bad", 0, 1, b"nonsense")), Err)
    other_job_part = encode_job(make_job("job-2"), "bad")[0]
    assert isinstance(book.apply(JobPart("job-1", "bad", 0, 1, other_job_part.data)), Err)
    assert book.apply(second) == Ok(None)
    assert book.jobs["job-1"].job == make_job()


def _with_total(part: JobPart, total: int) -> JobPart:
    """Return a part that declares another total."""
    return msgspec.structs.replace(part, total=total, data=b"x")


def _in_two(job: Job) -> tuple[JobPart, JobPart]:
    (part,) = encode_job(job, "w")
    half = len(part.data) // 2
    first, second = part.data[:half], part.data[half:]
    return JobPart(job.id, "w", 0, 2, first), JobPart(job.id, "w", 1, 2, second)


def test_parts_of_a_job_that_is_never_completed_are_removed() -> None:
    """Each gateway that dies between two calls leaves parts of a job.

    Kept forever, they would fill the memory of the VM.
    """
    clock = FakeClock()
    book = JobBook(clock, RETENTION)
    book.apply(_in_two(make_job())[0])
    assert book._incomplete_jobs
    clock.advance(RETENTION + timedelta(seconds=1))
    book.forget_old()
    assert not book._incomplete_jobs


@pytest.mark.parametrize("submitted", [float("nan"), float("inf"), float("-inf")])
def test_a_job_without_a_finite_submission_time_is_rejected(submitted: float) -> None:
    """The items of such a job could never expire."""
    (part,) = encode_job(msgspec.structs.replace(make_job(), submitted=submitted), "w")
    assert isinstance(_book().apply(part), Err)


def test_a_job_with_a_duplicate_item_is_rejected() -> None:
    """The item would be listed at two positions."""
    item = Item("i", "/p/x", (), b"")
    (part,) = encode_job(Job("job-1", "h", "/p/1", (item, item), 0.0), "w")
    assert isinstance(_book().apply(part), Err)


def test_a_job_too_large_to_be_decoded_is_refused() -> None:
    """If it was accepted it would be lost, because no node could decode it."""

    async def scene() -> None:
        node = Node(FakeStore())
        job = make_job(items=1, body=bytes(MAX_JOB_BYTES))
        refused = await node.jobs.async_submit(job)
        assert refused.unwrap_err().problem is JobProblem.NOT_STORED
        assert not node.link.appends

    run_virtual(scene())


def test_invalid_records_are_counted_and_later_valid_ones_applied() -> None:
    """A partition holds several kinds of invalid records before valid ones.

    These are arbitrary bytes, a decompression bomb, a part of no job and a result of no item.
    """

    async def scene() -> None:
        store = FakeStore()
        part = partition_of("job-1", PARTS)
        parts = encode_job(make_job(), "w")
        bomb = b"z" + zlib.compress(bytes(40_000_000))
        undecodable = [b"", b"\xff\xff", bomb, *encode_records([JobPart("job-1", "w", -1, 1, b"")])]
        invalid_result = ResultRecord("job-1", -1, DONE)
        valid = encode_records([*parts, invalid_result, ResultRecord("job-1", 2, DONE)])
        store.append(TOPIC_JOBS, part, [*undecodable, *valid])
        node = Node(store)
        await asyncio.sleep(0.1)
        assert [index for index, _ in node.jobs.book.jobs["job-1"].results] == [2]
        assert node.dropped("job_record_unreadable") == 3
        assert node.dropped("job_record_unsound") == 2
        assert not any(task.done() for task in node.tasks)

    run_virtual(scene())


def test_a_result_in_the_wrong_partition_is_ignored() -> None:
    """Two results of one item are stored in two partitions.

    Nodes read partitions concurrently, so each would list the result that it happened to read
    first, and the same position would hold different results on different nodes.
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


@given(st.lists(foreign(*VALID_RECORDS), max_size=5))
def test_a_job_after_arbitrary_records_is_still_read(records: list[bytes]) -> None:
    """The tail continues after every invalid record."""

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

"""Encoding of jobs and results in the store, in the format of this and the previous release."""

import zlib
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.helpers.clock import FakeClock
from cranberryline.jobs import (
    ItemResult,
    ItemState,
    Job,
    JobBook,
    JobPart,
    JobState,
    ResultRecord,
    decode_record,
    encode_job,
    encode_records,
)
from cranberryline.jobs.codec import decode_job, job_head
from cranberryline.jobs.model import JobRecord, PackedResult

from .test_book import RETENTION, make_job


def _encode_job_as_previous_release(job: Job) -> JobPart:
    """Return a job in the format of the previous release: complete, and compressed as one block."""
    return JobPart(job.id, "w", 0, 1, zlib.compress(msgspec.msgpack.encode(job), 1))


def _encode_result_as_previous_release(record: ResultRecord) -> bytes:
    data = msgspec.msgpack.encode(record)
    return b"p" + data if len(data) < 256 else b"z" + zlib.compress(data, 1)


def _book_of(*records: JobRecord) -> JobBook:
    book = JobBook(FakeClock(), RETENTION)
    for record in records:
        book.apply(record)
    return book


@given(st.integers(0, 9), st.binary(max_size=300))
def test_a_job_is_decoded_as_it_was_encoded(items: int, body: bytes) -> None:
    """The round trip preserves any number of items with any bytes in them."""
    job = make_job(items=items, body=body)
    state = _book_of(*encode_job(job, "w")).jobs["job-1"]
    assert [(head.id, head.group) for head in state.head.items] == [
        (item.id, item.group) for item in job.items
    ]
    assert state.job == job


def test_items_stay_compressed_until_one_is_requested() -> None:
    """Results, ends and pages of a job need only its head."""
    book = _book_of(*encode_job(make_job(), "w"))
    state = book.jobs["job-1"]
    book.apply(ResultRecord("job-1", 1, ItemResult(ItemState.COMPLETED, "t")))
    assert state.open and isinstance(state.details, bytes)
    found = state.item("job-1-i2")
    assert found is not None and found == (2, make_job().items[2])
    assert state.item("none") is None
    assert not isinstance(state.details, bytes)


def test_records_of_the_previous_release_are_read() -> None:
    """A job, a short and a long result were written by the previous release.

    Both formats are in the store while gateways are replaced one after the other.
    """
    job = make_job()
    results = [
        ResultRecord("job-1", index, ItemResult(ItemState.COMPLETED, text, (1,), "s"))
        for index, text in enumerate(("short", "long" * 200))
    ]
    (data,) = encode_records([_encode_job_as_previous_release(job)])
    records = [
        decode_record(data),
        *(decode_record(_encode_result_as_previous_release(result)) for result in results),
    ]
    book = _book_of(*(record for record in records if record is not None))
    assert book.jobs["job-1"].job == job
    assert book.jobs["job-1"].results == [(result.index, result.result) for result in results]


@given(
    st.sampled_from(list(ItemState)),
    st.text(max_size=600),
    st.lists(st.integers(0, 9), max_size=3),
)
def test_a_result_is_decoded_as_it_was_encoded(
    state: ItemState, text: str, versions: list[int]
) -> None:
    """A result is compressed in the store and in the book, and decoded when it is listed."""
    result = ItemResult(state, text, tuple(versions), "score")
    (data,) = encode_records([ResultRecord("job-1", 3, result)])
    record = decode_record(data)
    assert isinstance(record, PackedResult)
    book = _book_of(*encode_job(make_job(), "w"), record)
    assert book.jobs["job-1"].results == [(3, result)]
    reused = book.completed(make_job().items[3])
    assert reused == (result if state is ItemState.COMPLETED else None)


@given(st.integers(0, 200), st.integers(1, 255))
def test_a_job_with_a_changed_byte_is_rejected(position: int, change: int) -> None:
    """The separately stored items are checked when the job is read, not when the first item runs.

    All nodes accept the same copy: a copy that is found to be corrupt later would displace a valid
    one.
    """
    job = make_job(body=bytes(100))
    (part,) = encode_job(job, "w")
    data = bytearray(part.data)
    data[position % len(data)] ^= change
    decoded = decode_job([bytes(data)]).ok()
    assert decoded is None or decoded[0] == decode_job([part.data]).unwrap()[0]
    if decoded is not None:
        # A changed level or window size in the zlib header of the head does not change what is
        # decoded.
        assert _book_of(JobPart(job.id, "w", 0, 1, bytes(data))).jobs["job-1"].job == job


def test_an_undecodable_result_is_dead_on_all_nodes() -> None:
    """The result keeps its position and is never listed as completed."""
    data = b"znonsense"
    record = PackedResult("job-1", 0, True, data, zlib.crc32(data))
    book = _book_of(*encode_job(make_job(), "w"), record)
    assert book.jobs["job-1"].results == [(0, ItemResult(ItemState.DEAD))]


def test_a_result_is_reused_only_for_an_identical_item() -> None:
    """A later job has an item with the same ID, once with the same bytes and once with others."""
    book = _book_of(*encode_job(make_job(), "w"))
    result = ItemResult(ItemState.COMPLETED, "t")
    book.apply(ResultRecord("job-1", 0, result))
    assert book.completed(make_job().items[0]) == result
    assert book.completed(make_job(body=b"other").items[0]) is None


@pytest.mark.parametrize("details", [b"nonsense", zlib.compress(msgspec.msgpack.encode(()))])
def test_a_job_with_undecodable_items_has_no_items(details: bytes) -> None:
    """The items are complete but have another format.

    The job cannot run, and nothing else is affected.
    """
    state = JobState(job_head(make_job()), details, timedelta())
    assert not state.readable
    assert state.item("job-1-i2") is None
    with pytest.raises(ValueError):
        _ = state.job
    assert state.open and state.results == []


def test_a_result_with_a_changed_byte_gets_no_position() -> None:
    """Every node ignores the corrupt result, and the next result of the item is listed."""
    (data,) = encode_records([ResultRecord("job-1", 0, ItemResult(ItemState.COMPLETED, "t" * 50))])
    changed = decode_record(data.replace(b"tt", b"tu", 1))
    assert isinstance(changed, PackedResult)
    book = _book_of(*encode_job(make_job(), "w"))
    assert book.apply(changed).is_err()
    assert book.jobs["job-1"].open and not book.jobs["job-1"].listed

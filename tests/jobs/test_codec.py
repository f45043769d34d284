"""Jobs and results as they stand in the store, of this release and the one before."""

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
from cranberryline.jobs.codec import decode_job, head_of
from cranberryline.jobs.model import JobRecord, PackedResult

from .test_book import KEEP, make_job


def _before(job: Job) -> JobPart:
    """Return a job as the release before wrote it: whole, and compressed as one."""
    return JobPart(job.id, "w", 0, 1, zlib.compress(msgspec.msgpack.encode(job), 1))


def _record_before(record: ResultRecord) -> bytes:
    data = msgspec.msgpack.encode(record)
    return b"p" + data if len(data) < 256 else b"z" + zlib.compress(data, 1)


def _folded(*records: JobRecord) -> JobBook:
    book = JobBook(FakeClock(), KEEP)
    for record in records:
        book.apply(record)
    return book


@given(st.integers(0, 9), st.binary(max_size=300))
def test_a_job_comes_back_as_it_was_kept(items: int, body: bytes) -> None:
    """With any number of items and any bytes in them."""
    job = make_job(items=items, body=body)
    state = _folded(*encode_job(job, "w")).jobs["job-1"]
    assert [(head.id, head.group) for head in state.head.items] == [
        (item.id, item.group) for item in job.items
    ]
    assert state.job == job


def test_a_job_stays_packed_until_an_item_is_asked_for() -> None:
    """Results, ends and pages of it need its head only."""
    book = _folded(*encode_job(make_job(), "w"))
    state = book.jobs["job-1"]
    book.apply(ResultRecord("job-1", 1, ItemResult(ItemState.COMPLETED, "t")))
    assert state.open and isinstance(state.details, bytes)
    found = state.item("job-1-i2")
    assert found is not None and found == (2, make_job().items[2])
    assert state.item("none") is None
    assert not isinstance(state.details, bytes)


def test_records_of_the_release_before_are_read() -> None:
    """A job and a short and a long result, written before gateways were replaced one after the other."""
    job = make_job()
    results = [
        ResultRecord("job-1", index, ItemResult(ItemState.COMPLETED, text, (1,), "s"))
        for index, text in enumerate(("short", "long" * 200))
    ]
    (data,) = encode_records([_before(job)])
    records = [decode_record(data), *(decode_record(_record_before(old)) for old in results)]
    book = _folded(*(record for record in records if record is not None))
    assert book.jobs["job-1"].job == job
    assert book.jobs["job-1"].results == [(old.index, old.result) for old in results]


@given(
    st.sampled_from(list(ItemState)),
    st.text(max_size=600),
    st.lists(st.integers(0, 9), max_size=3),
)
def test_a_result_comes_back_as_it_was_recorded(
    state: ItemState, text: str, versions: list[int]
) -> None:
    """Packed in the store and in the fold, whole when it is listed."""
    result = ItemResult(state, text, tuple(versions), "score")
    (data,) = encode_records([ResultRecord("job-1", 3, result)])
    record = decode_record(data)
    assert isinstance(record, PackedResult)
    book = _folded(*encode_job(make_job(), "w"), record)
    assert book.jobs["job-1"].results == [(3, result)]
    kept = book.completed(make_job().items[3])
    assert kept == (result if state is ItemState.COMPLETED else None)


@given(st.integers(0, 200), st.integers(1, 255))
def test_a_job_with_a_changed_byte_is_no_job(at: int, change: int) -> None:
    """What stands apart is checked when the job is taken, not when its first item is due.

    All nodes take the same copy: one that is found broken later would hold the place of a whole one.
    """
    job = make_job(body=bytes(100))
    (part,) = encode_job(job, "w")
    data = bytearray(part.data)
    data[at % len(data)] ^= change
    found = decode_job([bytes(data)]).ok()
    assert found is None or found[0] == decode_job([part.data]).unwrap()[0]
    if found is not None:
        # A changed level or window in the head's own compression mark changes nothing that is read.
        assert _folded(JobPart(job.id, "w", 0, 1, bytes(data))).jobs["job-1"].job == job


def test_a_result_that_cannot_be_read_is_dead_at_all_nodes() -> None:
    """It keeps its position, and is never listed as complete."""
    data = b"znonsense"
    record = PackedResult("job-1", 0, True, data, zlib.crc32(data))
    book = _folded(*encode_job(make_job(), "w"), record)
    assert book.jobs["job-1"].results == [(0, ItemResult(ItemState.DEAD))]


def test_a_result_is_used_again_for_just_the_same_item() -> None:
    """A later job has the item under the same id, once with the same bytes and once with others."""
    book = _folded(*encode_job(make_job(), "w"))
    result = ItemResult(ItemState.COMPLETED, "t")
    book.apply(ResultRecord("job-1", 0, result))
    assert book.completed(make_job().items[0]) == result
    assert book.completed(make_job(body=b"other").items[0]) is None


@pytest.mark.parametrize("details", [b"nonsense", zlib.compress(msgspec.msgpack.encode(()))])
def test_a_job_whose_items_cannot_be_read_has_none(details: bytes) -> None:
    """They are whole and of another form: nothing of the job can run here, and nothing else suffers."""
    state = JobState(head_of(make_job()), details, timedelta())
    assert not state.readable
    assert state.item("job-1-i2") is None
    with pytest.raises(ValueError):
        _ = state.job
    assert state.open and state.results == []


def test_a_result_with_a_changed_byte_takes_no_position() -> None:
    """Every node passes it over alike, and the item's next result stands."""
    (data,) = encode_records([ResultRecord("job-1", 0, ItemResult(ItemState.COMPLETED, "t" * 50))])
    changed = decode_record(data.replace(b"tt", b"tu", 1))
    assert isinstance(changed, PackedResult)
    book = _folded(*encode_job(make_job(), "w"))
    assert book.apply(changed).is_err()
    assert book.jobs["job-1"].open and not book.jobs["job-1"].listed

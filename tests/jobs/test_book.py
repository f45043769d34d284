"""The job book: every node lists the same, even if records are appended more than once."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.helpers.clock import FakeClock
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

RETENTION = timedelta(seconds=180)


def make_job(job_id: str = "job-1", items: int = 4, body: bytes = b"b") -> Job:
    """Return a job whose items are in groups of two."""
    made = tuple(
        Item(f"{job_id}-i{number}", "/p/x", (), body, 10, f"g{number // 2}")
        for number in range(items)
    )
    return Job(job_id, "host.example", "/p/1", made, 0.0, "model", 1, 1, 2)


def _book() -> JobBook:
    return JobBook(FakeClock(), RETENTION)


def _listed(book: JobBook, job_id: str = "job-1") -> list[tuple[int, str]]:
    return [(index, result.text) for index, result in book.jobs[job_id].results]


def test_a_job_appended_by_two_nodes_is_stored_once() -> None:
    """The parts of two writers are interleaved; the copy that is complete first wins."""
    first, second = (encode_job(make_job(body=b"x" * 10), writer) for writer in ("a", "b"))
    book = _book()
    for record in [*second[:-1], *first, *second[-1:]]:
        book.apply(record)
    assert list(book.jobs) == ["job-1"]
    book.apply(ResultRecord("job-1", 0, ItemResult(ItemState.COMPLETED, "t")))
    for record in second:
        book.apply(record)
    assert _listed(book) == [(0, "t")]


def test_a_large_job_is_restored_from_several_parts() -> None:
    """A job of several megabytes is unchanged after its parts were encoded and decoded."""
    bodies = [bytes([number]) * 7 + number.to_bytes(4) * 60_000 for number in range(4)]
    items = tuple(Item(f"i{n}", "/p/x", (("A", "b"),), body) for n, body in enumerate(bodies))
    job = Job("big", "h", "/p/1", items, 1.5)
    parts = [JobPart("big", "w", n, 3, piece) for n, piece in enumerate(_split_job(job))]
    book = _book()
    for data in encode_records(parts):
        record = decode_record(data)
        assert record is not None
        book.apply(record)
    assert book.jobs["big"].job == job


def _split_job(job: Job) -> list[bytes]:
    (part,) = encode_job(job, "w")
    third = len(part.data) // 3 + 1
    return [part.data[at : at + third] for at in range(0, len(part.data), third)]


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from(["a", "b", "c"])), min_size=1, max_size=30
    ),
    st.integers(0, 30),
)
def test_the_first_result_of_an_item_keeps_its_position(
    results: list[tuple[int, str]], check_after: int
) -> None:
    """Results of several nodes may be appended in any order.

    No item is listed twice, no position changes when more records follow, and a book that starts
    later lists the same results.
    """
    parts = encode_job(make_job(items=4), "w")
    records = [
        ResultRecord("job-1", index, ItemResult(ItemState.COMPLETED, text))
        for index, text in results
    ]
    book, late_book = _book(), _book()
    for record in parts:
        book.apply(record)
    seen: list[tuple[int, str]] = []
    for number, record in enumerate(records):
        book.apply(record)
        assert _listed(book)[: len(seen)] == seen
        seen = _listed(book)
        if number == check_after:
            assert len({index for index, _ in seen}) == len(seen)
    for record in [*parts, *records]:
        late_book.apply(record)
    assert _listed(late_book) == _listed(book)


def test_an_ended_job_keeps_its_listed_results() -> None:
    """An ended job has no work left, but its listed results stay readable."""
    book = _book()
    for record in encode_job(make_job(), "w"):
        book.apply(record)
    book.apply(ResultRecord("job-1", 2, ItemResult(ItemState.COMPLETED, "t")))
    book.apply(JobEnded("job-1"))
    assert not book.jobs["job-1"].open
    assert _listed(book) == [(2, "t")]


@given(st.binary(max_size=80))
def test_arbitrary_bytes_do_not_raise_when_decoded(data: bytes) -> None:
    """Bytes that are not a valid record decode to None instead of raising."""
    record = decode_record(data)
    assert record is None or record.job is not None


def test_an_invalid_part_does_not_block_the_same_job() -> None:
    """An invalid part is ignored, and a valid copy of the same job is accepted afterwards."""
    book = _book()
    book.apply(JobPart("job-1", "bad", 0, 1, b"nonsense"))
    for record in encode_job(make_job(), "good"):
        book.apply(record)
    assert "job-1" in book.jobs


@pytest.mark.parametrize("job_state", ["ended", "complete", "open"])
def test_a_job_is_removed_after_its_retention_unless_it_is_open(job_state: str) -> None:
    """A job uses no memory after its retention time, unless it is still open.

    An open job is still answered, so it must not be removed.
    """
    clock = FakeClock()
    book = JobBook(clock, RETENTION)
    job = make_job()
    for record in encode_job(job, "w"):
        book.apply(record)
    if job_state == "ended":
        book.apply(JobEnded(job.id))
    for index in range(len(job.items) if job_state == "complete" else 1):
        book.apply(ResultRecord(job.id, index, ItemResult(ItemState.COMPLETED, "t")))
    clock.advance(RETENTION - timedelta(seconds=1))
    book.forget_old()
    assert list(book.jobs) == [job.id]
    clock.advance(timedelta(seconds=2))
    book.forget_old()
    assert list(book.jobs) == ([job.id] if job_state == "open" else [])
    assert (book.completed(job.items[0]) is not None) is (job_state == "open")

"""The fold of job records: all nodes list alike, whatever was appended twice."""

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

KEEP = timedelta(seconds=180)


def make_job(job_id: str = "job-1", items: int = 4, body: bytes = b"b") -> Job:
    """Return a job of groups of two."""
    made = tuple(
        Item(f"{job_id}-i{number}", "/p/x", (), body, 10, f"g{number // 2}")
        for number in range(items)
    )
    return Job(job_id, "host.example", "/p/1", made, 0.0, "model", 1, 1, 2)


def _book() -> JobBook:
    return JobBook(FakeClock(), KEEP)


def _listed(book: JobBook, job_id: str = "job-1") -> list[tuple[int, str]]:
    return [(index, result.text) for index, result in book.jobs[job_id].results]


def test_a_job_stands_once_though_two_nodes_appended_it() -> None:
    """The parts of two writers come interleaved; the copy that is whole first stands."""
    first, second = (encode_job(make_job(body=b"x" * 10), writer) for writer in ("a", "b"))
    book = _book()
    for record in [*second[:-1], *first, *second[-1:]]:
        book.apply(record)
    assert list(book.jobs) == ["job-1"]
    book.apply(ResultRecord("job-1", 0, ItemResult(ItemState.COMPLETED, "t")))
    for record in second:
        book.apply(record)
    assert _listed(book) == [(0, "t")]


def test_a_large_job_is_kept_in_parts_that_the_store_takes() -> None:
    """A job of several megabytes comes back whole, also when its parts were decoded from bytes."""
    bodies = [bytes([number]) * 7 + number.to_bytes(4) * 60_000 for number in range(4)]
    items = tuple(Item(f"i{n}", "/p/x", (("A", "b"),), body) for n, body in enumerate(bodies))
    job = Job("big", "h", "/p/1", items, 1.5)
    parts = [JobPart("big", "w", n, 3, piece) for n, piece in enumerate(_cut(job))]
    book = _book()
    for data in encode_records(parts):
        record = decode_record(data)
        assert record is not None
        book.apply(record)
    assert book.jobs["big"].job == job


def _cut(job: Job) -> list[bytes]:
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
    results: list[tuple[int, str]], early: int
) -> None:
    """Whatever order several nodes' results stand in.

    No item is listed twice, no position changes as more records come, and a fold begun later is the
    same.
    """
    parts = encode_job(make_job(items=4), "w")
    records = [
        ResultRecord("job-1", index, ItemResult(ItemState.COMPLETED, text))
        for index, text in results
    ]
    book, late = _book(), _book()
    for record in parts:
        book.apply(record)
    seen: list[tuple[int, str]] = []
    for number, record in enumerate(records):
        book.apply(record)
        assert _listed(book)[: len(seen)] == seen
        seen = _listed(book)
        if number == early:
            assert len({index for index, _ in seen}) == len(seen)
    for record in [*parts, *records]:
        late.apply(record)
    assert _listed(late) == _listed(book)


def test_an_ended_job_keeps_what_is_listed() -> None:
    """Nothing runs any more, and what had been read is there again."""
    book = _book()
    for record in encode_job(make_job(), "w"):
        book.apply(record)
    book.apply(ResultRecord("job-1", 2, ItemResult(ItemState.COMPLETED, "t")))
    book.apply(JobEnded("job-1"))
    assert not book.jobs["job-1"].open
    assert _listed(book) == [(2, "t")]


@given(st.binary(max_size=80))
def test_foreign_bytes_are_no_record(data: bytes) -> None:
    """What is no record of ours is told as such and never raises."""
    record = decode_record(data)
    assert record is None or record.job is not None


def test_parts_that_are_no_job_are_passed_over() -> None:
    """A part with nonsense in it takes nobody's place: the same job may come again."""
    book = _book()
    book.apply(JobPart("job-1", "bad", 0, 1, b"nonsense"))
    for record in encode_job(make_job(), "good"):
        book.apply(record)
    assert "job-1" in book.jobs


@pytest.mark.parametrize("how", ["ended", "complete", "open"])
def test_a_job_is_forgotten_after_its_time_unless_it_is_still_open(how: str) -> None:
    """Past the time for which a job is answered it takes no memory; while it is open it is answered."""
    clock = FakeClock()
    book = JobBook(clock, KEEP)
    job = make_job()
    for record in encode_job(job, "w"):
        book.apply(record)
    if how == "ended":
        book.apply(JobEnded(job.id))
    for index in range(len(job.items) if how == "complete" else 1):
        book.apply(ResultRecord(job.id, index, ItemResult(ItemState.COMPLETED, "t")))
    clock.advance(KEEP - timedelta(seconds=1))
    book.forget_old()
    assert list(book.jobs) == [job.id]
    clock.advance(timedelta(seconds=2))
    book.forget_old()
    assert list(book.jobs) == ([job.id] if how == "open" else [])
    assert (book.completed(job.items[0]) is not None) is (how == "open")

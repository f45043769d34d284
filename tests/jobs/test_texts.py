"""The fold of texts that are not whole yet: what is kept of one is what one node's runs made.

An item's first node is killed in the middle of a text of seven seconds, or all nodes are. The trainer sees a
step that begins again from nothing and is late. With what is kept, the next run goes on behind the last kept
event; put together from two nodes, the text would go on with a run that was not asked to go on from there.
"""

from datetime import timedelta
from random import Random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.helpers.clock import FakeClock
from cranberryline.jobs import ItemResult, ItemState, JobBook, ResultRecord, encode_job
from cranberryline.jobs.codec import decode_record, encode_events, encode_records
from cranberryline.jobs.events import Event, ItemText
from cranberryline.jobs.model import JobEnded, TextPiece
from cranberryline.jobs.pieces import LEAST_EVENTS, PieceCutter
from cranberryline.jobs.texts import KeptTexts

from .test_book import KEEP, make_job


def _grown(text: ItemText, events: int, version: int, mark: str = "a") -> ItemText:
    for _ in range(events):
        number = (text.last_id or 0) + 1
        assert text.add(Event(number, f"{mark}{number}"), version)
    return text


def _cutter(item: int = 0) -> PieceCutter:
    cutter = PieceCutter("job-1", item)
    cutter.wanted = True
    return cutter


def _pieces(spans: list[int], mark: str) -> list[TextPiece]:
    """Return what one node keeps of a text that grows by these numbers of events."""
    text, cutter, pieces = ItemText(), _cutter(), []
    for at, span in enumerate(spans):
        piece = cutter.next(_grown(text, span, at + 1, mark))
        assert piece is not None
        cutter.stands(piece)
        pieces.append(piece)
    return pieces


SPANS = st.lists(st.integers(LEAST_EVENTS, 40), max_size=5)


@given(SPANS, SPANS, st.randoms(use_true_random=False))
def test_no_text_is_put_together_from_two_nodes(
    one: list[int], other: list[int], rng: Random
) -> None:
    """Both run the item; pieces come in any order of the two, and some are appended twice."""
    chains = [_pieces(one, "a"), _pieces(other, "b")]
    left = [list(chain) for chain in chains]
    kept = KeptTexts()
    while any(left):
        chosen = rng.choice([chain for chain in left if chain])
        piece = chosen.pop(0)
        assert kept.take(piece)
        assert kept.take(piece)
    best = kept.best(0)
    if best is None:
        assert not one and not other
        return
    text = best.read()
    assert text is not None
    mark = text.events[0][0]
    assert text.events == [f"{mark}{number + 1}" for number in range(len(text.events))]
    assert len(text.events) == max(sum(one), sum(other)) and text.last_id == len(text.events)
    assert text.versions == list(range(1, len(text.versions) + 1))


def test_a_piece_whose_append_had_no_answer_is_appended_as_it_was() -> None:
    """Cut anew it would be longer under the same number; the first may stand all the same."""
    text, cutter = _grown(ItemText(), 20, 1), _cutter()
    first = cutter.next(text)
    assert first is not None and first.count == 20
    _grown(text, 20, 2)
    assert cutter.next(text) is first
    cutter.stands(first)
    second = cutter.next(text)
    assert second is not None
    assert (second.number, second.count, second.versions, second.last_id) == (1, 20, (2,), 40)


def test_a_short_text_is_not_kept() -> None:
    """It is over sooner than it could be gone on with."""
    assert _cutter().next(_grown(ItemText(), LEAST_EVENTS - 1, 1)) is None
    assert PieceCutter("job-1", 0).next(_grown(ItemText(), 100, 1)) is None


def test_a_text_with_a_hole_is_not_kept_on() -> None:
    """A piece is missing: what comes behind it follows nothing."""
    first, _, third = _pieces([20, 20, 20], "a")
    kept = KeptTexts()
    assert kept.take(first)
    assert not kept.take(third)
    shifted = msgspec.structs.replace(third, number=1)
    assert not kept.take(shifted)
    best = kept.best(0)
    assert best is not None and best.pieces == (first,)


def _book() -> JobBook:
    book = JobBook(FakeClock(), KEEP)
    for part in encode_job(make_job(), "w"):
        book.apply(part)
    return book


def test_what_is_kept_of_a_text_is_found_by_the_item_of_a_later_job() -> None:
    """A group that was not whole comes again under the same ids; its text goes on."""
    book = _book()
    item = book.jobs["job-1"].job.items[0]
    for piece in _pieces([20, 30], "a"):
        book.apply(piece).unwrap()
    book.apply(JobEnded("job-1"))
    found = book.begun(item)
    assert found is not None and found.versions == (1, 2)
    assert book.begun(msgspec.structs.replace(item, body=b"other")) is None
    assert book.begun(msgspec.structs.replace(item, scorer=None)) is not None


def test_nothing_is_kept_of_a_text_whose_result_stands() -> None:
    """Its events are in the result; kept twice they would cost every node the memory."""
    book = _book()
    item = book.jobs["job-1"].job.items[0]
    first, second = _pieces([20, 30], "a")
    book.apply(first)
    book.apply(ResultRecord("job-1", 0, ItemResult(ItemState.COMPLETED, "t", (1,))))
    book.apply(second)
    assert book.begun(item) is None and book.jobs["job-1"].texts.best(0) is None


def test_pieces_go_with_their_job() -> None:
    """Nobody may ask for a job of long ago, so nobody goes on with its texts."""
    clock = FakeClock()
    book = JobBook(clock, timedelta(seconds=10))
    for part in encode_job(make_job(), "w"):
        book.apply(part)
    item = book.jobs["job-1"].job.items[0]
    book.apply(_pieces([20], "a")[0])
    book.apply(JobEnded("job-1"))
    clock.advance(timedelta(seconds=11))
    book.forget_old()
    assert book.begun(item) is None and not book._begun


def test_changed_bytes_and_pieces_of_no_item_are_told() -> None:
    """What another writer spoiled is passed over by every node alike, and counted."""
    book = _book()
    (piece,) = _pieces([20], "a")
    for change in ({"data": b"pxx"}, {"index": 99}, {"index": -1}, {"number": 3}, {"count": 0}):
        assert book.apply(msgspec.structs.replace(piece, **change)).is_err()
    data, crc = encode_events(["only one"])
    assert book.apply(msgspec.structs.replace(piece, data=data, crc=crc)).is_ok()
    best = book.jobs["job-1"].texts.best(0)
    assert best is not None and best.read() is None


def test_a_piece_comes_back_from_its_bytes() -> None:
    """It is packed once, and not again with its record."""
    (piece,) = _pieces([30], "x" * 100)
    (record,) = encode_records([piece])
    assert decode_record(record) == piece
    assert len(record) < 30 * 110


def test_a_text_taken_up_is_kept_on_from_its_beginning() -> None:
    """Its writer is another one, so its first piece holds all of it."""
    kept = KeptTexts()
    for piece in _pieces([20, 20], "a"):
        kept.take(piece)
    best = kept.best(0)
    assert best is not None
    text = best.read()
    assert text is not None
    piece = _cutter().next(_grown(text, 15, 7))
    assert piece is not None
    assert (piece.count, piece.last_id, piece.versions) == (55, 55, (1, 2, 7))
    assert kept.take(piece)

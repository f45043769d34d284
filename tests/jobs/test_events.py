"""Tests parsing of an item's event stream that is split at arbitrary positions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.jobs.events import Event, EventReader, ItemText

FIELD = "weight-versions"
STREAM = (
    b"id: 1\ndata: a\n\n"
    b"weight-versions: 7\nid: 2\ndata: b\ndata: c\n\n"
    b"id: 3\r\ndata:d\r\n\r\n"
)


def _read(chunks: list[bytes]) -> list[tuple[int, str, int | None]]:
    reader = EventReader(FIELD)
    return [(e.id, e.data, e.version) for chunk in chunks for e in reader.feed(chunk)]


@given(st.lists(st.integers(0, len(STREAM) - 30), max_size=6))
def test_parsed_events_do_not_depend_on_chunk_boundaries(split_positions: list[int]) -> None:
    """An event that is split over several chunks must be parsed like an unsplit one."""
    boundaries = sorted({0, len(STREAM), *split_positions})
    chunks = [STREAM[a:b] for a, b in zip(boundaries, boundaries[1:], strict=False)]
    assert _read(chunks) == [(1, "a", None), (2, "b\nc", 7), (3, "d", None)]


def test_incomplete_event_is_not_returned() -> None:
    """The reader must report that its buffer contains an incomplete event."""
    reader = EventReader(FIELD)
    assert [event.id for event in reader.feed(STREAM[:20])] == [1]
    assert not reader.at_event_boundary


@pytest.mark.parametrize("malformed", [b"data: x\n\n", b"id: x\n\n", b"id: 1\ndata: \xff\n\n"])
def test_malformed_event_raises(malformed: bytes) -> None:
    """A malformed event must raise, so that the request is aborted and the event is not kept."""
    with pytest.raises(ValueError):
        EventReader(FIELD).feed(malformed)


def test_text_accepts_each_event_once_and_in_order() -> None:
    """Gaps and repeated events must be rejected; only versions of accepted events are listed."""
    text = ItemText()
    assert text.add(Event(1, "a"), 6)
    assert text.add(Event(2, "b"), 7)
    assert not text.add(Event(2, "b"), 7)
    assert not text.add(Event(4, "d"), 7)
    assert (text.text, text.versions, text.last_id) == ("a\nb", [6, 7], 2)
    text.clear()
    assert (text.text, text.versions, text.last_id) == ("", [], None)

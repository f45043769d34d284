"""Events of an item's stream, cut anywhere."""

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


def _read(parts: list[bytes]) -> list[tuple[int, str, int | None]]:
    reader = EventReader(FIELD)
    return [(e.id, e.data, e.version) for part in parts for e in reader.feed(part)]


@given(st.lists(st.integers(0, len(STREAM) - 30), max_size=6))
def test_events_do_not_depend_on_where_the_bytes_are_cut(cuts: list[int]) -> None:
    """However the stream comes in, the same events come out."""
    edges = sorted({0, len(STREAM), *cuts})
    parts = [STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert _read(parts) == [(1, "a", None), (2, "b\nc", 7), (3, "d", None)]


def test_an_event_broken_off_in_the_middle_is_not_had() -> None:
    """The reader says that something is left over."""
    reader = EventReader(FIELD)
    assert [event.id for event in reader.feed(STREAM[:20])] == [1]
    assert not reader.clean


@pytest.mark.parametrize("bad", [b"data: x\n\n", b"id: x\n\n", b"id: 1\ndata: \xff\n\n"])
def test_what_is_no_event_raises(bad: bytes) -> None:
    """The run is left then; nothing of it is kept."""
    with pytest.raises(ValueError):
        EventReader(FIELD).feed(bad)


def test_a_text_takes_each_event_once_and_in_order() -> None:
    """A gap or a repeat is refused, and the versions are those that made an event."""
    text = ItemText()
    assert text.add(Event(1, "a"), 6)
    assert text.add(Event(2, "b"), 7)
    assert not text.add(Event(2, "b"), 7)
    assert not text.add(Event(4, "d"), 7)
    assert (text.text, text.versions, text.last_id) == ("a\nb", [6, 7], 2)
    text.clear()
    assert (text.text, text.versions, text.last_id) == ("", [], None)

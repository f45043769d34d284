"""Messages on the wire."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.transport import BadFrameReason, decode, encode
from cranberryline.transport.model import Chunk, End, Head, Message, NotRun, Submit

_IDS = st.integers(min_value=0, max_value=2**53)
_TEXT = st.text(max_size=20)
_HEADERS = st.lists(st.tuples(_TEXT, _TEXT), max_size=3).map(tuple)
_MESSAGES = st.one_of(
    st.builds(Head, _IDS, st.integers(100, 599), _HEADERS),
    st.builds(Chunk, _IDS, _IDS, st.binary(max_size=100)),
    st.builds(End, _IDS, _IDS),
    st.builds(NotRun, _IDS, _TEXT, _IDS),
    st.builds(
        Submit,
        id=_IDS,
        incarnation=_TEXT,
        service=_TEXT,
        method=_TEXT,
        path=_TEXT,
        headers=_HEADERS,
        body=st.binary(max_size=100),
        budget_ms=_IDS,
        priority=st.integers(0, 2),
        idempotent=st.booleans(),
        key=_TEXT,
        tokens=_IDS,
    ),
)


@given(st.lists(_MESSAGES, max_size=5))
def test_a_batch_comes_back_as_it_was(messages: list[Message]) -> None:
    """Every message of a batch survives the wire, in order."""
    assert [decoded.unwrap() for decoded in decode(encode(messages))] == messages


@given(st.lists(st.binary(max_size=60), max_size=6))
def test_any_bytes_give_messages_or_errors(frames: list[bytes]) -> None:
    """Whatever a peer sends, reading it raises nothing."""
    for decoded in decode(frames):
        assert decoded.is_err() or isinstance(decoded.unwrap(), Message)


def test_a_bad_message_does_not_hide_its_neighbours() -> None:
    """One unreadable message costs only itself."""
    good = encode([End(1, 2)])
    frames = [b"End", b"\xc1", *good, b"Nonsense", msgspec.msgpack.encode([])]
    first, second, third = decode(frames)
    assert first.unwrap_err().reason is BadFrameReason.BAD_FIELDS
    assert second.unwrap() == End(1, 2)
    assert third.unwrap_err().reason is BadFrameReason.UNKNOWN_KIND


def test_an_odd_number_of_frames_is_refused_whole() -> None:
    """A batch that lost a frame cannot be told apart from another one."""
    frames = encode([End(1, 2)])[:1]
    assert [d.unwrap_err().reason for d in decode(frames)] == [BadFrameReason.ODD_COUNT]

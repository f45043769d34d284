"""Tests of encoding and decoding cursors."""

import base64
import tracemalloc
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.samples import (
    Cursor,
    CursorReason,
    GroupDeclaration,
    StepDeclaration,
    decode_cursor,
)

sizes = st.lists(st.integers(1, 12), min_size=1, max_size=12)


def declare(sizes: list[int], trainer: str = "t", step: int = 3) -> StepDeclaration:
    """Return a declaration with groups of these sizes."""
    groups = tuple(GroupDeclaration(f"p{at}", size, 8) for at, size in enumerate(sizes))
    return StepDeclaration(trainer, step, "s", groups)


@given(sizes, st.data())
def test_round_trip(sizes: list[int], data: st.DataObject) -> None:
    """Decoding an encoded cursor gives the same set of samples."""
    declaration = declare(sizes)
    positions = data.draw(st.sets(st.integers(0, declaration.size - 1)))
    cursor = Cursor.start(declaration).with_received(sorted(positions))
    decoded = decode_cursor(cursor.encode(), declaration).unwrap()
    assert decoded == cursor
    assert {p for p in range(declaration.size) if decoded.covers(p)} == positions
    assert decoded.complete == (len(positions) == declaration.size)


@given(sizes, st.data())
def test_damaged_cursor_is_refused(sizes: list[int], data: st.DataObject) -> None:
    """A changed or truncated token is rejected, never decoded as another set of samples."""
    declaration = declare(sizes)
    token = Cursor.start(declaration).with_received([0]).encode()
    at = data.draw(st.integers(0, len(token) - 1))
    other = data.draw(st.sampled_from("Aa0-_=+ \n\u00e9"))
    damaged = data.draw(
        st.sampled_from([token[:at] + other + token[at + 1 :], token[:at], token + other])
    )
    result = decode_cursor(damaged, declaration)
    if result.is_ok():
        assert result.unwrap() == decode_cursor(token, declaration).unwrap() or damaged == ""
    else:
        assert result.unwrap_err().reason is CursorReason.MALFORMED


@given(st.text())
def test_any_text_gets_an_answer(text: str) -> None:
    """No string makes the decoder raise an exception."""
    decode_cursor(text, declare([2, 3]))


@pytest.mark.parametrize(
    "other",
    [
        declare([2, 3], trainer="u"),
        declare([2, 3], step=4),
        declare([3, 2]),
        declare([2, 3, 1]),
    ],
)
def test_cursor_of_another_step_is_refused(other: StepDeclaration) -> None:
    """With another declaration, the same bits refer to other samples, which would be skipped."""
    token = Cursor.start(declare([2, 3])).with_received([1]).encode()
    assert decode_cursor(token, other).unwrap_err().reason is CursorReason.OTHER_STEP


def test_unknown_format_version_is_refused() -> None:
    """A cursor of a newer release is rejected because of its format version."""
    payload = b"\x02" + b"x" * 40
    payload += zlib.crc32(payload).to_bytes(4, "big")
    token = base64.urlsafe_b64encode(payload).decode().rstrip("=")
    assert decode_cursor(token, declare([2])).unwrap_err().reason is CursorReason.UNKNOWN_VERSION


def test_oversized_bitmap_is_not_decompressed() -> None:
    """A bitmap that decompresses to far more than its step needs is rejected early.

    50 MB would be decompressed otherwise; the limit is 1 MB of memory.
    """
    declaration = declare([2])
    head = base64.urlsafe_b64decode(Cursor.start(declaration).with_received([0]).encode() + "==")[
        :21
    ]
    payload = head + zlib.compress(b"\x00" * 50_000_000, 9)
    payload += zlib.crc32(payload).to_bytes(4, "big")
    token = base64.urlsafe_b64encode(payload).decode().rstrip("=")
    tracemalloc.start()
    result = decode_cursor(token, declaration)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert result.unwrap_err().reason is CursorReason.MALFORMED
    assert peak < 1_000_000


def test_cursor_of_a_large_step_is_short() -> None:
    """The cursor of a step of 8,192 samples has fewer than 1,500 characters.

    The bitmap is irregular, so it hardly compresses.
    """
    declaration = declare([8] * 1024)
    positions = [p for p in range(declaration.size) if (p * 2654435761) >> 7 & 1]
    assert len(Cursor.start(declaration).with_received(positions).encode()) < 1500

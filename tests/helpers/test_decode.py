"""Bytes of others are read or told to be unreadable; they never raise and never take much memory."""

import tracemalloc
import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from cranberryline.helpers.decode import decode_json, decode_msgpack, inflate
from tests.foreign import deep, foreign


class Row(msgspec.Struct, array_like=True):
    """Some record."""

    name: str
    number: int = 0
    more: list[str] = []


class Named(msgspec.Struct):
    """Some record with names."""

    name: str = ""
    number: float = 0


ROWS = msgspec.msgpack.Decoder(Row)


@given(foreign(msgspec.msgpack.encode(Row("a", 7, ["x"])), b'{"name":"a","number":1e3}'))
def test_whatever_the_bytes_are_reading_them_does_not_raise(data: bytes) -> None:
    """They are a record, or an error with a text."""
    for read in (decode_json(data, Named), decode_msgpack(data, ROWS)):
        assert isinstance(read, Ok) or (read.unwrap_err() and len(read.unwrap_err()) <= 200)


@pytest.mark.parametrize("data", deep(b"\x94\xa1a\x01\x90"))
def test_records_that_nest_deeply_are_unreadable(data: bytes) -> None:
    """The decoder goes down into fields that nobody asked for, and raises no error of its own there."""
    assert isinstance(decode_msgpack(data, ROWS), Err)
    assert isinstance(decode_json(data, Named), Err)


@given(st.binary(max_size=300), st.integers(0, 300))
def test_what_was_compressed_comes_back_up_to_the_bound(data: bytes, cut: int) -> None:
    """Whole it comes back; cut it is an error."""
    packed = zlib.compress(data)
    assert inflate(packed, 300) == Ok(data)
    if cut < len(packed):
        assert isinstance(inflate(packed[:cut], 300), Err)


def test_a_decompression_bomb_is_given_up_at_the_bound() -> None:
    """100 MB of zeros in 97 KB: refused, and no more than some times the bound is ever held."""
    bomb = zlib.compress(bytes(100_000_000))
    tracemalloc.start()
    read = inflate(bomb, 1_000_000)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert read == Err("longer than 1000000 bytes")
    assert peak < 4_000_000

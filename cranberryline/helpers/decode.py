"""Decode what somebody else may have written: whatever the bytes are, nothing raises."""

import zlib
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

__all__ = ["decode_json", "decode_msgpack", "inflate"]

_T = TypeVar("_T")
# Text about a record that cannot be read goes into log lines; it may quote the record.
_MAX_DETAIL = 200
# Besides its own errors, which are ValueErrors, the decoder raises RecursionError on bytes that nest
# deeply, also in a field that nobody asked for.
_UNREADABLE = (ValueError, RecursionError)


def decode_json(data: bytes | msgspec.Raw, kind: type[_T]) -> Result[_T, str]:
    """Read JSON as a type; the error says what is wrong with it."""
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except _UNREADABLE as exc:
        return Err(str(exc)[:_MAX_DETAIL])


def decode_msgpack(data: bytes, decoder: msgspec.msgpack.Decoder[_T]) -> Result[_T, str]:
    """Read msgpack; the error says what is wrong with it."""
    try:
        return Ok(decoder.decode(data))
    except _UNREADABLE as exc:
        return Err(str(exc)[:_MAX_DETAIL])


def inflate(data: bytes, most: int) -> Result[bytes, str]:
    """Decompress to at most `most` bytes.

    256 KiB of zeros packed by zlib grow to 256 MB, more than a VM has: unbounded, one record would
    end every process that reads its partition, again after each start. Twice the bound is held at
    most (measured on 260 MB of zeros).
    """
    unpacking = zlib.decompressobj()
    try:
        plain = unpacking.decompress(data, most)
    except zlib.error as exc:
        return Err(str(exc)[:_MAX_DETAIL])
    if not unpacking.eof:
        longer = bool(unpacking.unconsumed_tail) or len(plain) >= most
        return Err(f"longer than {most} bytes" if longer else "compressed data without an end")
    return Ok(plain)

"""Marks: the offsets from which a starting node reads the partitions of jobs."""

import msgspec
from result import Err, Result

from cranberryline.helpers.decode import decode_msgpack

__all__ = ["PartitionMark", "decode_mark", "encode_mark"]


class PartitionMark(msgspec.Struct, array_like=True, frozen=True):
    """A safe start offset for reading a partition (its low-water mark).

    All records of jobs that have work or are read by their caller are stored at `offset` or later.
    `closed` holds the IDs of all other jobs known when the mark was made. A delayed copy of a
    closed job may be stored after the offset while the record of its end is before it; without
    `closed` it would look like a new job. A mark stays valid forever, because a closed job is never
    reopened.
    """

    offset: int
    closed: tuple[str, ...] = ()


_MARK_DECODER = msgspec.msgpack.Decoder(PartitionMark)


def encode_mark(mark: PartitionMark) -> bytes:
    """Return the encoded mark."""
    return msgspec.msgpack.encode(mark)


def decode_mark(data: bytes) -> Result[PartitionMark, str]:
    """Decode a mark; the error says why it is invalid."""
    decoded = decode_msgpack(data, _MARK_DECODER)
    if decoded.is_ok() and decoded.unwrap().offset < 0:
        return Err("offset of the mark is negative")
    return decoded

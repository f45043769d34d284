"""Jobs and their records as bytes of the store."""

import math
import zlib
from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from cranberryline.helpers.decode import decode_msgpack, inflate

from .const import COMPRESSION_LEVEL, MAX_JOB_BYTES, MAX_RECORD_BYTES, PART_BYTES
from .model import Job, JobPart, JobRecord

__all__ = ["decode_job", "decode_record", "encode_job", "encode_records"]

_ENCODER = msgspec.msgpack.Encoder()
_RECORDS = msgspec.msgpack.Decoder(JobRecord)
_JOBS = msgspec.msgpack.Decoder(Job)
_PACKED = b"z"
_PLAIN = b"p"
_SMALL = 256


def encode_job(job: Job, writer: str) -> list[JobPart]:
    """Return the parts of a job in their order, none for one that is too long to be read again."""
    plain = _ENCODER.encode(job)
    if len(plain) > MAX_JOB_BYTES:
        return []
    data = zlib.compress(plain, COMPRESSION_LEVEL)
    pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    total = len(pieces)
    return [JobPart(job.id, writer, number, total, piece) for number, piece in enumerate(pieces)]


def decode_job(parts: Iterable[bytes]) -> Result[Job, str]:
    """Put a job together again; the error says why the parts are no job."""
    read = inflate(b"".join(parts), MAX_JOB_BYTES).and_then(
        lambda data: decode_msgpack(data, _JOBS)
    )
    if isinstance(read, Err):
        return read
    job = read.unwrap()
    if not math.isfinite(job.submitted):
        return Err("submitted at no time")
    if len({item.id for item in job.items}) != len(job.items):
        return Err("an item's id stands twice")
    return Ok(job)


def encode_records(records: Iterable[JobRecord]) -> list[bytes]:
    """Return records as bytes; a long one is compressed."""
    return [_encode(record) for record in records]


def _encode(record: JobRecord) -> bytes:
    data = _ENCODER.encode(record)
    if isinstance(record, JobPart) or len(data) < _SMALL:
        return _PLAIN + data
    return _PACKED + zlib.compress(data, COMPRESSION_LEVEL)


def decode_record(data: bytes) -> JobRecord | None:
    """Read a record, None if it is not one of ours."""
    if data[:1] == _PLAIN:
        return decode_msgpack(data[1:], _RECORDS).ok()
    if data[:1] != _PACKED:
        return None
    read = inflate(data[1:], MAX_RECORD_BYTES).and_then(lambda it: decode_msgpack(it, _RECORDS))
    return read.ok()

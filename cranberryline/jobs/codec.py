"""Jobs and their records as bytes of the store."""

import zlib
from collections.abc import Iterable

import msgspec

from .const import COMPRESSION_LEVEL, PART_BYTES
from .model import Job, JobPart, JobRecord

__all__ = ["decode_job", "decode_record", "encode_job", "encode_records"]

_ENCODER = msgspec.msgpack.Encoder()
_RECORDS = msgspec.msgpack.Decoder(JobRecord)
_JOBS = msgspec.msgpack.Decoder(Job)
_PACKED = b"z"
_PLAIN = b"p"
_SMALL = 256


def encode_job(job: Job, writer: str) -> list[JobPart]:
    """Return the parts of a job in their order."""
    data = zlib.compress(_ENCODER.encode(job), COMPRESSION_LEVEL)
    pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    total = len(pieces)
    return [JobPart(job.id, writer, number, total, piece) for number, piece in enumerate(pieces)]


def decode_job(parts: Iterable[bytes]) -> Job | None:
    """Put a job together again, None if the parts are no job."""
    try:
        return _JOBS.decode(zlib.decompress(b"".join(parts)))
    except (msgspec.DecodeError, zlib.error):
        return None


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
    try:
        if data[:1] == _PACKED:
            return _RECORDS.decode(zlib.decompress(data[1:]))
        return _RECORDS.decode(data[1:]) if data[:1] == _PLAIN else None
    except (msgspec.DecodeError, zlib.error):
        return None

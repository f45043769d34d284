"""Replace records of the log that cannot be encoded in messages between processes."""

import math
from typing import Any

import attrs
import msgspec

from cranberryline.ports.model import LogRecord

from .const import ATTR_KIND
from .model import Kind

__all__ = ["sanitize_record", "encoded_size"]

MAX_DEPTH = 24
MAX_ID_LENGTH = 200
MAX_RECORD_BYTES = 1024 * 1024
MAX_CHECKPOINT_BYTES = 16 * 1024 * 1024
MIN_INT, MAX_INT = -(2**63), 2**63 - 1

_ENCODER = msgspec.msgpack.Encoder()


def sanitize_record(record: LogRecord) -> LogRecord:
    """Return the record, with empty data or a generated id if it could not be sent to a peer.

    The log accepts any JSON. A record with an integer beyond 64 bits, a lone surrogate, a list in
    place of a mapping or thousands of nested levels could not be encoded, or the receiver would
    reject the whole message, and with it every later record: no change would come into force again.
    Such a record is not a valid configuration record, so every process replaces it in the same way,
    at the same offset.
    """
    data = record.data if _can_be_sent(record.data) else {}
    record_id = record.id if _is_id(record.id) else f"offset-{record.offset}"
    if data is record.data and record_id is record.id:
        return record
    return attrs.evolve(record, id=record_id, data=data)


def encoded_size(record: LogRecord) -> int:
    """Return the approximate size in bytes of a record in a message.

    The record must have been returned by `sanitize_record`.
    """
    return len(_ENCODER.encode(record.data))


def _is_id(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_ID_LENGTH and value.isprintable()


def _can_be_sent(data: Any) -> bool:
    if not isinstance(data, dict) or not _has_only_encodable_values(data):
        return False
    limit = MAX_CHECKPOINT_BYTES if data.get(ATTR_KIND) == Kind.CHECKPOINT else MAX_RECORD_BYTES
    try:
        return len(_ENCODER.encode(data)) <= limit
    except ValueError:  # a lone surrogate
        return False


def _has_only_encodable_values(data: Any) -> bool:
    level = [data]
    for _ in range(MAX_DEPTH):
        if not level:
            return True
        next_level: list[Any] = []
        for value in level:
            if isinstance(value, dict):
                if not all(isinstance(key, str) for key in value):
                    return False
                next_level += value.values()
            elif isinstance(value, list | tuple):
                next_level += value
            elif not _is_scalar(value):
                return False
        level = next_level
    return not level


def _is_scalar(value: Any) -> bool:
    if value is None or isinstance(value, str | bool):
        return True
    if isinstance(value, int):
        return MIN_INT <= value <= MAX_INT
    return isinstance(value, float) and math.isfinite(value)

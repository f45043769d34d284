"""Crashes and trials as gateways tell each other of them through the store."""

import re

import msgspec
from result import Err, Ok, Result

from cranberryline.helpers.decode import decode_msgpack

__all__ = ["CrashRecord", "TrialRecord", "crash_key", "read_key", "read_record", "trial_key"]

_KEY = re.compile(r"([0-9a-f]{32})/([!-~]{0,200})")


class CrashRecord(msgspec.Struct, array_like=True, frozen=True, tag="crash"):
    """An upstream crashed under a request; `at` is wall-clock time in seconds."""

    node: str
    at: float
    request_id: str = ""
    host: str = ""
    path: str = ""
    service: str = ""


class TrialRecord(msgspec.Struct, array_like=True, frozen=True, tag="trial"):
    """A node takes the trial of that number of a held request."""

    node: str
    at: float
    number: int


_RECORDS = msgspec.msgpack.Decoder(CrashRecord | TrialRecord)


def crash_key(request: str, upstream: str) -> str:
    """Return the key of a crash, so that records of two nodes about two upstreams both stand."""
    return f"{request}/{upstream}"


def trial_key(request: str) -> str:
    """Return the key of a request's newest trial."""
    return f"{request}/"


def read_key(key: str) -> tuple[str, str] | None:
    """Return request and upstream of a key, without upstream for a trial's; None if it is neither."""
    found = _KEY.fullmatch(key)
    return None if found is None else (found[1], found[2])


def read_record(upstream: str, value: bytes) -> Result[CrashRecord | TrialRecord, str]:
    """Read a record that stands under a key; the error says why it is none."""
    read = decode_msgpack(value, _RECORDS)
    if isinstance(read, Err):
        return read
    record = read.unwrap()
    if isinstance(record, CrashRecord) is not bool(upstream):
        return Err("a record of the other kind")
    return Ok(record)

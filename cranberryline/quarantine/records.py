"""Store records through which gateways share crashes and trials of quarantined requests."""

import re

import msgspec
from result import Err, Ok, Result

from cranberryline.helpers.decode import decode_msgpack

__all__ = ["CrashRecord", "TrialRecord", "crash_key", "decode_record", "parse_key", "trial_key"]

_KEY = re.compile(r"([0-9a-f]{32})/([!-~]{0,200})")


class CrashRecord(msgspec.Struct, array_like=True, frozen=True, tag="crash"):
    """An upstream crashed under a request; `at` is Unix time in seconds."""

    node: str
    at: float
    request_id: str = ""
    host: str = ""
    path: str = ""
    service: str = ""


class TrialRecord(msgspec.Struct, array_like=True, frozen=True, tag="trial"):
    """A node claimed trial `number` (from 1) of a held request; `at` is Unix time in seconds."""

    node: str
    at: float
    number: int


_RECORD_DECODER = msgspec.msgpack.Decoder(CrashRecord | TrialRecord)


def crash_key(request: str, upstream: str) -> str:
    """Return the key of a crash record.

    It includes the upstream, so that records of crashes at different upstreams do not replace each
    other, even if different nodes write them.
    """
    return f"{request}/{upstream}"


def trial_key(request: str) -> str:
    """Return the key of the record of a request's latest trial."""
    return f"{request}/"


def parse_key(key: str) -> tuple[str, str] | None:
    """Return the request and upstream of a key, or None if the key is invalid.

    The upstream is empty for the key of a trial.
    """
    match = _KEY.fullmatch(key)
    return None if match is None else (match[1], match[2])


def decode_record(upstream: str, value: bytes) -> Result[CrashRecord | TrialRecord, str]:
    """Decode the value of a key with this upstream; the error says why the value is invalid."""
    decoded = decode_msgpack(value, _RECORD_DECODER)
    if isinstance(decoded, Err):
        return decoded
    record = decoded.unwrap()
    if isinstance(record, CrashRecord) is not bool(upstream):
        return Err("record type does not match its key")
    return Ok(record)

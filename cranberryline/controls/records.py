"""Records of controls in the store, and the check of what an operator sends."""

import enum
import json
from typing import Any

import attrs
import msgspec
from result import Err, Ok, Result

from cranberryline.helpers.decode import decode_msgpack

from .const import (
    ATTR_BY,
    ATTR_CAP,
    ATTR_END,
    ATTR_KIND,
    ATTR_NAME,
    ATTR_REASON,
    ATTR_WEIGHT,
    MAX_CAP,
    MAX_LIFETIME,
    MAX_NAME_BYTES,
    MAX_REASON_BYTES,
    MAX_UNIX_TIME,
    MAX_WEIGHT,
    MIN_CAP,
    MIN_LIFETIME,
    MIN_WEIGHT,
)

__all__ = [
    "BadControl",
    "ControlKind",
    "ControlRecord",
    "check_name",
    "control_key",
    "decode_control",
    "encode_control",
    "parse_control",
    "parse_key",
]

_COMMON_FIELDS = (ATTR_REASON, ATTR_BY, ATTR_END)
_SHARE_FIELDS = (ATTR_WEIGHT, ATTR_CAP)
_FIELD_BODY = "body"


class ControlKind(enum.StrEnum):
    """What a control applies to."""

    TRAINER = "trainer"
    WORKSPACE = "workspace"
    UPSTREAM = "upstream"
    VM = "vm"
    DATA_CENTER = "data_center"

    @property
    def is_cordon(self) -> bool:
        """Return whether the control keeps new work away, instead of setting a share."""
        return self not in (ControlKind.TRAINER, ControlKind.WORKSPACE)


class ControlRecord(msgspec.Struct, array_like=True, frozen=True):
    """A control that `by` set at the gateway `node`.

    `at` and `until` are Unix times in seconds on the clock of that gateway; without `until` it holds
    until it is taken back. `weight` and `cap` (slots) are None where they are not set, and always
    None for a cordon.
    """

    node: str
    by: str
    at: float
    until: float | None = None
    reason: str = ""
    weight: float | None = None
    cap: int | None = None


@attrs.frozen
class BadControl:
    """What is wrong with a control: the field, and what is allowed."""

    field: str
    detail: str

    def __str__(self) -> str:
        return f"{self.field}: {self.detail}"


_DECODER = msgspec.msgpack.Decoder(ControlRecord)


def control_key(kind: ControlKind, name: str) -> str:
    """Return the key of a control's record."""
    return f"{kind}/{name}"


def parse_key(key: str) -> Result[tuple[ControlKind, str], BadControl]:
    """Return the kind and the name of a key; the error names which of them is invalid."""
    kind, _, name = key.partition("/")
    return check_name(kind, name)


def check_name(kind: str, name: str) -> Result[tuple[ControlKind, str], BadControl]:
    """Check the kind and the name of a control; the error names the field."""
    if kind not in list(ControlKind):
        return Err(BadControl(ATTR_KIND, f"allowed: one of {', '.join(ControlKind)}"))
    if not name or not _is_text(name, MAX_NAME_BYTES):
        allowed = f"1 to {MAX_NAME_BYTES} bytes of UTF-8 without control characters"
        return Err(BadControl(ATTR_NAME, f"allowed: {allowed}"))
    return Ok((ControlKind(kind), name))


def encode_control(record: ControlRecord) -> bytes:
    """Return the value of a record in the store."""
    return msgspec.msgpack.encode(record)


def decode_control(kind: ControlKind, value: bytes) -> Result[ControlRecord, str]:
    """Decode a record's value; the error says why it is invalid."""
    decoded = decode_msgpack(value, _DECODER)
    if isinstance(decoded, Err):
        return decoded
    record = decoded.unwrap()
    problem = _problem(kind, record)
    return Ok(record) if problem is None else Err(str(problem))


def parse_control(
    kind: ControlKind, body: bytes, node: str, by: str, now: float
) -> Result[ControlRecord, BadControl]:
    """Return the record for the JSON body of an operator; the error names the invalid field.

    `by` is who sends it where the body does not name anybody; `now` is the Unix time in seconds.
    """
    read = _read_fields(kind, body)
    if isinstance(read, Err):
        return read
    fields = read.unwrap()
    until = None
    if fields.get(ATTR_END) is not None:
        if not _is_between(fields[ATTR_END], *_lifetimes()):
            return Err(_bad_lifetime())
        until = now + fields[ATTR_END]
    record = ControlRecord(
        node,
        fields.get(ATTR_BY, by),
        now,
        until,
        fields.get(ATTR_REASON, ""),
        fields.get(ATTR_WEIGHT),
        fields.get(ATTR_CAP),
    )
    problem = _problem(kind, record)
    return Ok(record) if problem is None else Err(problem)


def _read_fields(kind: ControlKind, body: bytes) -> Result[dict[str, Any], BadControl]:
    try:
        fields = json.loads(body, object_pairs_hook=_Pairs)
    except (ValueError, RecursionError):
        return Err(BadControl(_FIELD_BODY, "not JSON"))
    if not isinstance(fields, _Pairs):
        return Err(BadControl(_FIELD_BODY, "allowed: a JSON object"))
    allowed = _COMMON_FIELDS if kind.is_cordon else (*_SHARE_FIELDS, *_COMMON_FIELDS)
    for field in fields.names:
        if field not in allowed:
            known = f"allowed for a {kind}: {', '.join(allowed)}"
            return Err(BadControl(field[:MAX_NAME_BYTES], f"unknown field; {known}"))
        if fields.names.count(field) > 1:
            return Err(BadControl(field, "given twice"))
    return Ok(fields)


class _Pairs(dict[str, Any]):
    """A JSON object that knows the names it was written with, repeated ones included."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.names = [name for name, _ in pairs]


def _problem(kind: ControlKind, record: ControlRecord) -> BadControl | None:
    """Return what is wrong with a record, whoever wrote it."""
    if not _is_text(record.by, MAX_NAME_BYTES):
        return BadControl(ATTR_BY, _allowed_text(MAX_NAME_BYTES))
    if not _is_text(record.reason, MAX_REASON_BYTES):
        return BadControl(ATTR_REASON, _allowed_text(MAX_REASON_BYTES))
    if not _is_between(record.at, 0.0, MAX_UNIX_TIME):
        return BadControl("at", "not a Unix time in seconds")
    if record.until is not None and not _is_lifetime(record.until - record.at):
        return _bad_lifetime()
    return _share_problem(kind, record)


def _share_problem(kind: ControlKind, record: ControlRecord) -> BadControl | None:
    if kind.is_cordon:
        given = record.weight is not None or record.cap is not None
        return BadControl(ATTR_WEIGHT, f"a {kind} has no share") if given else None
    if record.weight is None and record.cap is None:
        return BadControl(ATTR_WEIGHT, "neither a weight nor a cap is given")
    if record.weight is not None and not _is_between(record.weight, MIN_WEIGHT, MAX_WEIGHT):
        return BadControl(ATTR_WEIGHT, f"allowed: a number from {MIN_WEIGHT} to {MAX_WEIGHT:g}")
    if record.cap is None:
        return None
    if not isinstance(record.cap, int) or not _is_between(record.cap, MIN_CAP, MAX_CAP):
        return BadControl(ATTR_CAP, f"allowed: a whole number from {MIN_CAP} to {MAX_CAP}")
    return None


def _lifetimes() -> tuple[float, float]:
    return MIN_LIFETIME.total_seconds(), MAX_LIFETIME.total_seconds()


def _is_lifetime(seconds: float) -> bool:
    """Return whether an end is in range; a sum of Unix times is exact to less than 0.001 s."""
    shortest, longest = _lifetimes()
    return _is_between(seconds, shortest - 0.001, longest + 0.001)


def _bad_lifetime() -> BadControl:
    shortest, longest = _lifetimes()
    return BadControl(ATTR_END, f"allowed: a number of seconds from {shortest:g} to {longest:g}")


def _is_between(value: object, low: float, high: float) -> bool:
    """Return whether a value is a number in a range; NaN is in none."""
    return isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high


def _is_text(value: object, longest: int) -> bool:
    if not isinstance(value, str) or not value.isprintable():
        return False
    return len(value.encode()) <= longest


def _allowed_text(longest: int) -> str:
    return f"allowed: a text of at most {longest} bytes of UTF-8 without control characters"

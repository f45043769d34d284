"""Input of operators: what is accepted, and which field an error names."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.controls import ControlKind, check_name, control_key, parse_control
from cranberryline.controls.records import decode_control, encode_control, parse_key

_NOW = 1_790_000_000.25


def _parse(kind: ControlKind, body: bytes) -> Any:
    return parse_control(kind, body, "n0", "10.0.0.1", _NOW)


@pytest.mark.parametrize(
    ("kind", "body", "field"),
    [
        ("trainer", b"", "body"),
        ("trainer", b"{", "body"),
        ("trainer", b"\xff", "body"),
        ("trainer", b"[" * 100_000, "body"),
        ("trainer", b"[]", "body"),
        ("trainer", b"3", "body"),
        ("trainer", b"{}", "weight"),
        ("trainer", b'{"weight": null}', "weight"),
        ("trainer", b'{"weight": 0.09}', "weight"),
        ("trainer", b'{"weight": 100.1}', "weight"),
        ("trainer", b'{"weight": "2"}', "weight"),
        ("trainer", b'{"weight": true}', "weight"),
        ("trainer", b'{"weight": NaN}', "weight"),
        ("trainer", b'{"weight": Infinity}', "weight"),
        ("trainer", b'{"weight": 1e999}', "weight"),
        ("trainer", b'{"weight": 1' + b"0" * 400 + b"}", "weight"),
        ("trainer", b'{"weight": 2, "weight": 3}', "weight"),
        ("workspace", b'{"cap": 0}', "cap"),
        ("workspace", b'{"cap": 100001}', "cap"),
        ("workspace", b'{"cap": 2.5}', "cap"),
        ("workspace", b'{"cap": true}', "cap"),
        ("workspace", b'{"cap": "many"}', "cap"),
        ("trainer", b'{"wieght": 2}', "wieght"),
        ("upstream", b'{"weight": 2}', "weight"),
        ("vm", b'{"cap": 2}', "cap"),
        ("data_center", b'{"until": 2}', "until"),
        ("vm", b'{"ends_in_seconds": 0.5}', "ends_in_seconds"),
        ("vm", b'{"ends_in_seconds": -5}', "ends_in_seconds"),
        ("vm", b'{"ends_in_seconds": 86401}', "ends_in_seconds"),
        ("vm", b'{"ends_in_seconds": NaN}', "ends_in_seconds"),
        ("vm", b'{"ends_in_seconds": "60"}', "ends_in_seconds"),
        ("vm", b'{"ends_in_seconds": true}', "ends_in_seconds"),
        ("vm", b'{"reason": "a\\u0000b"}', "reason"),
        ("vm", b'{"reason": "\\ud800"}', "reason"),
        ("vm", b'{"reason": 3}', "reason"),
        ("vm", b'{"reason": "' + b"x" * 401 + b'"}', "reason"),
        ("vm", b'{"by": null}', "by"),
        ("vm", b'{"by": "' + b"x" * 161 + b'"}', "by"),
    ],
)
def test_invalid_body_is_refused_with_its_field(kind: str, body: bytes, field: str) -> None:
    """A control that was meant otherwise would be in force at all gateways."""
    assert _parse(ControlKind(kind), body).unwrap_err().field == field


@pytest.mark.parametrize(
    ("kind", "name", "field"),
    [
        ("engine", "a", "kind"),
        ("", "a", "kind"),
        ("TRAINER", "a", "kind"),
        ("vm", "", "name"),
        ("vm", "a\0b", "name"),
        ("vm", "a\x7f", "name"),
        ("vm", "a\u2028b", "name"),
        ("vm", "x" * 161, "name"),
        ("vm", "é" * 81, "name"),
    ],
)
def test_invalid_name_is_refused(kind: str, name: str, field: str) -> None:
    """A key longer than 255 bytes can't be packed, and control bytes could forge lines in logs."""
    assert check_name(kind, name).unwrap_err().field == field


@given(
    st.sampled_from(ControlKind),
    st.text(st.characters(categories=["L", "N", "P", "S"]), min_size=1, max_size=40),
)
def test_key_gives_its_kind_and_name_back(kind: ControlKind, name: str) -> None:
    """Names may contain slashes."""
    assert check_name(kind, name).unwrap() == (kind, name)
    assert parse_key(control_key(kind, name)).unwrap() == (kind, name)


@given(
    st.none() | st.floats(0.1, 100),
    st.integers(1, 100_000),
    st.none() | st.floats(1, 86_400),
    st.floats(0, 4e9),
)
def test_accepted_control_is_read_back_equal(
    weight: float | None, cap: int, seconds: float | None, now: float
) -> None:
    """A record that one gateway accepts and the others ignore would split the fleet."""
    body = {"weight": weight, "cap": cap, "ends_in_seconds": seconds, "reason": "é, 4 %"}
    record = parse_control(
        ControlKind.TRAINER, json.dumps(body).encode(), "n0", "ada", now
    ).unwrap()
    assert (record.weight, record.cap, record.at) == (weight, cap, now)
    assert (record.until is None) == (seconds is None)
    assert decode_control(ControlKind.TRAINER, encode_control(record)).unwrap() == record


def test_cordon_needs_no_field() -> None:
    """The sender is named where the body names nobody."""
    record = _parse(ControlKind.VM, b"{}").unwrap()
    assert (record.by, record.node, record.until) == ("10.0.0.1", "n0", None)

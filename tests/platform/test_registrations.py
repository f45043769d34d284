"""What stands in the store for an upstream: sound entries are read, others name no upstream."""

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from cranberryline.platform.samplers import read_registration
from cranberryline.upstreams.directory import Registration
from cranberryline.upstreams.errors import RegistrationProblem

ENTRY: dict[str, Any] = {
    "service": "engines",
    "address": "10.0.0.1:8080",
    "zone": "levis",
    "version": "3",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "models": [{"name": "m", "version": 7, "adapters": []}],
    "seq": 12,
    "born": 1_764_727_639_000,
}


def _read(**change: Any) -> Any:
    fields = {name: value for name, value in {**ENTRY, **change}.items() if value is not Ellipsis}
    return read_registration("i-1", msgspec.json.encode(fields))


def test_a_sound_entry_is_read() -> None:
    """The id that the upstream goes by, its start, and what it serves."""
    row = _read().unwrap()
    assert (row.id, row.born, row.address) == ("i-1", ENTRY["born"], "10.0.0.1:8080")
    assert (row.slots, row.draining, row.versions) == (4, False, {"m": 7})
    assert _read(state="draining").unwrap().draining
    assert row.key != _read(born=ENTRY["born"] + 1).unwrap().key


def test_an_entry_without_a_start_or_models_is_sound() -> None:
    """A plain service has no models; a start that is not told counts as one."""
    row = _read(born=..., models=...).unwrap()
    assert (row.key, row.versions) == ("i-1", {})


BAD = {
    "no_service": ({"service": ...}, RegistrationProblem.BAD_FIELD),
    "empty_service": ({"service": ""}, RegistrationProblem.BAD_FIELD),
    "service_number": ({"service": 5}, RegistrationProblem.BAD_FIELD),
    "no_state": ({"state": ...}, RegistrationProblem.BAD_FIELD),
    "unknown_state": ({"state": "lost"}, RegistrationProblem.BAD_STATE),
    "no_address": ({"address": ...}, RegistrationProblem.BAD_FIELD),
    "empty_address": ({"address": ""}, RegistrationProblem.BAD_ADDRESS),
    "no_port": ({"address": "10.0.0.1"}, RegistrationProblem.BAD_ADDRESS),
    "empty_port": ({"address": "10.0.0.1:"}, RegistrationProblem.BAD_ADDRESS),
    "port_0": ({"address": "10.0.0.1:0"}, RegistrationProblem.BAD_ADDRESS),
    "port_65536": ({"address": "10.0.0.1:65536"}, RegistrationProblem.BAD_ADDRESS),
    "no_host": ({"address": ":80"}, RegistrationProblem.BAD_ADDRESS),
    "path": ({"address": "10.0.0.1/x:80"}, RegistrationProblem.BAD_ADDRESS),
    "bracket": ({"address": "[::::]:80"}, RegistrationProblem.BAD_ADDRESS),
    "no_slots": ({"slots": ...}, RegistrationProblem.BAD_FIELD),
    "slots_text": ({"slots": "4"}, RegistrationProblem.BAD_FIELD),
    "slots_negative": ({"slots": -1}, RegistrationProblem.BAD_SLOTS),
    "slots_zero": ({"slots": 0}, RegistrationProblem.BAD_SLOTS),
    "slots_absurd": ({"slots": 10**9}, RegistrationProblem.BAD_SLOTS),
    "start_text": ({"born": "1764727639000"}, RegistrationProblem.BAD_FIELD),
    "start_fraction": ({"born": 1.5}, RegistrationProblem.BAD_FIELD),
    "start_null": ({"born": None}, RegistrationProblem.BAD_FIELD),
    "start_true": ({"born": True}, RegistrationProblem.BAD_FIELD),
    "start_negative": ({"born": -1}, RegistrationProblem.BAD_START),
    "start_far": ({"born": 10**17}, RegistrationProblem.BAD_START),
    "zone_number": ({"zone": 1}, RegistrationProblem.BAD_FIELD),
    "models_text": ({"models": "m"}, RegistrationProblem.BAD_FIELD),
    "no_zone": ({"zone": ...}, RegistrationProblem.BAD_FIELD),
    "no_software": ({"version": ...}, RegistrationProblem.BAD_FIELD),
    "no_cold": ({"cold_left_ms": ...}, RegistrationProblem.BAD_FIELD),
    "cold_text": ({"cold_left_ms": "0"}, RegistrationProblem.BAD_FIELD),
    "no_seq": ({"seq": ...}, RegistrationProblem.BAD_FIELD),
    "seq_text": ({"seq": "12"}, RegistrationProblem.BAD_FIELD),
    "seq_negative": ({"seq": -1}, RegistrationProblem.BAD_FIELD),
    "version_negative": ({"models": [{"name": "m", "version": -1}]}, RegistrationProblem.BAD_FIELD),
}


@pytest.mark.parametrize("case", BAD)
def test_an_entry_that_names_no_upstream_is_told_as_such(case: str) -> None:
    """Fields that are missing, of another type or out of range: told with the reason."""
    change, problem = BAD[case]
    assert _read(**change) == Err(problem)


@pytest.mark.parametrize(
    "value",
    [b"x", b"{", b"[]", b"null", b'"text"', b"\xff\xfe", b'{"service":"\xff"}', b"\x00" * 9],
)
def test_bytes_that_cannot_be_read_are_told_as_such(value: bytes) -> None:
    """Neither is an id that no header can carry an upstream's."""
    assert isinstance(read_registration("i-1", value), Err)
    sound = msgspec.json.encode(ENTRY)
    for key in ("", "a\nb", "x" * 300, "é", "i-1@5"):
        assert read_registration(key, sound) == Err(RegistrationProblem.BAD_ID)


def test_what_is_nested_without_end_is_told_as_such() -> None:
    """A field that nobody reads goes a hundred thousand levels deep: no exception reaches the reader."""
    value = b'{"more":' + b"[" * 100_000
    assert read_registration("i-1", value) == Err(RegistrationProblem.UNREADABLE)


_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(["ready", "draining", "lost", "h:1", "h:99999", "[::1]:80", "[", 10**400])
)
_ANY = st.recursive(
    _SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)
_CHANGED = st.dictionaries(st.sampled_from(sorted(ENTRY)), _ANY, max_size=3)


def _check(key: str, value: bytes) -> None:
    read = read_registration(key, value)
    if isinstance(read, Err):
        assert isinstance(read.unwrap_err(), RegistrationProblem)
        return
    row = read.unwrap()
    host, _, port = row.address.rpartition(":")
    assert isinstance(row, Registration) and row.id == key
    assert host and 1 <= int(port) <= 65535
    assert row.service and 1 <= row.slots <= 100_000 and 0 <= row.born < 10**15
    assert all(version >= 0 for version in row.versions.values())


def _json(value: Any) -> bytes:
    return json.dumps(value, allow_nan=True).encode()


@pytest.mark.parametrize("field", ["slots", "seq", "born"])
@pytest.mark.parametrize("digits", [19, 25, 400, 5000])
def test_numbers_of_any_length_are_refused(field: str, digits: int) -> None:
    """Some fit no machine word, some not even what the interpreter reads as a number."""
    text = _json({**ENTRY, field: "@"}).replace(b'"@"', b"9" * digits)
    assert isinstance(read_registration("i-1", text), Err)


@given(st.text(max_size=12), st.binary(max_size=200))
def test_any_bytes_are_read_without_an_exception(key: str, value: bytes) -> None:
    """What is accepted is in range."""
    _check(key, value)


@given(_ANY)
def test_any_json_is_read_without_an_exception(value: Any) -> None:
    """Of any shape, with any numbers."""
    _check("i-1", _json(value))


@given(_CHANGED, st.data())
def test_entries_with_some_fields_changed_or_cut_off_are_read_without_an_exception(
    change: dict[str, Any], data: st.DataObject
) -> None:
    """A sound entry with up to three fields of any type and value, whole or truncated."""
    value = _json({**ENTRY, **change})
    _check("i-1", value)
    _check("i-1", value[: data.draw(st.integers(0, len(value)))])

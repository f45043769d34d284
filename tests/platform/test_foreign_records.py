"""What the operator and others write to the store: odd records are told as such and harm nothing else."""

import base64
import struct
from datetime import timedelta
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from cranberryline.gateway.app import GatewayProcess
from cranberryline.helpers.http_server import InputLimits
from cranberryline.platform import store as store_module
from cranberryline.platform.adapter import UsersPlatform
from cranberryline.platform.ports import NamedVersion
from cranberryline.platform.store import HttpStore
from cranberryline.ports.store import KeyedRecord, LogRead, StoreProblem
from cranberryline.routes import RouteTable
from cranberryline.settings import GatewaySettings
from tests.foreign import HUGE, deep, foreign, values
from tests.virtual_time import LoopClock, run_virtual

from .conftest import config

PLATFORM = UsersPlatform("127.0.0.1:9")
CONFIG = msgspec.json.encode(config(5))
VERSION = msgspec.json.encode({"model": "m", "version": 4})
DROPS = "cranberryline_drops_total"


def _read(key: str, value: bytes) -> Any:
    return PLATFORM.read_operator(KeyedRecord(key, value))


def _with(path: tuple[str | int, ...], value: Any) -> bytes:
    """Return a configuration with one value in place of another."""
    raw: Any = config(5, routes=[{**config()["routes"][0], "path_prefix": "/split/"}])
    raw["limits"] = {"idle_timeout_ms": 2500, "body_bytes": 100}
    raw["routes"][-1]["split"] = [{"service": "a", "weight": 1}, {"service": "b", "weight": 1}]
    inner = raw
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return msgspec.json.encode(raw)


@given(foreign(CONFIG, VERSION), st.sampled_from(["config", "version/m", "version/", "x"]))
def test_no_bytes_of_the_operator_raise(value: bytes, key: str) -> None:
    """They say something, nothing, or that they cannot be read."""
    read = _read(key, value)
    assert isinstance(read, Ok | Err)
    if isinstance(read, Ok) and isinstance(read.unwrap(), RouteTable):
        table = read.unwrap()
        assert 0 <= table.version <= 1 << 53


@pytest.mark.parametrize("value", deep(b'{"version":1,"x":'))
@pytest.mark.parametrize("key", ["config", "version/m"])
def test_records_that_nest_deeply_are_unreadable(key: str, value: bytes) -> None:
    """Also where nobody asks for the field."""
    assert isinstance(_read(key, value), Err)


PLACES: list[tuple[str | int, ...]] = [
    ("version",),
    ("routes",),
    ("services",),
    ("routes", 0, "timeout_ms"),
    ("routes", 0, "goal_ms"),
    ("routes", 0, "priority"),
    ("routes", 0, "max_attempts"),
    ("routes", 0, "kind"),
    ("routes", 2, "max_wait_s"),
    ("routes", -1, "split"),
    ("routes", -1, "split", 0, "weight"),
    ("services", 2, "engine", "slots"),
    ("services", 2, "engine", "models"),
    ("limits", "idle_timeout_ms"),
    ("limits", "body_bytes"),
]


@given(
    st.sampled_from(PLACES),
    values.filter(lambda value: not isinstance(value, bytes))
    | st.sampled_from([*HUGE, 1e300, -1e300]),
)
def test_any_value_in_any_place_is_used_or_refused(
    place: tuple[str | int, ...], value: Any
) -> None:
    """A table that is read can be used: routes are found, and one of their services drawn."""
    try:
        data = _with(place, value)
    except (UnicodeEncodeError, msgspec.MsgspecError, TypeError, OverflowError):
        return
    read = _read("config", data)
    assert isinstance(read, Ok | Err)
    if isinstance(read, Err):
        return
    table = read.unwrap()
    rng = Random(1)
    for route in table.routes:
        assert route.choose_service(rng) is not None
        assert timedelta() <= route.timeout and timedelta() <= route.goal
        assert route.max_attempts >= 0
    for engine in table.services.values():
        assert engine is None or engine.slots >= 0
    assert table.limits.body_bytes >= 0 and table.limits.idle_timeout >= timedelta()


@pytest.mark.parametrize(
    ("place", "value"),
    [
        (("routes", 0, "timeout_ms"), 1e300),
        (("routes", 0, "goal_ms"), -1),
        (("routes", 2, "max_wait_s"), 1e20),
        (("routes", 0, "max_attempts"), -1),
        (("routes", -1, "split", 0, "weight"), -5),
        (("routes", -1, "split"), [{"service": "a", "weight": 0}]),
        (("services", 2, "engine", "slots"), -1),
        (("limits", "idle_timeout_ms"), 1e300),
        (("limits", "body_bytes"), -1),
        (("version",), 1 << 64),
        (("version",), -1),
    ],
)
def test_numbers_that_nobody_can_mean_are_refused(place: tuple[str | int, ...], value: Any) -> None:
    """Spans that overflow, negative counts, shares of nobody, versions that could never be passed."""
    assert isinstance(_read("config", _with(place, value)), Err)


def test_a_version_under_another_models_key_is_refused() -> None:
    """It would move that model past what its own trainer names."""
    assert _read("version/m", VERSION) == Ok(NamedVersion("m", 4))
    assert isinstance(_read("version/n", VERSION), Err)
    for version in (-1, 1 << 64):
        value = msgspec.json.encode({"model": "m", "version": version})
        assert isinstance(_read("version/m", value), Err)


def _gateway() -> GatewayProcess:
    address = "127.0.0.1:9"
    cfg = GatewaySettings(
        vm_id="front-1",
        data_center="levis",
        store=address,
        listen=address,
        ready_listen=address,
        peer=address,
        partitions=2,
        stop_timeout=timedelta(seconds=4),
    )
    gateway = GatewayProcess(cfg, UsersPlatform(cfg.store), LoopClock())
    # Made by `start`, which would open ports.
    gateway._limits = InputLimits(1000, 1000, timedelta(seconds=1))
    return gateway


@given(
    st.lists(
        st.tuples(st.sampled_from(["config", "version/m"]), foreign(CONFIG[:-9], VERSION[:-2])),
        max_size=6,
    )
)
def test_what_was_in_force_stays_and_the_next_sound_record_is_taken(
    records: list[tuple[str, bytes]],
) -> None:
    """Odd records stand between two configurations; each that cannot be read is counted."""

    async def scene() -> None:
        gateway = _gateway()
        gateway.operator_records.apply_record(KeyedRecord("config", CONFIG))
        bad = 0
        for key, value in records:
            gateway.operator_records.apply_record(KeyedRecord(key, value))
            bad += isinstance(_read(key, value), Err)
        assert gateway.routes.table is not None and gateway.routes.table.version == 5
        counted = gateway.metrics.value(DROPS, reason="operator_record_unreadable")
        assert counted == bad
        gateway.operator_records.apply_record(KeyedRecord("config", msgspec.json.encode(config(6))))
        gateway.operator_records.apply_record(KeyedRecord("version/m", VERSION))
        assert (
            gateway.routes.table.version == 6
            and gateway.version_scheduler.requested_versions == {"m": 4}
        )

    run_virtual(scene())


class Told(HttpStore):
    """A store whose answers are told beforehand."""

    def __init__(self, *answers: bytes) -> None:
        super().__init__("127.0.0.1:9")
        self.answers = list(answers)

    async def _async_call(self, *_args: Any) -> Any:
        return Ok((200, self.answers.pop(0)))


def _row(key: Any, value: Any = "MQ==", offset: Any = 1) -> dict[str, Any]:
    return {"key": key, "value": value, "offset": offset}


def _newest(*answers: Any) -> Any:
    told = [
        answer if isinstance(answer, bytes) else msgspec.json.encode(answer) for answer in answers
    ]
    return run_virtual(Told(*told).async_newest("keyed.x", timedelta(seconds=1)))


def test_rows_that_cannot_be_read_leave_the_others_of_the_list() -> None:
    """Rows of other types, without a key, with a value that is none: they are counted.

    With the whole list refused, no node that starts would ever hear of any upstream.
    """
    odd = [_row(1), _row("b", "%%"), _row("c", "MQ==", "x"), {"value": "MQ=="}, 7, None, "x", [1]]
    read = _newest({"items": [_row("a"), *odd, _row("z")], "end": 9, "has_more": False})
    snapshot = read.unwrap()
    assert snapshot.records == (KeyedRecord("a", b"1", 1), KeyedRecord("z", b"1", 1))
    assert (snapshot.end, snapshot.unreadable) == (9, len(odd))


def test_a_row_with_bytes_that_are_no_text_leaves_the_others() -> None:
    """Keys are bytes; told in JSON they may be no UTF-8."""
    bad = b'{"items":[{"key":"\xff","offset":1},{"key":"b","value":"MQ==","offset":2}],"end":3}'
    snapshot = _newest(bad).unwrap()
    assert snapshot.records == (KeyedRecord("b", b"1", 2),) and snapshot.unreadable == 1


def test_pages_that_lead_no_further_are_an_error() -> None:
    """The list says that there is more behind its last key, which it tells again and again."""
    page = {"items": [_row("a")], "end": 9, "has_more": True}
    assert _newest(page, page).unwrap_err().problem is StoreProblem.UNKNOWN
    nothing = {"items": [_row(1)], "end": 9, "has_more": True}
    assert _newest(nothing).unwrap_err().problem is StoreProblem.UNKNOWN


@given(foreign(msgspec.json.encode({"items": [_row("a")], "end": 9})))
def test_no_list_raises(answer: bytes) -> None:
    """Cut, changed, nested, of other types: rows, or an error."""
    assert isinstance(_newest(answer), Ok | Err)


@given(st.lists(st.binary(max_size=20), max_size=5), st.data())
def test_records_come_back_from_their_framing_and_a_cut_answer_brings_no_half(
    records: list[bytes], data: st.DataObject
) -> None:
    """Cut at any byte, what is told are whole records from the start, or an error."""
    framed = b"".join(struct.pack(">I", len(record)) + record for record in records)
    whole = struct.pack(">QQ", 100, 0) + framed
    assert store_module._parse_read(7, whole) == Ok(LogRead(7, 100, tuple(records)))
    cut = whole[: data.draw(st.integers(0, len(whole)))]
    read = store_module._parse_read(7, cut)
    if isinstance(read, Ok):
        told = read.unwrap().records
        assert told == tuple(records[: len(told)])


@given(st.binary(max_size=60), st.sampled_from([b"", b"\xff\xff\xff\xff", struct.pack(">I", 2)]))
def test_no_framing_raises(data: bytes, ahead: bytes) -> None:
    """Lengths beyond the answer, and answers of any bytes."""
    assert isinstance(store_module._parse_read(0, bytes(16) + ahead + data), Ok | Err)
    assert isinstance(store_module._parse_read(0, data), Ok | Err)


@given(st.binary(max_size=300))
def test_any_packed_record_is_a_key_or_none(data: bytes) -> None:
    """A key's length beyond the record, keys that are no text, no bytes at all."""
    read = PLATFORM.log.unpack_keyed(data)
    assert read is None or data == PLATFORM.log.pack_keyed(read.key, read.value)
    assert PLATFORM.log.unpack_keyed(base64.b64decode("Av//")) is None

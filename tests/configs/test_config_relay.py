"""Tests of the relay's responses, and of invalid messages."""

import functools
from datetime import UTC, datetime
from typing import Any

import attrs
import pytest

from cranberryline.configs import ConfigFold
from cranberryline.configs.relay import ConfigRelay
from cranberryline.ports.model import LogRecord
from cranberryline.transport.codec import decode, encode
from cranberryline.transport.model import ConfigDelta, ConfigRequest
from tests.configs.config_fakes import weights_data

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def relay_with(records: int, kept: int = 100) -> ConfigRelay:
    """Return a relay that has folded the given number of amendments of one record."""
    relay = ConfigRelay(ConfigFold(), kept)
    for offset in range(1, records + 1):
        data = weights_data(offset, offset - 1)
        relay.fold_record(LogRecord(offset, NOW, f"id-{offset}", data))
    return relay


def test_empty_delta_after_a_gap_is_answered_by_a_request() -> None:
    """An empty delta that announces a higher offset is answered by a request."""
    relay = relay_with(2)
    result = relay.on_delta("e", ConfigDelta(6, 6, ()))
    assert result.reply == ConfigRequest(3)
    assert not result.complete


def test_delta_after_a_gap_is_not_folded() -> None:
    """Records 5 and 6 arrive while 3 and 4 are missing: none is folded, 3 is requested."""
    relay = relay_with(2)
    result = relay.on_delta("e", relay_with(6).delta_since(5))
    assert (result.applied, result.reply, relay.fold.offset) == (0, ConfigRequest(3), 2)


def test_older_snapshot_changes_nothing() -> None:
    """A delayed snapshot arrives at a process that has folded newer records since."""
    delayed = relay_with(3, kept=1).delta_since(1)
    assert delayed.base is not None
    relay = relay_with(5)
    before = relay.fold.snapshot()
    assert relay.on_delta("e", delayed).applied == 0
    assert relay.fold.snapshot() == before
    assert relay.delta_since(4) == relay_with(5).delta_since(4)


def test_snapshot_replaces_records_that_are_no_longer_kept() -> None:
    """A new process requests record 1 from a process that keeps only the last two records."""
    relay = relay_with(5, kept=2)
    new_relay = ConfigRelay(ConfigFold())
    new_relay.on_delta("e", relay.delta_since(1))
    assert new_relay.fold.snapshot() == relay.fold.snapshot()


def test_records_are_requested_from_peer_that_is_ahead() -> None:
    """A request for an offset that this process lacks is answered by a request, not a delta."""
    assert relay_with(2).on_request("e", ConfigRequest(9)) == ConfigRequest(3)


def test_empty_delta_ends_the_exchange() -> None:
    """A delta is acknowledged, the response is an empty delta, and that is not answered."""
    relay, other = relay_with(3), relay_with(1)
    result = other.on_delta("a", relay.delta_since(2))
    answer = relay.on_request("b", result.reply)
    assert answer == ConfigDelta(4, 4, ())
    assert other.on_delta("a", answer).reply is None
    assert not relay.is_behind("b")


@pytest.mark.parametrize("start", [0, -1, True, "1", None])
def test_invalid_request_is_refused(start: Any) -> None:
    """An invalid request is counted and not answered."""
    relay = relay_with(2)
    assert relay.on_request("e", ConfigRequest(start)) is None
    assert sum(relay.refusals.values()) == 1
    assert relay.acknowledged("e") is None


@pytest.mark.parametrize(
    "change",
    [
        {"start": 0},
        {"start": "3"},
        {"next": 4},
        {"next": 99},
        {"records": None},
        {"records": ((3, "no time", "id", {}), (4, NOW.isoformat(), "id", {}))},
        {"records": ((4, NOW.isoformat(), "id", {}), (3, NOW.isoformat(), "id", {}))},
        {"records": ((3, NOW.isoformat(), 5, {}), (4, NOW.isoformat(), "id", {}))},
        {"records": ((3, NOW.isoformat(), "id"), (4, NOW.isoformat(), "id", {}))},
        {"base": {"as_of": 2}},
        {"base": "x"},
    ],
)
def test_invalid_delta_is_refused_completely(change: dict[str, Any]) -> None:
    """A delta with one invalid part is refused; none of its records is folded."""
    relay = relay_with(2)
    delta = attrs.evolve(relay_with(4).delta_since(3), **change)
    result = relay.on_delta("e", delta)
    assert result.refused
    assert relay.fold.offset == 2
    assert sum(relay.refusals.values()) == 1


def test_snapshot_that_does_not_precede_the_delta_is_refused() -> None:
    """A snapshot that does not end just before the start of the delta could hide a gap."""
    base = relay_with(2).fold.snapshot()
    delta = attrs.evolve(relay_with(6).delta_since(5), base=base)
    assert ConfigRelay(ConfigFold()).on_delta("e", delta).refused


INVALID_RECORDS = [
    [],
    "x",
    None,
    7,
    {"x": 10**30},
    {"kind": "weights", "name": "s", "schema": 9, "spec": {"x": -(10**30)}},
    {"x": "\ud800"},
    {1: 2},
    {"x": "y" * 2_000_000},
    functools.reduce(lambda inner, _: {"x": inner}, range(100_000), {}),
]


@pytest.mark.parametrize("data", INVALID_RECORDS, ids=range(len(INVALID_RECORDS)))
@pytest.mark.parametrize("record_id", ["id", 7, "\ud800"])
def test_record_that_cannot_be_encoded_does_not_block_later_records(
    data: Any, record_id: Any
) -> None:
    """A tool appends a record that messages cannot encode, followed by a valid record.

    Both processes must have the valid record and equal snapshots. Otherwise the frame with the
    invalid record would fail to be encoded, or be refused by each receiver, on every attempt.
    """
    relay, receiver = relay_with(1), relay_with(1)
    relay.fold_record(LogRecord(2, NOW, record_id, data))
    relay.fold_record(LogRecord(3, NOW, "id-3", weights_data(9, 1)))
    for _ in range(3):
        request = ConfigRequest(receiver.fold.offset + 1)
        sent = relay.on_request("r", request)
        for decoded in decode(encode([sent])):
            receiver.on_delta("e", decoded.unwrap())
    assert receiver.fold.offset == 3
    assert receiver.fold.snapshot() == relay.fold.snapshot()
    assert receiver.fold.weights("samplers")[0].version == 9


def test_delta_is_bounded_in_bytes() -> None:
    """Large records are split over several messages, each below the size limit of a connection."""
    relay = relay_with(0)
    for offset in range(1, 41):
        data = {**weights_data(1, 0), "spec": {"x": "y" * 200_000}}
        relay.fold_record(LogRecord(offset, NOW, f"id-{offset}", data))
    receiver = relay_with(0)
    rounds = 0
    while receiver.fold.offset < 40:
        sent = relay.on_request("r", ConfigRequest(receiver.fold.offset + 1))
        assert sum(map(len, encode([sent]))) < 2_000_000
        assert not receiver.on_delta("e", sent).complete
        rounds += 1
    assert rounds >= 4

"""The relay's answers, and nonsense in messages."""

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
    """Return a relay that has folded that many amendments of one record."""
    relay = ConfigRelay(ConfigFold(), kept)
    for offset in range(1, records + 1):
        data = weights_data(offset, offset - 1)
        relay.fold_record(LogRecord(offset, NOW, f"id-{offset}", data))
    return relay


def test_empty_delta_beyond_a_gap_makes_the_receiver_ask() -> None:
    """An announcement of a higher offset carries nothing, and is answered by a request."""
    relay = relay_with(2)
    taken = relay.on_delta("e", ConfigDelta(6, 6, ()))
    assert taken.reply == ConfigRequest(3)
    assert not taken.complete


def test_delta_beyond_a_gap_is_not_folded() -> None:
    """Records 5 and 6 arrive while 3 and 4 are missing: nothing is folded, 3 is asked for."""
    relay = relay_with(2)
    taken = relay.on_delta("e", relay_with(6).delta_since(5))
    assert (taken.applied, taken.reply, relay.fold.offset) == (0, ConfigRequest(3), 2)


def test_older_snapshot_changes_nothing() -> None:
    """A snapshot that was sent long ago arrives late, at a process that has gone on since."""
    late = relay_with(3, kept=1).delta_since(1)
    assert late.base is not None
    relay = relay_with(5)
    before = relay.fold.snapshot()
    assert relay.on_delta("e", late).applied == 0
    assert relay.fold.snapshot() == before
    assert relay.delta_since(4) == relay_with(5).delta_since(4)


def test_snapshot_goes_where_records_are_no_longer_held() -> None:
    """A starter asks for record 1 of a process that keeps only the last two."""
    relay = relay_with(5, kept=2)
    starter = ConfigRelay(ConfigFold())
    starter.on_delta("e", relay.delta_since(1))
    assert starter.fold.snapshot() == relay.fold.snapshot()


def test_peer_that_is_ahead_is_asked() -> None:
    """A request for what this process has not yet: it asks in its turn, and vouches for nothing."""
    assert relay_with(2).on_request("e", ConfigRequest(9)) == ConfigRequest(3)


def test_exchange_ends() -> None:
    """Delta, acknowledgement, empty answer: the empty one is not answered."""
    relay, other = relay_with(3), relay_with(1)
    taken = other.on_delta("a", relay.delta_since(2))
    answer = relay.on_request("b", taken.reply)
    assert answer == ConfigDelta(4, 4, ())
    assert other.on_delta("a", answer).reply is None
    assert not relay.behind("b")


@pytest.mark.parametrize("start", [0, -1, True, "1", None])
def test_nonsense_request_is_refused(start: Any) -> None:
    """A request that cannot be one is counted and not answered."""
    relay = relay_with(2)
    assert relay.on_request("e", ConfigRequest(start)) is None
    assert sum(relay.refusals.values()) == 1
    assert relay.known("e") is None


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
def test_nonsense_delta_is_refused_whole(change: dict[str, Any]) -> None:
    """One bad part refuses the delta; nothing of it is folded."""
    relay = relay_with(2)
    delta = attrs.evolve(relay_with(4).delta_since(3), **change)
    taken = relay.on_delta("e", delta)
    assert taken.refused
    assert relay.fold.offset == 2
    assert sum(relay.refusals.values()) == 1


def test_base_of_another_offset_is_refused() -> None:
    """A snapshot that does not end just before the delta's start would leave or hide a gap."""
    base = relay_with(2).fold.snapshot()
    delta = attrs.evolve(relay_with(6).delta_since(5), base=base)
    assert ConfigRelay(ConfigFold()).on_delta("e", delta).refused


NOT_OURS = [
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


@pytest.mark.parametrize("data", NOT_OURS, ids=range(len(NOT_OURS)))
@pytest.mark.parametrize("record_id", ["id", 7, "\ud800"])
def test_record_that_cannot_travel_does_not_hold_up_those_after_it(
    data: Any, record_id: Any
) -> None:
    """A tool appends something that our messages cannot carry, then a good record follows.

    What is seen: both processes have the good record and hold the same. The frame with the odd
    one would otherwise fail to be written, or be refused whole by each receiver, for ever.
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
    """Large records travel in several messages, none of which a socket would refuse."""
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

"""Messages that no gateway should send, and the answers of a keeper to them."""

import asyncio
import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.slots.const import MAX_GATEWAYS, MAX_ROWS
from cranberryline.slots.messages import (
    ANSWERS,
    EXCHANGES,
    HeldSlot,
    RejectedText,
    SlotExchange,
    WaitingText,
)

from ..virtual_time import run_virtual
from .exchanges import KeeperBench, exchange, held, waiting
from .site import SERVICE, engine

HUGE = 10**18
BAD = {
    "negative number": {"number": -1},
    "negative shard": {"shard": -1},
    "no such shard": {"shard": 1},
    "other shards": {"shards": 2},
    "negative wait": {"wait_ms": -5},
    "other service": {"service": "other" * 99},
    "no node": {"node": ""},
    "long start": {"start": "s" * 1000},
    "negative ticket": {"waiting": (waiting(-1),)},
    "one ticket twice": {"waiting": (waiting(1),), "held": (held(1, "e1"),)},
    "huge rank": {"waiting": (waiting(1, rank=HUGE * 100),)},
    "negative version": {"held": (held(1, "e1", min_version=-1),)},
    "no upstream": {"held": (held(1, ""),)},
    "long trainer": {"held": (held(1, "e1", "t" * 1000),)},
    "long model": {"waiting": (waiting(1, model="m" * 1000),)},
    "long names": {"waiting": (waiting(1, avoid=("e" * 1000,)),)},
    "many names": {"waiting": (waiting(1, avoid=("e",) * 5000),)},
    "long connected": {"connected": ("e" * 1000,)},
    "many rows": {"held": tuple(held(each, "e1") for each in range(MAX_ROWS + 1))},
    "many rejected": {"rejected": (RejectedText("e1", "m", "done"),) * (MAX_ROWS + 1)},
    "unknown end": {"rejected": (RejectedText("e1", "m", "exploded"),)},
    "nan rate": {"rates": (("e1", math.nan),)},
    "infinite rate": {"rates": (("e1", math.inf),)},
    "negative rate": {"rates": (("e1", -1.0),)},
}
for _name, _value in {"nan": math.nan, "inf": math.inf, "negative": -1.0, "huge": 1e300}.items():
    _row = msgspec.structs.replace(waiting(1), events_left=_value)
    BAD[f"{_name} events"] = {"waiting": (_row,)}
    _row = msgspec.structs.replace(held(1, "e1"), group_events_left=_value)
    BAD[f"{_name} group events"] = {"held": (_row,)}
for _name, _value in {"far": HUGE, "past": -HUGE}.items():
    BAD[f"{_name} due"] = {"waiting": (msgspec.structs.replace(waiting(1), due_ms=_value),)}


@pytest.mark.parametrize("fields", BAD.values(), ids=BAD.keys())
def test_a_bad_message_is_rejected(fields: dict[str, object]) -> None:
    """It is answered with a problem, and nothing of it is kept."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1"))
        msg = msgspec.structs.replace(exchange(1), **fields)
        answer = await bench.keeper.async_exchange(msg)
        assert answer.problem and not answer.grants
        assert bench.keeper.describe() == {}

    run_virtual(async_test())


numbers = st.one_of(st.integers(0, 3), st.integers(-(2**63), 2**63))
floats = st.one_of(st.floats(0, 50), st.floats())
names = st.one_of(st.sampled_from(["e1", "e2", "m", ""]), st.text(max_size=5))
some_names = st.lists(names, max_size=3).map(tuple)
texts = {
    "ticket": numbers,
    "trainer": names,
    "due_ms": numbers,
    "events_left": floats,
    "group_events_left": floats,
    "model": names,
    "min_version": st.none() | numbers,
}
waiting_rows = st.builds(WaitingText, rank=numbers, avoid=some_names, connected=some_names, **texts)
held_rows = st.builds(HeldSlot, upstream=names, may_move=st.booleans(), **texts)
ends = st.sampled_from([*RunEnd, "other"])
rejected_rows = st.builds(RejectedText, upstream=names, model=names, end=ends)
exchanges = st.builds(
    SlotExchange,
    node=st.sampled_from(["a", "b"]),
    start=st.sampled_from(["1", "2"]),
    number=numbers,
    service=st.just(SERVICE),
    shard=st.just(0),
    shards=st.just(1),
    wait_ms=numbers,
    waiting=st.lists(waiting_rows, max_size=3).map(tuple),
    held=st.lists(held_rows, max_size=3).map(tuple),
    rejected=st.lists(rejected_rows, max_size=2).map(tuple),
    rates=st.lists(st.tuples(names, floats), max_size=2).map(tuple),
    connected=some_names,
)


@given(st.lists(exchanges, max_size=5))
def test_no_message_raises(messages: list[SlotExchange]) -> None:
    """Whatever a message holds, it is answered, and grants keep within the slots."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1), engine("e2", slots=1))
        for each in messages:
            msg = EXCHANGES.decode(msgspec.msgpack.encode(each))
            answer = await bench.keeper.async_exchange(msg)
            assert len(answer.grants) <= 2
            assert ANSWERS.decode(msgspec.msgpack.encode(answer)) == answer
        bench.keeper.describe()

    run_virtual(async_test())


def test_what_a_keeper_remembers_is_limited() -> None:
    """Gateways by the thousand, engines and services that do not exist: it does not grow."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1"))
        keeper = bench.keeper
        rates = tuple((f"none{each}", 1.0) for each in range(20))
        rejected = tuple(RejectedText(f"none{each}", "m", "failed") for each in range(20))
        asks = [
            bench.async_answer(1, node=f"g{each}", rates=rates, rejected=rejected)
            for each in range(MAX_GATEWAYS + 10)
        ]
        problems = [answer.problem for answer in await asyncio.gather(*asks)]
        assert sum(map(bool, problems)) == 10
        assert keeper.known_speeds(SERVICE) == {}
        (shard,) = keeper._shards.values()
        assert not shard.slots._outages._failed
        await asyncio.sleep(1.3)
        await bench.async_answer(2)
        (shard,) = keeper._shards.values()
        assert len(shard.slots._gateways) == 1
        assert not shard._parked

    run_virtual(async_test())


def test_a_service_without_engines_leaves_nothing() -> None:
    """A keeper does not keep a shard for each name that it is asked about."""

    async def async_test() -> None:
        bench = KeeperBench()
        answer = await bench.async_answer(1, waiting=(waiting(1),))
        assert answer.problem
        assert not bench.keeper._shards

    run_virtual(async_test())

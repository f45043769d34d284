"""What a keeper has learned outlasts a stop of all gateways."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from cranberryline.decisions.lengths import TextLengthEstimator
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.slots.memory import Learned, SlotMemory
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

TOPIC = "keyed.slots"
SERVICE = "engines"
RATES = {"e-1@100": 32.0, "e-2@100": 12.0}


class _Gateway:
    """A gateway with its link to the store; `learned` is what it knows as a keeper."""

    def __init__(self, store: FakeStore, learned: Mapping[str, Learned] | None = None) -> None:
        self.link = StoreLink(store)
        self.learned = dict(learned or {})
        self.restored: dict[str, Learned] = {}
        clock = LoopClock()
        self.memory = SlotMemory(
            self.link,
            TOPIC,
            clock,
            StoreHealth(clock),
            lambda: self.learned,
            self.restored.__setitem__,
        )

    async def async_run(self, seconds: float) -> None:
        task = asyncio.ensure_future(self.memory.async_run())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _put(store: FakeStore, value: Any) -> None:
    packed = value if isinstance(value, bytes) else msgspec.msgpack.encode(value)
    StoreLink(store).put(TOPIC, SERVICE, packed)


def _written(store: FakeStore) -> int:
    return len(store.records[(TOPIC, 0)])


def test_a_start_knows_what_was_learned_before_a_stop_of_all() -> None:
    """Without it the first texts after a stop of all go to engines whose speed nobody knows."""

    async def scenario() -> None:
        store = FakeStore()
        await _Gateway(store, {SERVICE: Learned(RATES, 63.0)}).async_run(6)
        later = _Gateway(store)
        await later.async_run(1)
        assert later.restored == {SERVICE: Learned(RATES, 63.0)}

    run_virtual(scenario())


def test_writes_are_bounded_and_only_for_changes() -> None:
    """A keeper whose rates change all the time writes once in five seconds, an idle one hardly."""

    async def scenario() -> None:
        store = FakeStore()
        gateway = _Gateway(store, {SERVICE: Learned(RATES, 63.0)})
        task = asyncio.ensure_future(gateway.async_run(120))
        await asyncio.sleep(20)
        assert _written(store) == 1
        for step in range(100):
            gateway.learned[SERVICE] = Learned({"e-1@100": 32.0 * 1.2**step})
            await asyncio.sleep(0.5)
        assert _written(store) <= 12
        await task

    run_virtual(scenario())


def test_a_gateway_that_keeps_no_slots_writes_nothing() -> None:
    """Reads at the start are all that it costs there."""

    async def scenario() -> None:
        store = FakeStore()
        await _Gateway(store).async_run(30)
        assert not _written(store)

    run_virtual(scenario())


def test_a_store_that_is_out_at_the_start_is_asked_again() -> None:
    """What is stored is restored once the store answers, and is given up after some seconds."""

    async def scenario() -> None:
        store = FakeStore()
        _put(store, (LoopClock().now().timestamp(), RATES, 63.0))
        gateway = _Gateway(store)
        gateway.link.silent = True
        task = asyncio.ensure_future(gateway.async_run(10))
        await asyncio.sleep(5)
        gateway.link.silent = False
        await task
        assert gateway.restored == {SERVICE: Learned(RATES, 63.0)}

    run_virtual(scenario())


def test_old_records_are_not_restored() -> None:
    """Engines are replaced within minutes, so old speeds would mislead."""

    async def scenario() -> None:
        store = FakeStore()
        _put(store, (LoopClock().now().timestamp() - 601, RATES, 63.0))
        gateway = _Gateway(store)
        await gateway.async_run(1)
        assert not gateway.restored

    run_virtual(scenario())


@pytest.mark.parametrize(
    "value",
    [
        b"\xc1",
        {"written": 1},
        (1e9, {"e": float("nan")}, 0.0),
        (1e9, {"e": -1.0}, 0.0),
        (float("inf"), {"e": 1.0}, 0.0),
        (1e9, {f"e-{number}": 1.0 for number in range(257)}, 0.0),
        (1e9, {"e": "fast"}, 0.0),
    ],
)
def test_bad_records_are_passed_over(value: Any) -> None:
    """A record of another writer neither ends the task nor puts a value in force."""

    async def scenario() -> None:
        store = FakeStore()
        _put(store, value)
        gateway = _Gateway(store, {SERVICE: Learned(RATES)})
        await gateway.async_run(6)
        assert not gateway.restored
        assert _written(store) == 2

    run_virtual(scenario())


def test_an_append_without_an_answer_is_made_again() -> None:
    """A lost answer must not be taken for a written record."""

    async def scenario() -> None:
        store = FakeStore()
        gateway = _Gateway(store, {SERVICE: Learned(RATES)})
        gateway.link.lost, gateway.link.late = 1, timedelta(seconds=100)
        await gateway.async_run(13)
        assert _written(store) == 1

    run_virtual(scenario())


def test_restored_lengths_yield_to_measured_ones() -> None:
    """The ratio of tokens to events from before is used until a text has completed."""
    lengths = TextLengthEstimator()
    lengths.restore(63.0)
    assert lengths.tokens_per_event == 63.0  # noqa: PLR2004
    lengths.record_completed(100, 10)
    lengths.restore(63.0)
    assert lengths.tokens_per_event == 10.0  # noqa: PLR2004

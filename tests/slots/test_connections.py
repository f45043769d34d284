"""Idle connections of gateways, as the keeper of slots uses them up."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

import attrs
import pytest

from cranberryline.slots.const import MAX_NAMES
from cranberryline.slots.rows import connected_names

from ..virtual_time import run_virtual
from .exchanges import KeeperBench, held, waiting
from .site import Gateway, Site, engine, need

STEP = timedelta(seconds=4)
# Engines announce 10 s; a connection is used until a second before.
KEPT = timedelta(seconds=9)
EVENT_SECONDS = 0.03
TURNS_TO_SEND = 5


@attrs.define
class _Connections:
    """Idle connections of one gateway, and how many it opened."""

    opened: int = 0
    _until: dict[str, list[float]] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[str]:
        now = asyncio.get_running_loop().time()
        return (name for name, until in self._until.items() for each in until if now < each)

    def take(self, name: str) -> None:
        """Use the connection to an engine that was used last, or open one."""
        now = asyncio.get_running_loop().time()
        until = self._until.setdefault(name, [])
        if not until or until.pop() <= now:
            until.clear()
            self.opened += 1

    def put(self, name: str) -> None:
        """Keep a connection after its use."""
        self._until[name].append(asyncio.get_running_loop().time() + KEPT.total_seconds())


async def _async_run(
    site: Site, gateway: Gateway, kept: _Connections, arrival: float, events: int
) -> None:
    await asyncio.sleep(arrival)
    grant = await site.async_acquire(gateway, need("t", 10.0, events_left=lambda: events))
    assert grant is not None
    for _ in range(TURNS_TO_SEND):
        await asyncio.sleep(0)
    kept.take(grant.upstream)
    grant.record_sent()
    await asyncio.sleep(events * EVENT_SECONDS)
    kept.put(grant.upstream)
    site.release(grant)


async def _async_step(
    site: Site, kept: dict[str, _Connections], texts: int, rng: random.Random
) -> int:
    """Run a step of texts from all gateways, and return how many connections were opened."""
    opened = sum(each.opened for each in kept.values())
    runs = [
        _async_run(site, site.gateways[node], kept[node], rng.uniform(0, 0.02), rng.randint(13, 90))
        for node in kept
        for _ in range(texts // len(kept))
    ]
    await asyncio.gather(*runs)
    return sum(each.opened for each in kept.values()) - opened


@pytest.mark.parametrize("seed", range(3))
def test_steps_open_no_connection_after_the_second(seed: int) -> None:
    """Texts meet at engines with one idle connection while those to other engines expire."""

    async def async_test() -> None:
        rng = random.Random(seed)
        site = Site(["a", "b"], [engine(f"e{number}", 8) for number in range(6)])
        kept = {node: _Connections() for node in site.gateways}
        for node, gateway in site.gateways.items():
            gateway.connected = kept[node]
        opened = []
        for _ in range(8):
            began = asyncio.get_running_loop().time()
            opened.append(await _async_step(site, kept, 40, rng))
            assert not site.overcommitted()
            await asyncio.sleep(began + STEP.total_seconds() - asyncio.get_running_loop().time())
        assert sum(opened[:2]) <= 40
        assert opened[2:] == [0] * 6
        await site.async_close()

    run_virtual(async_test())


def test_grant_that_is_not_confirmed_takes_a_connection() -> None:
    """The next text of a gateway is placed on the connection that a grant is about to use."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", 8), engine("e2", 4))
        connected = ("e1", "e2")
        granted = await bench.async_ask(1, waiting=(waiting(1),), connected=connected)
        assert granted == {1: "e1"}
        texts = (waiting(1), waiting(2))
        granted = await bench.async_ask(2, waiting=texts, connected=connected)
        assert granted == {1: "e1", 2: "e2"}

    run_virtual(async_test())


def test_confirmed_grant_takes_no_other_connection() -> None:
    """An idle connection is not used because another one to its engine is in use."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", 8), engine("e2", 8))
        rows = (held(1, "e1"), held(2, "e1"))
        texts = (waiting(3), waiting(4))
        granted = await bench.async_ask(1, waiting=texts, held=rows, connected=("e1", "e1"))
        assert granted == {3: "e1", 4: "e1"}

    run_virtual(async_test())


@pytest.mark.parametrize("told", ["exchange", "text"])
def test_gateway_of_the_build_before_names_each_engine_once(told: str) -> None:
    """Connections of gateways that are not yet upgraded are not used."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", 8), engine("e2", 4))
        row = {"connected": ("e2",)} if told == "text" else {}
        fields = {"connected": ("e2",)} if told == "exchange" else {}
        texts = (waiting(1, **row), waiting(2, **row))
        granted = await bench.async_ask(1, waiting=texts, **fields)
        assert Counter(granted.values()) == {"e1": 1, "e2": 1}

    run_virtual(async_test())


def test_names_over_the_limit_leave_no_engine_out() -> None:
    """Many connections to some engines push the only one to another engine out of the message."""
    connections = ["a"] * MAX_NAMES + ["b"] * MAX_NAMES + ["z"]
    counts = Counter(connected_names(Counter(connections)))
    assert counts.total() == MAX_NAMES
    assert counts["z"] == 1
    assert abs(counts["a"] - counts["b"]) <= 1

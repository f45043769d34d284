"""Weights and caps that operators set, through the keeper."""

import asyncio
from collections import Counter
from typing import Any

import msgspec
import pytest

from cranberryline.slots.messages import ANSWERS, EXCHANGES, HeldSlot, WaitingText

from ..virtual_time import run_virtual
from .exchanges import exchange, held, waiting
from .site import Gateway, Site, engine, need

TRAINER, WORKSPACE = "trainer", "workspace"
CAP = 3


class _Load:
    """Texts of several trainers at two gateways that are not the keeper."""

    def __init__(self, field: str = TRAINER, seconds: float = 0.1, **shares: Any) -> None:
        self.site = Site(["a", "b", "c", "d"], [engine(f"e{n}", 4) for n in range(4)], **shares)
        self._field = field
        self._seconds = seconds
        self._running: Counter[str] = Counter()
        self._tasks: list[asyncio.Task[None]] = []
        self.most: Counter[str] = Counter()
        self.done: Counter[str] = Counter()

    def add(self, name: str, texts: int) -> None:
        """Let both gateways run so many texts of a trainer, or of two trainers of a workspace."""
        for gateway in self.site.others()[:2]:
            for number in range(texts):
                run = self._async_run(gateway, name, number)
                self._tasks.append(asyncio.create_task(run))

    async def async_average(self, seconds: float) -> dict[str, float]:
        """Return how many slots each name uses on average from now on."""
        seen: Counter[str] = Counter()
        self.most.clear()
        for _ in range(int(seconds / 0.01)):
            await asyncio.sleep(0.01)
            seen.update(self._running)
            self.most |= self._running
        return {name: count * 0.01 / seconds for name, count in seen.items()}

    def unshared(self) -> int:
        return sum(
            count
            for gateway in self.site.gateways.values()
            for event, count in gateway.events.items()
            if event.startswith("unshared")
        )

    async def async_close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.site.async_close()

    async def _async_run(self, gateway: Gateway, name: str, number: int) -> None:
        text = need(name)
        if self._field == WORKSPACE:
            text = need(f"{name}{number % 2}", workspace=name)
        grant = await gateway.client.async_acquire(text)
        if grant is None:
            return
        self._running[name] += 1
        await asyncio.sleep(self._seconds)
        self._running[name] -= 1
        self.done[name] += 1
        self.site.held[grant] = gateway.node
        self.site.release(grant)


def _caps(field: str, caps: dict[str, int]) -> dict[str, Any]:
    return {"caps" if field == TRAINER else "workspace_caps": lambda: caps}


def _weights(field: str) -> dict[str, Any]:
    name = "weights" if field == TRAINER else "workspace_weights"
    return {name: lambda name: 2.0 if name == "big" else 1.0}


@pytest.mark.parametrize("field", [TRAINER, WORKSPACE])
def test_weight_of_two_gets_twice_the_slots(field: str) -> None:
    """Without it the operator's weight is of no effect, or the others starve."""

    async def async_test() -> None:
        load = _Load(field, **_weights(field))
        for name in ("big", "one", "two"):
            load.add(name, 100)
        await asyncio.sleep(0.3)
        used = await load.async_average(1)
        assert used["big"] == pytest.approx(used["one"] + used["two"], rel=0.2)
        assert used["one"] == pytest.approx(used["two"], rel=0.2)
        await load.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize("field", [TRAINER, WORKSPACE])
def test_cap_holds_over_two_gateways_until_it_is_taken_back(field: str) -> None:
    """Each gateway by itself would use the cap, or exceed it once its texts waited for long."""

    async def async_test() -> None:
        caps = {"big": CAP}
        load = _Load(field, seconds=2, **_caps(field, caps))
        load.add("big", 12)
        load.add("one", 12)
        used = await load.async_average(9)
        assert load.most["big"] == CAP
        assert used["one"] > CAP
        assert load.unshared() == 0
        caps.clear()
        await load.async_average(3)
        assert load.most["big"] > CAP
        await load.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize("field", [TRAINER, WORKSPACE])
def test_change_of_the_keeper_keeps_weights_and_caps(field: str) -> None:
    """The next keeper would count what it has not been told of yet as free for good."""

    async def async_test() -> None:
        caps = {"capped": CAP}
        load = _Load(field, seconds=0.2, **_caps(field, caps), **_weights(field))
        for name in ("big", "one", "capped"):
            load.add(name, 300)
        await asyncio.sleep(1)
        node = load.site.keeper().node
        del load.site.peers[node]
        await load.site.async_kill(node)
        await asyncio.sleep(1)
        used = await load.async_average(1)
        assert load.most["capped"] <= CAP
        assert used["capped"] > 0
        assert used["big"] == pytest.approx(2 * used["one"], rel=0.25)
        await load.async_close()

    run_virtual(async_test())


def test_builds_before_and_after_understand_each_other() -> None:
    """While gateways are replaced one by one, exchanges pass between both builds."""
    msg = exchange(1, waiting=(waiting(1, workspace="w"),), held=(held(2, "e1", workspace="w"),))
    rows = msgspec.msgpack.decode(msgspec.msgpack.encode(msg))
    at = {name: number for number, name in enumerate(msg.__struct_fields__)}
    assert (rows[at["waiting"]][0].pop(), rows[at["held"]][0].pop()) == ("w", "w")
    before = EXCHANGES.decode(msgspec.msgpack.encode(rows))
    assert (before.waiting[0].workspace, before.held[0].workspace) == ("", "")
    assert WaitingText.__struct_fields__[-1] == HeldSlot.__struct_fields__[-1] == "workspace"
    assert ANSWERS.decode(msgspec.msgpack.encode((1, "", (), (), ()))).capped == ()

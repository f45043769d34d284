"""Exchanges as gateways send them, for tests of a keeper."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from cranberryline.slots import EngineSlots, SlotAnswer, SlotExchange, SlotKeeper
from cranberryline.slots.messages import HeldSlot, WaitingText
from tests.virtual_time import LoopClock

from .site import MODEL, SERVICE

SECOND = timedelta(seconds=1)


def waiting(ticket: int, trainer: str = "t", **fields: object) -> WaitingText:
    """Return the row of a text that waits."""
    return WaitingText(ticket, trainer, 10_000, 10.0, 10.0, **({"model": MODEL} | fields))


def held(ticket: int, upstream: str, trainer: str = "t", **fields: object) -> HeldSlot:
    """Return the row of a text that uses a slot."""
    return HeldSlot(ticket, upstream, trainer, 10_000, 10.0, 10.0, **({"model": MODEL} | fields))


def exchange(number: int, node: str = "a", start: str = "1", **fields: object) -> SlotExchange:
    """Return an exchange that is to be answered within 100 ms."""
    values = {"service": SERVICE, "shard": 0, "shards": 1, "wait_ms": 100}
    return SlotExchange(node=node, start=start, number=number, **(values | fields))


class KeeperBench:
    """A keeper in virtual time; `engines` may be replaced."""

    def __init__(self, *engines: EngineSlots) -> None:
        self.engines: Sequence[EngineSlots] = engines
        self.keeper = SlotKeeper(LoopClock(), lambda service: self.engines)

    async def async_ask(self, number: int, **fields: object) -> dict[int, str]:
        """Return the grants in the answer to an exchange by ticket."""
        answer = await self.async_answer(number, **fields)
        assert not answer.problem
        return {row.ticket: row.upstream for row in answer.grants}

    async def async_answer(self, number: int, **fields: object) -> SlotAnswer:
        """Return the answer to an exchange."""
        return await self.keeper.async_exchange(exchange(number, **fields))

    def held(self) -> dict[str, int]:
        """Return by engine how many slots the keeper counts as used or granted."""
        described = self.keeper.describe().get(SERVICE, {"engines": {}})
        return {name: row["held"] for name, row in described["engines"].items()}


async def async_timed(answer: asyncio.Future[object]) -> float:
    """Return how many seconds an answer takes."""
    began = asyncio.get_running_loop().time()
    await answer
    return asyncio.get_running_loop().time() - began

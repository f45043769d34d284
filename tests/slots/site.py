"""Several gateways in one process, over a network that tests disturb."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from typing import Any

import msgspec
from result import Err, Ok, Result

from cranberryline.decisions.rendezvous import top
from cranberryline.decisions.slot_model import RunEnd
from cranberryline.slots import (
    EngineSlots,
    KeeperError,
    KeeperProblem,
    SlotAnswer,
    SlotClient,
    SlotClientParts,
    SlotExchange,
    SlotGrant,
    SlotKeeper,
    SlotNeed,
    SlotTransport,
)
from cranberryline.slots.messages import ANSWERS, EXCHANGES
from tests.virtual_time import LoopClock

SERVICE = "policy"
MODEL = "m"


def engine(name: str, slots: int = 2, version: int = 1) -> EngineSlots:
    """Return an engine that serves one model."""
    return EngineSlots(name, "dc-1", slots, {MODEL: version})


def need(trainer: str = "t", seconds: float = 10.0, **fields: object) -> SlotNeed:
    """Return what a text needs that is due in some seconds."""
    due = LoopClock().monotonic() + timedelta(seconds=seconds)
    values = {"events_left": lambda: 10.0, "group_events_left": lambda: 10.0, "model": MODEL}
    return SlotNeed(SERVICE, trainer, due, **(values | fields))


class Network:
    """Carries exchanges between gateways, and delays, loses, repeats and cuts as it is told."""

    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}
        self.cut: set[frozenset[str]] = set()
        self.frozen: dict[str, asyncio.Event] = {}
        self.delay: Callable[[], float] = lambda: 0.001
        self.lose: Callable[[], bool] = lambda: False
        self.repeat: Callable[[], bool] = lambda: False
        self.passed: Counter[str] = Counter()
        self._late: set[asyncio.Task[None]] = set()

    def freeze(self, node: str) -> None:
        """Let nothing in or out of a gateway until it thaws."""
        self.frozen.setdefault(node, asyncio.Event())

    def thaw(self, node: str) -> None:
        """Let through what was kept back."""
        self.frozen.pop(node).set()

    async def async_carry(self, source: str, target: str, data: bytes) -> bytes | None:
        """Return the encoded answer, None if there is no such gateway."""
        await self._async_pass(source, target)
        if self.repeat():
            self._repeat_late(target, data)
        answer = await self._async_answer(target, data)
        if answer is not None:
            await self._async_pass(target, source)
        return answer

    async def async_close(self) -> None:
        """End what is still under way."""
        for task in self._late:
            task.cancel()
        await asyncio.gather(*self._late, return_exceptions=True)

    async def _async_pass(self, source: str, target: str) -> None:
        """Return once a message is through; never if it is lost."""
        await asyncio.sleep(self.delay())
        for node in (source, target):
            if node in self.frozen:
                await self.frozen[node].wait()
        if frozenset((source, target)) in self.cut or self.lose():
            await asyncio.Event().wait()

    async def _async_answer(self, target: str, data: bytes) -> bytes | None:
        gateway = self.gateways.get(target)
        if gateway is None:
            return None
        self.passed[target] += 1
        answer = await gateway.keeper.async_exchange(EXCHANGES.decode(data))
        return msgspec.msgpack.encode(answer)

    def _repeat_late(self, target: str, data: bytes) -> None:
        async def async_repeat() -> None:
            await asyncio.sleep(10 * self.delay())
            await self._async_answer(target, data)

        task = asyncio.create_task(async_repeat())
        self._late.add(task)
        task.add_done_callback(self._late.discard)


class NetworkTransport(SlotTransport):
    """Carries the exchanges of one gateway; what a gateway sent stays under way after its wait."""

    def __init__(self, network: Network, node: str) -> None:
        self._network = network
        self._node = node

    async def async_exchange(
        self, peer: str, msg: SlotExchange, timeout: timedelta
    ) -> Result[SlotAnswer, KeeperError]:
        data = msgspec.msgpack.encode(msg)
        answer = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                answer = await self._network.async_carry(self._node, peer, data)
        if answer is None:
            return Err(KeeperError(KeeperProblem.SILENT))
        return Ok(ANSWERS.decode(answer))


class Gateway:
    """A gateway with its keeper and its client."""

    def __init__(self, site: "Site", node: str, start: str = "1") -> None:
        self.node = node
        self.events: Counter[str] = Counter()
        self.rates: dict[str, float] = {}
        self.connected: Iterable[str] = ()
        self.keeper = SlotKeeper(LoopClock(), lambda service: site.engines, **site.shares)
        self.client = SlotClient(
            SlotClientParts(
                node=node,
                start=start,
                clock=LoopClock(),
                keeper=self.keeper,
                transport=NetworkTransport(site.network, node),
                peers=lambda: site.peers,
                engines=lambda service: site.engines,
                is_shared=lambda service: service == SERVICE,
                rates=lambda: self.rates,
                connected=lambda service: self.connected,
                count=lambda event: self.events.update([event]),
            )
        )


class Site:
    """Gateways and the engines that they share; `held` are the slots that texts use.

    `shares` are the weights and caps that each keeper is given.
    """

    def __init__(self, nodes: Sequence[str], engines: Sequence[EngineSlots], **shares: Any) -> None:
        self.shares = shares
        self.engines = tuple(engines)
        self.network = Network()
        self.peers: dict[str, str] = {}
        self.held: dict[SlotGrant, str] = {}
        for node in nodes:
            self.start(node)

    @property
    def gateways(self) -> dict[str, Gateway]:
        return self.network.gateways

    @property
    def slots(self) -> int:
        return sum(each.slots for each in self.engines)

    def start(self, node: str, start: str = "1") -> Gateway:
        """Start a gateway, or one anew."""
        gateway = Gateway(self, node, start)
        self.gateways[node] = gateway
        self.peers[node] = node
        return gateway

    def keeper(self) -> Gateway:
        """Return the keeper of the only shard by the ranking of all gateways."""
        return self.gateways[top(f"slots/{SERVICE}/0", self.peers)]

    def others(self) -> list[Gateway]:
        """Return the gateways that are not the keeper."""
        return [each for each in self.gateways.values() if each is not self.keeper()]

    async def async_kill(self, node: str) -> None:
        """End a gateway without a word; the others list it until their view of peers changes."""
        gateway = self.gateways.pop(node)
        self.held = {grant: each for grant, each in self.held.items() if each != node}
        await gateway.client.async_close()

    async def async_acquire(
        self, gateway: Gateway, text: SlotNeed | None = None
    ) -> SlotGrant | None:
        """Acquire a slot for a text, and count it as used."""
        grant = await gateway.client.async_acquire(text or need())
        if grant is not None:
            self.held[grant] = gateway.node
        return grant

    def release(self, grant: SlotGrant, end: RunEnd = RunEnd.DONE) -> None:
        """Release a slot that was counted as used."""
        del self.held[grant]
        grant.release(end)

    def used(self) -> Counter[str]:
        """Return by engine how many slots texts use."""
        return Counter(grant.upstream for grant in self.held)

    def overcommitted(self) -> list[str]:
        """Return the engines that run more texts than they have slots."""
        used = self.used()
        return [each.id for each in self.engines if used[each.id] > each.slots]

    async def async_close(self) -> None:
        for gateway in self.gateways.values():
            await gateway.client.async_close()
        await self.network.async_close()


def random_delays(seed: int, longest: float) -> Callable[[], float]:
    """Return delays that let messages overtake each other."""
    draw = random.Random(seed)
    return lambda: draw.uniform(0.0005, longest)

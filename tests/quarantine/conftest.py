"""Gateways' quarantines over one store in memory, in virtual time."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import KeyedTail, StoreHealth
from cranberryline.quarantine import BrokenRun, Quarantine
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

TOPIC = "keyed.quarantine"
POISON = "0" * 31 + "1"
BESIDE = "0" * 31 + "2"


def broken(upstream: str, request: str = POISON) -> BrokenRun:
    """Return a run that broke off at an upstream."""
    return BrokenRun(request, f"id-{upstream}", "files.example", "/files/x", "files", upstream)


@attrs.define(eq=False, slots=False)
class Node:
    """One gateway's quarantine, and what it would find of upstreams."""

    name: str
    link: StoreLink
    live: set[str]
    clock: LoopClock = attrs.field(factory=LoopClock)
    metrics: Metrics = attrs.field(factory=Metrics)
    leaving: set[str] = attrs.field(factory=set)
    listening: set[str] = attrs.field(factory=set)
    tasks: list[asyncio.Future[Any]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Put the quarantine and its tail together."""
        health = StoreHealth(self.clock, self.metrics)
        self.quarantine = Quarantine(
            self.link,
            TOPIC,
            self.clock,
            health,
            self.metrics,
            self.name,
            lambda: self.live,
            lambda upstream: upstream not in self.leaving,
            self._async_refuses,
            lambda: self.tail.offset if self.tail.loaded.is_set() else None,
        )
        self.tail = KeyedTail(self.link, TOPIC, self.clock, health, self.quarantine.take)

    async def _async_refuses(self, upstream: str) -> bool:
        await asyncio.sleep(0.002)
        return upstream not in self.listening

    def start(self) -> None:
        """Follow the topic."""
        runs = (self.tail.async_run(), self.quarantine.async_run())
        self.tasks += [asyncio.ensure_future(run) for run in runs]

    async def async_stop(self) -> None:
        """End what runs."""
        for task in self.tasks:
            task.cancel()
        await self.quarantine.async_close()

    async def async_crash(self, *upstreams: str, request: str = POISON) -> None:
        """Let upstreams crash under a request of this gateway."""
        for upstream in upstreams:
            await self.quarantine.async_broke(broken(upstream, request))

    def holds(self, request: str = POISON) -> bool:
        """Tell whether this gateway holds a request."""
        return self.quarantine.held(request) is not None


@attrs.define
class Fleet:
    """Gateways before one store."""

    store: FakeStore = attrs.field(factory=FakeStore)
    nodes: list[Node] = attrs.field(factory=list)
    live: set[str] = attrs.field(factory=set)

    async def async_add(self) -> Node:
        """Start a gateway that reads what stands in the store."""
        node = Node(f"n{len(self.nodes)}", StoreLink(self.store), self.live)
        self.live.add(node.name)
        self.nodes.append(node)
        node.start()
        await asyncio.sleep(0.05)
        return node

    def kept(self) -> set[str]:
        """Return the keys that stand in the store."""
        newest = {}
        for record in self.store.records[(TOPIC, 0)]:
            keyed = StoreLink(self.store).unpack_keyed(record)
            assert keyed is not None
            newest[keyed.key] = keyed.value
        return {key for key, value in newest.items() if value}


def play(scene: Callable[[Fleet], Coroutine[Any, Any, None]], gateways: int = 2) -> None:
    """Play a scene with some gateways in virtual time."""

    async def async_play() -> None:
        fleet = Fleet()
        for _ in range(gateways):
            await fleet.async_add()
        try:
            await scene(fleet)
        finally:
            for node in fleet.nodes:
                await node.async_stop()

    run_virtual(async_play())


async def async_pause(seconds: float) -> None:
    """Let virtual time go by."""
    await asyncio.sleep(seconds)

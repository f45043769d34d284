"""Test harness: quarantines of several gateways with one in-memory store, in virtual time."""

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
CRASHING_REQUEST = "0" * 31 + "1"
OTHER_REQUEST = "0" * 31 + "2"


def make_broken_run(upstream: str, request: str = CRASHING_REQUEST) -> BrokenRun:
    """Return a run whose connection to an upstream ended early."""
    return BrokenRun(request, f"id-{upstream}", "files.example", "/files/x", "files", upstream)


@attrs.define(eq=False, slots=False)
class Node:
    """One gateway's quarantine, and the simulated state of the upstreams.

    Upstreams in `listening` accept connections when probed; those in `leaving` are not in use.
    """

    name: str
    link: StoreLink
    live: set[str]
    clock: LoopClock = attrs.field(factory=LoopClock)
    metrics: Metrics = attrs.field(factory=Metrics)
    leaving: set[str] = attrs.field(factory=set)
    listening: set[str] = attrs.field(factory=set)
    tasks: list[asyncio.Future[Any]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the quarantine and the tail of its topic."""
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
        self.tail = KeyedTail(self.link, TOPIC, self.clock, health, self.quarantine.apply_record)

    async def _async_refuses(self, upstream: str) -> bool:
        await asyncio.sleep(0.002)
        return upstream not in self.listening

    def start(self) -> None:
        """Start to follow the topic."""
        runs = (self.tail.async_run(), self.quarantine.async_run())
        self.tasks += [asyncio.ensure_future(run) for run in runs]

    async def async_stop(self) -> None:
        """Cancel the background tasks."""
        for task in self.tasks:
            task.cancel()
        await self.quarantine.async_close()

    async def async_crash(self, *upstreams: str, request: str = CRASHING_REQUEST) -> None:
        """Simulate crashes of upstreams while they run a request of this gateway."""
        for upstream in upstreams:
            await self.quarantine.async_report_broken_run(make_broken_run(upstream, request))

    def is_held(self, request: str = CRASHING_REQUEST) -> bool:
        """Return whether this gateway holds a request."""
        return self.quarantine.held(request) is not None


@attrs.define
class Cluster:
    """Gateways that share one store."""

    store: FakeStore = attrs.field(factory=FakeStore)
    nodes: list[Node] = attrs.field(factory=list)
    live: set[str] = attrs.field(factory=set)

    async def async_add(self) -> Node:
        """Start a gateway, and give it time to read the store."""
        node = Node(f"n{len(self.nodes)}", StoreLink(self.store), self.live)
        self.live.add(node.name)
        self.nodes.append(node)
        node.start()
        await asyncio.sleep(0.05)
        return node

    def stored_keys(self) -> set[str]:
        """Return the keys in the store that are not deleted."""
        newest = {}
        for record in self.store.records[(TOPIC, 0)]:
            keyed = StoreLink(self.store).unpack_keyed(record)
            assert keyed is not None
            newest[keyed.key] = keyed.value
        return {key for key, value in newest.items() if value}


def run_scenario(
    scenario: Callable[[Cluster], Coroutine[Any, Any, None]], gateways: int = 2
) -> None:
    """Run a scenario with a number of gateways in virtual time."""

    async def async_run() -> None:
        cluster = Cluster()
        for _ in range(gateways):
            await cluster.async_add()
        try:
            await scenario(cluster)
        finally:
            for node in cluster.nodes:
                await node.async_stop()

    run_virtual(async_run())


async def async_advance(seconds: float) -> None:
    """Advance virtual time."""
    await asyncio.sleep(seconds)

"""Test harness: controls of several gateways with one in-memory store, in virtual time."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from typing import Any

import attrs
from result import Result

from cranberryline.controls import Controls, ControlWriter, check_name, parse_control
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import KeyedTail, StoreHealth
from cranberryline.ports.model import VmEntry, VmRole, VmState
from cranberryline.ports.store import StoreError
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

TOPIC = "keyed.controls"
# Within this time a change is in force everywhere.
PROPAGATION_SECONDS = 0.2


def make_upstream(name: str, service: str = "engines", data_center: str = "levis") -> VmEntry:
    """Return a usable upstream."""
    address = "http://127.0.0.1:1"
    return VmEntry(
        f"{name}@7", VmRole.UPSTREAM, VmState.LIVE, data_center, "", address, service, name
    )


class SkewedClock(LoopClock):
    """A clock whose wall-clock time is off by a fixed span."""

    def __init__(self, skew: timedelta) -> None:
        self._skew = skew

    def now(self) -> datetime:
        """Return the wall-clock time of this VM."""
        return super().now() + self._skew


@attrs.define(eq=False, slots=False)
class Node:
    """One gateway's controls, and the upstreams and nodes that it sees."""

    name: str
    link: StoreLink
    clock: LoopClock
    upstreams: list[VmEntry]
    live: set[str]
    metrics: Metrics = attrs.field(factory=Metrics)
    tasks: list[asyncio.Future[Any]] = attrs.field(factory=list)
    changes: list[set[str]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the controls and the tail of their topic."""
        health = StoreHealth(self.clock, self.metrics)
        self.controls = Controls(
            self.clock,
            health,
            self.metrics,
            lambda: self.upstreams,
            lambda: self.live,
            self._is_loaded,
        )
        self.controls.listen(lambda changed: self.changes.append(set(changed)))
        self.tail = KeyedTail(self.link, TOPIC, self.clock, health, self.controls.apply_record)
        self.writer = ControlWriter(
            self.link, TOPIC, lambda: self.tail.async_sync(timedelta(seconds=1))
        )

    def _is_loaded(self) -> bool:
        return self.tail.loaded.is_set()

    def start(self) -> None:
        """Start to follow the topic."""
        runs = (self.tail.async_run(), self.controls.async_run())
        self.tasks += [asyncio.ensure_future(run) for run in runs]

    async def async_stop(self) -> None:
        """Cancel the background tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def async_set(self, key: str, body: bytes = b"{}") -> Result[None, StoreError]:
        """Set a control as an operator at this gateway does."""
        kind, name = check_name(*key.split("/", 1)).unwrap()
        now = self.clock.now().timestamp()
        record = parse_control(kind, body, self.name, "ada", now).unwrap()
        return await self.writer.async_set(kind, name, record)

    async def async_clear(self, key: str) -> Result[None, StoreError]:
        """Take a control back as an operator at this gateway does."""
        kind, name = check_name(*key.split("/", 1)).unwrap()
        return await self.writer.async_clear(kind, name, "ada")

    def cordoned(self) -> set[str]:
        """Return the names of the cordoned upstreams."""
        is_cordoned = self.controls.is_cordoned
        return {vm.name for vm in self.upstreams if is_cordoned(vm.id, vm.data_center)}

    def why_not(self) -> dict[str, str]:
        """Return why each control is not in force, empty if it is."""
        return {f"{row.kind}/{row.name}": row.why_not for row in self.controls.rows()}


@attrs.define
class Cluster:
    """Gateways that share one store, and see the same upstreams and nodes."""

    store: FakeStore = attrs.field(factory=FakeStore)
    nodes: list[Node] = attrs.field(factory=list)
    upstreams: list[VmEntry] = attrs.field(factory=list)
    live: set[str] = attrs.field(factory=set)

    async def async_add(self, skew: timedelta = timedelta()) -> Node:
        """Start a gateway, and give it time to read the store."""
        name = f"n{len(self.nodes)}"
        node = Node(name, StoreLink(self.store), SkewedClock(skew), self.upstreams, self.live)
        self.live.add(name)
        self.nodes.append(node)
        node.start()
        await asyncio.sleep(0.05)
        return node

    async def async_stop_all(self) -> None:
        """Stop every gateway."""
        for node in self.nodes:
            await node.async_stop()
        self.nodes.clear()
        self.live.clear()


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
            await cluster.async_stop_all()

    run_virtual(async_run())

"""Detection of live nodes by their heartbeats."""

import asyncio
from datetime import timedelta

from cranberryline.gateway.nodes import NodeHeartbeat, NodeRegistry
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import KeyedTail, StoreHealth
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

TOPIC = "keyed.nodes"
PEERS = {"a": "10.0.0.1:7", "b": "10.0.0.2:7", "c": "10.0.0.3:7"}


class Node:
    """A node that writes heartbeats and reads those of the others."""

    def __init__(self, store: FakeStore, name: str) -> None:
        clock = LoopClock()
        self.metrics = Metrics()
        self.link, self.health = StoreLink(store), StoreHealth(clock, self.metrics)
        heartbeat = NodeHeartbeat(name, "levis", PEERS[name])
        self.registry = NodeRegistry(
            self.link,
            TOPIC,
            heartbeat,
            clock,
            lambda: self.tail.current_at,
            lambda: None,
            self.health,
        )
        self.tail = KeyedTail(self.link, TOPIC, clock, self.health, self.registry.apply_record)
        coroutines = (self.tail.async_run(), self.registry.async_run())
        self.tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]

    def live(self) -> list[str]:
        """Return the nodes that are responsible for work that arrives now."""
        return sorted(self.registry.live_nodes(LoopClock().monotonic()))


async def _async_nodes(store: FakeStore) -> list[Node]:
    nodes = [Node(store, name) for name in ("a", "b", "c")]
    await asyncio.sleep(1)
    return nodes


def test_dead_node_is_detected_by_all_within_four_seconds() -> None:
    """A node stops writing heartbeats; the others must agree within 4 s that it is dead."""

    async def async_scenario() -> None:
        nodes = await _async_nodes(FakeStore())
        assert nodes[0].live() == ["a", "b", "c"]
        for task in nodes[2].tasks:
            task.cancel()
        await asyncio.sleep(4)
        assert nodes[0].live() == nodes[1].live() == ["a", "b"]

    run_virtual(async_scenario())


def test_node_without_the_store_does_not_consider_the_others_dead() -> None:
    """A node that cannot reach the store receives no heartbeats for 10 s.

    If it considered the other nodes dead, it would run every group of every job alone.
    """

    async def async_scenario() -> None:
        nodes = await _async_nodes(FakeStore())
        assert nodes[0].live() == ["a", "b", "c"]
        nodes[0].link.silent = True
        for _ in range(20):
            await asyncio.sleep(0.5)
            assert nodes[0].live() == ["a", "b", "c"]

    run_virtual(async_scenario())


def test_stopping_node_keeps_earlier_work_and_gets_no_new_work() -> None:
    """Work that arrived before the announced stop stays with the node while it sends heartbeats.

    Once it is dead, that work goes to the others.
    """

    async def async_scenario() -> None:
        nodes = await _async_nodes(FakeStore())
        before = LoopClock().monotonic()
        nodes[1].registry.stopping = True
        await nodes[1].registry.async_write_heartbeat()
        await asyncio.sleep(0.1)
        assert nodes[0].live() == ["a", "c"]
        assert sorted(nodes[0].registry.live_nodes(before)) == ["a", "b", "c"]
        for task in nodes[1].tasks:
            task.cancel()
        await asyncio.sleep(4)
        assert sorted(nodes[0].registry.live_nodes(before)) == ["a", "c"]

    run_virtual(async_scenario())


def test_node_that_died_long_ago_is_dead_for_a_restarted_node() -> None:
    """One node dies; 12 s later the others are killed too, and one of them restarts.

    It receives the dead node's last heartbeat for the first time. If that node counted as alive, it
    would be assigned groups of every open job, whose items would wait until it is detected as dead.
    """

    async def async_scenario() -> None:
        store = FakeStore()
        nodes = await _async_nodes(store)
        for task in nodes[2].tasks:
            task.cancel()
        await asyncio.sleep(12)
        for task in [*nodes[0].tasks, *nodes[1].tasks]:
            task.cancel()
        await asyncio.sleep(0.5)
        restarted = Node(store, "b")
        await asyncio.sleep(0.1)
        assert restarted.live() == ["a", "b"]
        for task in restarted.tasks:
            task.cancel()

    run_virtual(async_scenario())


def test_unreadable_heartbeat_is_ignored() -> None:
    """Another writer stores invalid bytes under a node's key; the live nodes must not change."""

    async def async_scenario() -> None:
        nodes = await _async_nodes(FakeStore())
        nodes[0].link.put(TOPIC, "x", b"\xc1")
        await asyncio.sleep(0.1)
        assert nodes[0].live() == ["a", "b", "c"]
        assert {heartbeat.peer for heartbeat in nodes[0].registry.heartbeats()} == set(
            PEERS.values()
        )

    run_virtual(async_scenario())


def test_ten_seconds_of_heartbeats_cost_a_bounded_number_of_appends() -> None:
    """A node writes about one heartbeat per 0.8 s, so 10 s must take 10 to 15 appends."""

    async def async_scenario() -> None:
        node = Node(FakeStore(), "a")
        await asyncio.sleep(timedelta(seconds=10).total_seconds())
        assert 10 <= node.link.appends <= 15

    run_virtual(async_scenario())

"""Which nodes live, from the signs that they write."""

import asyncio
from datetime import timedelta

from cranberryline.gateway.nodes import NodeBook, NodeSign
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import KeyedTail, StoreHealth
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

TOPIC = "keyed.nodes"
PEERS = {"a": "10.0.0.1:7", "b": "10.0.0.2:7", "c": "10.0.0.3:7"}


class Node:
    """A node that writes its sign and reads those of the others."""

    def __init__(self, store: FakeStore, name: str) -> None:
        clock = LoopClock()
        self.metrics = Metrics()
        self.link, self.health = StoreLink(store), StoreHealth(clock, self.metrics)
        sign = NodeSign(name, "levis", PEERS[name])
        self.book = NodeBook(
            self.link, TOPIC, sign, clock, lambda: self.tail.current_at, lambda: None, self.health
        )
        self.tail = KeyedTail(self.link, TOPIC, clock, self.health, self.book.take)
        work = (self.tail.async_run(), self.book.async_run())
        self.tasks = [asyncio.ensure_future(part) for part in work]

    def live(self) -> list[str]:
        """Return who takes work that comes now."""
        return sorted(self.book.live(LoopClock().monotonic()))


async def _async_nodes(store: FakeStore) -> list[Node]:
    nodes = [Node(store, name) for name in ("a", "b", "c")]
    await asyncio.sleep(1)
    return nodes


def test_a_dead_node_is_known_to_all_within_four_seconds() -> None:
    """Its signs stop; the others agree that it is gone."""

    async def scene() -> None:
        nodes = await _async_nodes(FakeStore())
        assert nodes[0].live() == ["a", "b", "c"]
        for task in nodes[2].tasks:
            task.cancel()
        await asyncio.sleep(4)
        assert nodes[0].live() == nodes[1].live() == ["a", "b"]

    run_virtual(scene())


def test_a_node_cut_from_the_store_does_not_take_the_others_for_dead() -> None:
    """It hears nobody, which says nothing of them.

    Taking them for dead it would run every group of every job alone.
    """

    async def scene() -> None:
        nodes = await _async_nodes(FakeStore())
        assert nodes[0].live() == ["a", "b", "c"]
        nodes[0].link.silent = True
        for _ in range(20):
            await asyncio.sleep(0.5)
            assert nodes[0].live() == ["a", "b", "c"]

    run_virtual(scene())


def test_a_stopping_node_keeps_what_it_had_and_gets_nothing_new() -> None:
    """Work from before its notice stays with it while it gives signs, then goes to the others."""

    async def scene() -> None:
        nodes = await _async_nodes(FakeStore())
        before = LoopClock().monotonic()
        nodes[1].book.stopping = True
        await nodes[1].book.async_sign()
        await asyncio.sleep(0.1)
        assert nodes[0].live() == ["a", "c"]
        assert sorted(nodes[0].book.live(before)) == ["a", "b", "c"]
        for task in nodes[1].tasks:
            task.cancel()
        await asyncio.sleep(4)
        assert sorted(nodes[0].book.live(before)) == ["a", "c"]

    run_virtual(scene())


def test_a_node_that_died_long_ago_is_dead_for_nodes_that_start() -> None:
    """All are killed a while after one was replaced: its last sign is heard for the first time again.

    Taken for a sign of life it would get groups of every open job, and their items wait until it is silent.
    """

    async def scene() -> None:
        store = FakeStore()
        nodes = await _async_nodes(store)
        for task in nodes[2].tasks:
            task.cancel()
        await asyncio.sleep(12)
        for task in [*nodes[0].tasks, *nodes[1].tasks]:
            task.cancel()
        await asyncio.sleep(0.5)
        again = Node(store, "b")
        await asyncio.sleep(0.1)
        assert again.live() == ["a", "b"]
        for task in again.tasks:
            task.cancel()

    run_virtual(scene())


def test_a_sign_that_cannot_be_read_is_passed_over() -> None:
    """Foreign bytes under a node's key harm nothing."""

    async def scene() -> None:
        nodes = await _async_nodes(FakeStore())
        nodes[0].link.put(TOPIC, "x", b"\xc1")
        await asyncio.sleep(0.1)
        assert nodes[0].live() == ["a", "b", "c"]
        assert {sign.peer for sign in nodes[0].book.signs()} == set(PEERS.values())

    run_virtual(scene())


def test_ten_seconds_of_signs_cost_a_bounded_number_of_appends() -> None:
    """About one sign in 0.8 s."""

    async def scene() -> None:
        node = Node(FakeStore(), "a")
        await asyncio.sleep(timedelta(seconds=10).total_seconds())
        assert 10 <= node.link.appends <= 15

    run_virtual(scene())

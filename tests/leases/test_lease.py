"""Tests of the lease: one holder at a time, with a higher token for each new holder."""

import asyncio
from datetime import timedelta
from typing import Any

import eliot

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.leases import LeaseKeeper
from cranberryline.leases.const import TOPIC_LEASES
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

LEASE_DURATION = timedelta(seconds=3)


class Node:
    """A node with its own connection to the store."""

    def __init__(self, store: FakeStore, name: str) -> None:
        self.link = StoreLink(store)
        clock = LoopClock()
        self.metrics = Metrics()
        health = StoreHealth(clock, self.metrics)
        self.keeper = LeaseKeeper(self.link, name, LEASE_DURATION, clock, health)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the node's tasks."""
        work = (self.keeper.tail.async_run(), self.keeper.async_run())
        self.tasks = [asyncio.ensure_future(part) for part in work]

    def kill(self) -> None:
        """Kill the node."""
        for task in self.tasks:
            task.cancel()


def _get_tokens(nodes: list[Node]) -> dict[str, int]:
    tokens = {node.keeper.holder: node.keeper.token() for node in nodes}
    return {holder: token for holder, token in tokens.items() if token is not None}


def test_several_nodes_or_none_hold_the_lease() -> None:
    """Three nodes start at once: one acquires the lease and keeps it as long as it renews it."""

    async def async_scenario() -> None:
        store = FakeStore()
        nodes = [Node(store, f"front-{number}") for number in range(3)]
        for node in nodes:
            node.start()
        await asyncio.sleep(1)
        first = _get_tokens(nodes)
        assert len(first) == 1
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert _get_tokens(nodes) == first

    run_virtual(async_scenario())


def test_killed_holder_is_replaced_too_early_or_without_a_higher_token() -> None:
    """The holder is killed.

    No other node holds the lease before it expires. Then another one acquires it with a higher
    token, so that engines refuse what the killed holder may still have sent.
    """

    async def async_scenario() -> None:
        store = FakeStore()
        nodes = [Node(store, f"front-{number}") for number in range(3)]
        for node in nodes:
            node.start()
        await asyncio.sleep(1)
        ((holder, token),) = _get_tokens(nodes).items()
        killed = next(node for node in nodes if node.keeper.holder == holder)
        others = [node for node in nodes if node is not killed]
        killed.kill()
        await asyncio.sleep((LEASE_DURATION - timedelta(milliseconds=900)).total_seconds())
        assert _get_tokens(others) == {}
        await asyncio.sleep(2)
        ((_, next_token),) = _get_tokens(others).items()
        assert next_token > token

    run_virtual(async_scenario())


def test_holder_without_store_acts_beside_its_successor() -> None:
    """The store stops responding to the holder only.

    The holder stops acting when its lease expires, and only then does another node act: at no
    moment do two nodes hold the lease.
    """

    async def async_scenario() -> None:
        store = FakeStore()
        nodes = [Node(store, f"front-{number}") for number in range(3)]
        for node in nodes:
            node.start()
        await asyncio.sleep(1)
        ((holder, _),) = _get_tokens(nodes).items()
        cut = next(node for node in nodes if node.keeper.holder == holder)
        cut.link.silent = True
        seen = set()
        for _ in range(80):
            await asyncio.sleep(0.1)
            held = _get_tokens(nodes)
            assert len(held) <= 1
            seen |= set(held)
        assert len(seen) == 2

    run_virtual(async_scenario())


def test_holder_acts_on_its_expired_lease_after_a_pause() -> None:
    """The holder is paused until its lease has expired.

    Directly after the pause, before any other task has run, it has no token.
    """

    async def async_scenario() -> None:
        store = FakeStore()
        node = Node(store, "front-1")
        node.start()
        await asyncio.sleep(1)
        assert node.keeper.token() is not None
        asyncio.get_running_loop().jump(4)  # type: ignore[attr-defined]
        assert node.keeper.token() is None

    run_virtual(async_scenario())


def test_delayed_acquisition_makes_a_second_holder() -> None:
    """A node's acquisition gets no response and takes effect half a second later.

    If another node has acquired the lease by then, the condition of the append fails, and it
    changes nothing.
    """

    async def async_scenario() -> None:
        store = FakeStore()
        slow, other = Node(store, "front-1"), Node(store, "front-2")
        slow.link.lost, slow.link.late = 1, timedelta(milliseconds=500)
        slow.start()
        await asyncio.sleep(0.2)
        other.start()
        for _ in range(60):
            await asyncio.sleep(0.1)
            assert len(_get_tokens([slow, other])) <= 1
        assert len(_get_tokens([slow, other])) == 1

    run_virtual(async_scenario())


def test_restarted_process_waits_for_the_lease_of_its_predecessor() -> None:
    """The holder's process is killed and restarted on its VM.

    The new process is the only one on that VM, so it need not wait until the lease of its
    predecessor expires.
    """

    async def async_scenario() -> None:
        store = FakeStore()
        old = Node(store, "front-1")
        old.start()
        await asyncio.sleep(1)
        before = old.keeper.token()
        old.kill()
        new = Node(store, "front-1")
        new.start()
        await asyncio.sleep(1)
        after = new.keeper.token()
        assert before is not None and after is not None and after > before

    run_virtual(async_scenario())


def test_malformed_record_prevents_acquisition() -> None:
    """A malformed record in the partition belongs to no holder: a node acquires the lease."""

    async def async_scenario() -> None:
        store = FakeStore()
        store.append(TOPIC_LEASES, 0, [b"\xc1 nonsense"])
        node = Node(store, "front-1")
        node.start()
        await asyncio.sleep(1)
        assert node.keeper.token() is not None

    run_virtual(async_scenario())


def test_the_log_tells_the_fencing_token() -> None:
    """An operator cannot tell whose refused order was fenced off, since the number is hidden."""
    logged: list[dict[str, Any]] = []

    async def async_scenario() -> int:
        node = Node(FakeStore(), "front-1")
        node.start()
        await asyncio.sleep(1)
        token = node.keeper.token()
        assert token is not None
        node.kill()
        return token

    eliot.add_destinations(logged.append)
    try:
        token = run_virtual(async_scenario())
    finally:
        eliot.remove_destination(logged.append)
    held = [event["fence"] for event in logged if event.get("message_type") == "lease_held"]
    assert held[-1:] == [token]

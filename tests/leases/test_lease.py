"""The lease: one holder at a time, with a token that grows with each."""

import asyncio
from datetime import timedelta

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.leases import LeaseKeeper
from cranberryline.leases.const import TOPIC_LEASES
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

LEASE = timedelta(seconds=3)


class Node:
    """A node with its own way to the store."""

    def __init__(self, store: FakeStore, name: str) -> None:
        self.link = StoreLink(store)
        clock = LoopClock()
        self.metrics = Metrics()
        health = StoreHealth(clock, self.metrics)
        self.keeper = LeaseKeeper(self.link, name, LEASE, clock, health)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Run the node's tasks."""
        work = (self.keeper.tail.async_run(), self.keeper.async_run())
        self.tasks = [asyncio.ensure_future(part) for part in work]

    def kill(self) -> None:
        """End the node as a kill does."""
        for task in self.tasks:
            task.cancel()


def _holders(nodes: list[Node]) -> dict[str, int]:
    tokens = {node.keeper.holder: node.keeper.token() for node in nodes}
    return {holder: token for holder, token in tokens.items() if token is not None}


def test_exactly_one_of_several_nodes_holds() -> None:
    """Three nodes start at once: one acquires, and keeps the lease for as long as it renews."""

    async def scene() -> None:
        store = FakeStore()
        nodes = [Node(store, f"front-{number}") for number in range(3)]
        for node in nodes:
            node.start()
        await asyncio.sleep(1)
        first = _holders(nodes)
        assert len(first) == 1
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert _holders(nodes) == first

    run_virtual(scene())


def test_a_killed_holder_is_followed_after_its_lease_with_a_higher_token() -> None:
    """The holder is killed.

    No other holds before its lease has run out; then one does, with a token above the old one, so
    that engines refuse what the old one may still have sent.
    """

    async def scene() -> None:
        store = FakeStore()
        nodes = [Node(store, f"front-{number}") for number in range(3)]
        for node in nodes:
            node.start()
        await asyncio.sleep(1)
        ((holder, token),) = _holders(nodes).items()
        killed = next(node for node in nodes if node.keeper.holder == holder)
        others = [node for node in nodes if node is not killed]
        killed.kill()
        await asyncio.sleep((LEASE - timedelta(milliseconds=900)).total_seconds())
        assert _holders(others) == {}
        await asyncio.sleep(2)
        ((_, next_token),) = _holders(others).items()
        assert next_token > token

    run_virtual(scene())


def test_a_holder_cut_from_the_store_stops_before_another_starts() -> None:
    """The store falls silent for the holder alone.

    It stops acting by itself, and only then does another node act: at no moment do two hold.
    """

    async def scene() -> None:
        store = FakeStore()
        nodes = [Node(store, f"front-{number}") for number in range(3)]
        for node in nodes:
            node.start()
        await asyncio.sleep(1)
        ((holder, _),) = _holders(nodes).items()
        cut = next(node for node in nodes if node.keeper.holder == holder)
        cut.link.silent = True
        seen = set()
        for _ in range(80):
            await asyncio.sleep(0.1)
            held = _holders(nodes)
            assert len(held) <= 1
            seen |= set(held)
        assert len(seen) == 2

    run_virtual(scene())


def test_a_paused_holder_wakes_without_its_lease() -> None:
    """The holder stands still past its lease.

    Asked for its token right after it wakes, before any other task ran, it has none.
    """

    async def scene() -> None:
        store = FakeStore()
        node = Node(store, "front-1")
        node.start()
        await asyncio.sleep(1)
        assert node.keeper.token() is not None
        asyncio.get_running_loop().jump(4)  # type: ignore[attr-defined]
        assert node.keeper.token() is None

    run_virtual(scene())


def test_an_acquisition_that_takes_effect_late_makes_no_second_holder() -> None:
    """A node's acquisition gets no answer and stands half a second later.

    When another node has acquired: its condition fails by then, so it changes nothing.
    """

    async def scene() -> None:
        store = FakeStore()
        slow, other = Node(store, "front-1"), Node(store, "front-2")
        slow.link.lost, slow.link.late = 1, timedelta(milliseconds=500)
        slow.start()
        await asyncio.sleep(0.2)
        other.start()
        for _ in range(60):
            await asyncio.sleep(0.1)
            assert len(_holders([slow, other])) <= 1
        assert len(_holders([slow, other])) == 1

    run_virtual(scene())


def test_a_restarted_process_takes_over_from_its_own_vm_at_once() -> None:
    """The holder's process is killed and starts again on its VM.

    Nobody else can act for that VM, so it need not wait for its predecessor's lease.
    """

    async def scene() -> None:
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

    run_virtual(scene())


def test_a_record_that_is_no_lease_harms_nothing() -> None:
    """Foreign bytes in the partition are nobody's sign: a node acquires as if they were not there."""

    async def scene() -> None:
        store = FakeStore()
        store.append(TOPIC_LEASES, 0, [b"\xc1 nonsense"])
        node = Node(store, "front-1")
        node.start()
        await asyncio.sleep(1)
        assert node.keeper.token() is not None

    run_virtual(scene())

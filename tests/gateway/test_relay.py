"""Store calls relayed through a peer, and their outcome when an answer is lost."""

import asyncio
import socket
from datetime import timedelta
from typing import Any

import pytest
from result import Ok
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from cranberryline.gateway.relay import PATH_RELAY, RelayedLog, RelayHandler
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.store import StoreProblem
from tests.store_fake import FakeStore, StoreLink

TIMEOUT = timedelta(milliseconds=300)


class Peer:
    """A gateway that relays calls over its own connection to the store."""

    def __init__(self, store: FakeStore) -> None:
        self.link = StoreLink(store)
        self.log = RelayedLog(self.link, list, SystemClock(), Metrics())
        sockets = bind_sockets(0, "127.0.0.1")
        self.server = HTTPServer(Application([(PATH_RELAY, RelayHandler, {"log": self.log})]))
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"


def _log(link: StoreLink, *peers: str, urgent: tuple[str, ...] = ()) -> RelayedLog:
    return RelayedLog(link, lambda: list(peers), SystemClock(), Metrics(), urgent=urgent)


def _refuse_all(link: StoreLink) -> None:
    link.refusing = lambda _topic, _part: True


def test_append_read_and_newest_are_relayed_through_a_peer() -> None:
    """The store rejects this node only, and all kinds of calls succeed through its peer."""

    async def scenario() -> None:
        store = FakeStore()
        peer, link = Peer(store), StoreLink(store)
        _refuse_all(link)
        log = _log(link, peer.address)
        appended = await log.async_append("t", 0, [b"a", b"b"], TIMEOUT)
        assert appended.unwrap().end == 2
        read = await log.async_read("t", 0, 1, timedelta(), TIMEOUT)
        assert read.unwrap().records == (b"b",)
        peer.link.put("keyed.x", "k", b"v")
        newest = await log.async_newest("keyed.x", TIMEOUT)
        assert [(row.key, row.value) for row in newest.unwrap().records] == [("k", b"v")]

    asyncio.run(scenario())


def test_append_with_unknown_outcome_is_not_repeated_through_a_peer() -> None:
    """The answer of a direct append is lost, and the caller gets UNKNOWN.

    If the append were repeated through the peer, the log could have the records twice.
    """

    async def scenario() -> None:
        store = FakeStore()
        peer, link = Peer(store), StoreLink(store)
        link.lost = 1
        appended = await _log(link, peer.address).async_append("t", 0, [b"a"], TIMEOUT)
        assert appended.unwrap_err().problem is StoreProblem.UNKNOWN
        assert peer.link.appends == 0 and store.records[("t", 0)] == [b"a"]

    asyncio.run(scenario())


def test_append_only_partition_is_called_directly_again_after_an_outage() -> None:
    """An outage ends while a partition is only appended to.

    Only reads probed the store, so its recovery was not detected and all appends kept failing.
    """

    async def scenario() -> None:
        store = FakeStore()
        link = StoreLink(store)
        log = _log(link)
        assert (await log.async_append("texts", 0, [b"a"], TIMEOUT)).is_ok()
        _refuse_all(link)
        assert (await log.async_append("texts", 0, [b"b"], TIMEOUT)).is_err()
        link.refusing = lambda _topic, _part: False
        await asyncio.sleep(0.5)
        assert (await log.async_append("texts", 0, [b"c"], TIMEOUT)).is_ok()
        assert not log.direct_unavailable("texts", 0)

    asyncio.run(scenario())


def test_append_with_an_answer_lost_at_the_peer_is_unknown() -> None:
    """The store rejects this node and its answer to the peer is lost; the append took effect."""

    async def scenario() -> None:
        store = FakeStore()
        peer, link = Peer(store), StoreLink(store)
        _refuse_all(link)
        peer.link.lost = 1
        appended = await _log(link, peer.address).async_append("t", 0, [b"a"], TIMEOUT)
        assert appended.unwrap_err().problem is StoreProblem.UNKNOWN
        assert store.records[("t", 0)] == [b"a"]

    asyncio.run(scenario())


def test_conflict_is_returned_directly_and_through_a_peer() -> None:
    """A conflict is a definite outcome, so the append is not tried elsewhere."""

    async def scenario() -> None:
        store = FakeStore()
        store.append("t", 0, [b"x"])
        peer, link = Peer(store), StoreLink(store)
        for _ in range(2):
            appended = await _log(link, peer.address).async_append("t", 0, [b"a"], TIMEOUT, at=0)
            error = appended.unwrap_err()
            assert (error.problem, error.position) == (StoreProblem.CONFLICT, 1)
            _refuse_all(link)

    asyncio.run(scenario())


@pytest.mark.parametrize("dead", [True, False])
def test_append_is_refused_if_no_peer_reaches_the_store(dead: bool) -> None:
    """No peer listens, or the store rejects the peer too: the append certainly did not run."""

    async def scenario() -> None:
        store = FakeStore()
        peer, link = Peer(store), StoreLink(store)
        _refuse_all(link)
        _refuse_all(peer.link)
        address = "127.0.0.1:9" if dead else peer.address
        appended = await _log(link, address).async_append("t", 0, [b"a"], TIMEOUT)
        assert appended.unwrap_err().problem is StoreProblem.REFUSED
        assert store.records[("t", 0)] == []

    asyncio.run(scenario())


def test_outage_of_one_partition_does_not_relay_calls_about_others() -> None:
    """Calls about partitions that are available still go to the store directly."""

    async def scenario() -> None:
        store = FakeStore()
        link = StoreLink(store)
        link.refusing = lambda _topic, part: part == 1
        log = _log(link)
        assert (await log.async_append("t", 1, [b"a"], TIMEOUT)).is_err()
        assert isinstance(await log.async_append("t", 0, [b"a"], TIMEOUT), Ok)
        assert log.direct_unavailable("t", 1) and not log.direct_unavailable("t", 0)

    asyncio.run(scenario())


def test_unreachable_peer_leaves_time_to_call_another() -> None:
    """The VM of the first peer lost power: its port neither accepts nor refuses connections.

    The second peer must be called, and must answer, within the timeout of the call.
    """

    async def scenario() -> None:
        store = FakeStore()
        peer, link = Peer(store), StoreLink(store)
        _refuse_all(link)
        unreachable = socket.socket()
        unreachable.bind(("127.0.0.1", 0))
        unreachable.listen(0)
        pending = [socket.socket() for _ in range(4)]
        for conn in pending:
            conn.setblocking(False)
            conn.connect_ex(unreachable.getsockname())
        log = _log(link, f"127.0.0.1:{unreachable.getsockname()[1]}", peer.address)
        for _ in range(6):
            log._preferred_peer = f"127.0.0.1:{unreachable.getsockname()[1]}"
            began = SystemClock().monotonic()
            appended = await log.async_append("t", 0, [b"a"], timedelta(milliseconds=700))
            assert appended.is_ok()
            assert SystemClock().monotonic() - began < timedelta(milliseconds=700)
        for conn in (*pending, unreachable):
            conn.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("wait", [timedelta(), timedelta(milliseconds=300)])
def test_peer_that_froze_leaves_time_to_read_through_another(wait: timedelta) -> None:
    """Guards against hearing of no change while the peer that answered before is frozen.

    Its machine still accepts connections, so that only the answer is missing.
    """

    async def scenario() -> None:
        store = FakeStore()
        link, sound = StoreLink(store), Peer(store)
        _refuse_all(link)
        with socket.create_server(("127.0.0.1", 0)) as frozen:
            address = f"127.0.0.1:{frozen.getsockname()[1]}"
            log = _log(link, sound.address, address, urgent=("t",))
            log._preferred_peer = address
            store.append("t", 0, [b"a"])
            began = asyncio.get_running_loop().time()
            read = await log.async_read("t", 0, 0, wait, timedelta(seconds=2.5))
            took = asyncio.get_running_loop().time() - began
            assert read.unwrap().records == (b"a",) and took < 1.2
            assert log._preferred_peer == sound.address

    asyncio.run(scenario())


def test_late_read_of_another_topic_is_not_made_again_through_a_second_peer() -> None:
    """Guards against as many more reads as there are late ones, where peers pace them."""

    async def scenario() -> None:
        store = FakeStore()
        link, slow, sound = StoreLink(store), Peer(store), Peer(store)
        _refuse_all(link)
        read, reads = slow.link.async_read, []

        async def async_late(*args: Any, **more: Any) -> Any:
            await asyncio.sleep(0.9)
            reads.append(args)
            return await read(*args, **more)

        slow.link.async_read = async_late  # type: ignore[method-assign]
        log = _log(link, slow.address, sound.address)
        log._preferred_peer = slow.address
        store.append("jobs", 0, [b"a"])
        found = await log.async_read("jobs", 0, 0, timedelta(), timedelta(seconds=2.5))
        assert found.unwrap().records == (b"a",)
        assert len(reads) == 1 and log._preferred_peer == slow.address

    asyncio.run(scenario())


def test_append_is_not_sent_to_a_store_known_to_be_silent() -> None:
    """A read timed out and there is no peer: appends are refused at once and never sent."""

    async def scenario() -> None:
        store = FakeStore()
        link = StoreLink(store)
        log = _log(link)
        link.silent = True
        assert (await log.async_read("t", 0, 0, timedelta(), TIMEOUT)).is_err()
        for _ in range(3):
            appended = await log.async_append("t", 0, [b"a"], TIMEOUT)
            assert appended.unwrap_err().problem is StoreProblem.REFUSED
            await asyncio.sleep(0.25)
        assert link.appends == 0
        link.silent = False
        assert (await log.async_read("t", 0, 0, timedelta(), TIMEOUT)).is_ok()
        assert (await log.async_append("t", 0, [b"a"], TIMEOUT)).is_ok()

    asyncio.run(scenario())


def test_recovered_store_is_detected_without_new_records() -> None:
    """A long poll of an idle partition probes the store without waiting for a record."""

    async def scenario() -> None:
        link = StoreLink(FakeStore())
        log = _log(link)
        _refuse_all(link)
        assert (await log.async_read("t", 0, 0, timedelta(seconds=5), TIMEOUT)).is_err()
        link.refusing = lambda _topic, _part: False
        await asyncio.sleep(0.45)
        async with asyncio.timeout(0.5):
            assert (await log.async_read("t", 0, 0, timedelta(seconds=5), TIMEOUT)).is_ok()
        assert not log.direct_unavailable("t", 0)

    asyncio.run(scenario())


@pytest.mark.parametrize("peer_reachable", [True, False])
@pytest.mark.parametrize("accepts_heartbeats", [True, False])
def test_outage_of_the_store_is_distinguished_from_isolation_of_a_node(
    peer_reachable: bool, accepts_heartbeats: bool
) -> None:
    """The store is down for all nodes if it answered neither this node nor a peer, on any call.

    A node that reaches no peer, or knows none, cannot decide this. If heartbeats are still
    accepted, the store is up; the outage starts no earlier than the last heartbeat.
    """

    async def scenario() -> None:
        store = FakeStore()
        peer, link = Peer(store), StoreLink(store)
        log = _log(link, peer.address if peer_reachable else "127.0.0.1:1")
        for node in (log, peer.log):
            await node.async_append("keyed.nodes", 0, [b"sign"], TIMEOUT)
        began = SystemClock().elapsed()
        link.refusing = peer.link.refusing = (
            lambda topic, _part: not accepts_heartbeats or topic == "jobs"
        )
        await asyncio.sleep(0.2)
        if accepts_heartbeats:
            await peer.log.async_append("keyed.nodes", 0, [b"sign"], TIMEOUT)
        read = await log.async_read("jobs", 0, 0, timedelta(), TIMEOUT)
        since = read.unwrap_err().out_since
        assert (since is not None) is peer_reachable
        if since is not None:
            assert (since > began + timedelta(seconds=0.1)) is accepts_heartbeats
        unknown = await _log(link).async_read("jobs", 0, 0, timedelta(), TIMEOUT)
        assert unknown.unwrap_err().out_since is None

    asyncio.run(scenario())

"""Gateways that start while the store is out, from what a peer has read."""

import asyncio
from datetime import timedelta
from typing import Any

import msgspec
import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from cranberryline.gateway.peer_copies import PATH_COPIES, CopyHandler, PeerCopies
from cranberryline.gateway.relay_calls import Redaction
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.helpers.tail import KeyedTail
from cranberryline.ports.http import HttpOrigin, async_exchange
from cranberryline.ports.model import UpstreamRequest
from cranberryline.ports.store import KeyedRecord, KeyedSnapshot
from tests.store_fake import FakeStore, StoreLink

TOPIC = "keyed.x"


class Node:
    """A node that follows one keyed topic, and serves what it has read of it."""

    def __init__(self, store: FakeStore, *peers: str, redaction: Redaction | None = None) -> None:
        clock = SystemClock()
        self.link = StoreLink(store)
        self.read: dict[str, bytes] = {}
        self.copies = PeerCopies(lambda: list(peers), clock, redaction)
        on_key = self.copies.keep(TOPIC, self._take)
        self.tail = self.copies.follow(
            KeyedTail(self.link, TOPIC, clock, StoreHealth(clock), on_key)
        )
        sockets = bind_sockets(0, "127.0.0.1")
        handlers: list[Any] = [(PATH_COPIES, CopyHandler, {"copies": self.copies})]
        self._server = HTTPServer(Application(handlers, log_function=lambda _: None))
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self._tasks: list[asyncio.Task[None]] = []

    def _take(self, record: KeyedRecord) -> None:
        self.read[record.key] = record.value

    def refuse(self, refusing: bool) -> None:
        """Let the store answer this node nothing, or again."""
        self.link.refusing = lambda _topic, _part: refusing

    def start(self) -> None:
        """Follow the topic."""
        for coroutine in (self.tail.async_run(), self.copies.async_run()):
            self._tasks.append(asyncio.ensure_future(coroutine))

    def stop(self) -> None:
        """End what was started."""
        for task in self._tasks:
            task.cancel()
        self._server.stop()


async def _async_loaded(node: Node) -> None:
    async with asyncio.timeout(5):
        await node.tail.loaded.wait()


def test_a_node_that_starts_in_an_outage_knows_what_its_peer_knows() -> None:
    """Guards against a node that refuses all callers until the store is back, beside peers that serve."""

    async def scene() -> None:
        store = FakeStore()
        peer = Node(store)
        peer.link.put(TOPIC, "gone", b"0")
        peer.link.put(TOPIC, "gone", b"")
        peer.link.put(TOPIC, "route", b"1")
        peer.start()
        await _async_loaded(peer)
        starting = Node(store, "127.0.0.1:9", peer.address)
        starting.refuse(refusing=True)
        starting.start()
        await _async_loaded(starting)
        assert starting.read == {"route": b"1"} and starting.copies.in_use
        assert starting.tail.current_at is None and starting.tail.age() is None
        peer.link.put(TOPIC, "route", b"2")
        starting.refuse(refusing=False)
        async with asyncio.timeout(5):
            while starting.read != {"route": b"2"}:  # noqa: ASYNC110 - read by a tail
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        assert not starting.copies.in_use
        starting.stop()
        peer.stop()

    asyncio.run(scene())


def test_what_was_read_from_the_store_is_not_replaced_by_a_copy() -> None:
    """Guards against a node that goes back to what a peer knew earlier."""

    async def scene() -> None:
        store = FakeStore()
        node = Node(store)
        node.link.put(TOPIC, "route", b"2")
        node.start()
        await _async_loaded(node)
        found = node.copies.copy(TOPIC)
        assert found is not None
        older = KeyedSnapshot((KeyedRecord("route", b"1", 0),), 0)
        assert not node.tail.start_from(older) and node.read == {"route": b"2"}
        node.stop()

    asyncio.run(scene())


def test_a_copy_has_no_secrets_and_is_given_only_once_it_is_whole() -> None:
    """Guards against keys of workspaces on the way between gateways, and against half a topic."""

    async def scene() -> None:
        store = FakeStore()
        node = Node(store, redaction=Redaction(TOPIC, lambda row: b"digest of " + row.value))
        node.link.put(TOPIC, "keys", b"secret")
        assert node.copies.copy(TOPIC) is None and node.copies.copy("keyed.other") is None
        node.start()
        await _async_loaded(node)
        found = node.copies.copy(TOPIC)
        assert found is not None and found.rows == [("keys", b"digest of secret", 0)]
        node.stop()

    asyncio.run(scene())


@pytest.mark.parametrize("body", [b"", b"garbage", msgspec.msgpack.encode([1]), b"\x91\xa1x" * 9])
def test_bytes_that_are_no_call_get_400(body: bytes) -> None:
    """Guards against a handler that fails on what another program sends."""

    async def scene() -> None:
        node = Node(FakeStore())
        req = UpstreamRequest("POST", PATH_COPIES, (), body)
        origin = HttpOrigin(f"http://{node.address}")
        answer = (await async_exchange(origin, req, timedelta(seconds=2))).unwrap()
        assert answer.head.status == 400
        node.stop()

    asyncio.run(scene())

"""Signs of life that no gateway wrote, and answers of peers that are none."""

import asyncio
from datetime import timedelta
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cranberryline.gateway.nodes import NodeHeartbeat
from cranberryline.gateway.relay import PATH_RELAY, RelayedLog
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.store import KeyedRecord, StoreProblem
from tests.foreign import deep, foreign, values
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import run_virtual

from .test_nodes import PEERS, Node, _async_nodes

SIGN = msgspec.msgpack.encode(NodeHeartbeat("x", "levis", "10.0.0.9:7"))
TIMEOUT = timedelta(milliseconds=300)
NO_PEERS = [
    "nowhere",
    "10.0.0.9",
    "10.0.0.9:0",
    "10.0.0.9:99999",
    "10.0.0.9:x",
    "a b:1",
    "[:1",
    "é:1",
]
NO_PEERS += ["10.0.0.9:" + "9" * 5000, "10.0.0.9:7/x", "10.0.0.9:7\r\nX: y", "a.example:7"]


@given(st.lists(foreign(SIGN) | values.map(msgspec.msgpack.encode), max_size=6))
def test_no_bytes_under_a_nodes_key_raise_and_the_next_sign_is_heard(records: list[bytes]) -> None:
    """Whatever stands there, nothing but what the node itself wrote is believed."""

    async def scene() -> None:
        node = Node(FakeStore(), "a")
        for data in records:
            node.registry.apply_record(KeyedRecord("x", data))
        node.registry.apply_record(KeyedRecord("x", SIGN))
        assert "x" in [sign.node for sign in node.registry.heartbeats()]
        assert all(sign.node == "x" for sign in node.registry.heartbeats())

    run_virtual(scene())


def test_an_unreadable_sign_leaves_the_nodes_last_one_and_is_counted() -> None:
    """The node lives on in the eyes of the others, by what it wrote itself."""

    async def scene() -> None:
        nodes = await _async_nodes(FakeStore())
        other = msgspec.msgpack.encode(NodeHeartbeat("c", "levis", "10.6.6.6:7"))
        for data in (b"\xc1", SIGN[:-3], other, *deep(b"\x95\xa1b\xa1z\xa0\xc2")):
            nodes[0].link.put("keyed.nodes", "b", data)
        await asyncio.sleep(0.1)
        assert nodes[0].live() == ["a", "b", "c"]
        assert {sign.peer for sign in nodes[0].registry.heartbeats()} == set(PEERS.values())
        drops = "cranberryline_drops_total"
        assert nodes[0].metrics.value(drops, reason="node_sign_unreadable") == 8

    run_virtual(scene())


@pytest.mark.parametrize("peer", NO_PEERS)
def test_an_address_that_is_none_is_nobodys_peer(peer: str) -> None:
    """A sign names an address that cannot be called.

    Calls to the store raised when this node's own way there was lost and that peer was asked: every
    tail ended, just when nothing else was left.
    """

    async def scene() -> None:
        node = Node(FakeStore(), "a")
        node.registry.apply_record(
            KeyedRecord("x", msgspec.msgpack.encode(NodeHeartbeat("x", "levis", peer)))
        )
        assert node.registry.heartbeats() == []

    run_virtual(scene())


class _Saying(RequestHandler):
    """Answer a peer's call with given bytes."""

    def initialize(self, answer: bytes) -> None:
        self._answer = answer

    def post(self) -> None:
        self.finish(self._answer)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"\xc1",
        b"\x96\xa0\xa0\x00\x00\x90\x90" + b"\x91" * 50_000,
        msgspec.msgpack.encode(["no such problem"]),
        msgspec.msgpack.encode(["refused", "", 0, 0, [], [], (1 << 64) - 1]),
        b"\x9f" + b"\x91" * 50_000 + b"\x01",
    ],
)
def test_a_peers_answer_that_is_none_leaves_everything_open(answer: bytes) -> None:
    """The store turns this node away, and the peer answers nonsense: the call ends without an answer."""

    async def scene() -> Any:
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(Application([(PATH_RELAY, _Saying, {"answer": answer})]))
        server.add_sockets(sockets)
        address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        link = StoreLink(FakeStore())
        link.refusing = lambda _topic, _part: True
        log = RelayedLog(link, lambda: [address], SystemClock(), Metrics())
        read = await log.async_read("jobs", 0, 0, timedelta(), TIMEOUT)
        appended = await log.async_append("jobs", 0, [b"x"], TIMEOUT)
        server.stop()
        return read, appended

    read, appended = asyncio.run(scene())
    assert isinstance(read, Err) and not isinstance(read, Ok)
    assert appended.unwrap_err().problem is StoreProblem.UNKNOWN

"""Heartbeat records that no gateway wrote, and invalid answers of peers."""

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
INVALID_ADDRESSES = [
    "nowhere",
    "10.0.0.9",
    "10.0.0.9:0",
    "10.0.0.9:99999",
    "10.0.0.9:x",
    "a b:1",
    "[:1",
    "é:1",
]
INVALID_ADDRESSES += ["10.0.0.9:" + "9" * 5000, "10.0.0.9:7/x", "10.0.0.9:7\r\nX: y", "a.example:7"]


@given(st.lists(foreign(SIGN) | values.map(msgspec.msgpack.encode), max_size=6))
def test_no_bytes_under_a_nodes_key_raise_and_the_next_sign_is_heard(records: list[bytes]) -> None:
    """Only valid records that the node itself wrote are used, whatever else is under its key."""

    async def scene() -> None:
        node = Node(FakeStore(), "a")
        for data in records:
            node.registry.apply_record(KeyedRecord("x", data))
        node.registry.apply_record(KeyedRecord("x", SIGN))
        assert "x" in [sign.node for sign in node.registry.heartbeats()]
        assert all(sign.node == "x" for sign in node.registry.heartbeats())

    run_virtual(scene())


def test_unreadable_heartbeat_keeps_the_previous_one_and_is_counted() -> None:
    """Another writer overwrites a node's heartbeat: the node stays live by its own last one."""

    async def scenario() -> None:
        nodes = await _async_nodes(FakeStore())
        other_node = msgspec.msgpack.encode(NodeHeartbeat("c", "levis", "10.6.6.6:7"))
        for data in (b"\xc1", SIGN[:-3], other_node, *deep(b"\x95\xa1b\xa1z\xa0\xc2")):
            nodes[0].link.put("keyed.nodes", "b", data)
        await asyncio.sleep(0.1)
        assert nodes[0].live() == ["a", "b", "c"]
        assert {sign.peer for sign in nodes[0].registry.heartbeats()} == set(PEERS.values())
        drops = "cranberryline_drops_total"
        assert nodes[0].metrics.value(drops, reason="node_sign_unreadable") == 8

    run_virtual(scenario())


@pytest.mark.parametrize("peer", INVALID_ADDRESSES)
def test_heartbeat_with_an_invalid_peer_address_is_ignored(peer: str) -> None:
    """A heartbeat has a peer address that cannot be called.

    When this node's direct connection to the store failed and that peer was called instead, the
    call raised and ended all tails, at the moment when relaying was the only way left.
    """

    async def scenario() -> None:
        node = Node(FakeStore(), "a")
        node.registry.apply_record(
            KeyedRecord("x", msgspec.msgpack.encode(NodeHeartbeat("x", "levis", peer)))
        )
        assert node.registry.heartbeats() == []

    run_virtual(scenario())


class _FixedAnswerHandler(RequestHandler):
    """Responds to relayed calls with given bytes."""

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
def test_invalid_answer_of_a_peer_leaves_the_outcome_unknown(answer: bytes) -> None:
    """The store rejects this node and the peer's answer is invalid: the append may have run."""

    async def scenario() -> Any:
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(Application([(PATH_RELAY, _FixedAnswerHandler, {"answer": answer})]))
        server.add_sockets(sockets)
        address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        link = StoreLink(FakeStore())
        link.refusing = lambda _topic, _part: True
        log = RelayedLog(link, lambda: [address], SystemClock(), Metrics())
        read = await log.async_read("jobs", 0, 0, timedelta(), TIMEOUT)
        appended = await log.async_append("jobs", 0, [b"x"], TIMEOUT)
        server.stop()
        return read, appended

    read, appended = asyncio.run(scenario())
    assert isinstance(read, Err) and not isinstance(read, Ok)
    assert appended.unwrap_err().problem is StoreProblem.UNKNOWN

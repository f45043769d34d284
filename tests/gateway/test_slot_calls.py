"""Exchanges with a keeper at another gateway, over HTTP on loopback."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs
import msgspec
import pytest
from result import Err
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from cranberryline.gateway.slot_calls import (
    PATH_SLOTS,
    HttpSlotTransport,
    SlotExchangeHandler,
    SlotStatusHandler,
)
from cranberryline.ports.http import HttpOrigin, async_exchange
from cranberryline.ports.model import UpstreamRequest
from cranberryline.slots import KeeperProblem, SlotAnswer, SlotExchange
from cranberryline.slots.messages import SlotGranted, WaitingText

TIMEOUT = timedelta(milliseconds=400)
MSG = SlotExchange("vm-1", "s1", 7, "engines", 0, 1, 100, (WaitingText(1, "t", 5000, 10, 20),))
ANSWER = SlotAnswer(7, grants=(SlotGranted(1, "e-1@100"),))
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@attrs.define
class Keeper:
    """A keeper behind a real server; `delay` in seconds passes before each answer."""

    delay: float = 0.0
    is_open: bool = True
    received: list[SlotExchange] = attrs.field(factory=list)
    connections: int = 0
    address: str = ""

    def start(self) -> None:
        """Listen on a free port of loopback."""
        sockets = bind_sockets(0, "127.0.0.1")
        args = {"async_answer": self._async_answer, "is_open": lambda: self.is_open}
        status = {"describe": lambda: {"engines": {"waiting": 1}}}
        app = Application(
            [(PATH_SLOTS, SlotExchangeHandler, args), ("/status", SlotStatusHandler, status)],
            log_function=lambda _: None,
        )
        server = HTTPServer(app)
        handle = server.handle_stream

        def count(*args: object) -> object:
            self.connections += 1
            return handle(*args)  # type: ignore[arg-type]

        server.handle_stream = count  # type: ignore[method-assign]
        server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def _async_answer(self, msg: SlotExchange) -> SlotAnswer:
        self.received.append(msg)
        await asyncio.sleep(self.delay)
        return ANSWER


def test_exchange_and_answer_arrive_whole_on_one_connection() -> None:
    """A connection for each exchange would cost a round trip at every text."""

    async def scenario() -> None:
        keeper, transport = Keeper(), HttpSlotTransport()
        keeper.start()
        for _ in range(5):
            answer = await transport.async_exchange(keeper.address, MSG, TIMEOUT)
            assert answer.unwrap() == ANSWER
        assert keeper.received == [MSG] * 5
        assert keeper.connections == 1
        transport.close()

    asyncio.run(scenario())


def test_connections_to_many_peers_are_bounded() -> None:
    """Gateways come and go for months; connections to those that went must not add up."""

    async def scenario() -> None:
        transport = HttpSlotTransport()
        for number in range(100):
            asked = await transport.async_exchange(f"127.0.0.1:{number + 1}", MSG, TIMEOUT)
            assert isinstance(asked, Err)
        assert len(transport._streams) == 32

    asyncio.run(scenario())


@pytest.mark.parametrize("peer", ["127.0.0.1:9", "nowhere", "127.0.0.1:x", ""])
def test_peer_that_is_not_there_is_unreachable(peer: str) -> None:
    """A gateway that is gone, or whose address can't be read, is not waited for."""

    async def scenario() -> None:
        began_at = asyncio.get_running_loop().time()
        asked = await HttpSlotTransport().async_exchange(peer, MSG, timedelta(seconds=3))
        assert asked.unwrap_err().problem is KeeperProblem.UNREACHABLE
        assert asyncio.get_running_loop().time() - began_at < 1

    asyncio.run(scenario())


def test_silent_peer_costs_its_timeout() -> None:
    """A frozen keeper accepts and says nothing; texts wait for it."""

    async def scenario() -> None:
        keeper = Keeper(delay=30)
        keeper.start()
        began_at = asyncio.get_running_loop().time()
        asked = await HttpSlotTransport().async_exchange(keeper.address, MSG, TIMEOUT)
        took = asyncio.get_running_loop().time() - began_at
        assert asked.unwrap_err().problem is KeeperProblem.SILENT
        assert 0.35 < took < 1

    asyncio.run(scenario())


def test_stopping_peer_rejects_exchanges() -> None:
    """The last moments of a stopping gateway must not grant slots that it can't follow."""

    async def scenario() -> None:
        keeper = Keeper(is_open=False)
        keeper.start()
        asked = await HttpSlotTransport().async_exchange(keeper.address, MSG, TIMEOUT)
        assert asked.unwrap_err().problem is KeeperProblem.REJECTED
        assert asked.unwrap_err().detail == "status 503" and not keeper.received

    asyncio.run(scenario())


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91" * 5000, b"{}"])
def test_body_that_is_no_exchange_gets_400(body: bytes) -> None:
    """Whatever a peer of another version sends, the keeper goes on."""

    async def scenario() -> None:
        keeper = Keeper()
        keeper.start()
        req = UpstreamRequest("POST", PATH_SLOTS, (), body)
        response = await async_exchange(HttpOrigin(f"http://{keeper.address}"), req, TIMEOUT)
        assert response.unwrap().head.status == 400
        assert not keeper.received

    asyncio.run(scenario())


def test_operators_read_the_description() -> None:
    """Operators have to see what trainers hold and wait for."""

    async def scenario() -> None:
        keeper = Keeper()
        keeper.start()
        req = UpstreamRequest("GET", "/status")
        response = await async_exchange(HttpOrigin(f"http://{keeper.address}"), req, TIMEOUT)
        data = await response.unwrap().async_whole()
        assert msgspec.json.decode(data) == {"engines": {"waiting": 1}}

    asyncio.run(scenario())


def _head(length: int, status: str = "200 OK") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n".encode()


_PACKED = msgspec.msgpack.encode(ANSWER)


@pytest.mark.parametrize(
    ("data", "closes", "problem"),
    [
        (b"", True, KeeperProblem.UNREACHABLE),
        (b"\x00\xff garbage\r\n\r\n", True, KeeperProblem.UNREACHABLE),
        (b"\x00\xff garbage\r\n\r\n", False, KeeperProblem.UNREACHABLE),
        (_head(50) + b"short", True, KeeperProblem.UNREACHABLE),
        (_head(50) + b"short", False, KeeperProblem.SILENT),
        (_head(2) + b"\xc1\xc1", False, KeeperProblem.UNREADABLE),
        (_head(0), False, KeeperProblem.UNREADABLE),
        (_head(2000) + b"\x91" * 2000, False, KeeperProblem.UNREADABLE),
        (_head(len(_PACKED), "404 Not Found") + _PACKED, False, KeeperProblem.REJECTED),
    ],
)
def test_bad_answer_is_an_error(data: bytes, closes: bool, problem: KeeperProblem) -> None:
    """A keeper that is cut off, or another program at its address, must not raise or grant."""

    async def scenario() -> None:
        async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                while not writer.is_closing():
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(data)
                    await writer.drain()
                    if closes:
                        writer.close()

        server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        transport = HttpSlotTransport()
        for _ in range(2):
            asked = await transport.async_exchange(f"{host}:{port}", MSG, TIMEOUT)
            assert asked.unwrap_err().problem is problem
        server.close()

    asyncio.run(scenario())

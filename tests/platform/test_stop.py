"""A gateway that stops while its callers hold connections and go on asking."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import attrs
import pytest

from cranberryline.gateway import stop as gateway_stop
from cranberryline.gateway.ingress import IngressHandler
from cranberryline.gateway.relay import RelayedLog
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from stand_ins import platform_sampler
from tests.store_fake import FakeStore, StoreLink

from .conftest import HOST, Platform, async_nothing, async_platform, async_until, play

_TIMEOUT_S = 15


@attrs.define
class _Caller:
    """A caller with a connection of its own, which it keeps unless it is told to close it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    told_to_close: bool = False

    def send(self, request_id: str, path: str = "/files/x") -> None:
        """Send a whole request."""
        head = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\nDeadline-Ms: 3000\r\n\r\n"
        self.writer.write(head.encode())

    async def async_answer(self) -> bytes | None:
        """Return the answer's body, or None when the connection ended before the answer was whole."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            (length,) = (int(ln.split(":")[1]) for ln in lines if ln.startswith("content-length:"))
            body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        self.told_to_close = "connection: close" in lines
        return body


@asynccontextmanager
async def _callers(platform: Platform, count: int) -> AsyncIterator[list[_Caller]]:
    """Open connections and use each once, so that they are kept."""
    host, _, port = platform.addresses[0].rpartition(":")
    callers = [_Caller(*await asyncio.open_connection(host, int(port))) for _ in range(count)]
    for number, caller in enumerate(callers):
        caller.send(f"first{number}")
        assert await caller.async_answer() is not None
    yield callers
    for caller in callers:
        caller.writer.close()


def _ran(platform: Platform) -> set[str]:
    return {run.id for sampler in platform.samplers for run in sampler.runs}


def test_a_request_taken_late_in_a_stop_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Callers ask now and then on connections that they keep, and the service takes a while.

    Some request is always under way, so a stop that waits until there is none goes on taking new ones up to
    its bound, and then cuts the ones that it took last: run by an upstream, without an answer.
    """
    monkeypatch.setattr(gateway_stop, "_BALANCER_NOTICE", gateway_stop._BALANCER_NOTICE / 10)

    async def scene() -> None:
        platform = await async_platform()
        for sampler in platform.samplers:
            sampler.delay_s = 0.5
        gateway = platform.gateways[0]
        async with _callers(platform, 14) as callers:
            stop = asyncio.ensure_future(gateway.async_stop())
            asked = []

            async def ask(number: int, caller: _Caller) -> None:
                # One begins each 0.2 s: two or three are under way at any time.
                await asyncio.sleep(0.2 * number)
                caller.send(f"late{number}")
                asked.append((f"late{number}", await caller.async_answer()))

            async with asyncio.timeout(_TIMEOUT_S):
                await asyncio.gather(*(ask(*pair) for pair in enumerate(callers)))
                await stop
            await gateway.async_close()
        ran = _ran(platform)
        assert [request for request, answer in asked if request in ran and answer is None] == []

    play(scene())


def test_an_answer_that_is_still_being_sent_is_sent_to_its_end() -> None:
    """The stop begins while a long answer waits for a caller who reads slowly.

    Its handler has ended. A stop that counts handlers closes the connection with what the socket had not
    taken, and the caller has a part of the answer.
    """

    async def scene() -> None:
        platform = await async_platform()
        for sampler in platform.samplers:
            sampler.length = 16 * 2**20
        gateway = platform.gateways[0]
        host, _, port = platform.addresses[0].rpartition(":")
        caller = _Caller(*await asyncio.open_connection(host, int(port), limit=2**10))
        caller.send("long")
        await async_until(lambda: any(sampler.runs for sampler in platform.samplers))
        await async_until(lambda: gateway.dispatcher.in_flight == 0)
        stop = asyncio.ensure_future(gateway.async_stop())
        await asyncio.sleep(gateway_stop._BALANCER_NOTICE.total_seconds() + 0.5)
        body = await caller.async_answer()
        caller.writer.close()
        await stop
        await gateway.async_close()
        assert body is not None and len(body) == 16 * 2**20

    play(scene())


def _peer_of(address: str) -> RelayedLog:
    """Return the store of a node that reaches it through a peer only."""
    link = StoreLink(FakeStore())
    link.refusing = lambda _topic, _part: True
    return RelayedLog(link, lambda: [address], SystemClock(), Metrics())


@pytest.mark.parametrize("readers", [0, 1, 2])
@pytest.mark.parametrize("stay", [True, False])
def test_a_peer_s_append_under_way_is_answered(
    monkeypatch: pytest.MonkeyPatch, readers: int, stay: bool
) -> None:
    """A gateway without the store appends through a peer that stops meanwhile.

    Closed without an answer, the append may stand or not: the caller whose job it keeps is told neither.
    Others wait there for records, and some of them have gone: neither must hold the stop, nor hide the append.
    """
    monkeypatch.setattr(gateway_stop, "_BALANCER_NOTICE", timedelta())

    async def scene() -> None:
        platform = await async_platform()
        gateway = platform.gateways[0]
        gateway.nodes.async_write_heartbeat = async_nothing  # type: ignore[method-assign]
        stopping = platform.settings[0].peer
        second = timedelta(seconds=1)
        reads = [
            asyncio.ensure_future(
                _peer_of(stopping).async_read("keyed.servers", 0, 10**6, 3 * second, 4 * second)
            )
            for _ in range(readers)
        ]
        await async_until(lambda: gateway._peer_server.open_requests == readers)
        await asyncio.sleep(0.05)
        for read in () if stay else reads:
            read.cancel()
        await async_until(lambda: gateway._peer_server.open_requests == (readers if stay else 0))
        platform.store.append_s = 0.5
        append = asyncio.ensure_future(_peer_of(stopping).async_append("t", 0, [b"a"], 2 * second))
        await async_until(
            lambda: gateway._peer_server.open_requests == 1 + (readers if stay else 0)
        )
        began = SystemClock().monotonic()
        await gateway.async_stop()
        took = SystemClock().monotonic() - began
        await gateway.async_close()
        assert (await append).is_ok() and took < 1.5 * second

    play(scene())


def test_requests_sent_one_behind_the_other_are_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller sends two requests at once on one connection, and the stop begins during the first."""
    monkeypatch.setattr(gateway_stop, "_BALANCER_NOTICE", timedelta())

    async def scene() -> None:
        platform = await async_platform()
        for sampler in platform.samplers:
            sampler.delay_s = 0.5
        gateway = platform.gateways[0]
        gateway.nodes.async_write_heartbeat = async_nothing  # type: ignore[method-assign]
        async with _callers(platform, 1) as (caller,):
            caller.send("one")
            caller.send("two")
            await async_until(lambda: gateway.dispatcher.in_flight == 1)
            await gateway.async_stop()
            answers = [await caller.async_answer() for _ in range(2)]
            await gateway.async_close()
        assert answers == [b"answer to one", b"answer to two"]

    play(scene())


def test_the_first_request_of_a_connection_made_just_before_the_port_closed_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The balancer hands a connection over in the moment in which the stop closes the port."""
    monkeypatch.setattr(gateway_stop, "_BALANCER_NOTICE", timedelta())

    async def scene() -> None:
        platform = await async_platform()
        gateway = platform.gateways[0]
        gateway.nodes.async_write_heartbeat = async_nothing  # type: ignore[method-assign]
        host, _, port = platform.addresses[0].rpartition(":")
        caller = _Caller(*await asyncio.open_connection(host, int(port)))
        await async_until(lambda: gateway._caller_server.at_rest == 1)
        stop = asyncio.ensure_future(gateway.async_stop())
        await asyncio.sleep(0.01)
        caller.send("first")
        answer = await caller.async_answer()
        await stop
        await gateway.async_close()
        caller.writer.close()
        assert answer == b"answer to first"

    play(scene())


def test_a_body_that_is_still_coming_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request's headers are there and half of its body: its connection reads on, but is not at rest."""
    monkeypatch.setattr(gateway_stop, "_BALANCER_NOTICE", timedelta())

    async def scene() -> None:
        platform = await async_platform()
        gateway = platform.gateways[0]
        gateway.nodes.async_write_heartbeat = async_nothing  # type: ignore[method-assign]
        async with _callers(platform, 1) as (caller,):
            head = f"POST /files/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: slow\r\nContent-Length: 4\r\n\r\n"
            caller.writer.write(head.encode() + b"ab")
            await async_until(lambda: gateway._caller_server.open_requests == 1)
            stop = asyncio.ensure_future(gateway.async_stop())
            await asyncio.sleep(0.3)
            caller.writer.write(b"cd")
            answer = await caller.async_answer()
            await stop
            await gateway.async_close()
        assert answer == b"answer to slow"

    play(scene())


def test_a_connection_is_closed_behind_a_stream_that_began_before_the_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its head could not say that the connection will close, so its caller asks on it again.

    That request must not be taken: it may come as late in the stop as the stream ends.
    """
    monkeypatch.setattr(gateway_stop, "_BALANCER_NOTICE", timedelta())

    async def scene() -> None:
        platform = await async_platform()
        gateway = platform.gateways[0]
        gateway.nodes.async_write_heartbeat = async_nothing  # type: ignore[method-assign]
        monkeypatch.setattr(platform_sampler, "EVENT_PAUSE", 0.1)
        async with _callers(platform, 1) as (caller,):
            caller.send("stream", "/stream/x")
            assert b"connection: close" not in (await caller.reader.readuntil(b"\r\n\r\n")).lower()
            stop = asyncio.ensure_future(gateway.async_stop())
            await caller.reader.readuntil(b"\r\n0\r\n\r\n")
            caller.send("again")
            assert await caller.async_answer() is None
            await stop
            await gateway.async_close()
        assert "again" not in _ran(platform)

    play(scene())


@pytest.mark.parametrize("turns", range(10))
def test_a_request_read_just_before_the_close_is_answered(
    monkeypatch: pytest.MonkeyPatch, turns: int
) -> None:
    """A caller's request arrives some turns of the loop before the stop closes the connections.

    Seen as a request that was taken 4.4 s after SIGTERM, run by an upstream and cut 2 ms later. A stop that counts
    handlers at work sees nothing for one to three turns between the read from the socket and the handler, and
    closes. With the code of that time the handler then passed the request on; later it dropped it.
    """
    monkeypatch.setattr(gateway_stop, "_BALANCER_NOTICE", timedelta())
    monkeypatch.setattr(gateway_stop, "_ARRIVAL_GRACE", timedelta())
    handed: list[str] = []
    prepare = IngressHandler.prepare

    def note(handler: IngressHandler) -> None:
        handed.append(handler.request.headers["Attempt-Id"])
        prepare(handler)

    monkeypatch.setattr(IngressHandler, "prepare", note)

    async def scene() -> None:
        platform = await async_platform()
        gateway = platform.gateways[0]
        gateway.nodes.async_write_heartbeat = async_nothing  # type: ignore[method-assign]
        async with _callers(platform, 1) as (caller,):
            caller.send("crossing")
            for _ in range(turns):
                await asyncio.sleep(0)
            await gateway.async_stop()
            answer = await caller.async_answer()
            await gateway.async_close()
        assert answer is not None or not ({"crossing"} & (_ran(platform) | set(handed)))

    play(scene())

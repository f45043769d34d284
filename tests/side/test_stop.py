"""Stop of a side process while requests or responses are still in transit to or from entries."""

import asyncio
import itertools
import socket
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from concurrent.futures import Future
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta
from typing import Any

import attrs
import pytest
import zmq
from result import Err, Result

from cranberryline.helpers.clock import SystemClock
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import EngineLoad
from cranberryline.settings import SideSettings
from cranberryline.side import app as side_app
from cranberryline.side.app import SideProcess
from cranberryline.transport import Dialer, DialerEvents, Exchange
from cranberryline.transport.model import Chunk, End, Head, Hello, Message, NotRun, Submit
from stand_ins.process import free_ports
from tests.configs.config_fakes import FakeLog
from tests.execution.conftest import FakeUpstream

_SERVICE = "dossiers"
_SECOND = timedelta(seconds=1)


class _Engine(FakeUpstream):
    """An upstream whose load report cannot be requested."""

    async def async_load(self) -> Result[EngineLoad, PlatformError]:
        """Return an error for an unreachable upstream."""
        return Err(PlatformError(PlatformReason.UNREACHABLE, may_have_run=False))


@attrs.define
class _Side:
    """A side process, its upstream, and the address that entries connect to."""

    process: SideProcess
    upstream: _Engine
    peer: str


@asynccontextmanager
async def _async_start_side(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[_Side]:
    """Start a side process on the test's event loop."""
    upstream = _Engine()
    monkeypatch.setattr(side_app, "HttpLog", lambda _: FakeLog())
    monkeypatch.setattr(side_app, "HttpEngine", lambda _: upstream)
    listen, peer = free_ports(2)
    cfg = SideSettings(
        vm_id="dossiers-1",
        data_center="levis",
        service=_SERVICE,
        log_url="http://127.0.0.1:1",
        upstream_url="http://127.0.0.1:1",
        listen=f"127.0.0.1:{listen}",
        peer=f"tcp://127.0.0.1:{peer}",
    )
    process = SideProcess(cfg, SystemClock())
    process.start()
    yield _Side(process, upstream, cfg.peer)


class _Entry:
    """An entry's connection to a side process, on a separate event loop and thread."""

    def __init__(self, address: str) -> None:
        ids = itertools.count(1)
        self.loop = asyncio.new_event_loop()
        self._ctx = zmq.Context()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()
        hello = Hello("entry-1", "life-e", "entry", "levis", 0)
        args = (address, lambda: hello, DialerEvents(), lambda: next(ids))
        self.dialer = Dialer(self._ctx, SystemClock(), "dossiers-1", *args)
        self._running = self.start(self.dialer.async_run())

    def start(self, awaitable: Awaitable[Any]) -> "Future[Any]":
        """Run an awaitable on the entry's event loop."""
        return asyncio.run_coroutine_threadsafe(awaitable, self.loop)  # type: ignore[arg-type]

    async def async_wait_connected(self) -> None:
        """Wait until the connection is established."""
        async with asyncio.timeout(5):
            while self.dialer.welcome is None:  # noqa: ASYNC110 - set on another event loop
                await asyncio.sleep(0.01)

    def submit(self) -> Exchange:
        """Send a non-idempotent request; call this only on the entry's event loop."""
        exchange = self.dialer.open(_submit_message, 0)
        assert exchange is not None
        return exchange

    def close(self) -> None:
        """Close the connection and end the thread."""
        self._running.cancel()
        self.loop.call_soon_threadsafe(self.loop.call_later, 0.1, self.loop.stop)
        self._thread.join()
        self.loop.close()
        self._ctx.destroy(linger=0)


@contextmanager
def _running_entry(address: str) -> Iterator[_Entry]:
    entry = _Entry(address)
    try:
        yield entry
    finally:
        entry.close()


def _submit_message(request_id: int, incarnation: str) -> Message:
    return Submit(
        id=request_id,
        incarnation=incarnation,
        service=_SERVICE,
        method="POST",
        path="/",
        headers=(),
        body=b"",
        budget_ms=10_000,
        priority=0,
        idempotent=False,
        key="",
        tokens=0,
    )


async def _async_collect_response(exchange: Exchange) -> tuple[Message | None, int]:
    """Return the final message received for a request and the length of the response body."""
    size = 0
    while True:
        msg = await exchange.async_next(5 * _SECOND)
        if isinstance(msg, Chunk):
            size += len(msg.data)
        elif not isinstance(msg, Head):
            return msg, size


def test_request_sent_before_drain_is_read_is_reported_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An entry whose event loop is busy sends a request before it reads the drain announcement.

    The idle side process had already closed its socket by then. The connection was lost with the
    request outstanding, and the caller was told that it may have run, although it was never read.
    Reported as not run, it can run on another upstream.
    """

    async def async_busy_then_submit(entry: _Entry) -> Message | None:
        time.sleep(0.5)  # noqa: ASYNC251 - blocks this event loop on purpose
        return (await _async_collect_response(entry.submit()))[0]

    async def async_scenario() -> None:
        async with _async_start_side(monkeypatch) as side:
            with _running_entry(side.peer) as entry:
                await entry.async_wait_connected()
                answered = entry.start(async_busy_then_submit(entry))
                await side.process.async_stop()
                await side.process.async_close()
                answer = await asyncio.wrap_future(answered)
            assert isinstance(answer, NotRun)

    asyncio.run(async_scenario())


class _PausableProxy:
    """A TCP proxy that can pause the traffic towards the connecting side."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.removeprefix("tcp://").rpartition(":")
        self._port = int(port)
        self.unblocked = threading.Event()
        self.unblocked.set()
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"tcp://127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._forward, daemon=True).start()

    def close(self) -> None:
        """Close the listening port."""
        self._server.close()

    def _forward(self) -> None:
        client_sock, _ = self._server.accept()
        side_sock = socket.socket()
        side_sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2**14)
        side_sock.connect((self._host, self._port))
        threading.Thread(
            target=_copy, args=(client_sock, side_sock, lambda: None), daemon=True
        ).start()
        _copy(side_sock, client_sock, self.unblocked.wait)


def _copy(source: socket.socket, sink: socket.socket, wait: Callable[[], object]) -> None:
    """Copy data until either end closes; call `wait` before each write."""
    try:
        while data := source.recv(2**14):
            wait()
            sink.sendall(data)
    except OSError:
        pass
    finally:
        sink.close()


def test_stop_does_not_drop_responses_queued_for_a_slow_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests finish late in the stop, while the link to the entry is blocked for one second.

    If the socket is closed shortly after the last response was queued, it drops the responses that
    have not been sent: the requests have run, but their callers receive truncated responses.
    """
    request_count, size = 64, 200 * 1024

    async def async_submit_all(entry: _Entry) -> list[tuple[Message | None, int]]:
        exchanges = [entry.submit() for _ in range(request_count)]
        return await asyncio.gather(*(_async_collect_response(exchange) for exchange in exchanges))

    async def async_scenario() -> None:
        async with _async_start_side(monkeypatch) as side:
            side.upstream.parts = [bytes(size)]
            side.upstream.gate.clear()
            side.process.runner.set_concurrency(request_count)
            link = _PausableProxy(side.peer)
            with _running_entry(link.address) as entry:
                await entry.async_wait_connected()
                answers = entry.start(async_submit_all(entry))
                async with asyncio.timeout(5):
                    while len(side.upstream.runs) < request_count:  # noqa: ASYNC110 - no event
                        await asyncio.sleep(0.01)
                stop = asyncio.ensure_future(side.process.async_stop())
                await asyncio.sleep(0.3)
                link.unblocked.clear()
                side.upstream.gate.set()
                threading.Timer(1.0, link.unblocked.set).start()
                await stop
                await side.process.async_close()
                responses = await asyncio.wrap_future(answers)
            link.close()
            complete = [isinstance(last, End) and length == size for last, length in responses]
            assert complete.count(True) == request_count

    asyncio.run(async_scenario())


def test_frozen_entry_does_not_block_the_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """An entry is frozen, or has just been killed, when the side process stops.

    It never acknowledges the drain announcement. Waiting for it without a limit would delay the
    stop until it is forced. A connection that is silent for three seconds counts as lost at both
    ends.
    """

    async def async_scenario() -> None:
        async with _async_start_side(monkeypatch) as side:
            with _running_entry(side.peer) as entry:
                await entry.async_wait_connected()
                unfreeze = threading.Event()
                entry.loop.call_soon_threadsafe(unfreeze.wait)
                try:
                    async with asyncio.timeout(5):
                        await side.process.async_stop()
                        await side.process.async_close()
                finally:
                    unfreeze.set()

    asyncio.run(async_scenario())

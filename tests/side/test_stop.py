"""A side process that stops while entries still have messages for it, or answers to get from it."""

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
    """An upstream that tells no load."""

    async def async_load(self) -> Result[EngineLoad, PlatformError]:
        """Return that it cannot be reached."""
        return Err(PlatformError(PlatformReason.UNREACHABLE, may_have_run=False))


@attrs.define
class _Side:
    """A side process, its upstream, and the address at which entries reach it."""

    process: SideProcess
    upstream: _Engine
    peer: str


@asynccontextmanager
async def _async_side(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[_Side]:
    """Start a side process in the test's loop."""
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
    """An entry's connection to a side process, on a loop and in a thread of its own."""

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

    def start(self, work: Awaitable[Any]) -> "Future[Any]":
        """Run something on the entry's loop."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)  # type: ignore[arg-type]

    async def async_reach(self) -> None:
        """Wait until the connection is up."""
        async with asyncio.timeout(5):
            while self.dialer.welcome is None:  # noqa: ASYNC110 - another loop's plain state
                await asyncio.sleep(0.01)

    def submit(self) -> Exchange:
        """Send a call that may not be repeated; only on the entry's loop."""
        exchange = self.dialer.open(_submit, 0)
        assert exchange is not None
        return exchange

    def close(self) -> None:
        """End the connection and the thread."""
        self._running.cancel()
        self.loop.call_soon_threadsafe(self.loop.call_later, 0.1, self.loop.stop)
        self._thread.join()
        self.loop.close()
        self._ctx.destroy(linger=0)


@contextmanager
def _entry(address: str) -> Iterator[_Entry]:
    entry = _Entry(address)
    try:
        yield entry
    finally:
        entry.close()


def _submit(request_id: int, life: str) -> Message:
    return Submit(
        id=request_id,
        incarnation=life,
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


async def _async_follow(exchange: Exchange) -> tuple[Message | None, int]:
    """Return the last message of an answer, or what came instead, and the length of its body."""
    size = 0
    while True:
        msg = await exchange.async_next(5 * _SECOND)
        if isinstance(msg, Chunk):
            size += len(msg.data)
        elif not isinstance(msg, Head):
            return msg, size


def test_a_call_that_crosses_the_drain_is_vouched_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """An entry whose loop was busy sends a call before it reads that the side process drains.

    The side process had nothing to do and was gone by then: the connection is lost under the call, and the
    caller is told that it may have run. It was never read. Vouched for, it runs elsewhere.
    """

    async def async_busy_then_submit(entry: _Entry) -> Message | None:
        time.sleep(0.5)  # noqa: ASYNC251 - this loop is to stand still
        return (await _async_follow(entry.submit()))[0]

    async def scene() -> None:
        async with _async_side(monkeypatch) as side:
            with _entry(side.peer) as entry:
                await entry.async_reach()
                answered = entry.start(async_busy_then_submit(entry))
                await side.process.async_stop()
                await side.process.async_close()
                answer = await asyncio.wrap_future(answered)
            assert isinstance(answer, NotRun)

    asyncio.run(scene())


class _Narrow:
    """A way to an address that can be stopped up towards the one who dialled."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.removeprefix("tcp://").rpartition(":")
        self._port = int(port)
        self.open = threading.Event()
        self.open.set()
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"tcp://127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._carry, daemon=True).start()

    def close(self) -> None:
        """Let go of the port."""
        self._server.close()

    def _carry(self) -> None:
        near, _ = self._server.accept()
        far = socket.socket()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2**14)
        far.connect((self._host, self._port))
        threading.Thread(target=_copy, args=(near, far, lambda: None), daemon=True).start()
        _copy(far, near, self.open.wait)


def _copy(source: socket.socket, sink: socket.socket, wait: Callable[[], object]) -> None:
    """Copy until either end closes."""
    try:
        while data := source.recv(2**14):
            wait()
            sink.sendall(data)
    except OSError:
        pass
    finally:
        sink.close()


def test_answers_that_wait_for_a_slow_link_still_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    """The runs end late in the stop, and their answers wait in the queue of a link that is slow for a second.

    Closed a moment after the last answer was queued, the socket drops what has not left: the calls ran, and
    their callers see an answer that breaks off.
    """
    calls, size = 64, 200 * 1024

    async def async_ask(entry: _Entry) -> list[tuple[Message | None, int]]:
        exchanges = [entry.submit() for _ in range(calls)]
        return await asyncio.gather(*(_async_follow(exchange) for exchange in exchanges))

    async def scene() -> None:
        async with _async_side(monkeypatch) as side:
            side.upstream.parts = [bytes(size)]
            side.upstream.gate.clear()
            side.process.runner.set_concurrency(calls)
            link = _Narrow(side.peer)
            with _entry(link.address) as entry:
                await entry.async_reach()
                answers = entry.start(async_ask(entry))
                async with asyncio.timeout(5):
                    while len(side.upstream.runs) < calls:  # noqa: ASYNC110 - a plain list
                        await asyncio.sleep(0.01)
                stop = asyncio.ensure_future(side.process.async_stop())
                await asyncio.sleep(0.3)
                link.open.clear()
                side.upstream.gate.set()
                threading.Timer(1.0, link.open.set).start()
                await stop
                await side.process.async_close()
                got = await asyncio.wrap_future(answers)
            link.close()
            whole = [isinstance(last, End) and length == size for last, length in got]
            assert whole.count(True) == calls

    asyncio.run(scene())


def test_an_entry_that_says_nothing_holds_no_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """An entry is frozen, or was killed a moment ago, when the side process stops.

    Its word that it has read the drain never comes. Waited for without a bound it would hold the stop until
    it is forced; a connection that is silent for three seconds counts as lost at both ends.
    """

    async def scene() -> None:
        async with _async_side(monkeypatch) as side:
            with _entry(side.peer) as entry:
                await entry.async_reach()
                thaw = threading.Event()
                entry.loop.call_soon_threadsafe(thaw.wait)
                try:
                    async with asyncio.timeout(5):
                        await side.process.async_stop()
                        await side.process.async_close()
                finally:
                    thaw.set()

    asyncio.run(scene())

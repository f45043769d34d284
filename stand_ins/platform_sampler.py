"""A stand-in for the users' platform's upstreams: plain services and model samplers."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["PlatformSampler", "Run"]

_ids = itertools.count(1)
EVENTS = 6
EVENT_PAUSE = 0.01
# Of an answer without an end; other stand-ins in this process have to go on beside it.
_FILLER_BYTES = 64 * 1024
_FILLER_PAUSE = 0.005


@attrs.frozen
class Run:
    """A request that a sampler ran."""

    id: str
    path: str
    body: bytes
    headers: dict[str, str]


@attrs.define(eq=False)
class PlatformSampler:
    """One sampler; the fields say how it answers.

    `watch` is called with the sampler, the request's id and the caller's port, for each request that
    reaches it, also for those that it turns away. A run whose path or body holds `crash_on` ends the
    process `crash_after_s` after it began; `crashed` is called then. One that holds `reset_on` only loses
    its connection.
    """

    service: str
    model: str = ""
    version: int = 1
    id: str = attrs.field(factory=lambda: f"i-{next(_ids)}")
    born: int = 1_000
    delay_s: float = 0.0
    shed: int = 0
    fail: int = 0
    silent: int = 0
    cut_after: int = 0
    hang_after: int = 0
    seal: bool = True
    spoil_id: int = 0
    # So many answers of plain services, refusals too, come once more before the next on their connection.
    late: int = 0
    # So many answers go on until their caller closes.
    endless: int = 0
    # Texts that run at once and that wait at most; without a queue, any number runs.
    slots: int = 4
    queue: int | None = None
    held: int = 0
    most_held: int = 0
    full: int = 0
    # Seconds before each event of a text.
    pause_s: float = EVENT_PAUSE
    # Answers are this many bytes long at least, and so is each event of a text. With `long_on`, only those to
    # requests whose path holds it are.
    length: int = 0
    long_on: bytes = b""
    event_bytes: int = 0
    # So much of each body is kept in `runs`.
    kept_bytes: int | None = None
    runs: list[Run] = attrs.field(factory=list)
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    versions_of: dict[str, set[int]] = attrs.field(factory=dict)
    sequence: int = 0
    fence: int = 0
    address: str = ""
    watch: "Callable[[PlatformSampler, str, int], None] | None" = None
    crash_on: bytes = b""
    crash_after_s: float = 0.03
    reset_on: bytes = b""
    crashed: "Callable[[PlatformSampler], None] | None" = None
    ending: "asyncio.Future[None] | None" = None
    turns: asyncio.Semaphore = attrs.field(init=False)
    _server: HTTPServer | None = None

    def __attrs_post_init__(self) -> None:
        """Let as many texts run at once as there are slots."""
        self.turns = asyncio.Semaphore(self.slots)

    def start(self) -> None:
        """Listen on a free port of loopback, or at the address given."""
        sampler = {"sampler": self}
        app = Application(
            [
                ("/api/report", _Report, sampler),
                ("/api/order", _Order, sampler),
                (".*", _Serve, sampler),
            ],
            log_function=lambda _: None,
        )
        port = int(self.address.rpartition(":")[2] or 0)
        sockets = bind_sockets(port, "127.0.0.1")
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    async def async_kill(self) -> None:
        """Stop listening and reset every connection, as a process that is killed."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def start_again(self, elsewhere: bool = False, **fields: Any) -> "PlatformSampler":
        """Return the next start under this id, which knows nothing of this one.

        What runs at this one hangs, as at a machine that lost power: its connections stay open, and
        those that wait would be answered by this one, late.
        """
        self.stop()
        address = "" if elsewhere else self.address
        kept = {"model": self.model, "version": self.version, "id": self.id}
        told = {
            **kept,
            "born": self.born + 1_000,
            "crash_on": self.crash_on,
            "crash_after_s": self.crash_after_s,
            "crashed": self.crashed,
            "address": address,
            "watch": self.watch,
            "slots": self.slots,
            "queue": self.queue,
            "pause_s": self.pause_s,
            "length": self.length,
            "long_on": self.long_on,
            "kept_bytes": self.kept_bytes,
            **fields,
        }
        again = PlatformSampler(self.service, **told)
        again.start()
        return again

    def beat(self, state: str = "ready") -> dict[str, Any]:
        """Return what the sampler writes of itself."""
        models = [{"name": self.model, "version": self.version}] if self.model else []
        return {
            "service": self.service,
            "address": self.address,
            "zone": "levis",
            "version": "1",
            "slots": self.slots,
            "cold_left_ms": 0,
            "state": state,
            "models": models,
            "seq": self.sequence,
            "born": self.born,
        }


class _Handler(RequestHandler):
    def initialize(self, sampler: PlatformSampler) -> None:
        """Take the sampler."""
        self.sampler = sampler


class _Report(_Handler):
    def get(self) -> None:
        """Tell what is served."""
        made = self.sampler
        models = [{"name": made.model, "version": made.version}]
        report = {"busy": False, "seq": made.sequence, "running": 0, "models": models}
        self.finish({**report, "born": made.born})


class _Order(_Handler):
    def post(self) -> None:
        """Carry an order out at once, unless its number or precondition is old."""
        order, made = msgspec.json.decode(self.request.body), self.sampler
        if self.request.headers.get("Target-Instance") != made.id:
            self.set_status(421)
            return
        if order["fencing_token"] < made.fence:
            self.set_status(412)
            return
        if order["precondition"] != made.sequence:
            self.set_status(409)
            return
        made.fence, made.version = order["fencing_token"], order["version"]
        made.sequence += 1
        made.orders.append(order)
        self.set_status(202)


class _Serve(_Handler):
    _body = b""
    _holds = False
    _run: "asyncio.Future[None] | None" = None
    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE")

    def initialize(self, sampler: PlatformSampler) -> None:
        """Take the sampler; bodies are bytes here, also those of forms."""
        super().initialize(sampler)
        self.request._parse_body = lambda: None  # type: ignore[method-assign]

    async def serve(self) -> None:
        """Run a request as the fields say, or turn it away."""
        made, headers = self.sampler, self.request.headers
        await self._async_repeat()
        if made.watch is not None:
            caller = self.request.connection.context.address  # type: ignore[union-attr]
            made.watch(made, headers.get("Attempt-Id", ""), caller[1])
        if "Attempt-Id" in headers:
            self.set_header("Attempt-Id", headers["Attempt-Id"])
        if headers.get("Target-Instance") not in (None, made.id):
            self.set_status(421)
            self.set_header("Instance-Id", made.id)
            return
        if made.shed:
            made.shed -= 1
            self.set_status(503)
            self.set_header("Not-Run", "1")
            return
        if not self._hold():
            self.set_status(503)
            self.set_header("Not-Run", "1")
            return
        self._run = asyncio.ensure_future(self._async_run_in_turn())
        await asyncio.wait((self._run,))
        self._leave()
        if not self._run.cancelled():
            self._run.result()

    async def _async_run_in_turn(self) -> None:
        """Run a text once a slot is free, where a queue is set."""
        if self.sampler.queue is None:
            await self._async_run()
            return
        async with self.sampler.turns:
            await self._async_run()

    def _hold(self) -> bool:
        """Take the text in, unless all slots and the queue are full."""
        made = self.sampler
        if made.queue is not None and made.held >= made.slots + made.queue:
            made.full += 1
            return False
        self._holds = True
        made.held += 1
        made.most_held = max(made.most_held, made.held)
        return True

    def _leave(self) -> None:
        if self._holds:
            self._holds = False
            self.sampler.held -= 1

    def on_connection_close(self) -> None:
        """Give up the slot of a text whose caller is gone; an engine with a queue ends it."""
        self._leave()
        if self.sampler.queue is not None and self._run is not None:
            self._run.cancel()

    async def _async_run(self) -> None:
        made, headers = self.sampler, self.request.headers
        name = headers["Attempt-Id"]
        body = self.request.body[: made.kept_bytes]
        run = Run(name, self.request.uri or "", body, dict(headers.get_all()))
        made.runs.append(run)
        asked = run.path.encode() + b" " + run.body
        if made.crash_on and made.crash_on in asked:
            await self._async_crash()
            return
        if made.reset_on and made.reset_on in asked:
            self._reset()
            return
        if made.silent:
            made.silent -= 1
            await asyncio.sleep(60)
        await asyncio.sleep(made.delay_s)
        if made.spoil_id:
            made.spoil_id -= 1
            name = "another"
        self.set_header("Attempt-Id", name)
        if made.fail:
            made.fail -= 1
            self.set_status(500)
            return
        if made.seal:
            self.set_header("Response-Seal", f"seal-{name}")
        if made.endless:
            made.endless -= 1
            await self._async_endless()
            return
        if made.model:
            await self._async_events(name)
            return
        length = made.length if made.long_on in run.path.encode() else 0
        self._body = (b"answer to " + name.encode()).ljust(length, b".")
        self.finish(self._body)

    async def _async_endless(self) -> None:
        """Send bytes that are no answer until the caller closes."""
        while True:
            self.write(b"." * _FILLER_BYTES)
            try:
                await self.flush()
            except StreamClosedError:
                return
            await asyncio.sleep(_FILLER_PAUSE)

    async def _async_repeat(self) -> None:
        """Send the answer again that is to come late on this connection."""
        conn: Any = self.request.connection
        late, conn.context.late_answer = getattr(conn.context, "late_answer", b""), b""
        if late:
            await conn.stream.write(late)

    def on_finish(self) -> None:
        """Keep the answer for the next request on the connection, if it is to come late."""
        made = self.sampler
        if made.model or not made.late:
            return
        made.late -= 1
        told = (f"{name}: {value}" for name, value in self._headers.get_all())
        head = "\r\n".join((f"HTTP/1.1 {self.get_status()} X", *told, "", ""))
        self.request.connection.context.late_answer = (  # type: ignore[union-attr]
            head.encode() + self._body
        )

    def _reset(self) -> None:
        self.request.connection.detach().close()  # type: ignore[union-attr]
        self._finished = True

    async def _async_crash(self) -> None:
        """End the process: its port is closed, and every connection breaks off."""
        made = self.sampler
        await asyncio.sleep(made.crash_after_s)
        made.stop()
        self._reset()
        made.ending = asyncio.ensure_future(made.async_kill())
        if made.crashed is not None:
            made.crashed(made)

    async def _async_events(self, name: str) -> None:
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Weight-Versions", str(self.sampler.version))
        self.sampler.versions_of.setdefault(name, set()).add(self.sampler.version)
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, EVENTS + 1):
            data = f"{name}.{number}".ljust(self.sampler.event_bytes, ".")
            event = f"id: {number}\ndata: {data}\n\n".encode()
            await asyncio.sleep(self.sampler.pause_s)
            if first == 1 and 0 < self.sampler.cut_after < number:
                self.write(event[:7])
                await self.flush()
                self._reset()
                return
            if 0 < self.sampler.hang_after < number:
                await asyncio.sleep(60)
            self.write(event)
            try:
                await self.flush()
            except StreamClosedError:
                return

    get = post = put = delete = serve

"""Samplers as the users' pages describe them: plain services, and engines that answer with events."""

import asyncio
import itertools
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

_QUEUE = 24
_numbers = itertools.count(1)


@attrs.define(eq=False)
class Run:
    """A request that a sampler began to work on; `status` is 0 until it has answered."""

    id: str
    path: str
    began: float
    status: int = 0


@attrs.define(eq=False)
class Sampler:
    """One start of a sampler.

    A plain request takes `work_s`; an engine, which has a `model`, makes `events` events, each in `pause_s`.
    """

    service: str
    now: Callable[[], float]
    model: str = ""
    version: int = 1
    slots: int = 6
    work_s: float = 0.02
    events: int = 0
    pause_s: float = 0.05
    id: str = attrs.field(factory=lambda: f"i-{next(_numbers):08x}")
    address: str = ""
    # Where the machines of the system reach it, if that is not its own address.
    link: str = ""
    runs: list[Run] = attrs.field(factory=list)
    sequence: int = 0
    working: int = 0
    _server: HTTPServer | None = None

    def start(self) -> None:
        """Listen on a free port of loopback."""
        me = {"sampler": self}
        app = Application(
            [("/api/report", _Report, me), ("/api/order", _Order, me), (".*", _Serve, me)],
            log_function=lambda _: None,
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def end(self) -> None:
        """End as a process does: nobody listens any more, and all channels are closed."""
        if self._server is None:
            return
        self._server.stop()
        for conn in list(
            self._server._connections
        ):  # noqa: SLF001 - no public way to close at once
            conn.stream.close()

    @property
    def models(self) -> list[dict[str, Any]]:
        """Return what it tells of its models."""
        row = {"name": self.model, "version": self.version, "adapters": []}
        return [row] if self.model else []

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.link or self.address,
            "zone": "levis",
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.sequence,
            **({"stage": "hybrid", "models": self.models} if self.model else {}),
        }


class _Handler(RequestHandler):
    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE", "HEAD", "PATCH")

    def initialize(self, sampler: Sampler) -> None:
        self.sampler = sampler


class _Report(_Handler):
    def get(self) -> None:
        made = self.sampler
        report = {"stage": "hybrid", "models": made.models, "busy": False, "seq": made.sequence}
        load = {"waiting": 0, "running": made.working, "kv_used": 0, "kv_total": 47529}
        self.finish({**report, **load, "handles": 0})


class _Order(_Handler):
    def post(self) -> None:
        made, order = self.sampler, json.loads(self.request.body)
        if self.request.headers.get("Target-Instance", made.id) != made.id:
            self.set_status(HTTPStatus.MISDIRECTED_REQUEST)
        elif order.get("precondition", made.sequence) != made.sequence:
            self.set_status(HTTPStatus.CONFLICT)
        elif order["version"] <= made.version:
            self.set_status(HTTPStatus.OK)
        else:
            made.sequence += 1
            made.version = order["version"]
            self.set_status(HTTPStatus.ACCEPTED)


class _Serve(_Handler):
    async def serve(self) -> None:
        made, headers = self.sampler, self.request.headers
        name = headers.get("Attempt-Id", "")
        self.set_header("Attempt-Id", name)
        refusal = self._refusal(name)
        if refusal is not None:
            self.set_status(refusal)
            self.set_header("Not-Run", "1")
            return
        run = Run(name, self.request.uri or "", made.now())
        made.runs.append(run)
        made.working += 1
        try:
            await self._async_run(run)
        except StreamClosedError:
            return
        finally:
            made.working -= 1

    def _refusal(self, name: str) -> HTTPStatus | None:
        if self.request.headers.get("Target-Instance", self.sampler.id) != self.sampler.id:
            return HTTPStatus.MISDIRECTED_REQUEST
        if not name:
            return HTTPStatus.BAD_REQUEST
        full = self.sampler.working >= self.sampler.slots + _QUEUE
        return HTTPStatus.SERVICE_UNAVAILABLE if full else None

    async def _async_run(self, run: Run) -> None:
        made = self.sampler
        self.set_header("Response-Seal", f"seal.{run.id}")
        if not made.model:
            await asyncio.sleep(made.work_s)
            run.status = HTTPStatus.OK
            self.finish(f"answer to {run.id}".encode())
            return
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Weight-Versions", str(made.version))
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, made.events + 1):
            await asyncio.sleep(made.pause_s)
            self.write(f"id: {number}\ndata: {run.id}.{number}\n\n")
            await self.flush()
        run.status = HTTPStatus.OK

    get = post = put = delete = head = patch = serve

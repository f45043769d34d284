"""What every stand-in shares: faults set through /_control, the journal, and the server."""

import asyncio
import json
import signal
import time
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["Controls", "Handler", "RateLimit", "StandIn", "async_listen", "async_serve"]

OUTAGE_REFUSE = "refuse"
OUTAGE_SILENT = "silent"


@attrs.define
class Controls:
    """Behaviour that a test may change while the stand-in runs.

    `outage` is "", "refuse" (503) or "silent" (never answers); `slow_s` delays each answer;
    `lose_answers` counts the next calls with an effect whose answer is lost after it.
    """

    outage: str = ""
    slow_s: float = 0.0
    lose_answers: int = 0

    def change(self, values: dict[str, Any]) -> None:
        """Set the named values, refusing names that are not there."""
        unknown = set(values) - {field.name for field in attrs.fields(type(self))}
        if unknown:
            raise ValueError(f"unknown control: {', '.join(sorted(unknown))}")
        for name, value in values.items():
            setattr(self, name, value)


class RateLimit:
    """A token bucket that holds one second's worth."""

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self._tokens = max(per_second, 1.0)
        self._at = time.monotonic()

    def take(self) -> bool:
        """Take a token, if there is one."""
        now = time.monotonic()
        room = max(self.per_second, 1.0)
        self._tokens = min(room, self._tokens + (now - self._at) * self.per_second)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class StandIn:
    """A stand-in: its controls, its journal and its routes."""

    def __init__(self, controls: Controls) -> None:
        self.controls = controls

    def journal(self) -> Any:
        """Return what truly happened."""
        return {}

    def routes(self) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
        """Return the routes of the protocol."""
        raise NotImplementedError

    async def async_start(self) -> None:
        """Start what runs beside the server."""

    def changed(self) -> None:
        """Take note of changed controls."""


class Handler(RequestHandler):
    """Answer JSON, under the faults that the controls ask for."""

    def initialize(self, stand_in: Any) -> None:
        """Take the stand-in that this handler serves."""
        self.stand_in = stand_in
        self.left = asyncio.Event()

    async def prepare(self) -> None:
        """Apply the faults that come before any effect."""
        controls: Controls = self.stand_in.controls
        if controls.outage == OUTAGE_SILENT:
            await self.left.wait()
            return
        if controls.outage == OUTAGE_REFUSE:
            self.answer({"error": "outage"}, 503, retry_after=1)
            return
        if controls.slow_s:
            await asyncio.sleep(controls.slow_s)

    def on_connection_close(self) -> None:
        """Let go of a call whose caller has left."""
        self.left.set()

    def payload(self) -> Any:
        """Return the request's JSON body."""
        return json.loads(self.request.body or b"null")

    def answer(self, data: Any, status: int = 200, retry_after: float | None = None) -> None:
        """Answer whole."""
        self.set_status(status)
        if retry_after is not None:
            self.set_header("Retry-After", str(retry_after))
        if status == 304:
            self.finish()
            return
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(data).encode())

    def answer_effect(self, data: Any) -> None:
        """Answer a call that took effect, or lose the answer where a test asked for that."""
        controls: Controls = self.stand_in.controls
        if controls.lose_answers > 0:
            controls.lose_answers -= 1
            self.drop()
            return
        self.answer(data)

    def drop(self) -> None:
        """Close the connection without an answer's end."""
        self.left.set()
        self.request.connection.stream.close()  # type: ignore[attr-defined]

    def log_exception(self, *args: Any) -> None:
        """Keep quiet about callers that left."""
        if not self.left.is_set():
            super().log_exception(*args)


class _ControlHandler(RequestHandler):
    """Change the behaviour; GET tells it."""

    def initialize(self, stand_in: StandIn) -> None:
        """Take the stand-in to control."""
        self.stand_in = stand_in

    def get(self) -> None:
        """Tell the controls."""
        self.finish(attrs.asdict(self.stand_in.controls))

    def post(self) -> None:
        """Set the controls given by name."""
        try:
            self.stand_in.controls.change(json.loads(self.request.body))
        except ValueError as exc:
            self.set_status(400)
            self.finish({"error": str(exc)})
            return
        self.stand_in.changed()
        self.get()


class _JournalHandler(RequestHandler):
    """Tell what truly happened."""

    def initialize(self, stand_in: StandIn) -> None:
        """Take the stand-in to tell of."""
        self.stand_in = stand_in

    def get(self) -> None:
        """Tell the journal."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self.stand_in.journal()))


async def async_listen(stand_in: StandIn, port: int = 0) -> tuple[HTTPServer, int]:
    """Start serving on loopback; port 0 takes a free one. Return the server and its port."""
    context = {"stand_in": stand_in}
    routes: list[Any] = [
        (r"/_control", _ControlHandler, context),
        (r"/_journal", _JournalHandler, context),
        *stand_in.routes(),
    ]
    app = Application(routes, log_function=lambda handler: None)
    server = HTTPServer(app)
    sockets = bind_sockets(port, address="127.0.0.1")
    server.add_sockets(sockets)
    await stand_in.async_start()
    return server, sockets[0].getsockname()[1]


async def async_serve(stand_in: StandIn, port: int) -> None:
    """Serve on loopback until SIGTERM or SIGINT."""
    server, _ = await async_listen(stand_in, port)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await stop.wait()
    server.stop()

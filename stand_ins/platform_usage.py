"""A stand-in for the API of the users' platform: reports of use and orders for samplers."""

import asyncio
from typing import Any

import attrs
import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["PlatformUsage", "Call"]


@attrs.frozen
class Call:
    """A call that was accepted: its subject, holder, token and body."""

    subject: tuple[str, ...]
    holder: str
    token: int
    body: dict[str, Any]


@attrs.define(eq=False)
class PlatformUsage:
    """Takes calls of singleton duties.

    `fenced` is whether it checks tokens. `status` is answered in place of all else if it is set.
    The next `lose` calls are carried out `late_s` later and get no answer.
    """

    fenced: bool = True
    status: int = 0
    lose: int = 0
    late_s: float = 0.0
    accepted: list[Call] = attrs.field(factory=list)
    problems: list[str] = attrs.field(factory=list)
    address: str = ""
    _highest: dict[tuple[str, ...], tuple[int, str]] = attrs.field(factory=dict)
    _server: HTTPServer | None = None

    def start(self) -> None:
        """Listen on a free port of loopback."""
        api = {"api": self}
        app = Application([("/usage", _Usage, api), ("/scale", _Scale, api)], log_function=_no_log)
        sockets = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def take(self, call: Call) -> bool:
        """Carry a call out; return False if its token is lower than one seen for its subject."""
        token, holder = self._highest.get(call.subject, (0, ""))
        if call.token == token and call.holder != holder:
            self.problems.append(f"{call.holder} and {holder} share token {token}")
        if call.token < token:
            if not self.fenced:
                self.problems.append(f"token {call.token} after {token}")
            else:
                return False
        self._highest[call.subject] = (call.token, call.holder)
        window = call.body.get("window")
        for other in self.accepted:
            same = window is not None and other.body.get("window") == window
            if same and other.body != call.body:
                self.problems.append(f"window {window}: {other.body} and {call.body}")
        self.accepted.append(call)
        return True

    def counts(self) -> dict[int, dict[str, int]]:
        """Return the reported counts by window."""
        return {
            call.body["window"]: call.body["counts"]
            for call in self.accepted
            if call.subject == ("usage",)
        }


class _Duty(RequestHandler):
    def initialize(self, api: PlatformUsage) -> None:
        """Set the stand-in."""
        self.api = api

    async def post(self) -> None:
        """Take a call as the fields say."""
        api, body = self.api, msgspec.json.decode(self.request.body)
        if api.status:
            self.set_status(api.status)
            return
        call = Call(
            self.subject(body),
            self.request.headers["Duty-Holder"],
            int(self.request.headers["Fencing-Token"]),
            body,
        )
        if api.lose:
            api.lose -= 1
            await asyncio.sleep(api.late_s)
            api.take(call)
            await asyncio.sleep(60)
        self.set_status(200 if api.take(call) else 409)

    def subject(self, body: dict[str, Any]) -> tuple[str, ...]:
        """Return what the fences of a call are compared for."""
        raise NotImplementedError


class _Usage(_Duty):
    def subject(self, body: dict[str, Any]) -> tuple[str, ...]:
        """Return the one subject of all windows."""
        return ("usage",)


class _Scale(_Duty):
    def subject(self, body: dict[str, Any]) -> tuple[str, ...]:
        """Return the service and zone."""
        return ("scale", body["service"], body["zone"])


def _no_log(_handler: object) -> None:
    """Log no requests."""

"""Bad input to an HTTP server: too long, too slow, each answered with its status and counted.

Tornado's own limits close the connection without an answer, so that a caller sees a network fault
and sends the same again. Here they are checked before tornado's, which stay as the second line.
"""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from http import HTTPStatus

import attrs
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from .metrics import Metrics
from .problem import CONTENT_TYPE_PROBLEM, problem_body

__all__ = [
    "DROPPED_BYTES",
    "REASON_SLOW_HEADERS",
    "GuardedMessage",
    "InputLimits",
    "LimitsGuard",
]

REASON_BODY_TOO_LARGE = "body_too_large"
REASON_HEADERS_TOO_LARGE = "headers_too_large"
REASON_SLOW_SENDER = "slow_sender"
REASON_SLOW_HEADERS = "slow_headers"

# A body over the limit is read to its end and dropped, so that the sender, who reads only when he
# has sent, gets his answer. Past this much more the answer goes out at once and the connection ends.
DROPPED_BYTES = 64 * 1024 * 1024


@attrs.define
class InputLimits:
    """What a request may be at most, and how long its sender may take for the body and the headers.

    A change counts from the next request on, up to what the server was opened with. Without
    `slow_headers` the headers may take as long as the body.
    """

    max_body_bytes: int
    max_header_bytes: int
    slow_sender: timedelta
    slow_headers: timedelta | None = None

    @property
    def header_timeout(self) -> timedelta:
        """Return how long the headers of a request may take from their first byte on."""
        return self.slow_sender if self.slow_headers is None else self.slow_headers


@attrs.frozen
class _Refusal:
    status: HTTPStatus
    reason: str


_BODY = _Refusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, REASON_BODY_TOO_LARGE)
_HEADERS = _Refusal(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, REASON_HEADERS_TOO_LARGE)
_SLOW = _Refusal(HTTPStatus.REQUEST_TIMEOUT, REASON_SLOW_SENDER)


class LimitsGuard(HTTPServerConnectionDelegate):
    """Put the limits before each message of an application."""

    def __init__(
        self, app: HTTPServerConnectionDelegate, limits: InputLimits, metrics: Metrics
    ) -> None:
        self._app = app
        self._limits = limits
        self._metrics = metrics

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        inner = self._app.start_request(server_conn, request_conn)
        return GuardedMessage(inner, request_conn, self._limits, self._metrics)

    def on_close(self, server_conn: object) -> None:
        """Pass on that a connection has ended."""
        self._app.on_close(server_conn)


class GuardedMessage(HTTPMessageDelegate):
    """Hand one request to the application, or refuse it; `begun` once its headers have been read."""

    def __init__(
        self,
        inner: HTTPMessageDelegate,
        conn: HTTPConnection,
        limits: InputLimits,
        metrics: Metrics,
    ) -> None:
        self._inner = inner
        self._conn = conn
        self._limits = limits
        self._metrics = metrics
        self._refusal: _Refusal | None = None
        self._answered = False
        self._passed_on = False
        self._received = 0
        self._timer: asyncio.TimerHandle | None = None
        self.begun = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check what the headers tell, and how long they are."""
        self.begun = True
        declared = _declared_length(headers)
        if _size_of(start_line, headers) > self._limits.max_header_bytes:
            self._refusal = _HEADERS
        elif declared > self._limits.max_body_bytes:
            self._refusal = _BODY
        if declared > 0 or "Transfer-Encoding" in headers:
            wait = self._limits.slow_sender.total_seconds()
            self._timer = asyncio.get_running_loop().call_later(wait, self._too_slow)
        if self._refusal is not None:
            # Who asks first must not be told to send what is then dropped.
            if "Expect" in headers or declared > self._limits.max_body_bytes + DROPPED_BYTES:
                self._answer(self._refusal)
            return None
        self._passed_on = True
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on while it is within the limit; drop the rest."""
        self._received += len(chunk)
        if self._refusal is None and self._received > self._limits.max_body_bytes:
            self._refusal = _BODY
            self._release()
        if self._refusal is not None:
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Start the application's work, or send the refusal now that all has been read."""
        self._stop_timer()
        if self._refusal is not None:
            self._answer(self._refusal)
            return
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Pass on that the sender has gone."""
        self._stop_timer()
        self._release()

    def _too_slow(self) -> None:
        """Refuse a sender whose body does not come.

        Each slow sender holds a connection and the part of the body that came; a few hundred of
        them would hold the memory of a small VM for as long as they like.
        """
        self._answer(self._refusal or _SLOW)

    def _release(self) -> None:
        if self._passed_on:
            self._passed_on = False
            self._inner.on_connection_close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _answer(self, refusal: _Refusal) -> None:
        """Write the refusal; tornado closes the connection if the body has not all been read."""
        if self._answered:
            return
        self._answered = True
        self._metrics.refuse(refusal.reason)
        body = problem_body(refusal.status, refusal.reason, refusal.status.phrase)
        headers = HTTPHeaders(
            {"Content-Type": CONTENT_TYPE_PROBLEM, "Content-Length": str(len(body))}
        )
        line = ResponseStartLine("HTTP/1.1", refusal.status, refusal.status.phrase)
        self._conn.write_headers(line, headers, body)
        self._conn.finish()


def _declared_length(headers: HTTPHeaders) -> int:
    """Return the length that the headers tell; what is no number is left to tornado to refuse."""
    text = headers.get("Content-Length", "")
    return int(text) if text.isascii() and text.isdigit() else 0


def _size_of(start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders) -> int:
    """Return about how many bytes the start line and the headers took."""
    line = sum(len(str(part)) for part in start_line)
    return line + sum(len(name) + len(value) + 4 for name, value in headers.get_all())

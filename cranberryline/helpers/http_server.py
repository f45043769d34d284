"""An HTTP server that answers bad input: too long, too slow, each with its status and counted.

Tornado's own limits close the connection without an answer, so that a caller sees a network fault
and sends the same again. Here they are checked before tornado's, which stay as the second line.
"""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from http import HTTPStatus

import attrs
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.web import RequestHandler

from .metrics import Metrics
from .problem import CONTENT_TYPE_PROBLEM, problem_body

__all__ = ["InputLimits", "break_off", "break_off_if_closed", "open_http_server"]

REASON_BODY_TOO_LARGE = "body_too_large"
REASON_HEADERS_TOO_LARGE = "headers_too_large"
REASON_SLOW_SENDER = "slow_sender"

# A body over the limit is read to its end and dropped, so that the sender, who reads only when he
# has sent, gets his answer. Past this much more the answer goes out at once and the connection ends.
_DROPPED_BYTES = 64 * 1024 * 1024
_HEADER_MARGIN_BYTES = 256 * 1024
# Between requests a connection may rest this long; it is also the time for the headers.
_REST = timedelta(seconds=75)
_SLOW_SENDER_MARGIN = timedelta(seconds=5)


@attrs.define
class InputLimits:
    """What a request may be at most, and how long its sender may take for the body.

    A change counts from the next request on, up to what the server was opened with.
    """

    max_body_bytes: int
    max_header_bytes: int
    slow_sender: timedelta


def break_off(handler: RequestHandler) -> None:
    """End a request without an answer, by closing its connection.

    A handler that returns unanswered, as one does whose task is cancelled when a stop is forced, is
    finished by tornado with status 200 and an empty body: a whole answer that nobody gave.
    """
    if handler._finished:  # noqa: SLF001 - no public way to ask
        return
    conn = handler.request.connection
    stream = conn.detach() if isinstance(conn, HTTP1Connection) else None
    if stream is not None:
        stream.close()
    handler._finished = True  # noqa: SLF001 - tornado would answer otherwise


def break_off_if_closed(handler: RequestHandler) -> None:
    """End a request whose connection closed before its work began; nothing of it is passed on.

    A request that has been read waits a turn of the loop for its handler, counted nowhere. A process that
    stops, sees nothing in flight and closes its connections in that turn would still pass it on, and its caller
    sees a connection that closed without an answer while an upstream runs the request.
    """
    conn = handler.request.connection
    stream = getattr(conn, "stream", None)
    if stream is not None and stream.closed():
        break_off(handler)


@attrs.frozen
class _Refusal:
    status: HTTPStatus
    reason: str


_BODY = _Refusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, REASON_BODY_TOO_LARGE)
_HEADERS = _Refusal(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, REASON_HEADERS_TOO_LARGE)
_SLOW = _Refusal(HTTPStatus.REQUEST_TIMEOUT, REASON_SLOW_SENDER)


def open_http_server(
    app: HTTPServerConnectionDelegate, address: str, limits: InputLimits, metrics: Metrics
) -> HTTPServer:
    """Listen on an address, "127.0.0.1:8001", with an application behind the limits."""
    server = _Server(
        _Guard(app, limits, metrics),
        max_body_size=limits.max_body_bytes + _DROPPED_BYTES,
        max_header_size=limits.max_header_bytes + _HEADER_MARGIN_BYTES,
        max_buffer_size=limits.max_body_bytes + _DROPPED_BYTES,
        body_timeout=(limits.slow_sender + _SLOW_SENDER_MARGIN).total_seconds(),
        idle_connection_timeout=_REST.total_seconds(),
    )
    host, _, port = address.rpartition(":")
    server.listen(int(port), host.strip("[]"))
    return server


class _Server(HTTPServer):
    """A server that closes all its connections in one turn of the loop."""

    async def close_all_connections(self) -> None:
        """Close what callers keep, then wait for what still ends.

        Closed one after the other with a wait for each, those that come later are still read from: a
        request there is run and then cut. A caller that saw nothing in flight closes everything before
        any other task may read.
        """
        for conn in self._connections:
            conn.stream.close()
        await super().close_all_connections()


class _Guard(HTTPServerConnectionDelegate):
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
        return _GuardedMessage(inner, request_conn, self._limits, self._metrics)

    def on_close(self, server_conn: object) -> None:
        """Pass on that a connection has ended."""
        self._app.on_close(server_conn)


class _GuardedMessage(HTTPMessageDelegate):
    """Hand one request to the application, or refuse it."""

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

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check what the headers tell, and how long they are."""
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
            if "Expect" in headers or declared > self._limits.max_body_bytes + _DROPPED_BYTES:
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

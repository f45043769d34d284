"""Bad input to an HTTP server: too long, too slow or too much, each answered with its status and counted.

Tornado's own limits close the connection without an answer, so that a caller sees a network fault
and sends the same again. Here they are checked before tornado's, which stay as the second line.
"""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import Any

import attrs
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from cranberryline.ports.http import declared_length

from .accounted_stream import AccountedStream
from .memory import HoldingPhase, MemoryAccount
from .memory.const import REQUEST_BYTES, SMALL_BYTES
from .metrics import Metrics
from .problem import CONTENT_TYPE_PROBLEM, HEADER_RETRY_AFTER, problem_body
from .request_screen import (
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    MEMORY_FULL,
    SLOW_SENDER,
    Admission,
    Refusal,
    RequestScreen,
)

__all__ = [
    "DROPPED_BYTES",
    "REASON_SLOW_HEADERS",
    "GuardedMessage",
    "InputLimits",
    "LimitsGuard",
]

REASON_SLOW_HEADERS = "slow_headers"

# The rest of a refused body is read and dropped, so that the sender, who may read only when he
# has sent, gets his answer. Past this much more the connection ends.
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


class LimitsGuard(HTTPServerConnectionDelegate):
    """Put the limits before each message of an application."""

    def __init__(
        self,
        app: HTTPServerConnectionDelegate,
        limits: InputLimits,
        metrics: Metrics,
        memory: MemoryAccount,
        screen: RequestScreen | None = None,
    ) -> None:
        self.limits = limits
        self.metrics = metrics
        self.memory = memory
        self.screen = screen
        self._app = app

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        inner = self._app.start_request(server_conn, request_conn)
        return GuardedMessage(inner, request_conn, self)

    def on_close(self, server_conn: object) -> None:
        """Pass on that a connection has ended."""
        self._app.on_close(server_conn)


class GuardedMessage(HTTPMessageDelegate):
    """Hand one request to the application, or refuse it; `begun` once its headers have been read."""

    def __init__(self, inner: HTTPMessageDelegate, conn: Any, guard: LimitsGuard) -> None:
        self._inner = inner
        self._conn = conn
        self._guard = guard
        self.stream: AccountedStream = conn.stream
        self._refusal: Refusal | None = None
        self._answered = False
        self._passed_on = False
        self._received = 0
        self._timer: asyncio.TimerHandle | None = None
        self._holding = guard.memory.open(self._evict)
        self.begun = False
        self._whole = False
        self._copies = 1

    @property
    def sends(self) -> bool:
        """Return whether the rest of the body has still to come."""
        return self.begun and not self._whole

    @property
    def refused(self) -> bool:
        """Return whether what still comes of the request is dropped."""
        return self._answered

    def observe(self, moved: int, interval: timedelta) -> None:
        """Note how many bytes the sender has sent in an interval."""
        self._holding.observe(moved, interval)

    def release(self) -> None:
        """Take that the request has been answered or given up."""
        self._holding.release()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check what the headers tell, and how long they are."""
        self.begun = True
        limits = self._guard.limits
        declared = declared_length(headers)
        chunked = "Transfer-Encoding" in headers
        if _size_of(start_line, headers) > limits.max_header_bytes:
            self._refusal = HEADERS_TOO_LARGE
        elif declared > limits.max_body_bytes:
            self._refusal = BODY_TOO_LARGE
        if declared > 0 or chunked:
            wait = limits.slow_sender.total_seconds()
            self._timer = asyncio.get_running_loop().call_later(wait, self.end_sender)
        if self._refusal is not None:
            # Who asks first must not be told to send what is then dropped.
            at_once = "Expect" in headers or declared > limits.max_body_bytes + DROPPED_BYTES
            self._answer(self._refusal, finish=at_once)
            return None
        if self._guard.screen is not None and (declared > SMALL_BYTES or chunked):
            return self._async_screen(start_line, headers, declared)
        return self._admit(start_line, headers, declared)

    async def _async_screen(self, line: Any, headers: HTTPHeaders, declared: int) -> None:
        """Refuse by the headers a request whose body would be long."""
        screen = self._guard.screen
        screened = Admission() if screen is None else await screen.async_screen(line, headers)
        if isinstance(screened, Refusal):
            self._refuse(screened, headers)
            return
        self._copies = screened.copies
        admitted = self._admit(line, headers, declared)
        if admitted is not None:
            await admitted

    def _admit(self, line: Any, headers: HTTPHeaders, declared: int) -> Awaitable[None] | None:
        """Hand the headers on if there is room for the body that they declare."""
        self._holding.enter(HoldingPhase.RECEIVING)
        if not self._reserve(declared, "Transfer-Encoding" in headers):
            self._refuse(MEMORY_FULL, headers)
            return None
        self._passed_on = True
        return self._inner.headers_received(line, headers)

    def _reserve(self, declared: int, chunked: bool) -> bool:
        """Hold room for the body; one in chunks has to find it as it comes."""
        if not declared and not chunked:
            return True
        if not self._holding.grow(REQUEST_BYTES):
            return False
        return self._holding.reserve(declared * self._copies)

    def _refuse(self, refusal: Refusal, headers: HTTPHeaders) -> None:
        self._refusal = refusal
        self._answer(refusal, finish="Expect" in headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on while there is room for it; drop the rest."""
        self._received += len(chunk)
        if self._refusal is not None:
            return self._drop()
        if self._received > self._guard.limits.max_body_bytes:
            return self._give_up(BODY_TOO_LARGE)
        if not self._holding.receive(len(chunk) * self._copies):
            return self._give_up(MEMORY_FULL)
        return self._inner.data_received(chunk)

    def _drop(self) -> None:
        if self._received > self._guard.limits.max_body_bytes + DROPPED_BYTES:
            self._close_behind_answer()

    def _give_up(self, refusal: Refusal) -> None:
        """Refuse a request in the middle of its body, and let go of what has come."""
        self._refusal = refusal
        self._release()
        self._answer(refusal, finish=False)

    def finish(self) -> None:
        """Start the application's work, or end the refusal now that all has been read."""
        self._whole = True
        self._stop_timer()
        if self._refusal is not None:
            self._finish_answer()
            return
        self._holding.enter(HoldingPhase.WORKING)
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Pass on that the sender has gone."""
        self._whole = True
        self._stop_timer()
        self._release()

    def end_sender(self) -> None:
        """Refuse a sender whose body does not come.

        Each slow sender holds a connection and the part of the body that came; a few hundred of
        them would hold the memory of a small VM for as long as they like.
        """
        if self._answered:
            self._close_behind_answer()
            return
        self._refusal = SLOW_SENDER
        self._release()
        self._answer(SLOW_SENDER, finish=True)

    def _evict(self) -> None:
        """Make room for others: the body comes too slowly."""
        if self.sends and not self._answered:
            self._give_up(MEMORY_FULL)

    def _release(self) -> None:
        self._holding.release()
        if self._passed_on:
            self._passed_on = False
            self._inner.on_connection_close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _answer(self, refusal: Refusal, finish: bool) -> None:
        """Write the refusal; without `finish`, go on reading so that the sender gets to read it."""
        if self._answered:
            return
        self._answered = True
        self._guard.metrics.refuse(refusal.reason)
        body = problem_body(refusal.status, refusal.reason, refusal.status.phrase)
        headers = HTTPHeaders(
            {"Content-Type": CONTENT_TYPE_PROBLEM, "Content-Length": str(len(body))}
        )
        if refusal.retry_after is not None:
            headers[HEADER_RETRY_AFTER] = f"{refusal.retry_after.total_seconds():g}"
        line = ResponseStartLine("HTTP/1.1", refusal.status, refusal.status.phrase)
        self._conn.write_headers(line, headers, body)
        if finish:
            self._finish_answer()

    def _finish_answer(self) -> None:
        """End the answer; tornado closes the connection if the body has not all been read."""
        self._conn.finish()

    def _close_behind_answer(self) -> None:
        if self.stream is not None and not self.stream.closed():
            self.stream.close()


def _size_of(start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders) -> int:
    """Return about how many bytes the start line and the headers took."""
    line = sum(len(str(part)) for part in start_line)
    return line + sum(len(name) + len(value) + 4 for name, value in headers.get_all())

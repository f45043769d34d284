"""One HTTP exchange on a connection of its own, over tornado's HTTP/1.1 implementation.

tornado's AsyncHTTPClient is not used: it cannot let go of a connection that has gone silent before
its timeout, it queues past ten requests, and it does not say whether a connection was ever made.
Connections are kept alive only where the caller passes a pool: a request written to a kept
connection that the other end has just closed may or may not have run, and a new connection never
leaves that doubt.
"""

import asyncio
import enum
import socket
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from urllib.parse import urlsplit

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from .const import (
    CHUNK_BYTES,
    DEFAULT_CONNECT_TIMEOUT,
    HAND_OVER_S,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_INTERIM_ANSWERS,
    MAX_QUEUED_CHUNKS,
    MAX_STRAY_BYTES,
)
from .errors import PlatformError, PlatformReason, UpstreamCut
from .kept_streams import KeptStreams
from .model import UpstreamBody, UpstreamHead, UpstreamRequest
from .response_memory import ResponseBytes, ResponseMemory

__all__ = ["AnswerTo", "HttpOrigin", "KeptStreams", "async_exchange", "declared_length"]

_HOP_HEADERS = frozenset(
    ("connection", "content-length", "host", "keep-alive", "transfer-encoding", "upgrade", "te")
)
_PARAMS = HTTP1ConnectionParameters(
    no_keep_alive=True,
    chunk_size=CHUNK_BYTES,
    max_header_size=MAX_HEADER_BYTES,
    max_body_size=MAX_BODY_BYTES,
)
_KEPT_PARAMS = HTTP1ConnectionParameters(
    no_keep_alive=False,
    chunk_size=CHUNK_BYTES,
    max_header_size=MAX_HEADER_BYTES,
    max_body_size=MAX_BODY_BYTES,
)
_MAX_STRAY_ANSWERS = 2


class AnswerTo(enum.Enum):
    """Which request on a connection an answer belongs to."""

    THIS = enum.auto()
    ANOTHER = enum.auto()
    UNKNOWN = enum.auto()


MatchAnswer = Callable[[UpstreamHead], AnswerTo]


class HttpOrigin:
    """The address of an HTTP server, taken from its URL."""

    def __init__(self, url: str) -> None:
        parts = urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"expected http://HOST:PORT, got {url!r}")
        self.host = parts.hostname
        self.port = parts.port or 80
        self.base_path = parts.path.rstrip("/")

    @property
    def authority(self) -> str:
        """Return the value of the Host header."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class _Receiver(HTTPMessageDelegate):
    """Turn tornado's callbacks into a head and a bounded queue of chunks.

    `match` tells which request an answer belongs to; only this one's is handed on. `answer_to` is what
    it told of the last answer, and `strays` counts the answers to other requests. `give_up` is called
    where more of what is passed over came than an upstream in order sends.
    """

    def __init__(self, match: MatchAnswer | None, give_up: Callable[[], None]) -> None:
        self._match = match
        self._give_up = give_up
        self.answer_to = AnswerTo.THIS
        self.strays = 0
        self._stray_bytes = 0
        self._interim_answers = 0
        self.head: asyncio.Future[UpstreamHead] = asyncio.get_running_loop().create_future()
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        self.whole = False
        self.headers = HTTPHeaders()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head, passing over interim answers."""
        if not isinstance(start_line, ResponseStartLine) or start_line.code < 200:  # noqa: PLR2004
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self._give_up()
            return
        head = UpstreamHead(start_line.code, tuple(headers.get_all()))
        if self._match is not None:
            self.answer_to = self._match(head)
        if self.answer_to is not AnswerTo.THIS:
            self.strays += 1
            return
        self.headers = headers
        if not self.head.done():
            self.head.set_result(head)

    async def data_received(self, chunk: bytes) -> None:
        """Queue a chunk; waiting for room is what slows the sender down."""
        if self.answer_to is AnswerTo.THIS:
            await self.queue.put(chunk)
            return
        self._stray_bytes += len(chunk)
        if self._stray_bytes > MAX_STRAY_BYTES:
            self._give_up()

    def finish(self) -> None:
        """Note that the answer reached its own declared end."""
        self.whole = self.answer_to is AnswerTo.THIS

    def expects_more(self) -> bool:
        """Tell whether the answer may still follow on the connection."""
        return self.answer_to is AnswerTo.ANOTHER and self.strays <= _MAX_STRAY_ANSWERS

    def abandon(self) -> None:
        """Wake a reader that still waits, so that it does not wait for the time limit."""
        while not self.queue.empty():
            self.queue.get_nowait()
        self.queue.put_nowait(None)


class _HttpBody(UpstreamBody):
    """An answer being received on its own connection."""

    def __init__(
        self,
        stream: IOStream,
        receiver: _Receiver,
        task: asyncio.Task[None],
        deadline: float,
        kept: bool,
        received: ResponseBytes | None = None,
    ) -> None:
        self._kept = kept
        self._received = received
        self._stream = stream
        self._receiver = receiver
        self._task = task
        self._deadline = deadline

    @property
    def head(self) -> UpstreamHead:
        """Return the status and headers."""
        return self._receiver.head.result()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise UpstreamCut when it ends before its own declared end."""
        try:
            if self._received is not None:
                self._received.expect(declared_length(self._receiver.headers))
            while (chunk := await self._async_next()) is not None:
                if self._received is not None:
                    self._received.add(len(chunk))
                yield chunk
        finally:
            await self.async_close()
        if not self._receiver.whole:
            raise UpstreamCut("the connection ended before the answer did")

    def _release(self) -> None:
        """Let go of the count, of a whole answer only when its reader has had time to count it."""
        received, self._received = self._received, None
        if received is None:
            return
        if self._receiver.whole and received.is_long:
            asyncio.get_running_loop().call_later(HAND_OVER_S, received.release)
        else:
            received.release()

    async def _async_next(self) -> bytes | None:
        """Return the next chunk, or None at the end; time out like a cut."""
        if not self._receiver.queue.empty():
            return self._receiver.queue.get_nowait()
        try:
            async with asyncio.timeout_at(self._deadline):
                return await self._receiver.queue.get()
        except TimeoutError:
            raise UpstreamCut("no end of the answer within the time allowed") from None

    async def async_close(self) -> None:
        """Stop receiving and let go of the connection."""
        self._release()
        if self._kept and self._task.done():
            return
        self._task.cancel()
        self._stream.close()
        self._receiver.abandon()


def declared_length(headers: HTTPHeaders) -> int:
    """Return the length that the headers of a message tell, 0 where they tell no number."""
    text = headers.get("Content-Length", "")
    return int(text) if text.isascii() and text.isdigit() else 0


async def _async_receive(
    conn: HTTP1Connection,
    stream: IOStream,
    receiver: _Receiver,
    pool: KeptStreams | None,
    request_id: str,
) -> None:
    """Read one answer; the receiver's `whole` says afterwards how it ended."""
    reusable = False
    try:
        reusable = await conn.read_response(receiver)
        while reusable and receiver.expects_more():
            reusable = await conn.read_response(receiver)
    except StreamClosedError:
        pass
    finally:
        # An answer without a length ends with its connection; one that was reset is not whole.
        if stream.error is not None:
            receiver.whole = False
        keep = pool is not None and reusable and receiver.whole
        if not keep:
            conn.close()
        if not receiver.head.done():
            receiver.head.set_exception(UpstreamCut("no answer before the connection ended"))
            receiver.head.exception()
    await receiver.queue.put(None)
    # Given away before, while the end waits for room, the connection could be closed under another request
    # by a reader who leaves this answer.
    if pool is not None and keep and not stream.closed():
        pool.put(conn.detach(), receiver.headers, request_id)


async def _async_connect(origin: HttpOrigin, timeout: float) -> Result[IOStream, PlatformError]:
    """Connect; every error here means that nothing was sent."""
    stream: IOStream | None = None
    try:
        async with asyncio.timeout(timeout):
            family = socket.AF_INET6 if ":" in origin.host else socket.AF_INET
            stream = IOStream(socket.socket(family), max_buffer_size=4 * CHUNK_BYTES)
            await stream.connect((origin.host, origin.port))
    except (OSError, StreamClosedError, TimeoutError) as exc:
        if stream is not None:
            stream.close()
        detail = str(exc) or type(exc).__name__
        return Err(PlatformError(PlatformReason.UNREACHABLE, detail, may_have_run=False))
    except asyncio.CancelledError:
        if stream is not None:
            stream.close()
        raise
    stream.set_nodelay(True)
    return Ok(stream)


def _headers(origin: HttpOrigin, req: UpstreamRequest, kept: bool) -> HTTPHeaders:
    """Return the request's headers with our own framing in place of the sender's."""
    headers = HTTPHeaders()
    for name, value in req.headers:
        if name.lower() not in _HOP_HEADERS:
            headers.add(name, value)
    headers["Host"] = req.host or origin.authority
    if not kept:
        headers["Connection"] = "close"
    if req.body or req.method not in ("GET", "HEAD", "OPTIONS", "DELETE"):
        headers["Content-Length"] = str(len(req.body))
    return headers


async def async_exchange(
    origin: HttpOrigin,
    req: UpstreamRequest,
    timeout: timedelta,
    pool: KeptStreams | None = None,
    connect: timedelta = DEFAULT_CONNECT_TIMEOUT,
    match: MatchAnswer | None = None,
    request_id: str = "",
    memory: ResponseMemory | None = None,
) -> Result[UpstreamBody, PlatformError]:
    """Send a request and return once its answer's head is there; `timeout` bounds it all.

    Where `match` is given, answers to other requests that stand before this one's are passed over. A
    request with the same `request_id` goes out on another connection of the pool than the last one.
    `memory` bounds the answer's length, which is cut beyond that.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout.total_seconds()
    stream = None if pool is None else pool.take(request_id)
    if stream is None:
        connect_s = min(timeout, connect).total_seconds()
        match await _async_connect(origin, connect_s):
            case Err() as err:
                return err
            case Ok(stream):
                pass
    if req.may_send is not None and not req.may_send():
        stream.close()
        return Err(PlatformError(PlatformReason.WITHHELD, "not wanted", may_have_run=False))
    params = _PARAMS if pool is None else _KEPT_PARAMS
    conn = HTTP1Connection(stream, is_client=True, params=params)
    receiver = _Receiver(match, stream.close)
    try:
        start = RequestStartLine(req.method, origin.base_path + req.path, "")
        _write_request(conn, start, _headers(origin, req, pool is not None), req.body)
    except ValueError as exc:
        stream.close()
        return Err(PlatformError(PlatformReason.BAD_ANSWER, str(exc), may_have_run=False))
    task = asyncio.create_task(_async_receive(conn, stream, receiver, pool, request_id))
    received = None if memory is None else memory.open()
    body = _HttpBody(stream, receiver, task, deadline, pool is not None, received)
    return await _async_head(body, receiver, deadline)


def _write_request(
    conn: HTTP1Connection, start: RequestStartLine, headers: HTTPHeaders, body: bytes
) -> None:
    """Write a request; a long body by itself, as one packet with the headers would copy it."""
    if len(body) <= CHUNK_BYTES:
        conn.write_headers(start, headers, body or None)
    else:
        conn.write_headers(start, headers)
        conn.write(body)
    conn.finish()


async def _async_head(
    body: _HttpBody, receiver: _Receiver, deadline: float
) -> Result[UpstreamBody, PlatformError]:
    """Wait for the answer's head, and let go of the connection if it does not come."""
    try:
        async with asyncio.timeout_at(deadline):
            # Not shielded, which would cost a turn of the loop: the receiver passes over a head that
            # was cancelled with its waiter.
            await receiver.head
    except TimeoutError:
        await body.async_close()
        return Err(PlatformError(PlatformReason.TIMEOUT, "no answer within the time allowed"))
    except UpstreamCut as exc:
        await body.async_close()
        if receiver.answer_to is not AnswerTo.THIS:
            return Err(PlatformError(PlatformReason.BAD_ANSWER, "answer to another request"))
        return Err(PlatformError(PlatformReason.CUT, str(exc)))
    except asyncio.CancelledError:
        await body.async_close()
        raise
    return Ok(body)

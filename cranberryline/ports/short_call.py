"""Short HTTP calls whose answers are wanted whole, and the connections that polls keep.

`async_exchange` hands over an answer as it comes, through a task, a queue and parsed headers, over a stream
that asks the system before and after each wait. A gateway polls the store some fifty times a second, and
wants a status and a body: one write, one wait, one read.
"""

import asyncio
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from .const import (
    DEFAULT_CONNECT_TIMEOUT,
    MAX_HEADER_BYTES,
    MAX_INTERIM_ANSWERS,
    MAX_SHORT_BYTES,
    MAX_SHORT_CHUNKS,
)
from .errors import PlatformError, PlatformReason, UpstreamCut
from .http import HttpOrigin

__all__ = ["ShortCalls"]

_LINE = b"\r\n"
_END_OF_HEAD = b"\r\n\r\n"
_FINAL_STATUS = 200
_CUT = "the connection ended before the answer did"


class _Connection(asyncio.Protocol):
    """A connection whose bytes are read as they are asked for."""

    def __init__(self) -> None:
        self.ended = False
        self.idle = False
        self._error: Exception | None = None
        self._data = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None

    @property
    def quiet(self) -> bool:
        """Tell whether it is open and has nothing to read; what it had would be no answer."""
        return not self.ended and not self._data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the way to write."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep what came; while nobody reads, it is no answer, and the connection ends."""
        if self.idle:
            self.close()
            return
        self._data += data
        self._tell()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end, and whether it was a reset."""
        self.ended, self._error = True, exc
        self._tell()

    def write(self, data: bytes) -> None:
        """Send."""
        if self._transport is not None:
            self._transport.write(data)

    def close(self) -> None:
        """Let go at once."""
        self.ended = True
        if self._transport is not None:
            self._transport.abort()

    async def async_until(self, end: bytes) -> bytes:
        """Return the bytes up to and with `end`; raise ValueError if there are too many."""
        while (at := self._data.find(end)) < 0:
            if len(self._data) > MAX_HEADER_BYTES:
                raise ValueError("a line or a head of the answer is too long")
            await self._async_more()
        return self._take(at + len(end))

    async def async_exactly(self, size: int) -> bytes:
        """Return that many bytes."""
        while len(self._data) < size:
            await self._async_more()
        return self._take(size)

    async def async_rest(self) -> bytes:
        """Return all that comes before the end; a reset is no end."""
        while not self.ended:
            if len(self._data) > MAX_SHORT_BYTES:
                raise ValueError("the answer is too long")
            await self._async_more(may_end=True)
        if self._error is not None:
            raise UpstreamCut(_CUT)
        return self._take(len(self._data))

    def _take(self, size: int) -> bytes:
        taken = bytes(self._data[:size])
        del self._data[:size]
        return taken

    async def _async_more(self, may_end: bool = False) -> None:
        if not self.ended:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
            return
        if not may_end:
            raise UpstreamCut(_CUT)

    def _tell(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


@attrs.frozen
class _Head:
    status: int
    size: int | None
    chunked: bool
    closing: bool


class ShortCalls:
    """Call one server, with a connection of its own for each call but for polls.

    A call with `poll` set uses the connection that the last one of that name left behind: a poll waits on
    it nearly all the time, so a connection that went silent is noticed exactly as late as a new one that
    does, when the poll's time is over. It is then closed. A connection that its server closed in between
    is noticed at once, and the call made again on a new one: polls may run twice. Kept connections and
    answers without parsed headers brought what a gateway spends on a grown site's polls and records from 111
    to 59 ms of processor time a second (`script/bench fold`).
    """

    def __init__(self, origin: HttpOrigin) -> None:
        self._origin = origin
        self._kept: dict[str, _Connection] = {}

    async def async_call(
        self, method: str, path: str, body: bytes, timeout: timedelta, poll: str = ""
    ) -> Result[tuple[int, bytes], PlatformError]:
        """Return the status and the whole body; `timeout` bounds it all."""
        deadline = asyncio.get_running_loop().time() + timeout.total_seconds()
        data = self._request(method, path, body, bool(poll))
        kept = self._kept.pop(poll, None)
        if kept is not None:
            kept.idle = False
        if kept is not None and kept.quiet:
            answer = await self._async_on(kept, data, deadline, poll)
            if isinstance(answer, Ok) or answer.unwrap_err().reason is not PlatformReason.CUT:
                return answer
        elif kept is not None:
            kept.close()
        match await self._async_connect(deadline):
            case Err() as err:
                return err
            case Ok(conn):
                return await self._async_on(conn, data, deadline, poll)

    def close(self) -> None:
        """Close what polls have left behind."""
        for conn in self._kept.values():
            conn.close()
        self._kept.clear()

    def _request(self, method: str, path: str, body: bytes, keep: bool) -> bytes:
        lines = [f"{method} {self._origin.base_path}{path} HTTP/1.1"]
        lines.append(f"Host: {self._origin.authority}")
        if not keep:
            lines.append("Connection: close")
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + _END_OF_HEAD + body

    async def _async_connect(self, deadline: float) -> Result[_Connection, PlatformError]:
        """Connect; every error here means that nothing was sent."""
        loop = asyncio.get_running_loop()
        give_up = min(deadline, loop.time() + DEFAULT_CONNECT_TIMEOUT.total_seconds())
        try:
            async with asyncio.timeout_at(give_up):
                _, conn = await loop.create_connection(
                    _Connection, self._origin.host, self._origin.port
                )
        except (OSError, TimeoutError) as exc:
            detail = str(exc) or type(exc).__name__
            return Err(PlatformError(PlatformReason.UNREACHABLE, detail, may_have_run=False))
        return Ok(conn)

    async def _async_on(
        self, conn: _Connection, data: bytes, deadline: float, poll: str
    ) -> Result[tuple[int, bytes], PlatformError]:
        reusable = False
        try:
            async with asyncio.timeout_at(deadline):
                conn.write(data)
                head = await _async_head(conn)
                answer = await _async_body(conn, head)
            reusable = bool(poll) and not head.closing and (head.chunked or head.size is not None)
            return Ok((head.status, answer))
        except TimeoutError:
            return Err(PlatformError(PlatformReason.TIMEOUT, "no answer within the time allowed"))
        except UpstreamCut as exc:
            return Err(PlatformError(PlatformReason.CUT, str(exc)))
        except ValueError as exc:
            return Err(PlatformError(PlatformReason.BAD_ANSWER, str(exc)))
        finally:
            if reusable and conn.quiet and poll not in self._kept:
                conn.idle = True
                self._kept[poll] = conn
            else:
                conn.close()


async def _async_head(conn: _Connection) -> _Head:
    """Read a head, passing over interim answers; raise ValueError for what is none."""
    for _ in range(MAX_INTERIM_ANSWERS):
        lines = (await conn.async_until(_END_OF_HEAD)).split(_LINE)
        protocol, _, rest = lines[0].partition(b" ")
        if not protocol.startswith(b"HTTP/1."):
            raise ValueError("the answer is not HTTP/1")
        status = int(rest[:3])
        if status < _FINAL_STATUS:
            continue
        fields = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(b":")
            fields[name.strip().lower()] = value.strip().lower()
        size = fields.get(b"content-length")
        chunked = fields.get(b"transfer-encoding") == b"chunked"
        closing = fields.get(b"connection") == b"close" or protocol == b"HTTP/1.0"
        return _Head(status, None if size is None else int(size), chunked, closing)
    raise ValueError("too many interim answers")


async def _async_body(conn: _Connection, head: _Head) -> bytes:
    """Read a body to its declared end; raise UpstreamCut when it ends before."""
    if head.chunked:
        return await _async_chunks(conn)
    if head.size is None:
        return await conn.async_rest()
    if not 0 <= head.size <= MAX_SHORT_BYTES:
        raise ValueError(f"the answer has {head.size} bytes")
    return await conn.async_exactly(head.size)


async def _async_chunks(conn: _Connection) -> bytes:
    """Read a body in chunks, and pass over what may stand behind its last one."""
    pieces: list[bytes] = []
    size = 0
    while length := int((await conn.async_until(_LINE)).partition(b";")[0], 16):
        size += length
        if not 0 < length <= size <= MAX_SHORT_BYTES:
            raise ValueError("the answer is too long")
        pieces.append((await conn.async_exactly(length + len(_LINE)))[: -len(_LINE)])
        if len(pieces) > MAX_SHORT_CHUNKS:
            raise ValueError("the answer has too many chunks")
    trailers = 0
    while (line := await conn.async_until(_LINE)) != _LINE:
        trailers += len(line)
        if trailers > MAX_HEADER_BYTES:
            raise ValueError("the trailers of the answer are too long")
    return b"".join(pieces)

"""Short HTTP calls whose answers are wanted whole, and the connections that polls keep.

`async_exchange` hands over an answer as it comes, through a task, a queue and parsed headers. A gateway
polls the store some fifty times a second, and wants a status and a body.
"""

import asyncio
from datetime import timedelta

import attrs
from result import Err, Ok, Result
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from .const import DEFAULT_CONNECT_TIMEOUT, MAX_HEADER_BYTES, MAX_SHORT_BYTES
from .errors import PlatformError, PlatformReason
from .http import HttpOrigin, async_connect

__all__ = ["ShortCalls"]

_END_OF_HEAD = b"\r\n\r\n"
_FINAL_STATUS = 200
_CLOSED = "the connection ended before the answer did"


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
    is noticed at once, and the call made again on a new one: polls may run twice. With it and without
    parsed headers a gateway that hears a grown site costs 59 ms of processor time a second instead of 111
    (`script/bench fold`).
    """

    def __init__(self, origin: HttpOrigin) -> None:
        self._origin = origin
        self._kept: dict[str, IOStream] = {}

    async def async_call(
        self, method: str, path: str, body: bytes, timeout: timedelta, poll: str = ""
    ) -> Result[tuple[int, bytes], PlatformError]:
        """Return the status and the whole body; `timeout` bounds it all."""
        deadline = asyncio.get_running_loop().time() + timeout.total_seconds()
        data = self._request(method, path, body, bool(poll))
        kept = self._kept.pop(poll, None)
        if kept is not None and not kept.closed():
            answer = await self._async_on(kept, data, deadline, poll)
            if isinstance(answer, Ok) or answer.unwrap_err().reason is not PlatformReason.CUT:
                return answer
        left = timedelta(seconds=deadline - asyncio.get_running_loop().time())
        connect = min(left, DEFAULT_CONNECT_TIMEOUT).total_seconds()
        match await async_connect(self._origin, connect, 2 * MAX_SHORT_BYTES):
            case Err() as err:
                return err
            case Ok(stream):
                return await self._async_on(stream, data, deadline, poll)

    def close(self) -> None:
        """Close what polls have left behind."""
        for stream in self._kept.values():
            stream.close()
        self._kept.clear()

    def _request(self, method: str, path: str, body: bytes, keep: bool) -> bytes:
        lines = [f"{method} {self._origin.base_path}{path} HTTP/1.1"]
        lines.append(f"Host: {self._origin.authority}")
        if not keep:
            lines.append("Connection: close")
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + _END_OF_HEAD + body

    async def _async_on(
        self, stream: IOStream, data: bytes, deadline: float, poll: str
    ) -> Result[tuple[int, bytes], PlatformError]:
        reusable = False
        try:
            async with asyncio.timeout_at(deadline):
                stream.write(data)
                head = await _async_head(stream)
                answer = await _async_body(stream, head)
            reusable = bool(poll) and not head.closing and head.size is not None
            return Ok((head.status, answer))
        except TimeoutError:
            return Err(PlatformError(PlatformReason.TIMEOUT, "no answer within the time allowed"))
        except StreamClosedError:
            return Err(PlatformError(PlatformReason.CUT, _CLOSED))
        except (ValueError, UnsatisfiableReadError) as exc:
            return Err(PlatformError(PlatformReason.BAD_ANSWER, str(exc)))
        finally:
            if reusable and not stream.closed() and poll not in self._kept:
                self._kept[poll] = stream
            else:
                stream.close()


async def _async_head(stream: IOStream) -> _Head:
    """Read a head, passing over interim answers; raise ValueError for what is none."""
    while True:
        told = await stream.read_until(_END_OF_HEAD, max_bytes=MAX_HEADER_BYTES)
        lines = told.split(b"\r\n")
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


async def _async_body(stream: IOStream, head: _Head) -> bytes:
    """Read a body to its declared end; raise StreamClosedError when it ends before."""
    if head.chunked:
        return await _async_chunks(stream)
    if head.size is not None:
        if not 0 <= head.size <= MAX_SHORT_BYTES:
            raise ValueError(f"the answer has {head.size} bytes")
        return await stream.read_bytes(head.size) if head.size else b""
    data = await stream.read_until_close()
    if stream.error is not None:
        raise StreamClosedError(stream.error)
    return data


async def _async_chunks(stream: IOStream) -> bytes:
    """Read a body in chunks, and the empty line behind its last one."""
    pieces: list[bytes] = []
    size = 0
    while True:
        line = await stream.read_until(b"\r\n", max_bytes=MAX_HEADER_BYTES)
        length = int(line.partition(b";")[0], 16)
        size += length
        if not 0 <= length <= size <= MAX_SHORT_BYTES:
            raise ValueError("the answer is too long")
        if not length:
            break
        pieces.append((await stream.read_bytes(length + 2))[:-2])
    # A trailer is passed over.
    while await stream.read_until(b"\r\n", max_bytes=MAX_HEADER_BYTES) != b"\r\n":
        pass
    return b"".join(pieces)

"""Clients that do not behave: bodies that stop short of their end, and answers that are not read."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Iterable

import attrs

__all__ = [
    "BodyPlan",
    "Client",
    "async_ask",
    "async_open",
    "async_send_all",
    "async_send_body",
    "async_send_bytes",
    "close_all",
]

_HOST = "127.0.0.1"
_PIECE_BYTES = 256 * 1024
# Of the socket of a client that does not read.
_RECEIVE_BYTES = 16_384
_ids = itertools.count(1)


@attrs.frozen
class BodyPlan:
    """A request with a long body; its last `missing` bytes are never sent.

    `pieces` is how many writes the body is sent in, each followed by `pause_s` seconds.
    """

    path: str
    size: int
    missing: int = 0
    chunked: bool = False
    pieces: int = 1
    pause_s: float = 0.0
    method: str = "POST"
    headers: tuple[tuple[str, str], ...] = ()
    # Repeated up to `size`.
    filler: bytes = b"b"


@attrs.define(eq=False)
class Client:
    """A client's connection with one request; `status` is that of its answer, 0 if none came."""

    request_id: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    status: int = 0

    async def async_status(self) -> int:
        """Wait for the head of the answer, or for the end of the connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            line = await self.reader.readuntil(b"\r\n")
            self.status = int(line.split()[1])
        return self.status

    async def async_read_slowly(self, size: int, pause_s: float) -> None:
        """Read some bytes of the answer at a time until its connection ends."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(size):  # noqa: ASYNC110 - a pace, not a wait
                await asyncio.sleep(pause_s)

    def close(self) -> None:
        """Close the connection, losing what has not been read."""
        self.writer.transport.abort()


async def async_send_body(port: int, plan: BodyPlan) -> Client:
    """Send a request as planned; return once all that is sent has left, or the server has closed."""
    client = await _async_connect(port)
    with contextlib.suppress(ConnectionError):
        await _async_write(client, plan)
    return client


async def async_send_all(port: int, plan: BodyPlan, count: int) -> list[Client]:
    """Send so many requests at once."""
    return await asyncio.gather(*(async_send_body(port, plan) for _ in range(count)))


async def async_send_bytes(
    port: int, path: str, headers: Iterable[tuple[str, str]], body: bytes
) -> Client:
    """Send a request with the given body."""
    client = await _async_connect(port)
    head = _head("POST", path, client.request_id, [*headers, _length(len(body))])
    with contextlib.suppress(ConnectionError):
        client.writer.write(head)
        client.writer.write(body)
        await client.writer.drain()
    return client


async def async_ask(
    port: int, path: str, headers: Iterable[tuple[str, str]], method: str = "POST"
) -> Client:
    """Ask for an answer, and read no more than its first line."""
    client = await _async_connect(port, _RECEIVE_BYTES)
    length = [("Content-Length", "0")] if method == "POST" else []
    head = _head(method, path, client.request_id, [*headers, *length])
    with contextlib.suppress(ConnectionError):
        client.writer.write(head)
        await client.writer.drain()
    await client.async_status()
    return client


async def async_open(port: int, data: bytes = b"") -> Client:
    """Connect, and send some bytes that are no whole request."""
    client = await _async_connect(port)
    with contextlib.suppress(ConnectionError):
        client.writer.write(data)
        await client.writer.drain()
    return client


def close_all(clients: Iterable[Client]) -> None:
    """Close the connections of all clients."""
    for client in clients:
        client.close()


async def _async_connect(port: int, receive_bytes: int | None = None) -> Client:
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (_HOST, port))
    except BaseException:
        sock.close()
        raise
    streams = await asyncio.open_connection(sock=sock, limit=receive_bytes or 2**16)
    return Client(f"crowd{next(_ids)}", *streams)


async def _async_write(client: Client, plan: BodyPlan) -> None:
    framing = ("Transfer-Encoding", "chunked") if plan.chunked else _length(plan.size)
    client.writer.write(_head(plan.method, plan.path, client.request_id, [*plan.headers, framing]))
    left = plan.size - plan.missing
    piece = -(-left // plan.pieces)
    filler = (plan.filler * (_PIECE_BYTES // len(plan.filler) + 1))[:_PIECE_BYTES]
    while left:
        size = min(piece, left)
        await _async_write_piece(client, filler, size, plan.chunked)
        left -= size
        await asyncio.sleep(plan.pause_s)
    if plan.chunked and not plan.missing:
        client.writer.write(b"0\r\n\r\n")
        await client.writer.drain()


async def _async_write_piece(client: Client, filler: bytes, size: int, chunked: bool) -> None:
    """Write a part of the body, in chunks of their own where it is sent in chunks."""
    while size:
        data = filler[: min(size, len(filler))]
        client.writer.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)
        await client.writer.drain()
        size -= len(data)


def _length(size: int) -> tuple[str, str]:
    return "Content-Length", str(size)


def _head(method: str, path: str, request_id: str, headers: list[tuple[str, str]]) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Attempt-Id: {request_id}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()

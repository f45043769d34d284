"""Forward an upstream's response to the entry, subject to flow control by the entry."""

import asyncio
from collections.abc import Callable

from cranberryline.ports.model import UpstreamBody
from cranberryline.requests.const import MAX_RECORDED_BODY_BYTES
from cranberryline.transport.model import Chunk, End, Head, Message

__all__ = ["INITIAL_WINDOW_BYTES", "ResponseStream"]

# Limits the memory that a slow caller occupies in a side process: after this many bytes that the
# caller has not read, reading from the upstream pauses until the entry extends the window.
INITIAL_WINDOW_BYTES = 256 * 1024


class ResponseStream:
    """Send one response as numbered chunks while the flow control window is open."""

    def __init__(self, request_id: int, reply: Callable[[Message], None]) -> None:
        self._id = request_id
        self._reply = reply
        self._window = INITIAL_WINDOW_BYTES
        self._window_open = asyncio.Event()
        self._window_open.set()
        self._discarding = False
        self._next_chunk = 0
        self._recording = False
        self.recorded_body = b""

    def record_body(self) -> None:
        """Store the body while it is forwarded, until it exceeds `MAX_RECORDED_BODY_BYTES` bytes."""
        self._recording = True

    def extend_window(self, size: int) -> None:
        """Allow `size` more bytes to be sent."""
        self._window += size
        if self._window > 0:
            self._window_open.set()

    def discard(self) -> None:
        """Send nothing more because the receiver is gone; the response is still read to its end."""
        self._discarding = True
        self._window_open.set()

    async def async_forward(self, body: UpstreamBody) -> None:
        """Send head, body and end; raise UpstreamCut if the body ends early."""
        self._send(Head(self._id, body.head.status, body.head.headers))
        async for data in body.chunks():
            await self._window_open.wait()
            if self._recording and len(self.recorded_body) <= MAX_RECORDED_BODY_BYTES:
                self.recorded_body += data
            self._send(Chunk(self._id, self._next_chunk, data))
            self._next_chunk += 1
            self._consume_window(len(data))
        self._send(End(self._id, self._next_chunk))

    def send_complete(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a response whose body is already complete, in one chunk."""
        self._send(Head(self._id, status, headers))
        self._send(Chunk(self._id, 0, body))
        self._send(End(self._id, 1))

    def _consume_window(self, size: int) -> None:
        self._window -= size
        if self._window <= 0 and not self._discarding:
            self._window_open.clear()

    def _send(self, msg: Message) -> None:
        if not self._discarding:
            self._reply(msg)

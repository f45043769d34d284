"""Send an upstream's answer to an entry within the window that the entry grants."""

import asyncio
from collections.abc import Callable

from cranberryline.ports.model import UpstreamBody
from cranberryline.requests.const import MAX_RECORDED_BODY
from cranberryline.transport.model import Chunk, End, Head, Message

__all__ = ["INITIAL_WINDOW", "AnswerStream"]

# One slow caller must not make a side process hold whole answers in memory: past this many bytes
# unread by the caller, reading from the upstream stops until the entry grants more.
INITIAL_WINDOW = 256 * 1024


class AnswerStream:
    """Number the parts of one answer and wait for room before each."""

    def __init__(self, request_id: int, reply: Callable[[Message], None]) -> None:
        self._id = request_id
        self._reply = reply
        self._window = INITIAL_WINDOW
        self._room = asyncio.Event()
        self._room.set()
        self._discarding = False
        self._seq = 0
        self._keeping = False
        self.kept = b""

    def keep_body(self) -> None:
        """Keep the body as it passes, up to one byte more than a recorded outcome may have."""
        self._keeping = True

    def grant(self, size: int) -> None:
        """Add to the window."""
        self._window += size
        if self._window > 0:
            self._room.set()

    def discard(self) -> None:
        """Send nothing more: whoever waited has gone, but the run goes on to its end."""
        self._discarding = True
        self._room.set()

    async def async_send_all(self, body: UpstreamBody) -> None:
        """Send head, body and end; raise UpstreamCut when the body ends before its own end."""
        self._send(Head(self._id, body.head.status, body.head.headers))
        async for data in body.chunks():
            await self._room.wait()
            if self._keeping and len(self.kept) <= MAX_RECORDED_BODY:
                self.kept += data
            self._send(Chunk(self._id, self._seq, data))
            self._seq += 1
            self._take_room(len(data))
        self._send(End(self._id, self._seq))

    def send_whole(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send an answer that is at hand."""
        self._send(Head(self._id, status, headers))
        self._send(Chunk(self._id, 0, body))
        self._send(End(self._id, 1))

    def _take_room(self, size: int) -> None:
        self._window -= size
        if self._window <= 0 and not self._discarding:
            self._room.clear()

    def _send(self, msg: Message) -> None:
        if not self._discarding:
            self._reply(msg)

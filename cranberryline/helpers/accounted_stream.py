"""A connection whose buffered bytes are counted."""

import asyncio
from datetime import timedelta
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from .memory import HoldingPhase, MemoryAccount

__all__ = ["AccountedStream"]

# Less is not counted; nearly all heads and answers are shorter.
_UNCOUNTED_BYTES = 4 * 1024


class AccountedStream(IOStream):
    """Counts what was read and not parsed yet, and what was written and not sent yet.

    Both depend on the client alone: it sends a head without an end, or does not read its answer.
    """

    def __init__(self, *args: Any, memory: MemoryAccount, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.moved_bytes = 0
        self._observed_bytes = 0
        self._received = memory.open(self.close)
        self._unsent = memory.open(self.close)
        self._received.enter(HoldingPhase.RECEIVING)
        self._unsent.enter(HoldingPhase.SENDING)

    @property
    def unsent_bytes(self) -> int:
        """Return how much waits for the client to read."""
        # None once the stream has closed.
        return len(self._write_buffer) if self._write_buffer else 0

    def observe(self, interval: timedelta) -> int:
        """Return how many bytes have moved since the last call, and note it as the client's pace."""
        moved = self.moved_bytes - self._observed_bytes
        self._observed_bytes = self.moved_bytes
        self._received.observe(moved, interval)
        self._unsent.observe(moved, interval)
        return moved

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and count what is added to the buffer."""
        size = super().read_from_fd(buf)
        if size:
            self.moved_bytes += size
            self._count_received(self._read_buffer_size + size)
        return size

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write, and count what could not be sent at once.

        A long write stays in memory as a whole until its last byte is sent.
        """
        size = len(data)
        written = super().write(data)
        if self.unsent_bytes and self._unsent.size + size > _UNCOUNTED_BYTES:
            self._unsent.take(size)
        return written

    def write_to_fd(self, data: memoryview) -> int:
        """Send; once the buffer is empty, nothing of it is held."""
        before = self.unsent_bytes
        size = super().write_to_fd(data)
        self.moved_bytes += size
        if self._unsent.size and size >= before:
            self._unsent.release()
        return size

    def close(self, exc_info: Any = False) -> None:
        """Close, and let go of the buffers.

        Nobody could be answered on it any more. A closed connection is part of reference cycles, so that
        its buffers would stay until the garbage collector finds them.
        """
        super().close(exc_info)
        self._read_buffer, self._read_buffer_size = bytearray(), 0
        self._received.release()
        self._unsent.release()

    def _consume(self, loc: int) -> bytes:
        data = super()._consume(loc)
        if self._received.size:
            self._count_received(self._read_buffer_size)
        return data

    def _count_received(self, size: int) -> None:
        added = (size if size > _UNCOUNTED_BYTES else 0) - self._received.size
        if added <= 0:
            self._received.shrink(-added)
        elif not self._received.receive(added):
            # The caller is about to put the bytes into the buffer.
            asyncio.get_running_loop().call_soon(self.close, StreamClosedError())

"""How many bytes of responses may be received before they end."""

import abc
from collections.abc import Callable

from .errors import UpstreamCut

__all__ = ["ByteHolding", "ResponseBytes", "ResponseMemory"]


class ByteHolding(abc.ABC):
    """Bytes in the account of all that the process holds."""

    @abc.abstractmethod
    def grow(self, size: int) -> bool:
        """Hold more bytes; return whether there is room."""

    @abc.abstractmethod
    def release(self) -> None:
        """Let go of everything."""


class ResponseMemory:
    """Bounds the bytes of responses that have not ended, of each one and of all together.

    A response without an end would otherwise be collected until its request's time is over, by which several
    of them exceed the memory of the process. Once all together are at their limit, responses that
    have no more than `small_bytes` still go on, so that callers of sound upstreams are served.
    `open_holding`, if it is set, returns a response's part in the account of the whole process.
    """

    def __init__(self, max_bytes: int, max_total_bytes: int, small_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.max_total_bytes = max_total_bytes
        self.small_bytes = small_bytes
        self.total_bytes = 0
        self.open_holding: Callable[[], ByteHolding] | None = None

    def open(self) -> "ResponseBytes":
        """Return the count of a response that begins."""
        return ResponseBytes(self, None if self.open_holding is None else self.open_holding())


class ResponseBytes:
    """The bytes of one response so far."""

    def __init__(self, memory: ResponseMemory, holding: ByteHolding | None) -> None:
        self._memory = memory
        self._holding = holding
        self._received = 0
        self._held = 0

    @property
    def is_long(self) -> bool:
        """Return whether enough was received to matter after the response has ended."""
        return self._received > self._memory.small_bytes

    def expect(self, size: int) -> None:
        """Hold room for a response of a known length; raises UpstreamCut if there is none."""
        self._hold(min(size, self._memory.max_bytes))

    def add(self, size: int) -> None:
        """Count received bytes; raises UpstreamCut if the response may not go on."""
        memory = self._memory
        self._received += size
        memory.total_bytes += size
        crowded = memory.total_bytes > memory.max_total_bytes
        if self._received > memory.max_bytes or (crowded and self._received > memory.small_bytes):
            raise UpstreamCut("the response is too long")
        self._hold(self._received)

    def release(self) -> None:
        """Take that the response has ended or is given up."""
        self._memory.total_bytes -= self._received
        self._received = self._held = 0
        if self._holding is not None:
            self._holding.release()

    def _hold(self, size: int) -> None:
        """Hold so many bytes altogether."""
        more = size - self._held
        if self._holding is None or more <= 0:
            return
        if not self._holding.grow(more):
            raise UpstreamCut("no memory for the response")
        self._held = size

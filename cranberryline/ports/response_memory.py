"""How many bytes of responses may be received before they end."""

from .errors import UpstreamCut

__all__ = ["ResponseBytes", "ResponseMemory"]


class ResponseMemory:
    """Bounds the bytes of responses that have not ended, of each one and of all together.

    A response without an end would otherwise be collected until its request's time is over, by which several
    of them exceed the memory of the process. Once all together are at their limit, responses that
    have no more than `small_bytes` still go on, so that callers of sound upstreams are served.
    """

    def __init__(self, max_bytes: int, max_total_bytes: int, small_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.max_total_bytes = max_total_bytes
        self.small_bytes = small_bytes
        self.total_bytes = 0

    def open(self) -> "ResponseBytes":
        """Return the count of a response that begins."""
        return ResponseBytes(self)


class ResponseBytes:
    """The bytes of one response so far."""

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._received = 0

    def add(self, size: int) -> None:
        """Count received bytes; raises UpstreamCut if the response may not go on."""
        memory = self._memory
        self._received += size
        memory.total_bytes += size
        crowded = memory.total_bytes > memory.max_total_bytes
        if self._received > memory.max_bytes or (crowded and self._received > memory.small_bytes):
            raise UpstreamCut("the response is too long")

    def release(self) -> None:
        """Take that the response has ended or is given up."""
        self._memory.total_bytes -= self._received
        self._received = 0

"""A way to send requests to one peer, and the requests that are under way on it."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from .model import Credit, End, Load, Message, Welcome

__all__ = ["Exchange", "Lost", "UpstreamLink"]


class Lost(Message):
    """Take the place of an answer's next message when its connection has ended."""


class UpstreamLink(ABC):
    """What requests are sent over; `welcome` is None where no process of ours answers."""

    vm_id: str
    address: str
    draining: bool
    welcome: Welcome | None
    load: Load | None
    load_at: timedelta
    outstanding_at_load: int
    _listener: Callable[[], None] | None = None

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of `usable`, `outstanding` or `load`.

        The listener may run before all attributes of the change are set, so it only marks the link.
        """
        self._listener = listener

    def _changed(self) -> None:
        if self._listener is not None:
            self._listener()

    @property
    @abstractmethod
    def usable(self) -> bool:
        """Tell whether new work may be sent here."""

    @property
    @abstractmethod
    def outstanding(self) -> int:
        """Count the requests whose answer has not ended."""

    @property
    @abstractmethod
    def outstanding_tokens(self) -> int:
        """Count the expected tokens of the requests whose answer has not ended."""

    @property
    def connected(self) -> bool:
        """Tell whether the next request would go out on a connection that waits for one."""
        return False

    @property
    def idle_connections(self) -> int:
        """Return how many connections wait for a request."""
        return int(self.connected)

    @property
    def unsent(self) -> int:
        """Return how many open requests have not taken a connection yet."""
        return 0

    @abstractmethod
    def open(
        self,
        make: Callable[[int, str], Message],
        tokens: int,
        may_go: Callable[[], bool] | None = None,
    ) -> "Exchange | None":
        """Send a request; None when there is no connection, so that nothing was sent.

        Where requests run in this process, `may_go` is asked once more directly before the upstream's.
        """

    @abstractmethod
    def send(self, msg: Message) -> bool:
        """Send a message if there is a connection, and tell whether there was."""

    @abstractmethod
    def forget(self, request_id: int) -> None:
        """Drop the record of a request that is over for the entry."""

    def grant(self, request_id: int, size: int) -> None:
        """Allow more bytes of an answer."""
        self.send(Credit(request_id, size))


class Exchange:
    """One request on one connection: what goes out, and what comes back in order."""

    def __init__(self, peer: UpstreamLink, request_id: int, tokens: int) -> None:
        self.id = request_id
        self.tokens = tokens
        self.peer = peer
        self._events: deque[Message] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def push(self, msg: Message) -> None:
        """Take a message that belongs to this request."""
        self._events.append(msg)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def async_next(self, timeout: timedelta) -> Message | None:
        """Return the next message of the answer, or None after the timeout."""
        if not self._events:
            loop = asyncio.get_running_loop()
            self._waiter = loop.create_future()
            timer = loop.call_later(max(timeout.total_seconds(), 0.0), self._wake)
            try:
                await self._waiter
            finally:
                timer.cancel()
                self._waiter = None
        return self._events.popleft() if self._events else None

    @property
    def ends_next(self) -> bool:
        """Tell whether the next message is known to be the end of the answer."""
        return bool(self._events) and isinstance(self._events[0], End)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def send(self, msg: Message) -> None:
        """Send a message about this request; a lost connection is seen as Lost by the receiver."""
        self.peer.send(msg)

    def close(self) -> None:
        """Forget the request; later messages for its id are dropped."""
        self.peer.forget(self.id)

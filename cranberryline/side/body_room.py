"""Room for the long bodies that entries hand over, so that several entries do not fill this process."""

from collections.abc import Callable

import attrs

from cranberryline.helpers.memory import Holding, MemoryAccount
from cranberryline.ports.response_memory import ByteHolding
from cranberryline.requests import RequestKey

__all__ = ["BodyRoom"]

# A body as it was received, and what the connection to the upstream has not taken of it.
_COPIES = 2


@attrs.frozen
class _Offer:
    size: int
    on_granted: Callable[[], None]
    on_refused: Callable[[], None]


class BodyRoom:
    """Grants offered bodies in their order, as far as the account of the process has room.

    A body that does not fit is granted once no other is held, so that each one gets its turn.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        self._memory = memory
        self._waiting: dict[RequestKey, _Offer] = {}
        self._granted: dict[RequestKey, Holding] = {}
        self._held = 0

    def offer(
        self,
        key: RequestKey,
        size: int,
        on_granted: Callable[[], None],
        on_refused: Callable[[], None],
    ) -> None:
        """Grant a body of `size` bytes now or later; it is refused if this process stops first."""
        self._waiting[key] = _Offer(size * _COPIES, on_granted, on_refused)
        self._grant_waiting()

    def take(self, key: RequestKey) -> ByteHolding | None:
        """Return the room of a body that has come, None if it was not granted."""
        holding = self._granted.pop(key, None)
        if holding is None:
            return None
        holding.receive(holding.size)
        return _HeldBody(holding, self._on_released)

    def drop(self, key: RequestKey) -> None:
        """Take that an offered body will not come."""
        self._waiting.pop(key, None)
        holding = self._granted.pop(key, None)
        if holding is not None:
            holding.release()
            self._on_released()
        else:
            self._grant_waiting()

    def drop_connection(self, connection: str) -> None:
        """Take that no offered body of a connection will come."""
        for key in [*self._waiting, *self._granted]:
            if key.connection == connection:
                self.drop(key)

    def refuse_waiting(self) -> None:
        """Refuse the offers that wait, as this process stops."""
        waiting, self._waiting = self._waiting, {}
        for offer in waiting.values():
            offer.on_refused()

    def _on_released(self) -> None:
        self._held -= 1
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        while self._waiting:
            key, offer = next(iter(self._waiting.items()))
            holding = self._memory.open()
            if not holding.reserve(offer.size):
                if self._held:
                    return
                holding.take(offer.size)
            del self._waiting[key]
            self._granted[key] = holding
            self._held += 1
            offer.on_granted()


class _HeldBody(ByteHolding):
    """A body that has come; it is released once."""

    def __init__(self, holding: Holding, on_released: Callable[[], None]) -> None:
        self._holding: Holding | None = holding
        self._on_released = on_released

    def grow(self, size: int) -> bool:
        """Hold more bytes; return whether there is room."""
        return self._holding is not None and self._holding.grow(size)

    def release(self) -> None:
        """Let go of the body."""
        holding, self._holding = self._holding, None
        if holding is not None:
            holding.release()
            self._on_released()

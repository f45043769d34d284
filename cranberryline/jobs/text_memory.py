"""What the texts of items hold until their results are recorded."""

from sys import getsizeof

from cranberryline.helpers.memory import MemoryAccount

from .model import ItemResult

__all__ = ["TextMemory"]

# More than the texts that one item adds before the next one is looked at.
_ROOM_BYTES = 256 * 1024
_NAME = "texts"


class TextMemory:
    """The texts that are being generated, and the results that wait for the store.

    They are part of the account of all that the process holds. Without an account there is always room.
    """

    def __init__(self, account: MemoryAccount | None = None) -> None:
        self._account = account
        self._running = 0
        self._waiting = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all texts and results."""
        return self._running + self._waiting

    @property
    def has_room(self) -> bool:
        """Return whether another text may be begun.

        A share of the account is always theirs: where accepted jobs alone took all of it, none of
        them could ever end.
        """
        if self._account is None:
            return True
        limits = self._account.limits
        if self.held_bytes <= limits.total - limits.large:
            return True
        return self._account.make_room(_ROOM_BYTES, limits.large, None)

    def set_running(self, size: int) -> None:
        """Set the bytes of the texts that are being generated."""
        self._running = size
        self._account_held()

    def add(self, result: ItemResult) -> None:
        """Hold a result until the store has it."""
        self._waiting += _size_of(result)
        self._account_held()

    def remove(self, result: ItemResult) -> None:
        """Let go of a result."""
        self._waiting -= _size_of(result)
        self._account_held()

    def _account_held(self) -> None:
        if self._account is not None:
            self._account.keep(_NAME, self.held_bytes)


def _size_of(result: ItemResult) -> int:
    return getsizeof(result.text) + getsizeof(result.score)

"""A set whose members can be drawn at random in constant time."""

from collections.abc import Iterator
from random import Random
from typing import Generic, TypeVar

__all__ = ["SampleSet"]

T = TypeVar("T")


class SampleSet(Generic[T]):
    """A set that adds, discards and draws members at a cost that its size does not change."""

    def __init__(self) -> None:
        self._members: list[T] = []
        self._positions: dict[T, int] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, member: T) -> bool:
        return member in self._positions

    def __iter__(self) -> Iterator[T]:
        return iter(self._members)

    def add(self, member: T) -> None:
        """Add a member if it is not in the set."""
        if member not in self._positions:
            self._positions[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: T) -> None:
        """Remove a member if it is in the set; the last one takes its place."""
        position = self._positions.pop(member, None)
        if position is None:
            return
        last = self._members.pop()
        if position < len(self._members):
            self._members[position] = last
            self._positions[last] = position

    def draw(self, count: int, rng: Random) -> list[T]:
        """Return up to `count` different members in random order."""
        positions = rng.sample(range(len(self._members)), min(count, len(self._members)))
        return [self._members[position] for position in positions]

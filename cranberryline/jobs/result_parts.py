"""Results whose records are too long for the store, put together from their parts."""

from .held_bytes import HeldBytes
from .model import PackedResult, ResultPart

__all__ = ["ResultParts"]


class ResultParts:
    """The parts of a job's results that are not whole yet, identical on every node.

    Parts belong together if they name the same checksum of the whole, so that parts of two runs of an
    item are never mixed, and an append that is repeated changes nothing.
    """

    def __init__(self) -> None:
        self.held = HeldBytes()
        self._parts_by_index: dict[int, dict[tuple[int, int], dict[int, bytes]]] = {}

    def add(self, part: ResultPart) -> PackedResult | None:
        """Add a part; return the result if that makes it whole, and keep its parts no longer."""
        parts_by_whole = self._parts_by_index.setdefault(part.index, {})
        whole = (part.crc, part.total)
        parts = parts_by_whole.setdefault(whole, {})
        self.held.add(len(part.data) - len(parts.get(part.number, b"")))
        parts[part.number] = part.data
        if len(parts) < part.total:
            return None
        del parts_by_whole[whole]
        self.held.add(-sum(map(len, parts.values())))
        data = b"".join(parts[number] for number in range(part.total))
        return PackedResult(part.job, part.index, part.completed, data, part.crc)

    def remove(self, index: int) -> None:
        """Remove the parts of an item that has a result."""
        for parts in self._parts_by_index.pop(index, {}).values():
            self.held.add(-sum(map(len, parts.values())))

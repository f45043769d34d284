"""What is kept of texts that are not whole yet, so that another run may go on from there."""

import attrs

from .codec import decode_events
from .events import ItemText
from .model import Item, TextPiece

__all__ = ["KeptText", "KeptTexts", "same_request"]


@attrs.frozen(eq=False)
class KeptText:
    """A beginning of an item's text, as one node made it."""

    pieces: tuple[TextPiece, ...]

    @property
    def versions(self) -> tuple[int, ...]:
        """Return the versions that made it, each once, in the order of their first event."""
        found: dict[int, None] = {}
        for piece in self.pieces:
            found.update(dict.fromkeys(piece.versions))
        return tuple(found)

    def read(self) -> ItemText | None:
        """Unpack it; None if a piece does not hold the events that it tells of."""
        events: list[str] = []
        for piece in self.pieces:
            found = decode_events(piece.data)
            if found is None or len(found) != piece.count:
                return None
            events += found
        versions = list(self.versions)
        return ItemText(events, versions, self.pieces[-1].last_id, 0, list(versions))


class KeptTexts:
    """The pieces of one job's texts, folded alike by every node.

    A text goes on only behind the run that made it, asked for just there. Two nodes may run an item at
    once, and each keeps what its own runs made: put together from both, a text would go on with a run
    that was never asked to go on from that event. So a piece names its writer and its number, and a writer that
    goes on from what another one kept begins with all of it again.
    """

    def __init__(self) -> None:
        self._chains: dict[int, dict[str, list[TextPiece]]] = {}

    def take(self, piece: TextPiece) -> bool:
        """Take the next piece of a writer; False for one that follows nothing that is kept."""
        chains = self._chains.setdefault(piece.index, {})
        pieces = chains.get(piece.writer, [])
        if piece.number < len(pieces):
            # Appended again, since its first append had no answer.
            return True
        if piece.number > len(pieces) or piece.count < 1:
            return False
        if pieces and piece.last_id - piece.count != pieces[-1].last_id:
            return False
        chains[piece.writer] = [*pieces, piece]
        return True

    def best(self, index: int) -> KeptText | None:
        """Return the longest text that is kept of an item; among equals the same one at every node."""
        found = self._chains.get(index)
        if not found:
            return None
        pieces = max(found.items(), key=lambda chain: (_events(chain[1]), chain[0]))[1]
        return KeptText(tuple(pieces))

    def forget(self, index: int) -> None:
        """Let go of an item's pieces: its result stands."""
        self._chains.pop(index, None)


def _events(pieces: list[TextPiece]) -> int:
    return sum(piece.count for piece in pieces)


def same_request(one: Item, other: Item) -> bool:
    """Tell whether two items ask for the same text; a later job may score it by another request."""
    return (one.id, one.path, one.headers, one.body) == (
        other.id,
        other.path,
        other.headers,
        other.body,
    )

"""Splitting of a running text into the pieces that are stored."""

import uuid

from cranberryline.helpers.logging import get_logger

from .codec import encode_events
from .events import ItemText
from .model import TextPiece

__all__ = ["PieceBuilder"]

_LOGGER = get_logger(__name__)

# About a third of a second at an engine's speed; a text that ends sooner is not worth a record.
MIN_PIECE_EVENTS = 10
# Half of the maximum record size of the store.
MAX_PIECE_BYTES = 100 * 1024


class PieceBuilder:
    """Create the numbered pieces of one item's runs on this node, one pending at a time."""

    def __init__(self, job: str, index: int) -> None:
        self.enabled = False
        self._job = job
        self._index = index
        self._writer = uuid.uuid4().hex[:12]
        self._number = 0
        self._pending: TextPiece | None = None
        self._stopped = False

    def next_piece(self, text: ItemText) -> TextPiece | None:
        """Return the piece to append now, None if there is none.

        This is the pending piece if its append was not acknowledged, otherwise a new one.
        """
        if self._pending is not None:
            return self._pending
        if (
            not self.enabled
            or self._stopped
            or text.uncut_count < MIN_PIECE_EVENTS
            or text.last_id is None
        ):
            return None
        events, versions = text.cut_piece()
        data, crc = encode_events(events)
        if len(data) > MAX_PIECE_BYTES:
            # No piece can follow one that is not stored, so the text is generated but no longer
            # stored.
            self._stopped = True
            _LOGGER.warning("text_too_long_to_keep", request_id=self._job, size=len(data))
            return None
        self._pending = TextPiece(
            self._job,
            self._index,
            self._writer,
            self._number,
            text.last_id,
            len(events),
            versions,
            data,
            crc,
        )
        return self._pending

    def confirm(self, piece: TextPiece) -> None:
        """Record that the pending piece is stored; the next piece follows it."""
        if piece is self._pending:
            self._pending = None
            self._number += 1

"""Cut the pieces of a running text that are to be kept."""

import uuid

from cranberryline.helpers.logging import get_logger

from .codec import encode_events
from .events import ItemText
from .model import TextPiece

__all__ = ["PieceCutter"]

_LOGGER = get_logger(__name__)

# A third of a second of an engine's pace: what ends sooner than that is not worth a record.
LEAST_EVENTS = 10
# A record of the store takes twice as much.
MAX_PIECE_BYTES = 100 * 1024


class PieceCutter:
    """Number the pieces of one item's runs at this node, one under way at a time."""

    def __init__(self, job: str, index: int) -> None:
        self.wanted = False
        self._job = job
        self._index = index
        self._writer = uuid.uuid4().hex[:12]
        self._number = 0
        self._under_way: TextPiece | None = None
        self._stopped = False

    def next(self, text: ItemText) -> TextPiece | None:
        """Return the piece to append now: the one whose append got no answer, or a new one."""
        if self._under_way is not None:
            return self._under_way
        if (
            not self.wanted
            or self._stopped
            or text.uncut_count < LEAST_EVENTS
            or text.last_id is None
        ):
            return None
        events, versions = text.cut_piece()
        data, crc = encode_events(events)
        if len(data) > MAX_PIECE_BYTES:
            # Nothing can follow a piece that is not kept: the text is no longer kept, and still made.
            self._stopped = True
            _LOGGER.warning("text_too_long_to_keep", request_id=self._job, size=len(data))
            return None
        self._under_way = TextPiece(
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
        return self._under_way

    def stands(self, piece: TextPiece) -> None:
        """Note that a piece is kept; the next one follows it."""
        if piece is self._under_way:
            self._under_way = None
            self._number += 1

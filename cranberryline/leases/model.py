"""The fold of lease records: who holds the lease, under which token, since when it was seen."""

from datetime import timedelta

import attrs
import msgspec

__all__ = ["Holding", "LeaseBook", "LeaseRecord"]


class LeaseRecord(msgspec.Struct, array_like=True, frozen=True):
    """A holder's sign of life; `token` is 0 in the record that acquires."""

    holder: str
    token: int = 0


@attrs.frozen
class Holding:
    """The standing lease: its token is the offset of the record that acquired it."""

    holder: str
    token: int
    seen_at: timedelta


class LeaseBook:
    """Fold the lease's partition.

    Each record was appended on the condition that the partition ended just before it, so its author
    knew all earlier ones: whoever stands last holds, and offsets give each holder a token above all
    before it.
    """

    def __init__(self) -> None:
        self.holding: Holding | None = None

    def apply(self, offset: int, record: LeaseRecord, now: timedelta) -> bool:
        """Take the next record; return False for one that no holder wrote, which changes nothing."""
        if not record.holder or not self._sound(offset, record):
            return False
        token = record.token or offset + 1
        self.holding = Holding(record.holder, token, now)
        return True

    def _sound(self, offset: int, record: LeaseRecord) -> bool:
        """Tell whether a holder can have written the record where it stands.

        A renewal bears the token of an acquisition that stands before it. One with a token above that
        would be carried into orders, and engines would refuse every later holder's for good. A renewal of
        a holder whose acquisition was not read, because it was deleted before, is taken: passed over, its
        lease would seem to lapse while it is held.
        """
        if record.token == 0:
            return True
        if not 0 < record.token <= offset:
            return False
        if self.holding is None or record.token > self.holding.token:
            return True
        return (record.holder, record.token) == (self.holding.holder, self.holding.token)

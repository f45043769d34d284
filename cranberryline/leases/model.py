"""Derive the holder of the lease and its fencing token from the records in the store."""

from datetime import timedelta

import attrs
import msgspec

__all__ = ["Holding", "LeaseBook", "LeaseRecord"]


class LeaseRecord(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat of the holder; `token` is 0 in a record that acquires the lease."""

    holder: str
    token: int = 0


@attrs.frozen
class Holding:
    """The current lease; its token is one above the offset of the record that acquired it.

    `seen_at` is when its last record was read by this process, as a reading of `Clock.elapsed`.
    """

    holder: str
    token: int
    seen_at: timedelta


class LeaseBook:
    """Apply the records of the lease's partition in order.

    Each record was appended on the condition that the partition ended just before it, so its author
    had read all earlier ones. The author of the last record is the holder, and since tokens derive
    from offsets, each holder's token is higher than all earlier ones.
    """

    def __init__(self) -> None:
        self.holding: Holding | None = None

    def apply(self, offset: int, record: LeaseRecord, now: timedelta) -> bool:
        """Apply the next record; return False for an invalid one, which changes nothing."""
        if not record.holder or not self._is_valid(offset, record):
            return False
        token = record.token or offset + 1
        self.holding = Holding(record.holder, token, now)
        return True

    def _is_valid(self, offset: int, record: LeaseRecord) -> bool:
        """Return whether a holder can have written the record at this offset.

        A renewal carries the token of an acquisition at a lower offset. A higher token would be
        used in orders, and engines would then refuse the orders of every later holder. A renewal
        whose acquisition was deleted before this process read it is valid: if it were ignored, the
        lease would seem to expire while it is held.
        """
        if record.token == 0:
            return True
        if not 0 < record.token <= offset:
            return False
        if self.holding is None or record.token > self.holding.token:
            return True
        return (record.holder, record.token) == (self.holding.holder, self.holding.token)

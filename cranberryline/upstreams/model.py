"""What the membership view tells of itself."""

import enum

import attrs

from .errors import MembershipReason

__all__ = ["ListApplied", "MemberState", "RowRefused"]


class MemberState(enum.StrEnum):
    """Whether a VM gets new work."""

    USABLE = "usable"
    DRAINING = "draining"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen
class RowRefused:
    """A row of a VM list that was passed over."""

    row: int
    id: str
    reason: MembershipReason
    detail: str


@attrs.frozen
class ListApplied:
    """What a VM list changed: ids that became usable, ids that stopped being so, rows refused."""

    version: int
    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    refused: tuple[RowRefused, ...] = ()

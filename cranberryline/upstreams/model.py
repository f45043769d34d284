"""Member states, and the result of applying a VM list."""

import enum

import attrs

from .errors import MembershipReason

__all__ = ["ListApplied", "MemberState", "RowRefused"]


class MemberState(enum.StrEnum):
    """Whether a VM gets new work, and if not, why."""

    USABLE = "usable"
    DRAINING = "draining"  # its process announced that it stops
    LEAVING = "leaving"  # a VM list reported it as leaving, which is final
    GONE = "gone"  # not in the VM list


@attrs.frozen
class RowRefused:
    """An invalid row of a VM list; `row` is its index in the list."""

    row: int
    id: str
    reason: MembershipReason
    detail: str


@attrs.frozen
class ListApplied:
    """Result of a VM list: ids that became usable, ids that became unusable, and refused rows."""

    version: int
    joined: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    refused: tuple[RowRefused, ...] = ()

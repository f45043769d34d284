"""Reasons why configuration records are rejected."""

import enum
from typing import Any

import attrs

__all__ = ["Mistake", "Rejected", "RejectReason"]


class RejectReason(enum.StrEnum):
    """The reason why a record of the log did not come into force, or was not folded."""

    GAP = "gap"  # the records before it have not been folded; nothing changed
    STALE = "stale"  # its offset was already folded; nothing changed
    MALFORMED = "malformed"  # not a valid configuration record
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_SCHEMA = "unknown_schema"
    INVALID = "invalid"
    CONFLICT = "conflict"  # the revision it amends is not the current one
    REPEATED = "repeated"  # appended again after the response to the first append was lost


@attrs.frozen
class Mistake:
    """A validation error in a record: the key, its value, and a description of what is allowed."""

    key: str
    value: Any
    allowed: str

    def as_dict(self) -> dict[str, Any]:
        """Return the validation error as JSON data."""
        return {"key": self.key, "value": self.value, "allowed": self.allowed}


@attrs.frozen
class Rejected:
    """A record that was rejected; `revision` is the one that stays in force, 0 if there is none."""

    reason: RejectReason
    offset: int
    kind: str = ""
    name: str = ""
    revision: int = 0
    detail: str = ""
    mistakes: tuple[Mistake, ...] = ()

    @property
    def folded(self) -> bool:
        """Return whether the fold's offset moved past the record.

        It does for every reason except `GAP` and `STALE`.
        """
        return self.reason not in (RejectReason.GAP, RejectReason.STALE)

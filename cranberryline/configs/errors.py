"""Errors of the configuration layer."""

import enum
from typing import Any

import attrs

__all__ = ["Mistake", "Rejected", "RejectReason"]


class RejectReason(enum.StrEnum):
    """Why a record of the log is not in force, or was not folded."""

    GAP = "gap"  # records before it are missing; nothing changed
    STALE = "stale"  # its offset was folded before; nothing changed
    MALFORMED = "malformed"  # not a configuration record of ours
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_SCHEMA = "unknown_schema"
    INVALID = "invalid"
    CONFLICT = "conflict"  # it amends a revision that is no longer the current one
    REPEATED = "repeated"  # a second append of the record in force, after a lost answer


@attrs.frozen
class Mistake:
    """One mistake in a record: where, what stands there, what may stand there."""

    key: str
    value: Any
    allowed: str

    def as_dict(self) -> dict[str, Any]:
        """Return the mistake as JSON data."""
        return {"key": self.key, "value": self.value, "allowed": self.allowed}


@attrs.frozen
class Rejected:
    """A record that was refused; `revision` is the one in force instead, 0 for none."""

    reason: RejectReason
    offset: int
    kind: str = ""
    name: str = ""
    revision: int = 0
    detail: str = ""
    mistakes: tuple[Mistake, ...] = ()

    @property
    def folded(self) -> bool:
        """Return whether the fold moved past the record (all but gaps and repeats)."""
        return self.reason not in (RejectReason.GAP, RejectReason.STALE)

"""Errors of requests."""

import enum
from datetime import timedelta

import attrs

from .model import ClaimOutcome

__all__ = ["ClaimReason", "ClaimRefused", "NotRunReason", "RecordFault", "SequenceFault"]


class NotRunReason(enum.StrEnum):
    """Why a side process did not run a request; it vouches for each of these."""

    WRONG_INCARNATION = "wrong_incarnation"
    DEADLINE = "deadline"
    WITHDRAWN = "withdrawn"
    DRAINING = "draining"


class SequenceFault(enum.StrEnum):
    """Why an answer's frames do not make a whole answer."""

    CHUNK_GAP = "chunk_gap"
    CHUNK_BEFORE_HEAD = "chunk_before_head"
    SECOND_HEAD = "second_head"
    END_BEFORE_HEAD = "end_before_head"
    COUNT_MISMATCH = "count_mismatch"
    NOT_RUN_AFTER_HEAD = "not_run_after_head"


@attrs.frozen
class RecordFault:
    """A record on the claims' stream that is none of ours; it changes nothing."""

    detail: str


class ClaimReason(enum.StrEnum):
    """Why a keyed request was not run by this call."""

    IN_PROGRESS = "in_progress"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_REUSED_WITH_OTHER_BODY = "key_reused_with_other_body"


@attrs.frozen
class ClaimRefused:
    """A refused claim; `outcome` is the answer of the run that held the key before."""

    reason: ClaimReason
    outcome: ClaimOutcome | None = None
    retry_after: timedelta | None = None

"""Reasons and errors of requests and claims."""

import enum
from datetime import timedelta

import attrs

from .model import ClaimOutcome

__all__ = ["ClaimReason", "ClaimRefused", "NotRunReason", "RecordFault", "SequenceFault"]


class NotRunReason(enum.StrEnum):
    """Why a side process did not run a request; each reason guarantees that it never will."""

    WRONG_INCARNATION = "wrong_incarnation"
    DEADLINE = "deadline"
    WITHDRAWN = "withdrawn"
    DRAINING = "draining"


class SequenceFault(enum.StrEnum):
    """Why the frames of an answer are out of sequence or incomplete."""

    CHUNK_GAP = "chunk_gap"
    CHUNK_BEFORE_HEAD = "chunk_before_head"
    SECOND_HEAD = "second_head"
    END_BEFORE_HEAD = "end_before_head"
    COUNT_MISMATCH = "count_mismatch"
    NOT_RUN_AFTER_HEAD = "not_run_after_head"


@attrs.frozen
class RecordFault:
    """An invalid record in the claim stream; it is skipped."""

    detail: str


class ClaimReason(enum.StrEnum):
    """Why a request with an idempotency key was not run by this call.

    `in_progress`: another call with the key may still be running. `recorded`: the key has a
    recorded answer, which is returned. `unknown`: an earlier run ended without a known result.
    """

    IN_PROGRESS = "in_progress"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_REUSED_WITH_OTHER_BODY = "key_reused_with_other_body"


@attrs.frozen
class ClaimRefused:
    """A refused claim; `outcome` is the recorded answer of the earlier run, if there is one."""

    reason: ClaimReason
    outcome: ClaimOutcome | None = None
    retry_after: timedelta | None = None

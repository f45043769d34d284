"""Errors of requests."""

import enum

import attrs

__all__ = ["NotRunReason", "RecordFault", "SequenceFault"]


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

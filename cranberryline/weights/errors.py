"""Errors of weight swaps."""

import enum

__all__ = ["SwapProblem"]


class SwapProblem(enum.StrEnum):
    """Reason why an order, a response or a load report was rejected or has failed."""

    OLD_FENCE = "old_fence"  # a record with a lower offset than the current target
    OTHER_VERSION = "other_version"  # the engine serves another version than the ordered one
    BAD_REPORT = "bad_report"  # a version or fencing token of the wrong type or out of range
    STALE_FENCE = "stale_fence"  # the engine has accepted a higher fencing token
    FAILED = "swap_failed"
    NOT_STARTED = "not_started"  # rejected before the engine changed anything
    LATE_ANSWER = "late_answer"  # a response to an order that is no longer in flight

"""Errors of the weights domain."""

import enum

__all__ = ["SwapTrouble"]


class SwapTrouble(enum.StrEnum):
    """What was wrong with an order, an answer or a report."""

    OLD_FENCE = "old_fence"  # a target older than the one held
    OTHER_VERSION = "other_version"  # the engine serves another version than was ordered
    BAD_REPORT = "bad_report"
    STALE_FENCE = "stale_fence"  # the engine has had a higher fencing number
    FAILED = "swap_failed"
    NOT_STARTED = "not_started"  # refused before anything changed
    LATE_ANSWER = "late_answer"

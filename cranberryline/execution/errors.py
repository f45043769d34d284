"""Why a side process did not run a request, or could not finish it."""

import enum

__all__ = ["FailReason", "RunnerReason"]


class RunnerReason(enum.StrEnum):
    """Why a request was not run, besides the reasons of the aggregate that holds it."""

    DRAINING = "draining"
    DEADLINE = "deadline"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_REPLACED = "upstream_replaced"  # another process answered at its address
    UPSTREAM_REFUSED = "upstream_refused"  # it answered that it did not run the request
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_REUSED = "key_reused"
    NO_LONGER_WANTED = "no_longer_wanted"  # its sender would not send it any more


class FailReason(enum.StrEnum):
    """Why a request that was started has no whole answer."""

    UPSTREAM_CUT = "upstream_cut"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_RESTARTED = "upstream_restarted"
    CANCELLED = "cancelled"
    FORGOTTEN = "forgotten"
    CLAIM_IN_PROGRESS = "claim_in_progress"
    CLAIM_UNKNOWN = "claim_unknown"
    OUTCOME_NOT_KEPT = "outcome_not_kept"

"""Why a side process did not run a request, or could not finish it."""

import enum

__all__ = ["FailReason", "RunnerReason"]


class RunnerReason(enum.StrEnum):
    """Why a request was not run, besides the reasons of the aggregate that holds it."""

    DRAINING = "draining"
    DEADLINE = "deadline"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    NOT_READY = "not_ready"


class FailReason(enum.StrEnum):
    """Why a request that was started has no whole answer."""

    UPSTREAM_CUT = "upstream_cut"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_ERROR = "upstream_error"
    CANCELLED = "cancelled"
    FORGOTTEN = "forgotten"

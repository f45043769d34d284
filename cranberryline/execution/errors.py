"""Reasons why a side process did not run a request or could not complete it."""

import enum

__all__ = ["FailReason", "RunnerReason"]


class RunnerReason(enum.StrEnum):
    """Reasons why a request was not run, in addition to those of `RequestRegistry`.

    The values are sent to the entry and are labels of metrics.
    """

    DRAINING = "draining"
    DEADLINE = "deadline"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_REPLACED = "upstream_replaced"  # another process answers at the upstream's address
    UPSTREAM_REFUSED = "upstream_refused"  # the upstream answered that it did not run the request
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_REUSED = "key_reused"  # the idempotency key belongs to a different request
    NO_LONGER_WANTED = "no_longer_wanted"  # the sender no longer considers this upstream eligible


class FailReason(enum.StrEnum):
    """Reasons why a request that may have run has no complete response.

    The values are sent to the entry and are labels of metrics.
    """

    UPSTREAM_CUT = "upstream_cut"  # the response body ended early
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_RESTARTED = "upstream_restarted"
    CANCELLED = "cancelled"
    FORGOTTEN = "forgotten"  # the request id is older than the ids whose state is remembered
    CLAIM_IN_PROGRESS = "claim_in_progress"  # another call with the idempotency key is running
    CLAIM_UNKNOWN = "claim_unknown"  # the outcome of another call with the key is not known
    OUTCOME_NOT_KEPT = "outcome_not_kept"  # the recorded response was too large to be stored

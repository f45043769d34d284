"""What the entry tells a caller when there is no whole answer."""

import enum
from datetime import timedelta

import attrs

from cranberryline.requests import Ran

__all__ = ["Ran", "Refusal", "RefusalReason"]


class RefusalReason(enum.StrEnum):
    """Why a request has no whole answer."""

    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHORIZED = "unauthorized"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    NOT_READY = "not_ready"
    HELD = "held"
    RETRIES_SPENT = "retries_spent"
    UPSTREAM_FAILED = "upstream_failed"
    CONNECTION_LOST = "connection_lost"
    CALLER_LEFT = "caller_left"
    CLAIM_IN_PROGRESS = "claim_in_progress"
    CLAIM_UNKNOWN = "claim_unknown"
    KEY_REUSED = "key_reused"
    LOG_UNAVAILABLE = "log_unavailable"
    PROTOCOL = "protocol"


STATUS_BY_REASON = {
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.UNAUTHORIZED: 401,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.DEADLINE: 504,
    RefusalReason.UPSTREAM_FAILED: 502,
    RefusalReason.CONNECTION_LOST: 502,
    RefusalReason.PROTOCOL: 502,
    RefusalReason.CLAIM_IN_PROGRESS: 409,
    RefusalReason.CLAIM_UNKNOWN: 502,
    RefusalReason.KEY_REUSED: 422,
}
DEFAULT_STATUS = 503


@attrs.frozen
class Refusal:
    """A final answer without a result: why, whether it ran, and when to come back.

    `begun` is set when a part of an answer has already reached the caller, so that the only honest
    end is to cut the connection.
    """

    reason: RefusalReason
    ran: Ran = Ran.NO
    retry_after: timedelta | None = None
    detail: str = ""
    begun: bool = False

    def behind_runs(self, may_have_run: bool) -> "Refusal":
        """Return the refusal for all of a request: what one attempt may have run is not told as not run by another."""
        if may_have_run and self.ran is Ran.NO:
            return attrs.evolve(self, ran=Ran.UNKNOWN)
        return self

    @property
    def status(self) -> int:
        """Return the HTTP status that fits the reason."""
        return STATUS_BY_REASON.get(self.reason, DEFAULT_STATUS)

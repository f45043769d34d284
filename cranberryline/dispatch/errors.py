"""The result that a caller receives in place of a complete response."""

import enum
from datetime import timedelta

import attrs

from cranberryline.requests import Ran

__all__ = ["Ran", "Refusal", "RefusalReason"]


class RefusalReason(enum.StrEnum):
    """Why a request has no complete response.

    Member names are looked up by the upper-case reasons of attempt outcomes (see `outcomes`).
    """

    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHORIZED = "unauthorized"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    NOT_READY = "not_ready"
    # The request is in quarantine because upstreams crashed while they ran it.
    HELD = "held"
    # No upstream ran the request within the permitted attempts.
    RETRIES_SPENT = "retries_spent"
    UPSTREAM_FAILED = "upstream_failed"
    CONNECTION_LOST = "connection_lost"
    # The caller closed its connection.
    CALLER_LEFT = "caller_left"
    # A call with the same idempotency key is still running.
    CLAIM_IN_PROGRESS = "claim_in_progress"
    # A call with the same idempotency key has started, and its outcome is unknown.
    CLAIM_UNKNOWN = "claim_unknown"
    # The idempotency key belongs to a different request.
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
    """A final result without a complete response.

    `ran` says whether the request was run, and `retry_after` when the caller may retry.
    `response_started` is set if a part of a response has already reached the caller. The connection
    must then be closed, so that the caller does not treat the part as a complete response.
    """

    reason: RefusalReason
    ran: Ran = Ran.NO
    retry_after: timedelta | None = None
    detail: str = ""
    response_started: bool = False

    def after_possible_run(self, may_have_run: bool) -> "Refusal":
        """Return the refusal for a whole request of several attempts.

        If an earlier attempt may have run, the request must not be reported as not run.
        """
        if may_have_run and self.ran is Ran.NO:
            return attrs.evolve(self, ran=Ran.UNKNOWN)
        return self

    @property
    def status(self) -> int:
        """Return the HTTP status for the reason."""
        return STATUS_BY_REASON.get(self.reason, DEFAULT_STATUS)

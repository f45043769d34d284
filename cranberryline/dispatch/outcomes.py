"""Derive upstream health, retries, crash reports and refusals from the outcomes of attempts."""

from datetime import timedelta

import attrs

from cranberryline.decisions.upstream_cooldown import (
    REFUSED_COOLDOWN,
    REPLACED_COOLDOWN,
    UNREACHABLE_COOLDOWN,
)
from cranberryline.helpers.clock import in_milliseconds
from cranberryline.helpers.logging import get_logger
from cranberryline.quarantine import BrokenRun, Held
from cranberryline.requests import (
    AttemptDone,
    AttemptNotRun,
    AttemptOutcome,
    AttemptUnknown,
    Ran,
)

from .attempt import AttemptTrace
from .errors import Refusal, RefusalReason
from .model import CallerRequest
from .scheduler import SlotReservation

__all__ = [
    "cooldown_after",
    "hold_refusal",
    "include_earlier_attempts",
    "is_final",
    "is_stale_registration",
    "is_upstream_fault",
    "log_failed_attempt",
    "make_broken_run",
    "make_refusal",
    "may_be_crash",
    "reason_text",
]

_LOGGER = get_logger(__name__)

_RETRY_AFTER = timedelta(seconds=1)
# Paths in crash reports to other gateways and operators are cut to this length.
_MAX_PATH_CHARACTERS = 200
# A crash later than this after the start of a response is not attributed to the request.
_CRASH_WINDOW = timedelta(milliseconds=500)
# Reasons that show a fault of the upstream itself, as opposed to its queue or the caller.
_UPSTREAM_FAULTS = frozenset(
    {
        "upstream_unreachable",
        "upstream_cut",
        "upstream_timeout",
        "upstream_error",
        "connection_lost",
        "not_connected",
    }
)
# Reasons seen when an upstream crashes: its connections end before or within the response.
_CRASH_REASONS = frozenset({"upstream_cut", "upstream_error"})
# How long an upstream that rejected a request is avoided, by the reason of the rejection.
_COOLDOWNS = {
    "upstream_refused": REFUSED_COOLDOWN,
    "upstream_unreachable": UNREACHABLE_COOLDOWN,
    "upstream_replaced": REPLACED_COOLDOWN,
}
# Reasons that show a stale registration: the request is sent to another upstream without a delay,
# and the failed attempt does not count against the attempt limit.
_STALE_REGISTRATION = frozenset({"upstream_unreachable", "upstream_replaced", "draining"})
# Reasons for which an attempt at another upstream could not succeed.
_FINAL_REASONS = frozenset(
    reason.name
    for reason in (
        RefusalReason.DEADLINE,
        RefusalReason.CALLER_LEFT,
        RefusalReason.CLAIM_IN_PROGRESS,
        RefusalReason.CLAIM_UNKNOWN,
        RefusalReason.KEY_REUSED,
        RefusalReason.LOG_UNAVAILABLE,
    )
)


def is_upstream_fault(outcome: AttemptOutcome) -> bool:
    """Return whether an attempt failed through a fault of its upstream."""
    return reason_text(outcome) in _UPSTREAM_FAULTS


def is_stale_registration(outcome: AttemptOutcome) -> bool:
    """Return whether the upstream of an attempt had left, which its registration did not tell yet."""
    return reason_text(outcome) in _STALE_REGISTRATION


def cooldown_after(outcome: AttemptOutcome) -> timedelta | None:
    """Return how long to avoid an upstream that rejected a request, else None."""
    if not isinstance(outcome, AttemptNotRun):
        return None
    return _COOLDOWNS.get(outcome.reason)


def may_be_crash(outcome: AttemptOutcome, trace: AttemptTrace, now: timedelta) -> bool:
    """Return whether an attempt may have ended because the request crashed its upstream."""
    if isinstance(outcome, AttemptNotRun) or reason_text(outcome) not in _CRASH_REASONS:
        return False
    return trace.response_started_at is None or now - trace.response_started_at <= _CRASH_WINDOW


def make_broken_run(req: CallerRequest, upstream: str) -> BrokenRun:
    """Return the report of a run whose connection ended before its response was complete."""
    path = req.path.partition("?")[0][:_MAX_PATH_CHARACTERS]
    return BrokenRun(req.fingerprint, req.request_id, req.caller, path, req.service, upstream)


def hold_refusal(hold: Held) -> Refusal:
    """Return the refusal of a request in quarantine, with the time until its next trial run."""
    detail = f"{hold.crashes} upstreams crashed while they ran it"
    return Refusal(RefusalReason.HELD, Ran.NO, hold.retry_after, detail)


def log_failed_attempt(
    req: CallerRequest, reservation: SlotReservation, outcome: AttemptOutcome, now: timedelta
) -> None:
    """Log a failed attempt, so that a crash can be traced to the requests that ran there."""
    _LOGGER.info(
        "attempt_failed",
        request_id=req.request_id,
        host=req.caller,  # operators know a caller by the name of its host
        path=req.path.partition("?")[0],
        service=req.service,
        upstream=reservation.upstream.link.vm_id,
        reason=reason_text(outcome),
        not_run=isinstance(outcome, AttemptNotRun),
        ms=in_milliseconds(now - reservation.reserved_at),
    )


def include_earlier_attempts(refusal: Refusal, outcomes: list[AttemptOutcome]) -> Refusal:
    """Return the refusal for a whole request, given the outcomes of its earlier attempts.

    A refusal of the last attempt says that this attempt was not run. If an earlier attempt may have
    run, the caller must not read the request as not run, as its effects may exist at the upstream.
    """
    if refusal.ran is not Ran.NO:
        return refusal
    reported = [outcome.ran for outcome in outcomes if isinstance(outcome, AttemptUnknown)]
    if not reported:
        return refusal
    return attrs.evolve(refusal, ran=Ran.YES if Ran.YES in reported else Ran.UNKNOWN)


def is_final(outcome: AttemptOutcome) -> bool:
    """Return whether an attempt at another upstream could not succeed."""
    return reason_text(outcome).upper() in _FINAL_REASONS


def reason_text(outcome: AttemptOutcome) -> str:
    """Return the reason of an outcome, an empty string for a complete response."""
    return "" if isinstance(outcome, AttemptDone) else outcome.reason


def make_refusal(outcome: AttemptOutcome, retry_after: timedelta | None) -> Refusal:
    """Return the final refusal after an outcome; `retry_after` takes precedence over its own."""
    if isinstance(outcome, AttemptNotRun):
        reason = _refusal_reason(outcome.reason, RefusalReason.RETRIES_SPENT)
        return Refusal(
            reason, Ran.NO, retry_after or outcome.retry_after or _RETRY_AFTER, outcome.reason
        )
    if isinstance(outcome, AttemptUnknown):
        reason = _refusal_reason(outcome.reason, RefusalReason.UPSTREAM_FAILED)
        return Refusal(reason, outcome.ran, retry_after, outcome.reason)
    return Refusal(
        RefusalReason.UPSTREAM_FAILED, Ran.YES, detail=reason_text(outcome), response_started=True
    )


def _refusal_reason(text: str, default: RefusalReason) -> RefusalReason:
    known = RefusalReason.__members__.get(text.upper())
    return default if known is None else known

"""What the outcome of an attempt says: of its upstream, of the next attempt, and to the caller."""

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
from .lane import Turn
from .model import CallerRequest

__all__ = [
    "broken_run",
    "held_refusal",
    "is_final",
    "is_out_of_date",
    "is_upstream_fault",
    "may_be_crash",
    "reason_text",
    "refusal_of",
    "rest_after",
    "tell_failed",
    "with_earlier",
]

_LOGGER = get_logger(__name__)

_RETRY_AFTER = timedelta(seconds=1)
# Characters of a path that are told to other gateways and operators.
_MAX_PATH = 200
# A run that has answered for longer than this was not ended by how it began.
_BLAMED_WITHIN = timedelta(milliseconds=500)
# What says something of the upstream itself, and not of its queue or of the caller.
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
# An upstream that crashes cuts its runs before their answer, or in the middle of it.
_BROKEN_OFF = frozenset({"upstream_cut", "upstream_error"})
# For how long an upstream that turned a request away gets no other one, by what it said.
_RESTS = {
    "upstream_refused": REFUSED_COOLDOWN,
    "upstream_unreachable": UNREACHABLE_COOLDOWN,
    "upstream_replaced": REPLACED_COOLDOWN,
}
# What says that an entry is out of date: another upstream is asked at once, and no attempt is spent on it.
_OUT_OF_DATE = frozenset({"upstream_unreachable", "upstream_replaced"})
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
    """Tell whether an attempt says something against its upstream."""
    return reason_text(outcome) in _UPSTREAM_FAULTS


def is_out_of_date(outcome: AttemptOutcome) -> bool:
    """Tell whether the upstream of an attempt is not there any more."""
    return reason_text(outcome) in _OUT_OF_DATE


def rest_after(outcome: AttemptOutcome) -> timedelta | None:
    """Return for how long an upstream that turned a request away rests, None if it did not."""
    if not isinstance(outcome, AttemptNotRun):
        return None
    return _RESTS.get(outcome.reason)


def may_be_crash(outcome: AttemptOutcome, trace: AttemptTrace, now: timedelta) -> bool:
    """Tell whether an attempt may have broken off because it crashed its upstream."""
    if isinstance(outcome, AttemptNotRun) or reason_text(outcome) not in _BROKEN_OFF:
        return False
    return trace.answered_at is None or now - trace.answered_at <= _BLAMED_WITHIN


def broken_run(req: CallerRequest, upstream: str) -> BrokenRun:
    """Return what is told of a run that broke off."""
    path = req.path.partition("?")[0][:_MAX_PATH]
    return BrokenRun(req.fingerprint, req.request_id, req.caller, path, req.service, upstream)


def held_refusal(held: Held) -> Refusal:
    """Return the refusal of a request that is held, with the time of its next trial."""
    detail = f"{held.crashes} upstreams crashed while they ran it"
    return Refusal(RefusalReason.HELD, Ran.NO, held.retry_after, detail)


def tell_failed(req: CallerRequest, turn: Turn, outcome: AttemptOutcome, now: timedelta) -> None:
    """Log an attempt that its upstream failed, so that a crash can be traced to the requests that ran there."""
    _LOGGER.info(
        "attempt_failed",
        request_id=req.request_id,
        host=req.caller,
        path=req.path.partition("?")[0],
        service=req.service,
        upstream=turn.upstream.peer.vm_id,
        reason=reason_text(outcome),
        not_run=isinstance(outcome, AttemptNotRun),
        ms=in_milliseconds(now - turn.given),
    )


def with_earlier(refusal: Refusal, earlier: list[AttemptOutcome]) -> Refusal:
    """Let a refusal speak for the whole request, and not for its last attempt alone.

    A repetition that was refused is truly not run; the attempt before it may have been. Told `no`
    for the last one only, the caller would take as not run what stands in the upstream's books.
    """
    if refusal.ran is not Ran.NO:
        return refusal
    told = [outcome.ran for outcome in earlier if isinstance(outcome, AttemptUnknown)]
    if not told:
        return refusal
    return attrs.evolve(refusal, ran=Ran.YES if Ran.YES in told else Ran.UNKNOWN)


def is_final(outcome: AttemptOutcome) -> bool:
    """Tell whether another upstream could not do better."""
    return reason_text(outcome).upper() in _FINAL_REASONS


def reason_text(outcome: AttemptOutcome) -> str:
    """Return the reason of an outcome, an empty text for a whole answer."""
    return "" if isinstance(outcome, AttemptDone) else outcome.reason


def refusal_of(outcome: AttemptOutcome, hint: timedelta | None) -> Refusal:
    """Return the final refusal after an outcome; `hint` is when to come back."""
    if isinstance(outcome, AttemptNotRun):
        reason = _reason(outcome.reason, RefusalReason.RETRIES_SPENT)
        return Refusal(reason, Ran.NO, hint or outcome.retry_after or _RETRY_AFTER, outcome.reason)
    if isinstance(outcome, AttemptUnknown):
        reason = _reason(outcome.reason, RefusalReason.UPSTREAM_FAILED)
        return Refusal(reason, outcome.ran, hint, outcome.reason)
    return Refusal(RefusalReason.UPSTREAM_FAILED, Ran.YES, detail=reason_text(outcome), begun=True)


def _reason(text: str, default: RefusalReason) -> RefusalReason:
    known = RefusalReason.__members__.get(text.upper())
    return default if known is None else known

"""Data classes and enums of requests, attempts and claims."""

import enum
from datetime import datetime, timedelta

import attrs

__all__ = [
    "AttemptBroken",
    "AttemptDone",
    "AttemptNotRun",
    "AttemptOutcome",
    "AttemptUnknown",
    "CancelOutcome",
    "Claim",
    "ClaimOutcome",
    "ClaimState",
    "Ran",
    "RequestKey",
    "SubmitOutcome",
    "WithdrawOutcome",
]


class Ran(enum.StrEnum):
    """Whether a request ran, as far as the reporting process knows."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@attrs.frozen
class RequestKey:
    """Identify a request at a side process: ids are unique only within a connection."""

    connection: str
    id: int


class SubmitOutcome(enum.StrEnum):
    """The result of a Submit that was not refused."""

    QUEUED = "queued"
    IGNORED = "ignored"  # duplicate, or the connection is not open; no answer is sent
    # The id was evicted, so the request may have run before: answered by Failed, `ran` unknown.
    FORGOTTEN = "forgotten"


class WithdrawOutcome(enum.StrEnum):
    """The answer to a Withdraw; only `not_run` guarantees that the request never runs."""

    NOT_RUN = "not_run"
    STARTED = "started"
    DONE = "done"


class CancelOutcome(enum.StrEnum):
    """What the runner must do after a Cancel."""

    DROPPED = "dropped"  # the request was queued and is removed
    STOP = "stop"  # the request is running and may be stopped
    NOTHING = "nothing"  # it has ended, is not known, or must run to completion


@attrs.frozen
class AttemptDone:
    """The complete answer was received."""

    status: int
    chunks: int


@attrs.frozen
class AttemptNotRun:
    """The side process guarantees that the request did not and will not run."""

    reason: str
    retry_after: timedelta = timedelta()


@attrs.frozen
class AttemptUnknown:
    """The request may have run (`ran` is `unknown`) or did (`yes`); no byte was forwarded."""

    reason: str
    ran: Ran = Ran.UNKNOWN


@attrs.frozen
class AttemptBroken:
    """The answer failed after bytes were forwarded; the caller's response must be aborted."""

    reason: str


AttemptOutcome = AttemptDone | AttemptNotRun | AttemptUnknown | AttemptBroken


@attrs.frozen
class ClaimOutcome:
    """The answer recorded for a key; `body` is None if it was too large to be recorded."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    digest: str = ""


class ClaimState(enum.StrEnum):
    """The state of the active claim of a key: `claimed` may be running, `settled` has an answer."""

    CLAIMED = "claimed"
    SETTLED = "settled"


@attrs.frozen
class Claim:
    """The active claim of a key.

    `offset` and `time` are those of the claim record in the log, `budget` is the time limit of the
    request. `outcome_offset` is the log offset of the recorded answer; 0 means none.
    """

    key: str
    claim_id: str
    side_incarnation: str
    fingerprint: str
    offset: int
    time: datetime
    budget: timedelta
    state: ClaimState = ClaimState.CLAIMED
    outcome_offset: int = 0

"""Data of requests: keys, states, outcomes and claims."""

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
    """Whether a request ran, as far as the teller knows."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@attrs.frozen
class RequestKey:
    """Name a request at a side process: ids are unique only within their connection."""

    connection: str
    id: int


class SubmitOutcome(enum.StrEnum):
    """What became of a Submit that was not refused."""

    QUEUED = "queued"
    IGNORED = "ignored"  # a duplicate, or from a connection that is not open: no answer
    FORGOTTEN = "forgotten"  # too old to vouch for: answer Failed, ran unknown


class WithdrawOutcome(enum.StrEnum):
    """What the answer to a Withdraw says; only `not_run` is a promise."""

    NOT_RUN = "not_run"
    STARTED = "started"
    DONE = "done"


class CancelOutcome(enum.StrEnum):
    """What a Cancel asks of the runner."""

    DROPPED = "dropped"  # it was queued and will not run
    STOP = "stop"  # it runs and may be stopped
    NOTHING = "nothing"  # it ended, was never here, or must run to its end


@attrs.frozen
class AttemptDone:
    """The whole answer came."""

    status: int
    chunks: int


@attrs.frozen
class AttemptNotRun:
    """The process that held the request vouches that it was not run."""

    reason: str
    retry_after: timedelta = timedelta()


@attrs.frozen
class AttemptUnknown:
    """The request may have run (`ran` unknown) or did (`yes`), and no byte went to the caller."""

    reason: str
    ran: Ran = Ran.UNKNOWN


@attrs.frozen
class AttemptBroken:
    """The answer broke off after bytes of it went to the caller, whose answer must be cut."""

    reason: str


AttemptOutcome = AttemptDone | AttemptNotRun | AttemptUnknown | AttemptBroken


@attrs.frozen
class ClaimOutcome:
    """The answer recorded for a key; `body` is None when it was too large to keep."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    digest: str = ""


class ClaimState(enum.StrEnum):
    """Where the standing claim of a key is."""

    CLAIMED = "claimed"
    SETTLED = "settled"


@attrs.frozen
class Claim:
    """The standing claim of a key; `outcome_offset` is where its answer is recorded."""

    key: str
    claim_id: str
    side_incarnation: str
    fingerprint: str
    offset: int
    time: datetime
    budget: timedelta
    state: ClaimState = ClaimState.CLAIMED
    outcome_offset: int = 0

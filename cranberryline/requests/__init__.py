"""Request state on both ends of a dispatch, and the claims of idempotency keys."""

from .attempt import EntryAttempt
from .claims import ClaimFold, fingerprint, scoped_key
from .errors import ClaimReason, ClaimRefused, NotRunReason, RecordFault, SequenceFault
from .model import (
    AttemptBroken,
    AttemptDone,
    AttemptNotRun,
    AttemptOutcome,
    AttemptUnknown,
    CancelOutcome,
    Claim,
    ClaimOutcome,
    ClaimState,
    Ran,
    RequestKey,
    SubmitOutcome,
    WithdrawOutcome,
)
from .request_registry import LostConnection, RequestRegistry

__all__ = [
    "AttemptBroken",
    "AttemptDone",
    "AttemptNotRun",
    "AttemptOutcome",
    "AttemptUnknown",
    "CancelOutcome",
    "Claim",
    "ClaimFold",
    "ClaimOutcome",
    "ClaimReason",
    "ClaimRefused",
    "ClaimState",
    "EntryAttempt",
    "LostConnection",
    "NotRunReason",
    "Ran",
    "RecordFault",
    "RequestKey",
    "RequestRegistry",
    "SequenceFault",
    "SubmitOutcome",
    "WithdrawOutcome",
    "fingerprint",
    "scoped_key",
]

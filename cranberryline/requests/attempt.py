"""State machine of one dispatch of a request by an entry, from Submit to its outcome."""

import enum
from datetime import timedelta

from .errors import SequenceFault
from .model import (
    AttemptBroken,
    AttemptDone,
    AttemptNotRun,
    AttemptOutcome,
    AttemptUnknown,
    Ran,
    WithdrawOutcome,
)

__all__ = ["EntryAttempt"]


class _State(enum.Enum):
    SUBMITTED = enum.auto()
    ANSWERING = enum.auto()
    RESOLVED = enum.auto()


class EntryAttempt:
    """Reduce the frames received for one request to exactly one outcome.

    The `on_...` methods for frames return whether the frame was accepted. Frames that arrive after
    the outcome are ignored. A frame that is out of sequence is rejected and ends the attempt.
    """

    def __init__(self, idempotent: bool) -> None:
        self._idempotent = idempotent
        self._state = _State.SUBMITTED
        self._status = 0
        self._next_seq = 0
        self._forwarded = False
        self._withdrawing = False
        self._outcome: AttemptOutcome | None = None

    @property
    def outcome(self) -> AttemptOutcome | None:
        """Return the outcome, or None while the attempt is in progress."""
        return self._outcome

    @property
    def withdrawing(self) -> bool:
        """Return whether a Withdraw was sent and has not been answered yet."""
        return self._withdrawing and self._outcome is None

    @property
    def may_send_again(self) -> bool:
        """Return whether the request may be dispatched again after this attempt."""
        if isinstance(self._outcome, AttemptNotRun):
            return True
        # A non-idempotent request that may have run is never retried: one call could create two
        # records at the upstream, and no later check would detect the duplicate.
        return isinstance(self._outcome, AttemptUnknown) and self._idempotent

    def mark_forwarded(self) -> None:
        """Record that at least one byte of the answer, such as the status line, was forwarded."""
        self._forwarded = True
        # The write to the caller can complete after the frame that failed the attempt was
        # processed. A retry allowed by that earlier outcome would append a second answer to the
        # first one.
        if isinstance(self._outcome, AttemptUnknown):
            self._outcome = AttemptBroken(self._outcome.reason)

    def on_head(self, status: int) -> bool:
        """Process a Head frame, which starts the answer."""
        if self._state is _State.RESOLVED:
            return False
        if self._state is _State.ANSWERING:
            return self._reject_frame(SequenceFault.SECOND_HEAD)
        self._state = _State.ANSWERING
        self._status = status
        return True

    def on_chunk(self, seq: int) -> bool:
        """Process a Chunk frame; only the next sequence number is accepted."""
        if self._state is _State.RESOLVED:
            return False
        if self._state is _State.SUBMITTED:
            return self._reject_frame(SequenceFault.CHUNK_BEFORE_HEAD)
        # Without consecutive sequence numbers and the chunk count in End, a lost or duplicated
        # frame would corrupt a body that looks complete to the caller.
        if seq != self._next_seq:
            return self._reject_frame(SequenceFault.CHUNK_GAP)
        self._next_seq += 1
        return True

    def on_end(self, chunks: int) -> bool:
        """Process an End frame; the answer is complete only if the chunk count matches."""
        if self._state is _State.RESOLVED:
            return False
        if self._state is _State.SUBMITTED:
            return self._reject_frame(SequenceFault.END_BEFORE_HEAD)
        if chunks != self._next_seq:
            return self._reject_frame(SequenceFault.COUNT_MISMATCH)
        self._resolve(AttemptDone(self._status, chunks))
        return True

    def on_not_run(self, reason: str, retry_after: timedelta = timedelta()) -> bool:
        """Process a NotRun frame, which guarantees that the request did not and will not run."""
        if self._state is _State.RESOLVED:
            return False
        if self._state is _State.ANSWERING:
            return self._reject_frame(SequenceFault.NOT_RUN_AFTER_HEAD)
        self._resolve(AttemptNotRun(reason, retry_after))
        return True

    def on_failed(self, reason: str, ran: Ran) -> bool:
        """Process a Failed frame: the request was started, or its state is no longer known."""
        if self._state is _State.RESOLVED:
            return False
        self._fail(reason, Ran.YES if self._state is _State.ANSWERING else ran)
        return True

    def on_connection_lost(self, reason: str = "connection_lost") -> None:
        """End an attempt whose connection to the side process was lost."""
        if self._state is not _State.RESOLVED:
            self._fail(reason, Ran.YES if self._state is _State.ANSWERING else Ran.UNKNOWN)

    def withdraw(self) -> bool:
        """Record that a Withdraw is being sent.

        Return False if the answer has started, the attempt has ended or a Withdraw was already
        sent; no Withdraw must be sent then.
        """
        if self._state is not _State.SUBMITTED or self._withdrawing:
            return False
        self._withdrawing = True
        return True

    def on_withdrawn(self, outcome: WithdrawOutcome, reason: str = "deadline") -> bool:
        """Process the answer to a Withdraw; only `not_run` guarantees that nothing was run."""
        if self._state is _State.RESOLVED or not self._withdrawing:
            return False
        if outcome is not WithdrawOutcome.NOT_RUN:
            self._fail(reason, Ran.UNKNOWN if self._state is _State.SUBMITTED else Ran.YES)
            return True
        if self._state is _State.ANSWERING:
            return self._reject_frame(SequenceFault.NOT_RUN_AFTER_HEAD)
        self._resolve(AttemptNotRun(reason))
        return True

    def on_withdraw_timeout(self, reason: str = "deadline") -> None:
        """End an attempt whose Withdraw was not answered in time: it may have run."""
        if self._state is not _State.RESOLVED:
            self._fail(reason, Ran.YES if self._state is _State.ANSWERING else Ran.UNKNOWN)

    def _reject_frame(self, fault: SequenceFault) -> bool:
        ran = Ran.YES if self._state is _State.ANSWERING else Ran.UNKNOWN
        self._fail(fault.value, ran)
        return False

    def _fail(self, reason: str, ran: Ran) -> None:
        if self._forwarded:
            self._resolve(AttemptBroken(reason))
            return
        # `no` is accepted only from NotRun and from the answer to a Withdraw.
        self._resolve(AttemptUnknown(reason, Ran.UNKNOWN if ran is Ran.NO else ran))

    def _resolve(self, outcome: AttemptOutcome) -> None:
        self._state = _State.RESOLVED
        self._outcome = outcome

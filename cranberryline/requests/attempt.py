"""One dispatch of a request by an entry: from Submit to exactly one outcome."""

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
    """Turn the frames about one request into one outcome.

    Each `on_...` method returns whether the frame was taken in; a frame that came too late or
    breaks the order of the answer is not, and the order's breach ends the attempt.
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
        """Return the outcome, or None while there is none."""
        return self._outcome

    @property
    def withdrawing(self) -> bool:
        """Return whether a Withdraw awaits its answer."""
        return self._withdrawing and self._outcome is None

    @property
    def may_send_again(self) -> bool:
        """Return whether the same request may be dispatched once more."""
        if isinstance(self._outcome, AttemptNotRun):
            return True
        # A non-idempotent request that may have run is never sent again: the caller would get
        # two records from one call, and no later check could tell.
        return isinstance(self._outcome, AttemptUnknown) and self._idempotent

    def mark_forwarded(self) -> None:
        """Note that a byte of the answer, its status line included, went to the caller."""
        self._forwarded = True
        # The write to the caller can end after the frame that broke the answer was taken in; sent
        # again on the strength of the earlier outcome, two answers would run into each other.
        if isinstance(self._outcome, AttemptUnknown):
            self._outcome = AttemptBroken(self._outcome.reason)

    def on_head(self, status: int) -> bool:
        """Take in the beginning of the answer."""
        if self._state is _State.RESOLVED:
            return False
        if self._state is _State.ANSWERING:
            return self._violate(SequenceFault.SECOND_HEAD)
        self._state = _State.ANSWERING
        self._status = status
        return True

    def on_chunk(self, seq: int) -> bool:
        """Take in a part of the body; only the next one in order is taken."""
        if self._state is _State.RESOLVED:
            return False
        if self._state is _State.SUBMITTED:
            return self._violate(SequenceFault.CHUNK_BEFORE_HEAD)
        # A lost or repeated frame would give the caller a body that looks whole with a hole in
        # it; numbers without gaps and the count in End leave no room for either.
        if seq != self._next_seq:
            return self._violate(SequenceFault.CHUNK_GAP)
        self._next_seq += 1
        return True

    def on_end(self, chunks: int) -> bool:
        """Take in the end of the answer, which is whole only with as many chunks as it says."""
        if self._state is _State.RESOLVED:
            return False
        if self._state is _State.SUBMITTED:
            return self._violate(SequenceFault.END_BEFORE_HEAD)
        if chunks != self._next_seq:
            return self._violate(SequenceFault.COUNT_MISMATCH)
        self._resolve(AttemptDone(self._status, chunks))
        return True

    def on_not_run(self, reason: str, retry_after: timedelta = timedelta()) -> bool:
        """Take in the side process's word that it did not run the request."""
        if self._state is _State.RESOLVED:
            return False
        if self._state is _State.ANSWERING:
            return self._violate(SequenceFault.NOT_RUN_AFTER_HEAD)
        self._resolve(AttemptNotRun(reason, retry_after))
        return True

    def on_failed(self, reason: str, ran: Ran) -> bool:
        """Take in the failure of a request that was started."""
        if self._state is _State.RESOLVED:
            return False
        self._fail(reason, Ran.YES if self._state is _State.ANSWERING else ran)
        return True

    def on_connection_lost(self, reason: str = "connection_lost") -> None:
        """Settle an attempt whose side process can no longer be heard."""
        if self._state is not _State.RESOLVED:
            self._fail(reason, Ran.YES if self._state is _State.ANSWERING else Ran.UNKNOWN)

    def withdraw(self) -> bool:
        """Note that a Withdraw is sent; False when there is nothing to withdraw."""
        if self._state is not _State.SUBMITTED or self._withdrawing:
            return False
        self._withdrawing = True
        return True

    def on_withdrawn(self, outcome: WithdrawOutcome, reason: str = "deadline") -> bool:
        """Take in the answer to a Withdraw; only `not_run` makes the refusal a promise."""
        if self._state is _State.RESOLVED or not self._withdrawing:
            return False
        if outcome is not WithdrawOutcome.NOT_RUN:
            self._fail(reason, Ran.UNKNOWN if self._state is _State.SUBMITTED else Ran.YES)
            return True
        if self._state is _State.ANSWERING:
            return self._violate(SequenceFault.NOT_RUN_AFTER_HEAD)
        self._resolve(AttemptNotRun(reason))
        return True

    def on_withdraw_timeout(self, reason: str = "deadline") -> None:
        """Give up waiting for the answer to a Withdraw: nobody vouches, so it is unknown."""
        if self._state is not _State.RESOLVED:
            self._fail(reason, Ran.YES if self._state is _State.ANSWERING else Ran.UNKNOWN)

    def _violate(self, fault: SequenceFault) -> bool:
        ran = Ran.YES if self._state is _State.ANSWERING else Ran.UNKNOWN
        self._fail(fault.value, ran)
        return False

    def _fail(self, reason: str, ran: Ran) -> None:
        if self._forwarded:
            self._resolve(AttemptBroken(reason))
            return
        self._resolve(AttemptUnknown(reason, Ran.UNKNOWN if ran is Ran.NO else ran))

    def _resolve(self, outcome: AttemptOutcome) -> None:
        self._state = _State.RESOLVED
        self._outcome = outcome

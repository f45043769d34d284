"""An entry's attempt: one outcome, and never a whole answer out of parts."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.requests import (
    AttemptBroken,
    AttemptDone,
    AttemptNotRun,
    AttemptUnknown,
    EntryAttempt,
    Ran,
    WithdrawOutcome,
)


@pytest.fixture
def attempt() -> EntryAttempt:
    """Return the attempt of a request that may not be repeated."""
    return EntryAttempt(idempotent=False)


def test_whole_answer_is_done(attempt: EntryAttempt) -> None:
    """Head, chunks in order and the right count make a whole answer."""
    assert attempt.on_head(200)
    assert attempt.on_chunk(0)
    assert attempt.on_chunk(1)
    assert attempt.on_end(2)
    assert attempt.outcome == AttemptDone(200, 2)
    assert not attempt.may_send_again


@given(st.permutations(range(4)), st.integers(0, 3), st.integers(0, 5))
def test_answer_with_a_hole_is_never_done(order: list[int], kept: int, count: int) -> None:
    """Whatever is lost, reordered or miscounted, only the whole answer counts as one."""
    attempt = EntryAttempt(idempotent=True)
    attempt.on_head(200)
    taken = [seq for seq in order[: kept + 1] if attempt.on_chunk(seq)]
    attempt.on_end(count)
    whole = isinstance(attempt.outcome, AttemptDone)
    assert whole == (order[: kept + 1] == list(range(kept + 1)) and count == kept + 1)
    assert taken == list(range(len(taken)))


def test_repeated_chunk_breaks_the_answer(attempt: EntryAttempt) -> None:
    """A frame that comes twice is not taken twice."""
    attempt.on_head(200)
    attempt.on_chunk(0)
    assert not attempt.on_chunk(0)
    assert attempt.outcome == AttemptUnknown("chunk_gap", Ran.YES)


@pytest.mark.parametrize("idempotent", [True, False])
def test_lost_connection_before_the_head_is_unknown(idempotent: bool) -> None:
    """Nobody can say whether it ran, so only an idempotent request may be sent again."""
    attempt = EntryAttempt(idempotent)
    attempt.on_connection_lost()
    assert attempt.outcome == AttemptUnknown("connection_lost", Ran.UNKNOWN)
    assert attempt.may_send_again is idempotent


def test_failure_after_bytes_went_out_is_broken() -> None:
    """A caller that has a part of the answer must get a cut, not a second answer after it."""
    attempt = EntryAttempt(idempotent=True)
    attempt.on_head(200)
    attempt.mark_forwarded()
    attempt.on_connection_lost()
    assert attempt.outcome == AttemptBroken("connection_lost")
    assert not attempt.may_send_again


def test_not_run_may_be_sent_again(attempt: EntryAttempt) -> None:
    """The side's word that it did not run frees even a request that may run once only."""
    assert attempt.on_not_run("draining", timedelta(seconds=1))
    assert attempt.outcome == AttemptNotRun("draining", timedelta(seconds=1))
    assert attempt.may_send_again


def test_not_run_after_the_head_is_not_believed(attempt: EntryAttempt) -> None:
    """An answer that has begun proves a run, whatever comes after it."""
    attempt.on_head(200)
    assert not attempt.on_not_run("draining")
    assert attempt.outcome == AttemptUnknown("not_run_after_head", Ran.YES)
    assert not attempt.may_send_again


def test_withdrawal_counts_only_when_confirmed(attempt: EntryAttempt) -> None:
    """Without the side's `not_run` the caller is told unknown."""
    assert attempt.withdraw()
    attempt.on_withdraw_timeout()
    assert attempt.outcome == AttemptUnknown("deadline", Ran.UNKNOWN)
    assert not attempt.may_send_again
    assert not attempt.on_withdrawn(WithdrawOutcome.NOT_RUN)
    assert attempt.outcome == AttemptUnknown("deadline", Ran.UNKNOWN)


def test_unasked_withdrawal_is_ignored(attempt: EntryAttempt) -> None:
    """An answer to a withdrawal that was never sent changes nothing."""
    assert not attempt.on_withdrawn(WithdrawOutcome.NOT_RUN)
    assert attempt.outcome is None


@pytest.mark.parametrize("outcome", [WithdrawOutcome.STARTED, WithdrawOutcome.DONE])
def test_started_request_is_unknown(attempt: EntryAttempt, outcome: WithdrawOutcome) -> None:
    """A request that was started before its withdrawal may have run."""
    attempt.withdraw()
    attempt.on_withdrawn(outcome)
    assert attempt.outcome == AttemptUnknown("deadline", Ran.UNKNOWN)


def test_whole_answer_that_beats_the_withdrawal_is_done(attempt: EntryAttempt) -> None:
    """An answer that arrives while the withdrawal is out is the answer."""
    attempt.withdraw()
    attempt.on_head(201)
    attempt.on_end(0)
    assert attempt.outcome == AttemptDone(201, 0)
    assert not attempt.on_withdrawn(WithdrawOutcome.DONE)


def test_failure_never_counts_as_not_run(attempt: EntryAttempt) -> None:
    """Failed says that it was started; a `no` in it is not believed."""
    attempt.on_failed("upstream_cut", Ran.NO)
    assert attempt.outcome == AttemptUnknown("upstream_cut", Ran.UNKNOWN)

"""Tests of an entry's attempt: exactly one outcome, and no incomplete answer passes as done."""

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
    """Return the attempt of a request that is not idempotent."""
    return EntryAttempt(idempotent=False)


def test_complete_answer_is_done(attempt: EntryAttempt) -> None:
    """A head, chunks in order and the matching count make a complete answer."""
    assert attempt.on_head(200)
    assert attempt.on_chunk(0)
    assert attempt.on_chunk(1)
    assert attempt.on_end(2)
    assert attempt.outcome == AttemptDone(200, 2)
    assert not attempt.may_send_again


@given(st.permutations(range(4)), st.integers(0, 3), st.integers(0, 5))
def test_incomplete_answer_is_never_done(order: list[int], kept: int, count: int) -> None:
    """Chunks are lost or reordered, or the count is wrong: the attempt must not be done.

    Only all chunks in order with the right count make a complete answer.
    """
    attempt = EntryAttempt(idempotent=True)
    attempt.on_head(200)
    accepted = [seq for seq in order[: kept + 1] if attempt.on_chunk(seq)]
    attempt.on_end(count)
    complete = isinstance(attempt.outcome, AttemptDone)
    assert complete == (order[: kept + 1] == list(range(kept + 1)) and count == kept + 1)
    assert accepted == list(range(len(accepted)))


def test_duplicate_chunk_fails_the_attempt(attempt: EntryAttempt) -> None:
    """A chunk that is delivered twice is rejected the second time."""
    attempt.on_head(200)
    attempt.on_chunk(0)
    assert not attempt.on_chunk(0)
    assert attempt.outcome == AttemptUnknown("chunk_gap", Ran.YES)


@pytest.mark.parametrize("idempotent", [True, False])
def test_lost_connection_before_the_head_is_unknown(idempotent: bool) -> None:
    """Whether the request ran is not known, so only an idempotent request may be retried."""
    attempt = EntryAttempt(idempotent)
    attempt.on_connection_lost()
    assert attempt.outcome == AttemptUnknown("connection_lost", Ran.UNKNOWN)
    assert attempt.may_send_again is idempotent


def test_failure_after_forwarded_bytes_is_broken() -> None:
    """A caller that received part of an answer must not get a second answer appended to it."""
    attempt = EntryAttempt(idempotent=True)
    attempt.on_head(200)
    attempt.mark_forwarded()
    attempt.on_connection_lost()
    assert attempt.outcome == AttemptBroken("connection_lost")
    assert not attempt.may_send_again


def test_not_run_request_may_be_retried(attempt: EntryAttempt) -> None:
    """After NotRun even a request that is not idempotent may be retried."""
    assert attempt.on_not_run("draining", timedelta(seconds=1))
    assert attempt.outcome == AttemptNotRun("draining", timedelta(seconds=1))
    assert attempt.may_send_again


def test_not_run_after_the_head_is_rejected(attempt: EntryAttempt) -> None:
    """An answer that has started proves that the request ran, so a later NotRun is an error."""
    attempt.on_head(200)
    assert not attempt.on_not_run("draining")
    assert attempt.outcome == AttemptUnknown("not_run_after_head", Ran.YES)
    assert not attempt.may_send_again


def test_unconfirmed_withdrawal_is_unknown(attempt: EntryAttempt) -> None:
    """The answer to a Withdraw does not arrive in time: the outcome is unknown.

    A `not_run` that arrives later does not change the outcome.
    """
    assert attempt.withdraw()
    attempt.on_withdraw_timeout()
    assert attempt.outcome == AttemptUnknown("deadline", Ran.UNKNOWN)
    assert not attempt.may_send_again
    assert not attempt.on_withdrawn(WithdrawOutcome.NOT_RUN)
    assert attempt.outcome == AttemptUnknown("deadline", Ran.UNKNOWN)


def test_answer_to_a_withdraw_that_was_not_sent_is_ignored(attempt: EntryAttempt) -> None:
    """An answer to a Withdraw that was never sent does not end the attempt."""
    assert not attempt.on_withdrawn(WithdrawOutcome.NOT_RUN)
    assert attempt.outcome is None


@pytest.mark.parametrize("outcome", [WithdrawOutcome.STARTED, WithdrawOutcome.DONE])
def test_withdrawn_request_that_had_started_is_unknown(
    attempt: EntryAttempt, outcome: WithdrawOutcome
) -> None:
    """A request that was started before its Withdraw arrived may have run."""
    attempt.withdraw()
    attempt.on_withdrawn(outcome)
    assert attempt.outcome == AttemptUnknown("deadline", Ran.UNKNOWN)


def test_complete_answer_before_the_withdraw_answer_is_done(attempt: EntryAttempt) -> None:
    """A complete answer that arrives while a Withdraw is unanswered is the outcome."""
    attempt.withdraw()
    attempt.on_head(201)
    attempt.on_end(0)
    assert attempt.outcome == AttemptDone(201, 0)
    assert not attempt.on_withdrawn(WithdrawOutcome.DONE)


def test_failed_frame_never_counts_as_not_run(attempt: EntryAttempt) -> None:
    """Failed can't guarantee that nothing was run, so `no` in it is treated as unknown."""
    attempt.on_failed("upstream_cut", Ran.NO)
    assert attempt.outcome == AttemptUnknown("upstream_cut", Ran.UNKNOWN)

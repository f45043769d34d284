"""Retries: which requests are retried, and the limits that prevent a retry storm."""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import (
    AttemptOutcome,
    GiveUp,
    GiveUpReason,
    RetryBudget,
    RetryElsewhere,
    RetryPolicy,
    RetryRequest,
)

MINUTE = timedelta(minutes=1)


def failed(
    outcome: AttemptOutcome, idempotent: bool, attempts: int = 1, remaining: timedelta = MINUTE
) -> RetryRequest:
    """Return a request whose last attempt had this outcome."""
    return RetryRequest(outcome, idempotent, attempts, remaining)


@pytest.mark.parametrize("outcome", [AttemptOutcome.UNKNOWN, AttemptOutcome.FAILED])
def test_request_that_may_have_run_is_not_retried(outcome: AttemptOutcome, rng: Random) -> None:
    """A request books a pickup, and the connection is lost before the answer.

    A retry could book a second pickup, so the failure is returned without a retry hint.
    """
    decision = RetryPolicy().decide(failed(outcome, False), RetryBudget(), rng)
    assert decision == GiveUp(GiveUpReason.MAY_HAVE_RUN, None)


@pytest.mark.parametrize(
    ("outcome", "idempotent"),
    [
        (AttemptOutcome.NOT_RUN, False),
        (AttemptOutcome.UNKNOWN, True),
        (AttemptOutcome.FAILED, True),
    ],
)
def test_safe_request_is_retried(outcome: AttemptOutcome, idempotent: bool, rng: Random) -> None:
    """A request that has not run, or is idempotent, was given up."""
    decision = RetryPolicy().decide(failed(outcome, idempotent), RetryBudget(), rng)
    assert isinstance(decision, RetryElsewhere)


def test_attempts_deadline_and_budget_each_end_retries(rng: Random) -> None:
    """Each limit alone must end retries, with its own reason and a retry hint."""
    policy, not_run = RetryPolicy(), AttemptOutcome.NOT_RUN
    empty = RetryBudget(cap=0)
    decisions = {
        GiveUpReason.ATTEMPTS: policy.decide(failed(not_run, True, 3), RetryBudget(), rng),
        GiveUpReason.BUDGET: policy.decide(failed(not_run, True), empty, rng),
        GiveUpReason.DEADLINE: policy.decide(
            failed(not_run, True, remaining=timedelta()), RetryBudget(), rng
        ),
    }
    for reason, decision in decisions.items():
        assert isinstance(decision, GiveUp)
        assert decision.reason is reason
        assert decision.retry_after is not None


@given(
    st.lists(st.booleans(), max_size=300),
    st.floats(0, 1),
    st.floats(0, 20),
    st.integers(0, 99),
)
def test_retries_are_bounded_by_the_budget(
    outcomes: list[bool], share: float, cap: float, seed: int
) -> None:
    """There were more retries than the cap plus the share of the successes."""
    budget, rng = RetryBudget(share, cap), Random(seed)
    successes = retries = 0
    for success in outcomes:
        if success:
            successes += 1
            budget.earn()
            continue
        decision = RetryPolicy().decide(failed(AttemptOutcome.NOT_RUN, True), budget, rng)
        if isinstance(decision, RetryElsewhere):
            budget.spend()
            retries += 1
        assert retries <= cap + share * successes + 1e-6


@given(st.integers(1, 2), st.integers(0, 99))
def test_backoff_is_within_its_bound_and_depends_only_on_its_inputs(
    attempts: int, seed: int
) -> None:
    """The same inputs and seed gave another delay, or one above the exponential bound."""
    req = failed(AttemptOutcome.NOT_RUN, True, attempts)
    policy = RetryPolicy()
    first = policy.decide(req, RetryBudget(), Random(seed))
    assert first == policy.decide(req, RetryBudget(), Random(seed))
    assert isinstance(first, RetryElsewhere)
    assert timedelta() <= first.after <= policy.base_backoff * 2 ** (attempts - 1)

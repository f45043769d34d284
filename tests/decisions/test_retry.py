"""What is sent again, and that an outage is not multiplied."""

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
    """Return a request after an attempt."""
    return RetryRequest(outcome, idempotent, attempts, remaining)


@pytest.mark.parametrize("outcome", [AttemptOutcome.UNKNOWN, AttemptOutcome.FAILED])
def test_what_may_have_run_is_not_sent_again(outcome: AttemptOutcome, rng: Random) -> None:
    """A pickup is booked, and the connection is cut before the answer.

    Sending the booking again could send two riders, so the caller is told, without a time to come
    back.
    """
    verdict = RetryPolicy().decide(failed(outcome, False), RetryBudget(), rng)
    assert verdict == GiveUp(GiveUpReason.MAY_HAVE_RUN, None)


@pytest.mark.parametrize(
    ("outcome", "idempotent"),
    [
        (AttemptOutcome.NOT_RUN, False),
        (AttemptOutcome.UNKNOWN, True),
        (AttemptOutcome.FAILED, True),
    ],
)
def test_what_is_safe_is_sent_elsewhere(
    outcome: AttemptOutcome, idempotent: bool, rng: Random
) -> None:
    """Work proved not run, and idempotent work, is tried again."""
    verdict = RetryPolicy().decide(failed(outcome, idempotent), RetryBudget(), rng)
    assert isinstance(verdict, RetryElsewhere)


def test_attempts_time_and_budget_end_it(rng: Random) -> None:
    """Each limit alone gives up, with its own reason and a time to come back."""
    policy, safe = RetryPolicy(), AttemptOutcome.NOT_RUN
    empty = RetryBudget(cap=0)
    verdicts = {
        GiveUpReason.ATTEMPTS: policy.decide(failed(safe, True, 3), RetryBudget(), rng),
        GiveUpReason.BUDGET: policy.decide(failed(safe, True), empty, rng),
        GiveUpReason.DEADLINE: policy.decide(
            failed(safe, True, remaining=timedelta()), RetryBudget(), rng
        ),
    }
    for reason, verdict in verdicts.items():
        assert isinstance(verdict, GiveUp)
        assert verdict.reason is reason
        assert verdict.retry_after is not None


@given(
    st.lists(st.booleans(), max_size=300),
    st.floats(0, 1),
    st.floats(0, 20),
    st.integers(0, 99),
)
def test_retries_are_bounded_by_the_budget(
    outcomes: list[bool], share: float, cap: float, seed: int
) -> None:
    """Whatever succeeds and fails, retries are at most the cap and the share of successes."""
    budget, rng = RetryBudget(share, cap), Random(seed)
    successes = retries = 0
    for good in outcomes:
        if good:
            successes += 1
            budget.earn()
            continue
        verdict = RetryPolicy().decide(failed(AttemptOutcome.NOT_RUN, True), budget, rng)
        if isinstance(verdict, RetryElsewhere):
            budget.spend()
            retries += 1
        assert retries <= cap + share * successes + 1e-6


@given(st.integers(1, 2), st.integers(0, 99))
def test_backoff_is_jittered_bounded_and_a_function_of_its_inputs(attempts: int, seed: int) -> None:
    """The same inputs give the same wait, within the exponential bound."""
    req = failed(AttemptOutcome.NOT_RUN, True, attempts)
    policy = RetryPolicy()
    first = policy.decide(req, RetryBudget(), Random(seed))
    assert first == policy.decide(req, RetryBudget(), Random(seed))
    assert isinstance(first, RetryElsewhere)
    assert timedelta() <= first.after <= policy.base_backoff * 2 ** (attempts - 1)

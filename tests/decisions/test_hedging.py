"""Hedged requests, and the concurrency limit of scoring requests."""

from datetime import timedelta

from cranberryline.decisions.hedging import (
    HEDGE_BUDGET_CAPACITY,
    MIN_HEDGE_DELAY,
    HedgeBudget,
    hedge_delay,
    scoring_hedge_delay,
)
from cranberryline.decisions.scoring import MAX_SCORING_FRACTION, scoring_concurrency_limit


def test_hedge_is_sent_early_enough_to_meet_the_goal() -> None:
    """A hedge is sent well before the latency goal, and never before the minimum delay."""
    assert hedge_delay(timedelta(milliseconds=150)) < timedelta(milliseconds=75)
    assert hedge_delay(timedelta(milliseconds=1)) == MIN_HEDGE_DELAY


def test_scoring_request_is_hedged_later() -> None:
    """A scoring request of usual duration is not hedged; a lost answer is, within the step."""
    goal = timedelta(milliseconds=800)
    assert hedge_delay(goal) < goal <= scoring_hedge_delay(goal) < timedelta(seconds=2)


def test_hedging_stops_where_nothing_is_answered() -> None:
    """Hedging must not double the load of a service that is slow as a whole."""
    budget = HedgeBudget()
    assert sum(budget.spend() for _ in range(100)) == HEDGE_BUDGET_CAPACITY


def test_hedges_add_at_most_a_fifth_of_the_load() -> None:
    """Each answer earns a fifth of a hedge."""
    budget = HedgeBudget()
    hedges = 0
    for _ in range(1000):
        budget.earn()
        hedges += budget.spend()
    assert hedges <= 200 + HEDGE_BUDGET_CAPACITY


def test_scoring_leaves_capacity_to_callers() -> None:
    """All nodes together stay near scoring's share, and each may always send one request."""
    assert 6 * scoring_concurrency_limit(24, 1, 6) <= 24
    assert scoring_concurrency_limit(24, 6, 6) <= 24 * MAX_SCORING_FRACTION + 1
    assert scoring_concurrency_limit(24, 3, 6) > scoring_concurrency_limit(24, 1, 6)
    assert scoring_concurrency_limit(0, 1, 6) == 1
    assert scoring_concurrency_limit(10, 0, 0) >= 1

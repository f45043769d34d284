"""Copies of slow requests, and the places for scoring."""

from datetime import timedelta

from cranberryline.decisions.hedging import (
    HEDGE_CAP,
    MIN_DELAY,
    HedgeBudget,
    hedge_delay,
    scoring_hedge_delay,
)
from cranberryline.decisions.scoring import SCORING_SHARE, scoring_places


def test_a_copy_goes_out_while_it_can_still_arrive_in_time() -> None:
    """Well before the goal, and never at once."""
    assert hedge_delay(timedelta(milliseconds=150)) < timedelta(milliseconds=75)
    assert hedge_delay(timedelta(milliseconds=1)) == MIN_DELAY


def test_scoring_waits_longer_for_its_copy() -> None:
    """A scoring request of usual length has none; one whose answer is lost has it within the step."""
    goal = timedelta(milliseconds=800)
    assert hedge_delay(goal) < goal <= scoring_hedge_delay(goal) < timedelta(seconds=2)


def test_copies_stop_where_nothing_is_answered() -> None:
    """A service that is slow as a whole gets no second load on top of the first."""
    budget = HedgeBudget()
    assert sum(budget.spend() for _ in range(100)) == HEDGE_CAP


def test_copies_add_at_most_a_fifth_in_ordinary_times() -> None:
    """Each answer earns a fifth of a copy."""
    budget = HedgeBudget()
    copies = 0
    for _ in range(1000):
        budget.earn()
        copies += budget.spend()
    assert copies <= 200 + HEDGE_CAP


def test_scoring_leaves_places_to_callers() -> None:
    """All nodes together stay near the share, and each may always score one."""
    assert 6 * scoring_places(24, 1, 6) <= 24
    assert scoring_places(24, 6, 6) <= 24 * SCORING_SHARE + 1
    assert scoring_places(24, 3, 6) > scoring_places(24, 1, 6)
    assert scoring_places(0, 1, 6) == 1
    assert scoring_places(10, 0, 0) >= 1

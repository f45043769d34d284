"""Which running texts move to a faster engine."""

from datetime import timedelta

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.slot_model import EngineState, Placement, RunningText
from cranberryline.decisions.text_moves import (
    GRANTS_PER_MOVE,
    MAX_MOVES_AT_ONCE,
    MoveBudget,
    MovePolicy,
)

NOW = timedelta(seconds=100)
SLOW = EngineState("slow", 8, 0, {"m": 3}, 12.0)
FAST = EngineState("fast", 8, 1, {"m": 3}, 32.0)
TEXT = RunningText("t", "a", "slow", NOW - timedelta(seconds=2), NOW, 60, 60, "m", 3)


def _budget(tokens: int = MAX_MOVES_AT_ONCE) -> MoveBudget:
    budget = MoveBudget()
    for _ in range(tokens * GRANTS_PER_MOVE):
        budget.earn()
    return budget


def _choose(
    *texts: RunningText,
    engines: tuple[EngineState, ...] = (SLOW, FAST),
    budget: MoveBudget | None = None,
) -> list[Placement]:
    return MovePolicy().choose(texts, engines, budget or _budget(), NOW)


def test_text_that_its_group_waits_for_moves() -> None:
    """A group waits for its longest text on a slow engine while a fast one is free."""
    assert _choose(TEXT) == [Placement("t", "fast")]


def test_text_that_nobody_waits_for_stays() -> None:
    """Moves of texts that end before their group cost prefills and gain nothing."""
    # 60 events take 5 s on the slow engine, 161 events 5.03 s on the fast one.
    assert not _choose(attrs.evolve(TEXT, group_events_left=161))
    assert _choose(attrs.evolve(TEXT, group_events_left=159))


def test_text_stays_for_a_while() -> None:
    """A text moves before the speed of its engine shows, and then back."""
    assert not _choose(attrs.evolve(TEXT, since=NOW - timedelta(milliseconds=900)))


def test_small_savings_do_not_move() -> None:
    """A text that is nearly complete would lose time by a move."""
    # 11 events save 0.573 s, 12 events 0.625 s; the cost and the least saving are 0.6 s.
    assert not _choose(attrs.evolve(TEXT, events_left=11, group_events_left=11))
    assert _choose(attrs.evolve(TEXT, events_left=12, group_events_left=12))


def test_nearly_equal_engines_do_not_exchange_texts() -> None:
    """Noise in the measured speeds moves a very long text back and forth."""
    long = attrs.evolve(TEXT, events_left=5000, group_events_left=5000)
    assert not _choose(long, engines=(SLOW, attrs.evolve(FAST, events_per_second=15.5)))
    assert _choose(long, engines=(SLOW, attrs.evolve(FAST, events_per_second=15.7)))


def test_unknown_speeds_move_nothing() -> None:
    """Texts move from engines that were not measured yet, or to them."""
    assert not _choose(TEXT, engines=(attrs.evolve(SLOW, events_per_second=0.0), FAST))
    assert not _choose(TEXT, engines=(SLOW, attrs.evolve(FAST, events_per_second=0.0)))
    assert not _choose(TEXT, engines=(FAST,))


def test_target_has_a_free_slot_and_the_version() -> None:
    """A moved text is rejected and has lost its slot."""
    assert not _choose(TEXT, engines=(SLOW, attrs.evolve(FAST, free=0)))
    assert not _choose(TEXT, engines=(SLOW, attrs.evolve(FAST, versions={"m": 2})))


def test_largest_saving_moves_first_and_one_to_each_engine() -> None:
    """Several texts meet at the engine that has just become free."""
    longer = attrs.evolve(TEXT, key="longer", events_left=90, group_events_left=90)
    spare = attrs.evolve(FAST, free=8)
    assert _choose(TEXT, longer, engines=(SLOW, spare)) == [Placement("longer", "fast")]
    second = attrs.evolve(spare, id="second", events_per_second=30.0)
    assert _choose(TEXT, longer, engines=(SLOW, second, spare)) == [
        Placement("longer", "fast"),
        Placement("t", "second"),
    ]


def test_no_move_without_budget() -> None:
    """Moves take more of the engines' time than they save when everything is slow."""
    assert not _choose(TEXT, budget=MoveBudget())
    spare = (SLOW, FAST, attrs.evolve(FAST, id="second"))
    assert len(_choose(TEXT, attrs.evolve(TEXT, key="u"), engines=spare, budget=_budget(1))) == 1


@given(st.lists(st.booleans(), max_size=500))
def test_moves_are_a_twentieth_of_grants(grants: list[bool]) -> None:
    """A quiet hour must not save up for a storm of moves."""
    budget, granted, moved, in_a_row = MoveBudget(), 0, 0, 0
    for grant in grants:
        if grant:
            budget.earn()
            granted, in_a_row = granted + 1, 0
        elif budget.spend():
            moved, in_a_row = moved + 1, in_a_row + 1
        assert moved * GRANTS_PER_MOVE <= granted
        assert in_a_row <= MAX_MOVES_AT_ONCE


def test_budget_is_small() -> None:
    """A quiet hour must not save up for a storm of moves."""
    budget = _budget(100)
    assert sum(budget.spend() for _ in range(100)) == MAX_MOVES_AT_ONCE

"""When a text leaves its engine for a faster one."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.moving import (
    FASTER,
    HEARD_WITHIN,
    MARGIN,
    MOVE_COST,
    EnginePaces,
    faster_elsewhere,
)

PACE = st.floats(0.1, 1000)
FAST, SLOW = 26.0, 5.4


def _heard(pace: float, seconds: float = 2.0, paces: EnginePaces | None = None) -> EnginePaces:
    """Return what is heard of an engine that makes events at a pace, some each quarter of a second."""
    paces = paces or EnginePaces()
    for step in range(int(seconds * 4)):
        now = timedelta(seconds=0.25 * (step + 1))
        paces.heard("e", round(pace / 4), timedelta(seconds=0.25), now)
    return paces


def test_a_long_text_leaves_an_engine_that_became_slow() -> None:
    """130 events at an event in 185 ms take 24 s, and 5 where one takes 38 ms."""
    assert faster_elsewhere(130, SLOW, [0.0, FAST])


def test_a_third_slower_counts_for_a_long_text_alone() -> None:
    """An engine that is a third slower at all times costs a long text 1.5 s, a usual one 0.3."""
    assert faster_elsewhere(130, 20.0, [FAST])
    assert not faster_elsewhere(26, 20.0, [FAST])


def test_a_text_that_is_nearly_over_stays() -> None:
    """Two events are made in less than a move costs."""
    assert not faster_elsewhere(2, SLOW, [FAST])


def test_where_all_are_slow_or_full_nothing_moves() -> None:
    """Engines slowed by being full are slow alike, and full ones are not offered at all."""
    assert not faster_elsewhere(1000, SLOW, [SLOW, SLOW * 1.1])
    assert not faster_elsewhere(1000, SLOW, [])
    assert not faster_elsewhere(1000, SLOW, [0.0])


@given(st.floats(0, 10_000), PACE, PACE)
def test_two_engines_never_pass_a_text_to_and_fro(left: float, one: float, other: float) -> None:
    """With the same paces a text that would go there would not come back."""
    there, back = faster_elsewhere(left, one, [other]), faster_elsewhere(left, other, [one])
    assert not (there and back)


@given(st.floats(0, 10_000), PACE, PACE)
def test_a_move_saves_more_than_it_costs(left: float, here: float, there: float) -> None:
    """Whatever the paces are, what is left is made sooner by the cost and the margin."""
    if faster_elsewhere(left, here, [there]):
        assert left / here - left / there > (MOVE_COST + MARGIN).total_seconds()
        assert there >= here * FASTER


def test_a_slow_engine_is_known_within_a_second() -> None:
    """Two seconds at a fast pace, then events five times as rare."""
    paces = _heard(FAST)
    for step in range(6):
        now = timedelta(seconds=2 + 0.19 * (step + 1))
        paces.heard("e", 1, timedelta(milliseconds=190), now)
    assert paces.events_per_second("e", timedelta(seconds=3.2)) < FAST / FASTER


def test_what_was_heard_long_ago_says_nothing() -> None:
    """An engine that was slow then is tried again, and its entry goes when others come."""
    paces = _heard(SLOW)
    later = timedelta(seconds=2) + HEARD_WITHIN + timedelta(milliseconds=1)
    assert paces.events_per_second("e", later) == 0
    paces.heard("f", 5, timedelta(seconds=0.2), later)
    assert list(paces._meters) == ["f"]

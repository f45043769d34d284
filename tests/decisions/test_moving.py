"""When a text moves from its engine to a faster one."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.moving import (
    MAX_EVENT_RATE_AGE,
    MIN_NET_SAVING,
    MIN_SPEEDUP,
    MOVE_COST,
    EngineRates,
    should_move,
)

RATE = st.floats(0.1, 1000)
FAST, SLOW = 26.0, 5.4


def _recorded(rate: float, seconds: float = 2.0, rates: EngineRates | None = None) -> EngineRates:
    """Record events of engine e at a rate, once every quarter of a second."""
    rates = rates or EngineRates()
    for step in range(int(seconds * 4)):
        now = timedelta(seconds=0.25 * (step + 1))
        rates.record("e", round(rate / 4), timedelta(seconds=0.25), now)
    return rates


def test_long_text_moves_from_an_engine_that_became_slow() -> None:
    """130 events take 24 s at 185 ms each, and 5 s at 38 ms each."""
    assert should_move(130, SLOW, [0.0, FAST])


def test_events_that_arrive_together_show_no_rate() -> None:
    """Texts move to an engine whose first two events arrived in one packet."""
    rates = EngineRates()
    now = timedelta(milliseconds=1)
    rates.record("e", 1, now, now)
    assert rates.events_per_second("e", now) == 0.0
    for _ in range(20):
        now += timedelta(milliseconds=40)
        rates.record("e", 1, timedelta(milliseconds=40), now)
    assert 24 < rates.events_per_second("e", now) < 28


def test_engine_a_third_slower_matters_only_to_a_long_text() -> None:
    """An engine that is a third slower costs a long text 1.5 s and a usual one only 0.3 s."""
    assert should_move(130, 20.0, [FAST])
    assert not should_move(26, 20.0, [FAST])


def test_nearly_complete_text_stays() -> None:
    """Two events take less time than a move."""
    assert not should_move(2, SLOW, [FAST])


def test_nothing_moves_if_all_engines_are_slow_or_full() -> None:
    """Full engines are equally slow, and are not candidates at all."""
    assert not should_move(1000, SLOW, [SLOW, SLOW * 1.1])
    assert not should_move(1000, SLOW, [])
    assert not should_move(1000, SLOW, [0.0])


@given(st.floats(0, 10_000), RATE, RATE)
def test_text_never_moves_back_and_forth(left: float, one: float, other: float) -> None:
    """At the same rates, a text that would move there would not move back."""
    there, back = should_move(left, one, [other]), should_move(left, other, [one])
    assert not (there and back)


@given(st.floats(0, 10_000), RATE, RATE)
def test_move_saves_more_than_it_costs(left: float, here: float, there: float) -> None:
    """At any rates, a move completes the text sooner by more than its cost and the margin."""
    if should_move(left, here, [there]):
        assert left / here - left / there > (MOVE_COST + MIN_NET_SAVING).total_seconds()
        assert there >= here * MIN_SPEEDUP


def test_slow_engine_is_detected_within_a_second() -> None:
    """After two seconds at a high rate, events arrive at a fifth of it."""
    rates = _recorded(FAST)
    for step in range(6):
        now = timedelta(seconds=2 + 0.19 * (step + 1))
        rates.record("e", 1, timedelta(milliseconds=190), now)
    assert rates.events_per_second("e", timedelta(seconds=3.2)) < FAST / MIN_SPEEDUP


def test_old_rates_are_discarded() -> None:
    """An engine that was slow long ago is tried again, and evicted when another one is recorded."""
    rates = _recorded(SLOW)
    later = timedelta(seconds=2) + MAX_EVENT_RATE_AGE + timedelta(milliseconds=1)
    assert rates.events_per_second("e", later) == 0
    rates.record("f", 5, timedelta(seconds=0.2), later)
    assert list(rates._meters) == ["f"]

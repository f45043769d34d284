"""What an item's time is said to have gone on."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.jobs.phases import MAX_UPSTREAMS, ItemPhases


def _at(ms: int) -> timedelta:
    return timedelta(milliseconds=ms)


def test_a_run_that_broke_costs_what_came_after_its_last_event() -> None:
    """An engine falls silent, and another one goes on behind the last event.

    The events that are kept were no loss: broken is only the silence until the run was given up; the
    pause until the next upstream is a wait for a place, and the second prefill is told as prefill.
    """
    phases = ItemPhases(_at(0))
    phases.dispatched(_at(100), "e1", 0)
    phases.heard(_at(150))
    phases.heard(_at(400))
    phases.run_ended(_at(2200), False)
    phases.dispatched(_at(2240), "e2", 7)
    phases.heard(_at(2300))
    phases.run_ended(_at(3000), True)
    phases.scoring_asked(_at(3000))
    phases.scoring_sent(_at(3020))
    assert (phases.place, phases.prefill) == (_at(140), _at(110))
    assert (phases.broken, phases.score_wait) == (_at(1800), _at(20))
    assert (phases.upstreams, phases.resumed, phases.stage) == (["e1", "e2"], 1, "scoring")


def test_events_that_are_thrown_away_make_their_time_broken() -> None:
    """An engine changes its version in the middle, where a text must be of one version.

    The events so far are dropped and the item starts anew: their time is no text of the result's.
    """
    phases = ItemPhases(_at(0))
    phases.dispatched(_at(10), "e1", 0)
    phases.heard(_at(30))
    phases.heard(_at(500))
    phases.thrown_away()
    phases.run_ended(_at(510), False)
    phases.dispatched(_at(520), "e2", 0)
    phases.heard(_at(540))
    phases.run_ended(_at(900), True)
    assert (phases.place, phases.prefill, phases.broken) == (_at(20), _at(40), _at(480))


def test_a_run_without_an_event_is_broken_from_its_dispatch_on() -> None:
    """The first run never gets a place, the second is refused by its upstream.

    The first is all waiting for a place; the second is lost from when it was sent.
    """
    phases = ItemPhases(_at(0))
    phases.run_ended(_at(50), False)
    phases.dispatched(_at(90), "e1", 0)
    phases.run_ended(_at(95), False)
    assert (phases.place, phases.prefill, phases.broken) == (_at(90), _at(0), _at(5))


def test_an_item_that_was_sent_round_all_upstreams_names_the_last_ones() -> None:
    """An outage: each of many upstreams turns the item away. Its line in the log stays short."""
    phases = ItemPhases(_at(0))
    for number in range(3 * MAX_UPSTREAMS):
        phases.dispatched(_at(number), f"e{number}", 0)
        phases.run_ended(_at(number), False)
    assert phases.upstreams == [f"e{n}" for n in range(2 * MAX_UPSTREAMS, 3 * MAX_UPSTREAMS)]


@given(st.lists(st.tuples(st.sampled_from(["send", "hear", "drop", "break"]), st.integers(0, 900))))
def test_the_parts_never_exceed_the_time(
    moves: list[tuple[str, int]],
) -> None:
    """Whatever happens to an item, its parts fit in its time."""
    phases, now = ItemPhases(_at(0)), 0
    for move, pause in moves:
        now += pause
        if move == "send" and phases.stage == "place":
            phases.dispatched(_at(now), f"e{now}", 0)
        elif move == "hear" and phases.stage != "place":
            phases.heard(_at(now))
        elif move == "drop":
            phases.thrown_away()
        elif move == "break":
            phases.run_ended(_at(now), False)
    assert phases.place + phases.prefill + phases.broken <= _at(now)

"""Tests how the processing time of an item is divided into phases."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.jobs.phases import MAX_UPSTREAMS, ItemPhases


def _at(ms: int) -> timedelta:
    return timedelta(milliseconds=ms)


def test_broken_request_loses_only_the_time_after_its_last_event() -> None:
    """An engine falls silent, and another one resumes after the last event.

    The time of kept events is not lost, only the silence until the request was abandoned. The time
    until the next upstream is counted as waiting for a slot, and the second prefill as prefill.
    """
    phases = ItemPhases(_at(0))
    phases.dispatched(_at(100), "e1", 0)
    phases.events_received(_at(150))
    phases.events_received(_at(400))
    phases.run_ended(_at(2200), False)
    phases.dispatched(_at(2240), "e2", 7)
    phases.events_received(_at(2300))
    phases.run_ended(_at(3000), True)
    phases.scoring_queued(_at(3000))
    phases.scoring_sent(_at(3020))
    assert (phases.slot_wait, phases.prefill) == (_at(140), _at(110))
    assert (phases.lost, phases.score_wait) == (_at(1800), _at(20))
    assert (phases.upstreams, phases.resumed, phases.stage) == (["e1", "e2"], 1, "scoring")


def test_time_of_discarded_events_is_counted_as_lost() -> None:
    """An engine changes its model version during a text that must be of a single version.

    The events so far are discarded and the item is restarted, so their time did not contribute to
    the result.
    """
    phases = ItemPhases(_at(0))
    phases.dispatched(_at(10), "e1", 0)
    phases.events_received(_at(30))
    phases.events_received(_at(500))
    phases.events_discarded()
    phases.run_ended(_at(510), False)
    phases.dispatched(_at(520), "e2", 0)
    phases.events_received(_at(540))
    phases.run_ended(_at(900), True)
    assert (phases.slot_wait, phases.prefill, phases.lost) == (_at(20), _at(40), _at(480))


def test_request_without_an_event_is_lost_from_its_dispatch_on() -> None:
    """The first request never gets a slot, the second is rejected by its upstream.

    The first one is counted as waiting for a slot; the second one is lost from the time it was
    sent.
    """
    phases = ItemPhases(_at(0))
    phases.run_ended(_at(50), False)
    phases.dispatched(_at(90), "e1", 0)
    phases.run_ended(_at(95), False)
    assert (phases.slot_wait, phases.prefill, phases.lost) == (_at(90), _at(0), _at(5))


def test_only_the_last_upstreams_of_an_item_are_listed() -> None:
    """In an outage an item is rejected by many upstreams; its log line must stay short."""
    phases = ItemPhases(_at(0))
    for number in range(3 * MAX_UPSTREAMS):
        phases.dispatched(_at(number), f"e{number}", 0)
        phases.run_ended(_at(number), False)
    assert phases.upstreams == [f"e{n}" for n in range(2 * MAX_UPSTREAMS, 3 * MAX_UPSTREAMS)]


@given(st.lists(st.tuples(st.sampled_from(["send", "hear", "drop", "break"]), st.integers(0, 900))))
def test_phases_never_exceed_the_total_time(
    steps: list[tuple[str, int]],
) -> None:
    """For any sequence of events, the phases must not add up to more than the total time."""
    phases, now = ItemPhases(_at(0)), 0
    for step, delay_ms in steps:
        now += delay_ms
        if step == "send" and phases.stage == "place":
            phases.dispatched(_at(now), f"e{now}", 0)
        elif step == "hear" and phases.stage != "place":
            phases.events_received(_at(now))
        elif step == "drop":
            phases.events_discarded()
        elif step == "break":
            phases.run_ended(_at(now), False)
    assert phases.slot_wait + phases.prefill + phases.lost <= _at(now)

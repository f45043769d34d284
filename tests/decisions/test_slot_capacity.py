"""The capacity of a service's slots, by which admission estimates waits."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import SlotCapacity

SLOTS = 16
RUN_TIME = timedelta(seconds=0.3)
TRUE_CAPACITY = SLOTS / RUN_TIME.total_seconds()


def _full_slots(now: timedelta = timedelta(), slots: int = SLOTS) -> SlotCapacity:
    """Return the capacity of slots that requests of one token each took at the same time."""
    capacity = SlotCapacity()
    capacity.set_slots(slots, slots, True, now)
    for item in range(slots):
        capacity.start(item, 1, now)
    return capacity


def test_capacity_is_unknown_before_the_first_end() -> None:
    """A capacity that was not measured would refuse the first callers."""
    assert _full_slots().tokens_per_second(RUN_TIME) == 0.0


def test_first_end_of_a_batch_shows_the_capacity_of_all_slots() -> None:
    """Callers are refused since the first of many requests that end together counts as all.

    The first end counted as the only token of 0.3 s: 3.3 per second, where 53 was true.
    """
    capacity = _full_slots()
    capacity.record_end(0, RUN_TIME)
    assert capacity.tokens_per_second(RUN_TIME) == pytest.approx(TRUE_CAPACITY)


def test_batch_that_outlasts_saturation_shows_the_capacity_of_all_slots() -> None:
    """Callers are refused since of each batch only the ends before the queue is empty count."""
    capacity, now = SlotCapacity(), timedelta()
    for batch in range(10):
        capacity.set_slots(SLOTS, SLOTS, True, now)
        for item in range(SLOTS):
            capacity.start(batch * SLOTS + item, 1, now)
        now += RUN_TIME
        for item in range(SLOTS):
            capacity.record_end(batch * SLOTS + item, now)
            capacity.set_slots(SLOTS, SLOTS, item < 3, now)
    assert capacity.tokens_per_second(now) == pytest.approx(TRUE_CAPACITY)


def test_ends_without_saturation_do_not_count() -> None:
    """Callers are admitted by the speed of an engine that ran a single request."""
    capacity = SlotCapacity()
    capacity.set_slots(SLOTS, SLOTS, False, timedelta())
    capacity.start(0, 1, timedelta())
    capacity.record_end(0, RUN_TIME)
    assert capacity.tokens_per_second(RUN_TIME) == 0.0


def _run_half_of_the_slots(capacity: SlotCapacity, turns: int) -> timedelta:
    """Let half of the requests end in time for some turns, and the other half not end."""
    now = timedelta()
    for _ in range(turns):
        now += RUN_TIME
        for item in range(SLOTS // 2):
            capacity.record_end(item, now)
            capacity.start(item, 1, now)
        capacity.set_slots(SLOTS, SLOTS, True, now)
    return now


def test_blocked_slots_lower_the_capacity_while_their_requests_run() -> None:
    """Callers wait for their whole time behind frozen upstreams instead of being refused.

    Half of the slots are blocked. Those requests do not end, so only their running time shows it.
    """
    capacity = _full_slots()
    now = _run_half_of_the_slots(capacity, 20)
    assert capacity.tokens_per_second(now) == pytest.approx(TRUE_CAPACITY / 2, rel=0.1)


def test_blocked_slots_do_not_slow_the_others() -> None:
    """Callers are refused since few ends are measured beside much time of a frozen upstream.

    After three run times half of the slots serve as before, and the others are overdue.
    """
    capacity = _full_slots()
    now = _run_half_of_the_slots(capacity, 3)
    assert capacity.tokens_per_second(now) >= TRUE_CAPACITY / 2


def test_capacity_is_back_once_a_stall_is_over() -> None:
    """Callers are refused for seconds after a short stall of a third of the slots."""
    capacity, now = _full_slots(), timedelta()
    for turn in range(1, 5):
        now += RUN_TIME
        for item in range(SLOTS):
            if item % 3 or turn > 2:
                capacity.record_end(item, now)
                capacity.start(item, 1, now)
        capacity.set_slots(SLOTS, SLOTS, True, now)
    assert capacity.tokens_per_second(now) >= TRUE_CAPACITY * 2 / 3


def test_first_end_of_a_stalled_request_does_not_stand_for_all() -> None:
    """Callers are refused since the first request that ends was held up by a stall.

    Requests without saturation took the usual time before.
    """
    capacity, now = SlotCapacity(), timedelta()
    capacity.set_slots(0, SLOTS, False, now)
    for item in range(SLOTS):
        capacity.start(f"early-{item}", 1, now)
        capacity.record_end(f"early-{item}", now + RUN_TIME)
    now += RUN_TIME
    capacity.set_slots(SLOTS, SLOTS, True, now)
    capacity.start("stalled", 1, now)
    now += RUN_TIME * 2
    for item in range(SLOTS - 1):
        capacity.start(item, 1, now)
    now += RUN_TIME
    capacity.record_end("stalled", now)
    assert capacity.tokens_per_second(now) >= TRUE_CAPACITY * 0.8


def test_time_of_an_overdue_request_counts_once() -> None:
    """Callers are refused since the time of a slow request counts while it runs and at its end."""
    capacity = _full_slots(slots=2)
    capacity.record_end(0, RUN_TIME)
    for overdue in (RUN_TIME * 3, RUN_TIME * 5):
        capacity.set_slots(2, 2, True, overdue)
        assert capacity.tokens_per_second(overdue) > 0
    capacity.record_end(1, RUN_TIME * 9)
    # Two tokens in ten times the run time, of which each half-life halves the older part.
    assert capacity.tokens_per_second(RUN_TIME * 9) == pytest.approx(
        2 * 2 / (10 * RUN_TIME.total_seconds()), rel=0.25
    )


def test_pause_of_this_process_is_no_slot_time() -> None:
    """Callers are refused after a process has woken up, since its requests seem to take so long."""
    capacity, pause = _full_slots(), timedelta(seconds=5)
    capacity.record_end(0, RUN_TIME)
    now = RUN_TIME + pause
    capacity.exclude_pause(pause, now)
    capacity.record_end(1, now)
    assert capacity.tokens_per_second(now) == pytest.approx(TRUE_CAPACITY)


def test_pause_that_began_before_a_request_counts_up_to_its_start() -> None:
    """A request that starts after a pause has a negative running time."""
    capacity, now = SlotCapacity(), timedelta(seconds=5)
    capacity.set_slots(1, 1, True, now)
    capacity.start(0, 1, now)
    capacity.exclude_pause(timedelta(seconds=3), now)
    capacity.record_end(0, now + RUN_TIME)
    assert capacity.tokens_per_second(now + RUN_TIME) == pytest.approx(1 / 0.3)


def test_share_of_the_slots_is_averaged() -> None:
    """Callers are refused since another process holds most of the slots for a moment."""
    capacity, now = _full_slots(), RUN_TIME
    for item in range(SLOTS):
        capacity.record_end(item, now)
    for turn in range(40):
        capacity.set_slots(SLOTS // 4 if turn % 2 else 3 * SLOTS // 4, SLOTS, True, now)
        now += RUN_TIME
    capacity.set_slots(SLOTS // 4, SLOTS, True, now)
    assert capacity.tokens_per_second(now) == pytest.approx(TRUE_CAPACITY / 2, rel=0.1)
    capacity.set_slots(3 * SLOTS // 4, SLOTS, True, now)
    assert capacity.tokens_per_second(now) == pytest.approx(TRUE_CAPACITY * 3 / 4)


def test_share_of_the_first_moment_does_not_hold_back_the_slots_in_use() -> None:
    """Callers are refused since the first few milliseconds, without any slot, count as the average."""
    capacity = SlotCapacity()
    capacity.set_slots(0, SLOTS, True, timedelta())
    now = timedelta(milliseconds=5)
    capacity.set_slots(SLOTS, SLOTS, True, now)
    capacity.start(0, 1, now)
    capacity.set_slots(SLOTS, SLOTS, True, now + RUN_TIME / 10)
    now += RUN_TIME
    capacity.record_end(0, now)
    assert capacity.tokens_per_second(now) == pytest.approx(TRUE_CAPACITY)


def test_lost_upstreams_lower_the_capacity_at_once() -> None:
    """Callers wait in vain since the capacity is that of upstreams which no longer exist."""
    capacity = _full_slots()
    capacity.record_end(0, RUN_TIME)
    capacity.set_slots(SLOTS // 4, SLOTS // 4, True, RUN_TIME)
    assert capacity.tokens_per_second(RUN_TIME) == pytest.approx(TRUE_CAPACITY / 4)


def test_capacity_without_upstreams_is_the_last_known() -> None:
    """A queue grows without bound since the capacity is unknown while no upstream is connected."""
    capacity = _full_slots()
    capacity.record_end(0, RUN_TIME)
    capacity.set_slots(0, 0, True, RUN_TIME)
    assert capacity.tokens_per_second(RUN_TIME) == pytest.approx(TRUE_CAPACITY)


def test_requests_that_were_not_run_do_not_count() -> None:
    """Callers are refused or admitted by the time that an upstream takes to turn requests away."""
    capacity = _full_slots()
    capacity.discard(0)
    assert capacity.tokens_per_second(RUN_TIME) == 0.0
    capacity.record_end(1, RUN_TIME)
    capacity.discard(2)
    assert capacity.tokens_per_second(RUN_TIME) == pytest.approx(TRUE_CAPACITY)


@given(
    run_seconds=st.floats(0.01, 10.0),
    slots=st.integers(1, 64),
    ends=st.integers(1, 64),
    tokens=st.integers(1, 10_000),
)
def test_equal_requests_show_the_same_capacity_after_any_number_of_ends(
    run_seconds: float, slots: int, ends: int, tokens: int
) -> None:
    """The estimate depends on how many of the requests that end together have ended so far."""
    capacity, run_time = SlotCapacity(), timedelta(seconds=run_seconds)
    capacity.set_slots(slots, slots, True, timedelta())
    for item in range(slots):
        capacity.start(item, tokens, timedelta())
    for item in range(min(ends, slots)):
        capacity.record_end(item, run_time)
    expected = slots * tokens / run_time.total_seconds()
    assert capacity.tokens_per_second(run_time) == pytest.approx(expected)


def test_slots_that_others_took_first_do_not_stand_for_the_share() -> None:
    """Callers are refused since another process took nearly all slots at the beginning.

    This one has 9 of 48, measured for a quarter of a second, and half of them is its fair share.
    """
    capacity, slots, now = SlotCapacity(), 48, timedelta()
    capacity.set_slots(9, slots, True, now, fair_share=0.5)
    for item in range(9):
        capacity.start(item, 1, now)
    now += RUN_TIME
    capacity.record_end(0, now)
    assert capacity.tokens_per_second(now) >= 0.75 * (slots / 2) / RUN_TIME.total_seconds()


def test_share_that_was_measured_for_long_replaces_the_fair_one() -> None:
    """Callers wait in vain in a process that gets few slots all the time."""
    capacity, slots, now = SlotCapacity(), 48, timedelta()
    for turn in range(60):
        capacity.set_slots(9, slots, True, now, fair_share=0.5)
        capacity.start(turn, 1, now)
        now += RUN_TIME
        capacity.record_end(turn, now)
    assert capacity.tokens_per_second(now) <= 1.5 * 9 / RUN_TIME.total_seconds()

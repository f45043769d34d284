"""The part of the store's reads that one process may make."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.read_budget import BURST, PACED_SHARE, ReadBudget

LIMIT = 2000.0


@pytest.mark.parametrize("sharers", [1, 30, 300])
def test_processes_that_read_all_the_time_stay_within_the_limit(sharers: int) -> None:
    """Hundreds of processes poll as soon as they are answered, and the store turns all away."""
    budget, now, reads = ReadBudget(LIMIT), timedelta(), 0
    while now < timedelta(seconds=20):
        now += budget.take(sharers, now) + timedelta(milliseconds=1)
        reads += 1
    allowed = LIMIT * PACED_SHARE / sharers
    assert reads <= allowed * (20 + BURST.total_seconds()) + 1
    if allowed < 900:
        assert reads >= allowed * 19


def test_a_process_within_its_part_is_not_delayed() -> None:
    """Polls of a small fleet wait although the store could serve all of them."""
    budget = ReadBudget(LIMIT)
    interval = timedelta(seconds=9 / (LIMIT * PACED_SHARE))
    for number in range(1000):
        assert budget.take(9, interval * number) == timedelta()


def test_without_a_limit_nothing_waits() -> None:
    """A deployment whose store has no limit waits for reads."""
    budget = ReadBudget(None)
    assert [budget.take(300, timedelta()) for _ in range(10)] == [timedelta()] * 10


@given(st.lists(st.floats(0, 2), min_size=1, max_size=200))
def test_a_wait_is_bounded_by_the_reads_under_way(pauses: list[float]) -> None:
    """A reader that was idle, or one among few, waits for reads that nobody makes any more."""
    budget, now = ReadBudget(LIMIT), timedelta()
    interval = timedelta(seconds=300 / (LIMIT * PACED_SHARE))
    for pause in pauses:
        now += timedelta(seconds=pause)
        wait = budget.take(300, now)
        assert wait <= interval
        now += wait

"""Windows, counts, the clock of peers, and the fold of reports."""

import math
import random
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.helpers.clock import Clock
from cranberryline.usage import (
    CountRecord,
    PeerClock,
    ReportBook,
    ReportRecord,
    UsageCounter,
    UsageLedger,
    UsageWindows,
)

from .conftest import WINDOWS

TRUE_START = 1_800_000_000.0


class SteppedClock(Clock):
    """A VM whose time of day may be stepped; `at` is the true time since `TRUE_START`."""

    def __init__(self, booted: float = 100.0) -> None:
        self.at = 0.0
        self.step = 0.0
        self._booted = booted

    def now(self) -> datetime:
        """Return the time of day with the step."""
        return datetime.fromtimestamp(TRUE_START + self.at + self.step, UTC)

    def monotonic(self) -> timedelta:
        """Return the uptime."""
        return timedelta(seconds=self._booted + self.at)

    async def async_sleep(self, duration: timedelta) -> None:
        """Advance at once."""
        self.at += duration.total_seconds()


def test_a_window_is_counted_from_1970() -> None:
    """Its number is the time divided by its length; it is due some time after its end."""
    window = WINDOWS.window_at(1_767_225_604.9)
    assert window == 353_445_120 and WINDOWS.window_at(1_767_225_605.0) == window + 1
    assert WINDOWS.end(window) == 1_767_225_605.0
    assert WINDOWS.due(window) == 1_767_225_615.0
    assert (
        UsageWindows(timedelta(seconds=7), timedelta(seconds=20)).count_in(timedelta(seconds=15))
        == 3
    )


@pytest.mark.parametrize("step", [2.0, -2.0])
def test_windows_do_not_move_when_the_time_of_day_is_stepped(step: float) -> None:
    """A third of the VMs are stepped by two seconds, this one among them."""
    rng = random.Random(3)
    clock = SteppedClock()
    peer_clock = PeerClock(clock)
    worst = 0.0
    for beat in range(60):
        clock.at = beat * 0.8
        stepped = 10 <= beat < 40
        clock.step = step if stepped else 0.0
        for peer in range(11):
            # A heartbeat takes a few milliseconds to the store and waits for the next poll.
            delay = 0.01 + rng.random() * 0.3
            own_step = step if stepped and peer < 3 else 0.0
            peer_clock.record(f"front-{peer}", TRUE_START + clock.at + own_step - delay)
        if beat > 8:
            worst = max(worst, abs(peer_clock.unix_seconds() - TRUE_START - clock.at))
    assert worst < 0.15


def test_a_node_alone_goes_by_its_own_clock() -> None:
    """Peers that are silent have no say, nor have heartbeats without a time."""
    clock = SteppedClock()
    peer_clock = PeerClock(clock)
    for peer in range(3):
        peer_clock.record(f"front-{peer}", TRUE_START + 50.0)
    peer_clock.record("old", 0.0)
    clock.at = 6.0
    assert peer_clock.unix_seconds() == pytest.approx(TRUE_START + 6.0)


@pytest.mark.parametrize("written", [0.0, -1.0, math.inf, math.nan])
def test_a_heartbeat_whose_time_is_no_number_has_no_say(written: float) -> None:
    """Another writer stored it; the time of day stays a number near the own clock's."""
    clock = SteppedClock()
    peer_clock = PeerClock(clock)
    peer_clock.record("foreign", written)
    assert peer_clock.unix_seconds() == pytest.approx(TRUE_START)


def test_counts_replace_each_other_within_a_start_and_add_up_between_starts() -> None:
    """An append without an answer is repeated, and may land behind a newer one."""
    ledger = UsageLedger()
    first = CountRecord("front-1", "s1", 7, {"a": 1})
    ledger.apply(CountRecord("front-1", "s1", 7, {"a": 3, "b": 1}))
    ledger.apply(first)
    ledger.apply(CountRecord("front-1", "s2", 7, {"a": 2}))
    ledger.apply(CountRecord("front-2", "s3", 7, {"b": 4, "c": 0}))
    assert ledger.total(7) == {"a": 5, "b": 5} and ledger.total(8) == {}
    ledger.forget_before(8)
    assert ledger.total(7) == {}


def test_an_unconfirmed_record_is_repeated_with_what_came_since() -> None:
    """Counts of windows past reporting are dropped."""
    clock = SteppedClock()
    counter = UsageCounter(WINDOWS, PeerClock(clock), "front-1")
    counter.count("a", clock.elapsed())
    taken = counter.take_unstored()
    assert [record.counts for record in taken] == [{"a": 1}]
    assert not counter.take_unstored()
    counter.count("a", clock.elapsed())
    counter.put_back(taken)
    assert [record.counts for record in counter.take_unstored()] == [{"a": 2}]
    counter.put_back(taken)
    clock.at = 60.0
    assert not counter.take_unstored()


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 3)), max_size=20), st.integers(0, 20))
def test_all_readers_of_the_log_agree_on_a_report(
    written: list[tuple[int, int]], split: int
) -> None:
    """The first record of a window is final, however the log is cut into reads."""
    records = [ReportRecord(window, {"a": count}) for window, count in written]
    whole, parts = ReportBook(4), ReportBook(4)
    for offset, record in enumerate(records):
        whole.apply(offset, record)
    for offset, record in enumerate(records[:split]):
        parts.apply(offset, record)
    for offset, record in enumerate(records[split:], min(split, len(records))):
        parts.apply(offset, record)
    for window in range(10):
        assert whole.report(window) == parts.report(window)
        first = next((record for record in records if record.window == window), None)
        assert whole.report(window) == first
        assert whole.may_decide(window) is (first is None)


def test_what_may_be_in_deleted_records_is_not_decided() -> None:
    """The oldest records are gone; windows near the first one left may have been in them."""
    book = ReportBook(4)
    book.apply(17, ReportRecord(100, {}))
    assert not book.may_decide(101) and not book.may_decide(104) and book.may_decide(105)
    book.miss_records(200)
    assert book.report(100) is not None and not book.may_decide(200) and book.may_decide(201)
    empty = ReportBook(4)
    empty.miss_records(100)
    assert not empty.may_decide(100) and empty.may_decide(101)

"""What stops when nobody asks, and how quickly it returns."""

from datetime import timedelta

from cranberryline.decisions import IdlePolicy

POLICY = IdlePolicy()


def test_beats_back_off_to_one_a_minute() -> None:
    """An idle connection sends a beat a minute after the first two minutes."""
    interval = None
    elapsed = timedelta()
    beats = 0
    while elapsed < timedelta(hours=1):
        interval = POLICY.heartbeat_interval(0, interval)
        elapsed += interval
        beats += 1
    assert interval == timedelta(minutes=1)
    assert beats <= 66


def test_work_brings_the_busy_interval_back_at_once() -> None:
    """A request after hours of silence is watched like any other."""
    assert POLICY.heartbeat_interval(1, timedelta(minutes=1)) == timedelta(seconds=1)
    assert POLICY.heartbeat_interval(0, None) == timedelta(seconds=1)


def test_a_dead_connection_is_found_within_seconds_of_use() -> None:
    """The bound does not grow with the idle interval."""
    assert POLICY.silence_bound == timedelta(seconds=3)


def test_reports_are_sent_only_on_a_change() -> None:
    """An idle upstream reports nothing; a busy one at most once an interval."""
    hour = timedelta(hours=1)
    assert not POLICY.report_due(changed=False, since_last=hour, outstanding=0)
    assert not POLICY.report_due(True, timedelta(milliseconds=10), outstanding=3)
    assert POLICY.report_due(True, timedelta(seconds=1), outstanding=3)
    assert POLICY.report_due(True, timedelta(), outstanding=0)


def test_polls_are_held_longer_when_idle() -> None:
    """Long polls get longer, never shorter than a busy one's."""
    assert POLICY.poll_wait(timedelta(hours=1)) > POLICY.poll_wait(timedelta())

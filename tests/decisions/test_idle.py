"""Intervals of heartbeats, reports and polls on busy and idle connections."""

from datetime import timedelta

from cranberryline.decisions import IdlePolicy

POLICY = IdlePolicy()


def test_heartbeats_of_an_idle_connection_back_off_to_one_a_minute() -> None:
    """An idle connection sends one heartbeat a minute after the first two minutes."""
    interval = None
    elapsed = timedelta()
    heartbeats = 0
    while elapsed < timedelta(hours=1):
        interval = POLICY.heartbeat_interval(0, interval)
        elapsed += interval
        heartbeats += 1
    assert interval == timedelta(minutes=1)
    assert heartbeats <= 66


def test_request_restores_the_busy_interval_at_once() -> None:
    """The first request after hours without traffic must be monitored at the busy interval."""
    assert POLICY.heartbeat_interval(1, timedelta(minutes=1)) == timedelta(seconds=1)
    assert POLICY.heartbeat_interval(0, None) == timedelta(seconds=1)


def test_dead_connection_is_detected_within_seconds_of_a_request() -> None:
    """The timeout must not grow with the idle interval."""
    assert POLICY.silence_timeout == timedelta(seconds=3)


def test_load_reports_are_sent_only_after_a_change() -> None:
    """An unchanged upstream sends no report, a busy one at most one per interval."""
    hour = timedelta(hours=1)
    assert not POLICY.report_due(changed=False, since_last=hour, outstanding=0)
    assert not POLICY.report_due(True, timedelta(milliseconds=10), outstanding=3)
    assert POLICY.report_due(True, timedelta(seconds=1), outstanding=3)
    assert POLICY.report_due(True, timedelta(), outstanding=0)


def test_long_polls_of_idle_connections_have_longer_timeouts() -> None:
    """An idle connection polled as often as a busy one."""
    assert POLICY.poll_wait(timedelta(hours=1)) > POLICY.poll_wait(timedelta())

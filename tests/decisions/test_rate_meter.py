"""Measured rates follow recent measurements and ignore old ones."""

from datetime import timedelta

import pytest

from cranberryline.decisions import RateMeter

SECOND = timedelta(seconds=1)


def test_rate_is_unknown_without_measurements() -> None:
    """A meter without measurements must return 0, which means unknown."""
    assert RateMeter().tokens_per_second(SECOND) == 0.0


def test_rate_follows_a_slowdown_and_the_recovery_within_seconds() -> None:
    """The rate of an engine drops from 50 tokens per second to 1 and returns to 50."""
    meter = RateMeter()
    now = timedelta()
    rates = []
    for rate in [50] * 20 + [1] * 20 + [50] * 20:
        now += SECOND
        meter.record(rate, SECOND, now)
        rates.append(meter.tokens_per_second(now))
    assert rates[19] == pytest.approx(50)
    assert rates[30] < 15
    assert rates[59] > 45


def test_rate_of_a_stalled_upstream_differs_from_unknown() -> None:
    """Routing treats 0 as unknown, so a stalled upstream must have a rate above 0."""
    meter = RateMeter()
    for second in range(1, 100):
        meter.record(0, SECOND, second * SECOND)
    assert 0 < meter.tokens_per_second(100 * SECOND) < 1


def test_old_measurement_expires() -> None:
    """An upstream that was slow gets no requests; its rate must expire so that it is used again."""
    meter = RateMeter()
    meter.record(1, SECOND, SECOND)
    assert meter.tokens_per_second(20 * SECOND) > 0
    assert meter.tokens_per_second(60 * SECOND) == 0


def test_short_time_without_tokens_does_not_show_a_stall() -> None:
    """An upstream whose first request was turned away at once gets none for half a minute."""
    meter = RateMeter()
    meter.record(0, timedelta(milliseconds=2), SECOND)
    assert meter.tokens_per_second(SECOND) == 0.0
    meter.record(0, SECOND, 2 * SECOND)
    assert 0 < meter.tokens_per_second(2 * SECOND) < 0.1

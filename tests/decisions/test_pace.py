"""Rates follow what is recent and forget what is old."""

from datetime import timedelta

import pytest

from cranberryline.decisions import RateMeter

SECOND = timedelta(seconds=1)


def test_unknown_until_something_was_measured() -> None:
    """A meter without measurements claims nothing."""
    assert RateMeter().tokens_per_second(SECOND) == 0.0


def test_a_slowdown_shows_within_seconds_and_so_does_the_recovery() -> None:
    """An engine drops from 50 tokens a second to 1 and back."""
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


def test_a_stalled_upstream_is_not_taken_for_an_unknown_one() -> None:
    """Routing treats 0 as unknown, so a stall must not look like it."""
    meter = RateMeter()
    for second in range(1, 100):
        meter.record(0, SECOND, second * SECOND)
    assert 0 < meter.tokens_per_second(100 * SECOND) < 1


def test_an_old_measurement_is_forgotten() -> None:
    """An upstream that was slow and is avoided since is tried again."""
    meter = RateMeter()
    meter.record(1, SECOND, SECOND)
    assert meter.tokens_per_second(20 * SECOND) > 0
    assert meter.tokens_per_second(60 * SECOND) == 0

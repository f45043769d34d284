"""Speeds of engines: noise, slow phases and engines that come and go."""

import math
from datetime import timedelta
from random import Random

import pytest

from cranberryline.decisions import engine_speeds
from cranberryline.decisions.engine_speeds import (
    FORGET_AFTER,
    MAX_REPORT_AGE,
    EngineSpeeds,
)

FAST, SLOW = 30.0, 10.0


def _at(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def _report(
    speeds: EngineSpeeds, rate: float, start: float, end: float, gateways: int = 3, seed: int = 1
) -> None:
    """Let gateways report twice a second each, with noise of a tenth."""
    rng = Random(seed)
    for step in range(int((end - start) * 2 * gateways)):
        now = _at(start + step / 2 / gateways)
        speeds.record("e", rate * rng.uniform(0.9, 1.1), now)


def test_unknown_engine_has_no_speed() -> None:
    """An engine without a report must not count as infinitely slow."""
    speeds = EngineSpeeds()
    for rate in (0.0, -1.0, math.inf, math.nan):
        speeds.record("e", rate, _at(0))
    assert speeds.events_per_second("e", _at(0)) == 0.0
    assert not speeds.known(_at(0))


@pytest.mark.parametrize("gateways", [1, 3, 8])
def test_drop_to_a_third_shows_within_a_second(gateways: int) -> None:
    """Texts go on meeting an engine that turned slow."""
    speeds = EngineSpeeds()
    _report(speeds, FAST, 0, 20, gateways)
    _report(speeds, SLOW, 20, 21, gateways, seed=2)
    assert speeds.events_per_second("e", _at(21)) == pytest.approx(SLOW, rel=0.15)


def test_engine_without_texts_does_not_stay_slow() -> None:
    """An engine that was slow gets no texts, so nobody would find out that it is fast again."""
    speeds = EngineSpeeds()
    _report(speeds, FAST, 0, 20)
    _report(speeds, SLOW, 20, 28)
    assert speeds.events_per_second("e", _at(28)) == pytest.approx(SLOW, rel=0.15)
    later = _at(28) + MAX_REPORT_AGE
    assert speeds.events_per_second("e", later) == pytest.approx(FAST, rel=0.15)


def test_events_in_one_packet_show_nothing() -> None:
    """Two texts that arrive in one packet look like an engine a thousand times as fast."""
    speeds = EngineSpeeds()
    _report(speeds, FAST, 0, 10)
    speeds.record("e", 1000 * FAST, _at(10))
    assert speeds.events_per_second("e", _at(10)) == pytest.approx(FAST, rel=0.15)
    assert speeds.known(_at(60))["e"] == pytest.approx(FAST, rel=0.15)


def test_speeds_are_kept_over_a_restart() -> None:
    """After a restart of all gateways every engine would count as typical."""
    speeds = EngineSpeeds()
    speeds.restore({"e": FAST, "f": SLOW, "broken": 0.0}, _at(0))
    assert speeds.known(_at(0)) == {"e": FAST, "f": SLOW}
    _report(speeds, SLOW, 1, 3)
    assert speeds.events_per_second("e", _at(3)) == pytest.approx(SLOW, rel=0.15)
    assert speeds.known(_at(3))["e"] == FAST, "a short slow phase"
    _report(speeds, SLOW, 3, 40)
    assert speeds.known(_at(40))["e"] == pytest.approx(SLOW, rel=0.15), "a slower engine"


def test_kept_speeds_do_not_replace_newer_ones() -> None:
    """A speed that was kept before a restart replaces what gateways have measured since."""
    speeds = EngineSpeeds()
    speeds.record("e", SLOW, _at(0))
    speeds.restore({"e": FAST}, _at(0))
    assert speeds.known(_at(0)) == {"e": SLOW}


def test_engines_not_heard_of_are_evicted() -> None:
    """Engines come and go all day; the table must not grow with each of them."""
    speeds = EngineSpeeds()
    speeds.record("kept", FAST, _at(0))
    speeds.record("gone", FAST, _at(0))
    now = FORGET_AFTER
    speeds.record("kept", FAST, now)
    speeds.record("new", FAST, now + _at(1))
    assert set(speeds.known(now + _at(1))) == {"kept", "new"}


def test_table_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer that names a new engine in each report must not fill the memory."""
    monkeypatch.setattr(engine_speeds, "MAX_ENGINES", 10)
    speeds = EngineSpeeds()
    for number in range(100):
        speeds.record(str(number), FAST, _at(0))
    assert set(speeds.known(_at(0))) == {str(number) for number in range(90, 100)}

"""What an owner expects of its trainer, and what it starts because of it."""

from datetime import timedelta

from cranberryline.decisions import RolloutSettings
from cranberryline.samples.pacing import WEIGHTS_EVERYWHERE, StepWork, TrainerPace

_SECOND = timedelta(seconds=1)


def _work(*steps: int) -> dict[int, StepWork]:
    return {step: StepWork(4, 0, {0: 2, 1: 2}, {0: 100, 1: 100}) for step in steps}


def _allowed(pace: TrainerPace, step: int, freshness: float, now: timedelta) -> int:
    settings = RolloutSettings(freshness, staleness_bound=1)
    starts = pace.allowed(step, _work(1, 2), settings, newest_version=5, room=99, now=now)
    return sum(count for _, count in starts)


def test_freshness_holds_the_next_step_back() -> None:
    """At 1 nothing is started ahead, at 0 everything; the step that is waited for starts at once."""
    pace = TrainerPace()
    pace.on_pull(1, 5, _SECOND)
    assert _allowed(pace, 1, 1.0, _SECOND) == 4
    assert _allowed(pace, 2, 1.0, _SECOND) == 0
    assert _allowed(pace, 2, 0.0, _SECOND) == 4


def test_a_trainer_that_trains_will_have_moved_on() -> None:
    """A sample started while the trainer trains is one version old when it is taken."""
    pace = TrainerPace()
    pace.on_pull(1, 5, _SECOND)
    assert pace.versions_early(2, newest_version=5) == 1
    pace.on_done(1, 2 * _SECOND)
    assert pace.versions_early(2, newest_version=5) == 1
    assert pace.versions_early(3, newest_version=5) == 2


def test_a_trainer_that_seldom_moves_is_learnt() -> None:
    """After steps at one version, training no longer counts as a version."""
    pace = TrainerPace()
    for step in range(1, 8):
        pace.on_pull(step, 5, step * _SECOND)
        pace.on_done(step, step * _SECOND)
    assert pace.versions_early(8, newest_version=5) == 0


def test_a_waiting_trainer_is_not_stalled_for_freshness() -> None:
    """Weights that never come hold a trainer up no longer than they take to be everywhere.

    The trainer is two versions ahead of the samplers, past what freshness allows, and a swap
    fails again and again: without the bound on the wait it would get no sample at all.
    """
    pace = TrainerPace()
    pace.on_pull(1, 7, _SECOND)
    assert _allowed(pace, 1, 1.0, 2 * _SECOND) == 0
    assert _allowed(pace, 1, 1.0, 2 * _SECOND + WEIGHTS_EVERYWHERE) == 4

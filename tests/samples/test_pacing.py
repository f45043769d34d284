"""Tests of the estimates of a trainer's progress and the samples started because of them."""

from datetime import timedelta

from cranberryline.decisions import RolloutSettings
from cranberryline.samples.pacing import WEIGHT_PROPAGATION_TIME, StepBacklog, TrainerEstimates

_SECOND = timedelta(seconds=1)


def _backlogs(*steps: int) -> dict[int, StepBacklog]:
    return {step: StepBacklog(4, 0, {0: 2, 1: 2}, {0: 100, 1: 100}) for step in steps}


def _allowed(estimates: TrainerEstimates, step: int, freshness: float, now: timedelta) -> int:
    settings = RolloutSettings(freshness, staleness_bound=1)
    starts = estimates.samples_to_start(
        step, _backlogs(1, 2), settings, newest_version=5, free_slots=99, now=now
    )
    return sum(count for _, count in starts)


def test_freshness_delays_the_next_step() -> None:
    """With freshness 1 no later step is started early, with 0 all of it; the current one starts."""
    estimates = TrainerEstimates()
    estimates.on_pull(1, 5, _SECOND)
    assert _allowed(estimates, 1, 1.0, _SECOND) == 4
    assert _allowed(estimates, 2, 1.0, _SECOND) == 0
    assert _allowed(estimates, 2, 0.0, _SECOND) == 4


def test_sample_started_during_training_is_expected_to_age() -> None:
    """A sample started while the trainer trains is expected to be one version old when pulled."""
    estimates = TrainerEstimates()
    estimates.on_pull(1, 5, _SECOND)
    assert estimates.versions_early(2, newest_version=5) == 1
    estimates.on_done(1, 2 * _SECOND)
    assert estimates.versions_early(2, newest_version=5) == 1
    assert estimates.versions_early(3, newest_version=5) == 2


def test_expected_age_adapts_to_an_unchanging_version() -> None:
    """After seven steps at one version, training is not expected to change the version."""
    estimates = TrainerEstimates()
    for step in range(1, 8):
        estimates.on_pull(step, 5, step * _SECOND)
        estimates.on_done(step, step * _SECOND)
    assert estimates.versions_early(8, newest_version=5) == 0


def test_waiting_trainer_is_not_stalled_for_freshness() -> None:
    """A trainer waits for new weights at most for their usual propagation time.

    The trainer is two versions ahead of the samplers, more than freshness allows, and each swap
    fails. Without a limit on the wait, the trainer would get no samples at all.
    """
    estimates = TrainerEstimates()
    estimates.on_pull(1, 7, _SECOND)
    assert _allowed(estimates, 1, 1.0, 2 * _SECOND) == 0
    assert _allowed(estimates, 1, 1.0, 2 * _SECOND + WEIGHT_PROPAGATION_TIME) == 4

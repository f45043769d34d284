"""Estimates of a trainer's progress, used to decide which samples of its steps to start."""

from collections.abc import Mapping
from datetime import timedelta

import attrs

from cranberryline.decisions import (
    GroupView,
    RolloutPolicy,
    RolloutSettings,
    RolloutView,
    StepView,
)

__all__ = ["StepBacklog", "TrainerEstimates"]

# Used until a trainer has pulled two steps; longer than samples are expected to take.
DEFAULT_STEP_TIME = timedelta(minutes=1)
# Weight of the latest value in exponential moving averages.
SMOOTHING_FACTOR = 0.3
# Time within which new weights reach all samplers. A trainer that waits for samples waits at most
# this long for fresher ones; otherwise a swap that never succeeds would stall it forever.
WEIGHT_PROPAGATION_TIME = timedelta(seconds=6)


@attrs.frozen
class StepBacklog:
    """The samples of a step: the total, and the startable ones per group.

    `versions_early` is the sum of the versions by which its started samples were early.
    """

    samples: int
    versions_early: int
    startable: Mapping[int, int]
    max_tokens: Mapping[int, int]


class TrainerEstimates:
    """Tracks the current step of a trainer and estimates the durations of its steps and samples."""

    def __init__(self) -> None:
        self._step = 0
        self._version = 0
        self._pulled_at: timedelta | None = None
        self._done_at: timedelta | None = None
        self._step_version = 0
        self._versions_per_step = 1.0
        self._step_time = DEFAULT_STEP_TIME
        self._train_time = timedelta()
        self._tokens_per_second = 0.0
        self._length_fraction = 1.0

    def on_pull(self, step: int, version: int, now: timedelta) -> None:
        """Record that the trainer, at a weight version, pulls samples of a step."""
        if step <= self._step and self._pulled_at is not None:
            self._version = max(self._version, version)
            return
        if self._pulled_at is not None and step == self._step + 1:
            version_change = max(0, version - self._step_version)
            self._versions_per_step += SMOOTHING_FACTOR * (version_change - self._versions_per_step)
        self._version = max(self._version, version)
        self._step_version = self._version
        if self._done_at is not None and step == self._step + 1:
            self._train_time = _smooth(self._train_time, now - self._done_at)
        if self._pulled_at is not None and step == self._step + 1:
            self._step_time = _smooth(self._step_time, now - self._pulled_at)
        self._step, self._pulled_at, self._done_at = step, now, None

    def on_done(self, step: int, now: timedelta) -> None:
        """Record that the trainer has received all samples of a step."""
        if step == self._step and self._done_at is None:
            self._done_at = now

    def on_sample(self, tokens: int, max_tokens: int, duration: timedelta) -> None:
        """Record the duration of a sample and its length relative to `max_tokens`."""
        seconds = max(duration.total_seconds(), 1e-3)
        rate = tokens / seconds
        average = self._tokens_per_second or rate
        self._tokens_per_second = average + SMOOTHING_FACTOR * (rate - average)
        self._length_fraction += SMOOTHING_FACTOR * (tokens / max_tokens - self._length_fraction)

    def samples_to_start(
        self,
        step: int,
        backlogs: Mapping[int, StepBacklog],
        settings: RolloutSettings,
        newest_version: int,
        free_slots: int,
        now: timedelta,
    ) -> list[tuple[int, int]]:
        """Return (group, number of samples) of a step to start now, most urgent first."""
        if free_slots <= 0 or not backlogs[step].startable:
            return []
        if self._must_start_now(step, now):
            return list(backlogs[step].startable.items())
        view = self._view(backlogs, newest_version, free_slots, now)
        starts = RolloutPolicy(settings).start(view, free_slots)
        split_starts = [(start.group.split("/"), start.samples) for start in starts]
        return [
            (int(group), count)
            for (start_step, group), count in split_starts
            if int(start_step) == step
        ]

    def versions_early(self, step: int, newest_version: int) -> int:
        """Return the expected age in versions, when pulled, of a sample that is started now."""
        expected = self._version_at_pull(newest_version) + max(0, step - self._next_step())
        return max(0, expected - newest_version)

    def _must_start_now(self, step: int, now: timedelta) -> bool:
        """Return whether to start all samples of a step, whatever the rollout policy says."""
        if self._pulled_at is None:
            return True
        unfinished = step <= self._step and self._done_at is None
        return unfinished and now - self._pulled_at > WEIGHT_PROPAGATION_TIME

    def _version_at_pull(self, newest_version: int) -> int:
        """Return the expected version of the trainer when it pulls its next step.

        While it trains, this is later than its current version. With the current version, samples
        started meanwhile would count as fresh and exceed the staleness bound by one version.
        """
        if self._done_at is None:
            return max(self._version, newest_version)
        return max(self._version + round(self._versions_per_step), newest_version)

    def _next_step(self) -> int:
        return self._step if self._done_at is None else self._step + 1

    def _view(
        self,
        backlogs: Mapping[int, StepBacklog],
        newest_version: int,
        free_slots: int,
        now: timedelta,
    ) -> RolloutView:
        until_pull = timedelta()
        if self._done_at is not None:
            until_pull = max(timedelta(), self._done_at + self._train_time - now)
        return RolloutView(
            next_step=self._next_step(),
            version_at_pull=self._version_at_pull(newest_version),
            until_pull=until_pull,
            step_time=self._step_time,
            sampler_version=newest_version,
            free_slots=free_slots,
            sample_tokens_per_second=self._tokens_per_second,
            time_to_first_token=timedelta(),
            steps={
                step: StepView(backlog.samples, backlog.versions_early)
                for step, backlog in backlogs.items()
            },
            waiting=self._groups(backlogs),
        )

    def _groups(self, backlogs: Mapping[int, StepBacklog]) -> list[GroupView]:
        return [
            GroupView(
                id=f"{step}/{group}",
                step=step,
                samples=count,
                expected_tokens=max(1, int(backlog.max_tokens[group] * self._length_fraction)),
            )
            for step, backlog in backlogs.items()
            for group, count in backlog.startable.items()
        ]


def _smooth(average: timedelta, sample: timedelta) -> timedelta:
    return average + SMOOTHING_FACTOR * (sample - average)

"""When an owner starts the samples of its trainer's steps: the rollout decision, fed from pulls."""

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

__all__ = ["StepWork", "TrainerPace"]

# Before a trainer has taken two steps: long enough that no sample is thought to outlast a step.
DEFAULT_STEP_TIME = timedelta(minutes=1)
# How much the latest step counts in what is expected of the next.
SMOOTHING = 0.3
# New weights are on all samplers within this; a trainer that waits for samples waits no longer
# for fresher ones. Without the bound a swap that never succeeds would stall it for good.
WEIGHTS_EVERYWHERE = timedelta(seconds=6)


@attrs.frozen
class StepWork:
    """What is not started of one step, by group, and what its started samples cost in versions."""

    samples: int
    versions_early: int
    waiting: Mapping[int, int]
    max_tokens: Mapping[int, int]


class TrainerPace:
    """Where one trainer stands, and how long its steps and samples take."""

    def __init__(self) -> None:
        self._step = 0
        self._version = 0
        self._pulled_at: timedelta | None = None
        self._done_at: timedelta | None = None
        self._step_version = 0
        self._versions_a_step = 1.0
        self._step_time = DEFAULT_STEP_TIME
        self._train_time = timedelta()
        self._tokens_per_second = 0.0
        self._length = 1.0

    def on_pull(self, step: int, version: int, now: timedelta) -> None:
        """Note that the trainer asks for samples of a step, at a weight version."""
        if step <= self._step and self._pulled_at is not None:
            self._version = max(self._version, version)
            return
        if self._pulled_at is not None and step == self._step + 1:
            moved = max(0, version - self._step_version)
            self._versions_a_step += SMOOTHING * (moved - self._versions_a_step)
        self._version = max(self._version, version)
        self._step_version = self._version
        if self._done_at is not None and step == self._step + 1:
            self._train_time = _smooth(self._train_time, now - self._done_at)
        if self._pulled_at is not None and step == self._step + 1:
            self._step_time = _smooth(self._step_time, now - self._pulled_at)
        self._step, self._pulled_at, self._done_at = step, now, None

    def on_done(self, step: int, now: timedelta) -> None:
        """Note that the trainer has all samples of a step."""
        if step == self._step and self._done_at is None:
            self._done_at = now

    def on_sample(self, tokens: int, max_tokens: int, spent: timedelta) -> None:
        """Note how long a sample took, and how much of its allowed length it used."""
        seconds = max(spent.total_seconds(), 1e-3)
        rate = tokens / seconds
        known = self._tokens_per_second or rate
        self._tokens_per_second = known + SMOOTHING * (rate - known)
        self._length += SMOOTHING * (tokens / max_tokens - self._length)

    def allowed(
        self,
        step: int,
        work: Mapping[int, StepWork],
        settings: RolloutSettings,
        newest_version: int,
        room: int,
        now: timedelta,
    ) -> list[tuple[int, int]]:
        """Return (group, samples) of a step to start now, the most urgent first."""
        if room <= 0 or not work[step].waiting:
            return []
        if self._waits_for(step, now):
            return list(work[step].waiting.items())
        view = self._view(work, newest_version, room, now)
        starts = RolloutPolicy(settings).start(view, room)
        named = [(start.group.split("/"), start.samples) for start in starts]
        return [(int(group), count) for (of, group), count in named if int(of) == step]

    def versions_early(self, step: int, newest_version: int) -> int:
        """Return how many versions old a sample started now is expected to be when taken."""
        expected = self._version_at_pull(newest_version) + max(0, step - self._next_step())
        return max(0, expected - newest_version)

    def _waits_for(self, step: int, now: timedelta) -> bool:
        if self._pulled_at is None:
            return True
        waiting = step <= self._step and self._done_at is None
        return waiting and now - self._pulled_at > WEIGHTS_EVERYWHERE

    def _version_at_pull(self, newest_version: int) -> int:
        """Return the version at which the trainer is expected to take its next step.

        While it trains it will have moved on by then. Taken as it stands, samples started
        meanwhile would count as fresh, and miss the bound by one version.
        """
        if self._done_at is None:
            return max(self._version, newest_version)
        return max(self._version + round(self._versions_a_step), newest_version)

    def _next_step(self) -> int:
        return self._step if self._done_at is None else self._step + 1

    def _view(
        self, work: Mapping[int, StepWork], newest_version: int, room: int, now: timedelta
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
            free_slots=room,
            sample_tokens_per_second=self._tokens_per_second,
            time_to_first_token=timedelta(),
            steps={step: StepView(w.samples, w.versions_early) for step, w in work.items()},
            waiting=self._groups(work),
        )

    def _groups(self, work: Mapping[int, StepWork]) -> list[GroupView]:
        return [
            GroupView(
                id=f"{step}/{group}",
                step=step,
                samples=count,
                expected_tokens=max(1, int(one.max_tokens[group] * self._length)),
            )
            for step, one in work.items()
            for group, count in one.waiting.items()
        ]


def _smooth(known: timedelta, seen: timedelta) -> timedelta:
    return known + SMOOTHING * (seen - known)

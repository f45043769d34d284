"""Decide which samples a trainer's steps start, and what to do about stragglers.

A trainer waits for whole steps, sample lengths vary widely, upstreams slow down or stall, and the
weights change every few minutes.
"""

import enum
from collections.abc import Mapping, Sequence
from datetime import timedelta
from math import ceil

import attrs

from .const import ZERO

__all__ = [
    "GroupView",
    "RolloutPlan",
    "RolloutPolicy",
    "RolloutSettings",
    "RolloutView",
    "SampleView",
    "StartSamples",
    "StepView",
    "StragglerAction",
    "StragglerDecision",
]

DEFAULT_FRESHNESS = 0.5
DEFAULT_STALENESS_BOUND = 2  # versions
# A straggler is resumed elsewhere only if that is this many times faster and saves this much time.
MIN_MOVE_SPEEDUP = 1.5
MIN_MOVE_SAVING = timedelta(seconds=2)
# Largest fraction of the samples in flight that is moved in one round, so that a slowdown of all
# upstreams, where moving does not help, does not cause a storm of prefills.
MAX_MOVE_FRACTION = 0.1
# Fraction of the slots that early starts leave free for moves: a sample moved into a queue stalls
# again.
MOVE_SLOT_FRACTION = 0.15
# A sample is stalled after this many times the typical first-token time without progress.
STALL_FACTOR = 4
# Longer than the second or two for which a swap to new weights stops an engine.
MIN_STALL_TIME = timedelta(seconds=5)
# Running time after which a sample's token rate can be told from a slow start.
MIN_RUN_TIME = timedelta(seconds=8)
MAX_COPIES = 2
# A straggler that could be moved this much later and still be in time is left where it is, since
# its upstream may recover.
MOVE_DEADLINE_MARGIN = timedelta(seconds=10)
# Expected remainder of a sample that is longer than estimated, as a fraction of its length so far.
OVERRUN_FRACTION = 0.5
# Factor on expected lengths: the longest sample of a group decides, and an early start that was not
# needed costs less than a late one.
TAIL_FACTOR = 3.0
WAIT_BISECTIONS = 12
# Versions early of a start that would exceed the staleness bound; no allowance covers it.
UNAFFORDABLE_VERSIONS = 10**9


class StragglerAction(enum.StrEnum):
    """What to do with a straggler."""

    RESUME = "resume"  # cancel it and continue elsewhere from the tokens received
    HEDGE = "hedge"  # start a second copy elsewhere; the first to complete counts
    GIVE_UP = "give_up"  # too stale: cancel it and generate a replacement


@attrs.frozen
class RolloutSettings:
    """Operator settings for a trainer.

    `staleness_bound` is in versions. `freshness`, from 0 to 1, trades trainer idle time for
    staleness: the mean staleness of a step when the trainer receives it is at most `(1 - freshness)
    * staleness_bound`. At 1 no sample starts before the weights that its step is trained at are
    served; at 0 every sample starts as early as the bound allows.
    """

    freshness: float = DEFAULT_FRESHNESS
    staleness_bound: int = DEFAULT_STALENESS_BOUND


@attrs.frozen
class GroupView:
    """A group with `samples` not yet started, of `expected_tokens` each."""

    id: str
    step: int
    samples: int
    expected_tokens: int


@attrs.frozen
class StepView:
    """A step's number of samples, and the sum of the versions by which started ones were early."""

    samples: int
    versions_early: int


@attrs.frozen
class SampleView:
    """A sample in flight.

    `version` is that of its oldest segment, or that of its sampler before the first segment.
    `running` and `since_progress` are the times since its start and since its last token.
    """

    id: str
    step: int
    version: int
    expected_tokens: int
    tokens_done: int
    running: timedelta
    since_progress: timedelta
    tokens_per_second: float
    copies: int = 1


@attrs.frozen
class RolloutView:
    """A trainer's work as seen by the entry that owns the trainer.

    The trainer pulls `next_step` next, at version `version_at_pull`, in about `until_pull`, and
    `step_time` is the time between two pulls. The samplers serve `sampler_version`, and
    `free_slots` is how many samples they can start without queueing. `sample_tokens_per_second` and
    `time_to_first_token` (the time to the first token) are medians of the samples in flight.
    `waiting` are the groups with samples not yet started.
    """

    next_step: int
    version_at_pull: int
    until_pull: timedelta
    step_time: timedelta
    sampler_version: int
    free_slots: int
    sample_tokens_per_second: float
    time_to_first_token: timedelta
    steps: Mapping[int, StepView]
    waiting: Sequence[GroupView]
    in_flight: Sequence[SampleView] = ()


@attrs.frozen
class StartSamples:
    """Start `samples` of a group on samplers that serve `min_version` or newer."""

    group: str
    samples: int
    min_version: int


@attrs.frozen
class StragglerDecision:
    """The action for one sample in flight."""

    sample: str
    action: StragglerAction


@attrs.frozen
class RolloutPlan:
    """What to do now: first the stragglers, then the starts."""

    stragglers: tuple[StragglerDecision, ...] = ()
    start: tuple[StartSamples, ...] = ()


@attrs.frozen
class RolloutPolicy:
    """Decides on starts and stragglers of one trainer.

    Starting a step's groups only when the trainer is ready leaves it idle for as long as the
    longest sample takes; starting all declared groups makes samples that are stale when received;
    and one stalled sample stalls its whole step.
    """

    settings: RolloutSettings = RolloutSettings()

    def plan(self, view: RolloutView) -> RolloutPlan:
        """Return what to do now; moved stragglers take their slots before new samples."""
        stragglers = self.stragglers(view)
        moved = sum(decision.action is not StragglerAction.GIVE_UP for decision in stragglers)
        return RolloutPlan(stragglers, self.start(view, view.free_slots - moved))

    def start(self, view: RolloutView, free_slots: int) -> tuple[StartSamples, ...]:
        """Return the samples to start in `free_slots` free slots, the most urgent first.

        A sample's staleness is known at its start: its step is pulled at an expected version, and
        its oldest segment has the version that the samplers serve now. A sample that is expected to
        exceed the staleness bound is not started, and neither is one without a free slot: queued at
        a sampler it would start no earlier.

        The allowance of early starts goes to the samples that take longest, since they decide when
        the step is complete. A sample that takes `d` and starts `k` versions early makes the
        trainer wait `d - k * step_time`, so the allowance is best spent by giving each sample the
        smallest `k` that keeps it within one common wait (`_common_wait`). What is left of the
        allowance goes to the most urgent samples.
        """
        reserve = int((len(view.in_flight) + view.free_slots) * MOVE_SLOT_FRACTION)
        waits: dict[int, float] = {}
        unspent: dict[int, int] = {}
        starts = []
        for group in sorted(view.waiting, key=lambda group: (_latest_start(view, group), group.id)):
            if free_slots <= 0:
                break
            if group.step not in waits:
                waits[group.step] = wait = self._common_wait(view, group.step)
                unspent[group.step] = self._unspent(view, group.step, wait)
            early = _staleness(view, group.step, view.sampler_version) > 0
            count = min(group.samples, free_slots - reserve if early else free_slots)
            extra = self._excess_versions(view, group, waits[group.step])
            if extra > 0:
                count = min(count, unspent[group.step] // extra)
            if count <= 0:
                continue
            unspent[group.step] -= max(0, extra) * count
            free_slots -= count
            starts.append(StartSamples(group.id, count, view.sampler_version))
        return tuple(starts)

    def stragglers(self, view: RolloutView) -> tuple[StragglerDecision, ...]:
        """Return the actions for samples in flight that are too stale or too slow.

        Resuming a sample elsewhere costs one prefill and discards no token. A stalled sample
        without any token is hedged instead, since it may only be queued.
        """
        decisions = [
            StragglerDecision(sample.id, StragglerAction.GIVE_UP)
            for sample in view.in_flight
            if _staleness(view, sample.step, sample.version) > self.settings.staleness_bound
        ]
        given_up = {decision.sample for decision in decisions}
        slow = [
            (saving, sample)
            for sample in view.in_flight
            if sample.id not in given_up and (saving := _saving(view, sample)) >= MIN_MOVE_SAVING
        ]
        slow.sort(key=lambda pair: (-pair[0], pair[1].id))
        moves = min(view.free_slots, max(1, int(len(view.in_flight) * MAX_MOVE_FRACTION)))
        decisions += [
            StragglerDecision(sample.id, _straggler_action(sample)) for _, sample in slow[:moves]
        ]
        return tuple(decisions)

    def _excess_versions(self, view: RolloutView, group: GroupView, wait: float) -> int:
        """Return by how many versions a start now is earlier than the common wait requires."""
        staleness = _staleness(view, group.step, view.sampler_version)
        if staleness > self.settings.staleness_bound:
            return UNAFFORDABLE_VERSIONS
        return staleness - self._versions_early(view, _tail_seconds(view, group), wait)

    def _unspent(self, view: RolloutView, step: int, wait: float) -> int:
        """Return what the starts required by the common wait leave of the allowance, in versions.

        If all groups are expected to take equally long, as with unknown lengths, no common wait
        separates them. Without the remainder, all would start later than the allowance permits and
        the trainer would wait.
        """
        groups = [
            (_tail_seconds(view, group), group.samples)
            for group in view.waiting
            if group.step == step
        ]
        return max(
            0, int(self._allowance(view, step) - self._total_versions_early(view, groups, wait))
        )

    def _allowance(self, view: RolloutView, step: int) -> float:
        """Return how many versions early, summed over samples, the step may still start samples."""
        mean = (1.0 - self.settings.freshness) * self.settings.staleness_bound
        return mean * view.steps[step].samples - view.steps[step].versions_early

    def _versions_early(self, view: RolloutView, seconds: float, wait: float) -> int:
        """Return how many versions early a sample has to start.

        The sample takes `seconds`, and the trainer is to wait at most `wait` seconds for it.
        """
        if seconds <= wait:
            return 0
        step_seconds = view.step_time.total_seconds()
        return min(self.settings.staleness_bound, ceil((seconds - wait) / step_seconds))

    def _common_wait(self, view: RolloutView, step: int) -> float:
        """Return the shortest trainer wait, in seconds, whose early starts the allowance covers."""
        groups = [
            (_tail_seconds(view, group), group.samples)
            for group in view.waiting
            if group.step == step
        ]
        allowance = self._allowance(view, step)
        shortest = -view.step_time.total_seconds() * self.settings.staleness_bound
        longest = max(seconds for seconds, _ in groups)
        if self._total_versions_early(view, groups, shortest) <= allowance:
            return shortest
        for _ in range(WAIT_BISECTIONS):
            middle = (shortest + longest) / 2
            if self._total_versions_early(view, groups, middle) <= allowance:
                longest = middle
            else:
                shortest = middle
        return longest

    def _total_versions_early(
        self, view: RolloutView, groups: Sequence[tuple[float, int]], wait: float
    ) -> int:
        """Return the versions early, summed over samples, that the wait requires."""
        return sum(
            samples * self._versions_early(view, seconds, wait) for seconds, samples in groups
        )


def _latest_start(view: RolloutView, group: GroupView) -> float:
    """Return the latest start of the group that completes it in time, in seconds from now."""
    steps = group.step - view.next_step
    needed = view.until_pull.total_seconds() + steps * view.step_time.total_seconds()
    return needed - _tail_seconds(view, group)


def _tail_seconds(view: RolloutView, group: GroupView) -> float:
    """Return the expected duration of the group's longest sample."""
    return _duration(view, group.expected_tokens * TAIL_FACTOR).total_seconds()


def _staleness(view: RolloutView, step: int, version: int) -> int:
    """Return how many versions old a sample of `version` will be when its step is pulled."""
    return view.version_at_pull + (step - view.next_step) - version


def _duration(view: RolloutView, tokens: float) -> timedelta:
    if view.sample_tokens_per_second <= 0:
        return view.time_to_first_token
    return view.time_to_first_token + timedelta(seconds=tokens / view.sample_tokens_per_second)


def _remaining_tokens(sample: SampleView) -> float:
    """Return the expected number of tokens that the sample still lacks."""
    return max(sample.expected_tokens - sample.tokens_done, OVERRUN_FRACTION * sample.tokens_done)


def _saving(view: RolloutView, sample: SampleView) -> timedelta:
    """Return how much earlier the sample is expected to end elsewhere, or 0 to leave it."""
    if sample.copies >= MAX_COPIES or sample.running < MIN_RUN_TIME:
        return ZERO
    left = _remaining_tokens(sample)
    elsewhere = _duration(view, left)
    needed = view.until_pull + view.step_time * (sample.step - view.next_step)
    here = _expected_here(view, sample, left, elsewhere)
    # A sample that a later move would still complete in time stays: its upstream may recover.
    if (
        here <= needed
        or needed > elsewhere + MOVE_DEADLINE_MARGIN
        or here < elsewhere * MIN_MOVE_SPEEDUP
    ):
        return ZERO
    return here - elsewhere


def _expected_here(
    view: RolloutView, sample: SampleView, left: float, elsewhere: timedelta
) -> timedelta:
    """Return the expected time until the sample ends at its current upstream, or 0 if unknown."""
    # A stalled sample always passes the thresholds for a move; the longest stalled is moved first.
    if sample.since_progress > max(view.time_to_first_token * STALL_FACTOR, MIN_STALL_TIME):
        return elsewhere * MIN_MOVE_SPEEDUP + MIN_MOVE_SAVING + sample.since_progress
    if sample.tokens_per_second <= 0:
        return ZERO
    return timedelta(seconds=left / sample.tokens_per_second)


def _straggler_action(sample: SampleView) -> StragglerAction:
    return StragglerAction.RESUME if sample.tokens_done else StragglerAction.HEDGE

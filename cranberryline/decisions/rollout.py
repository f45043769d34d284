"""Decide which samples a trainer's steps start, and what becomes of the stragglers.

Load answered: trainers that wait for a whole step, samples of very unlike length, upstreams that
crawl or stall, and weights that change every few minutes. Starting a step's groups only when the
trainer is ready leaves it idle for as long as the longest sample takes. Starting everything that is
declared makes samples that are stale when received. Waiting for one stalled sample stalls the whole
step.

Staleness of a sample is known when it starts: a step is taken when the trainer reaches the version
that it is taken at, and the sample's oldest segment has the version that the samplers serve now. So
`start` never starts a sample that is expected to miss the bound.

`freshness` is the one setting between trainer idle time and staleness: the mean staleness that a
step may have when received is `(1 - freshness) * staleness_bound`. At 1 nothing starts before the
weights that its step is taken at; at 0 everything starts as early as the bound allows. Between them
the allowance goes to the samples that are expected to take longest, because they alone decide when
the step is whole: a sample that takes `d` and starts `k` versions early makes the trainer wait `d -
k * step_time`, so the least wait for an allowance gives each sample the smallest `k` that brings it
under one common wait (`_common_wait`); what that leaves of the allowance goes to the most urgent. No more is started than there is room for: a sample that
waits at a sampler holds a place and starts no earlier.

Stragglers: a sample that would be late is continued elsewhere, from the tokens received, when that
is expected to be `MOVE_GAIN` times faster and to save at least `MIN_SAVING`. One that would be in
time even if it were moved `MOVE_MARGIN` later is left, for its upstream may recover by itself. The
cost is one prefill, no token is thrown away. One that has brought no token at all in `STALL_BOUND`
times the typical first-token time is started a second time beside the first (hedged), for it may
only wait in a queue. A move needs room elsewhere, for a sample that is moved into a queue stalls
again; early starts leave `MOVE_RESERVE` of the slots free for it. At most `MOVE_SHARE` of what is
in flight is moved in one round, so that a slowdown of everything, in which no move helps, does not
become a storm of prefills.

Other thresholds: `MIN_STALL` is longer than the second or two for which a swap to new weights stops
an engine; `MIN_RUN` is the time in which a sample's pace can be told from a slow start; lengths are
taken times `TAIL_FACTOR`, since the longest of a group decides and an early start that was not
needed costs less than a late one (values from 1 to 4 are compared in docs/POLICY.md).
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
DEFAULT_STALENESS_BOUND = 2
MOVE_GAIN = 1.5
MIN_SAVING = timedelta(seconds=2)
MOVE_SHARE = 0.1
MOVE_RESERVE = 0.15
STALL_BOUND = 4
MIN_STALL = timedelta(seconds=5)
MIN_RUN = timedelta(seconds=8)
MAX_COPIES = 2
MOVE_MARGIN = timedelta(seconds=10)
RESIDUAL_SHARE = 0.5
TAIL_FACTOR = 3.0
WAIT_BISECTIONS = 12
NEVER = 10**9


class StragglerAction(enum.StrEnum):
    """What becomes of a sample in flight."""

    RESUME = "resume"  # cancel it there, continue elsewhere from the tokens received
    HEDGE = "hedge"  # start it elsewhere too; the first that is whole counts
    GIVE_UP = "give_up"  # it would be too stale; cancel it and make its place again


@attrs.frozen
class RolloutSettings:
    """What an operator sets for a trainer."""

    freshness: float = DEFAULT_FRESHNESS
    staleness_bound: int = DEFAULT_STALENESS_BOUND


@attrs.frozen
class GroupView:
    """A group with `samples` that are not started; `expected_tokens` is of one sample."""

    id: str
    step: int
    samples: int
    expected_tokens: int


@attrs.frozen
class StepView:
    """How many samples a step has, and how many versions early those in being were started."""

    samples: int
    versions_early: int


@attrs.frozen
class SampleView:
    """A sample in flight; `version` is its oldest segment's, or its sampler's before the first."""

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
    """A trainer's work as its owner sees it.

    The trainer takes `next_step` next, at version `version_at_pull`, in about `until_pull`.
    `sample_tokens_per_second` and `first_token` are typical (median) of samples in flight.
    """

    next_step: int
    version_at_pull: int
    until_pull: timedelta
    step_time: timedelta
    sampler_version: int
    room: int
    sample_tokens_per_second: float
    first_token: timedelta
    steps: Mapping[int, StepView]
    waiting: Sequence[GroupView]
    in_flight: Sequence[SampleView] = ()


@attrs.frozen
class StartSamples:
    """Start that many samples of a group, on a sampler that serves `min_version` or newer."""

    group: str
    samples: int
    min_version: int


@attrs.frozen
class StragglerDecision:
    """Do something about a sample in flight."""

    sample: str
    action: StragglerAction


@attrs.frozen
class RolloutPlan:
    """What to do now, in this order."""

    stragglers: tuple[StragglerDecision, ...] = ()
    start: tuple[StartSamples, ...] = ()


@attrs.frozen
class RolloutPolicy:
    """Start and straggler rules of one trainer."""

    settings: RolloutSettings = RolloutSettings()

    def plan(self, view: RolloutView) -> RolloutPlan:
        """Return what to do now."""
        stragglers = self.stragglers(view)
        moved = sum(decision.action is not StragglerAction.GIVE_UP for decision in stragglers)
        return RolloutPlan(stragglers, self.start(view, view.room - moved))

    def start(self, view: RolloutView, room: int) -> tuple[StartSamples, ...]:
        """Return the samples to start within the room, the most urgent first."""
        reserve = int((len(view.in_flight) + view.room) * MOVE_RESERVE)
        waits: dict[int, float] = {}
        spare: dict[int, int] = {}
        starts = []
        for group in sorted(view.waiting, key=lambda group: (_slack(view, group), group.id)):
            if room <= 0:
                break
            if group.step not in waits:
                waits[group.step] = wait = self._common_wait(view, group.step)
                spare[group.step] = self._spare(view, group.step, wait)
            early = _staleness(view, group.step, view.sampler_version) > 0
            count = min(group.samples, room - reserve if early else room)
            extra = self._extra_versions(view, group, waits[group.step])
            if extra > 0:
                count = min(count, spare[group.step] // extra)
            if count <= 0:
                continue
            spare[group.step] -= max(0, extra) * count
            room -= count
            starts.append(StartSamples(group.id, count, view.sampler_version))
        return tuple(starts)

    def stragglers(self, view: RolloutView) -> tuple[StragglerDecision, ...]:
        """Return what becomes of samples in flight that are too stale or too slow."""
        decisions = [
            StragglerDecision(sample.id, StragglerAction.GIVE_UP)
            for sample in view.in_flight
            if _staleness(view, sample.step, sample.version) > self.settings.staleness_bound
        ]
        given_up = {decision.sample for decision in decisions}
        slow = [
            (saving, sample)
            for sample in view.in_flight
            if sample.id not in given_up and (saving := _saving(view, sample)) >= MIN_SAVING
        ]
        slow.sort(key=lambda pair: (-pair[0], pair[1].id))
        moves = min(view.room, max(1, int(len(view.in_flight) * MOVE_SHARE)))
        decisions += [StragglerDecision(sample.id, _move(sample)) for _, sample in slow[:moves]]
        return tuple(decisions)

    def _extra_versions(self, view: RolloutView, group: GroupView, wait: float) -> int:
        """Return how much earlier than its part of the allowance a start now would be."""
        staleness = _staleness(view, group.step, view.sampler_version)
        if staleness > self.settings.staleness_bound:
            return NEVER
        return staleness - self._versions_early(view, _tail_seconds(view, group), wait)

    def _spare(self, view: RolloutView, step: int, wait: float) -> int:
        """Return what the common wait leaves of the allowance.

        Where groups are expected to take equally long, as when nothing is known of them, no wait
        parts them: all would start later than the allowance permits, and the trainer would wait.
        """
        groups = [
            (_tail_seconds(view, group), group.samples)
            for group in view.waiting
            if group.step == step
        ]
        return max(0, int(self._allowance(view, step) - self._cost(view, groups, wait)))

    def _allowance(self, view: RolloutView, step: int) -> float:
        mean = (1.0 - self.settings.freshness) * self.settings.staleness_bound
        return mean * view.steps[step].samples - view.steps[step].versions_early

    def _versions_early(self, view: RolloutView, seconds: float, wait: float) -> int:
        if seconds <= wait:
            return 0
        step_seconds = view.step_time.total_seconds()
        return min(self.settings.staleness_bound, ceil((seconds - wait) / step_seconds))

    def _common_wait(self, view: RolloutView, step: int) -> float:
        """Return the shortest wait whose early starts the step's allowance still covers."""
        groups = [
            (_tail_seconds(view, group), group.samples)
            for group in view.waiting
            if group.step == step
        ]
        allowance = self._allowance(view, step)
        shortest = -view.step_time.total_seconds() * self.settings.staleness_bound
        longest = max(seconds for seconds, _ in groups)
        if self._cost(view, groups, shortest) <= allowance:
            return shortest
        for _ in range(WAIT_BISECTIONS):
            middle = (shortest + longest) / 2
            if self._cost(view, groups, middle) <= allowance:
                longest = middle
            else:
                shortest = middle
        return longest

    def _cost(self, view: RolloutView, groups: Sequence[tuple[float, int]], wait: float) -> int:
        return sum(
            samples * self._versions_early(view, seconds, wait) for seconds, samples in groups
        )


def _slack(view: RolloutView, group: GroupView) -> float:
    """Return the seconds that may pass before the group must start to be there in time."""
    steps = group.step - view.next_step
    needed = view.until_pull.total_seconds() + steps * view.step_time.total_seconds()
    return needed - _tail_seconds(view, group)


def _tail_seconds(view: RolloutView, group: GroupView) -> float:
    return _duration(view, group.expected_tokens * TAIL_FACTOR).total_seconds()


def _staleness(view: RolloutView, step: int, version: int) -> int:
    return view.version_at_pull + (step - view.next_step) - version


def _duration(view: RolloutView, tokens: float) -> timedelta:
    if view.sample_tokens_per_second <= 0:
        return view.first_token
    return view.first_token + timedelta(seconds=tokens / view.sample_tokens_per_second)


def _remaining_tokens(sample: SampleView) -> float:
    # A sample that outgrew its estimate is expected to go on for a part of what it has.
    return max(sample.expected_tokens - sample.tokens_done, RESIDUAL_SHARE * sample.tokens_done)


def _saving(view: RolloutView, sample: SampleView) -> timedelta:
    """Return how much earlier the sample is expected to end elsewhere, or 0 if not worthwhile."""
    if sample.copies >= MAX_COPIES or sample.running < MIN_RUN:
        return ZERO
    left = _remaining_tokens(sample)
    elsewhere = _duration(view, left)
    needed = view.until_pull + view.step_time * (sample.step - view.next_step)
    here = _expected_here(view, sample, left, elsewhere)
    # While it would still be there in time after a later move, its upstream may yet recover.
    if here <= needed or needed > elsewhere + MOVE_MARGIN or here < elsewhere * MOVE_GAIN:
        return ZERO
    return here - elsewhere


def _expected_here(
    view: RolloutView, sample: SampleView, left: float, elsewhere: timedelta
) -> timedelta:
    if sample.since_progress > max(view.first_token * STALL_BOUND, MIN_STALL):
        return elsewhere * MOVE_GAIN + MIN_SAVING + sample.since_progress
    if sample.tokens_per_second <= 0:
        return ZERO
    return timedelta(seconds=left / sample.tokens_per_second)


def _move(sample: SampleView) -> StragglerAction:
    return StragglerAction.RESUME if sample.tokens_done else StragglerAction.HEDGE

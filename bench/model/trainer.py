"""A model of a trainer and of the entry that owns its steps."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random
from statistics import median

import attrs

from cranberryline.decisions import (
    GroupView,
    Priority,
    RolloutPolicy,
    RolloutView,
    SampleView,
    StepView,
    StragglerAction,
    free_slots,
)

from .entry import Call, CallEnd, Entry
from .metrics import Metrics
from .side import Side
from .simulation import Simulation
from .weights import Swapper

__all__ = ["TrainerModel", "TrainerSettings"]

PLAN_TICK = 1.0
PLAN_DELAY = 0.25
SAMPLE_DEADLINE = 900.0
PROMPT_TOKENS = 400
RECENT = 32
SPEED_GUESS = 40.0
# At the start all declared steps come at once, under every policy; that is not what is measured.
WARM_UP = 100.0
FIRST_TOKEN = timedelta(seconds=0.5)
STEPS_DECLARED = 3
RATE_HALF_LIFE = 3.0


@attrs.frozen
class TrainerSettings:
    """A trainer's step: its size, its samples' lengths, and how long it trains."""

    groups: int = 12
    group_size: int = 8
    train_seconds: float = 45.0
    median_tokens: float = 250.0
    group_spread: float = 0.7
    sample_spread: float = 0.45
    estimate_spread: float = 0.3
    max_tokens: int = 4096
    known_lengths: bool = True


@attrs.define(eq=False)
class _Sample:
    """One place in a group."""

    id: str
    step: int
    tokens: int
    expected: int
    prefix: str
    calls: list[Call] = attrs.field(factory=list)
    kept_tokens: int = 0
    version: int | None = None
    started: float | None = None
    seen: tuple[int, float] = (0, 0.0)
    rate: float = 0.0
    done: bool = False
    early: int = 0


@attrs.define(eq=False)
class _Group:
    """A group, with counts that are kept so that a plan need not look at every sample."""

    id: str
    step: int
    expected: int
    samples: list[_Sample]
    waiting: int
    early: int = 0


class TrainerModel:
    """Take steps one after the other, and ask the policy which samples to make."""

    def __init__(
        self,
        sim: Simulation,
        name: str,
        settings: TrainerSettings,
        policy: RolloutPolicy,
        entry: Entry,
        sides: Sequence[Side],
        swapper: Swapper,
        metrics: Metrics,
        seed: str,
    ) -> None:
        self.name = name
        self._sim = sim
        self._cfg = settings
        self._policy = policy
        self._entry = entry
        self._sides = sides
        self._swapper = swapper
        self._metrics = metrics
        self._seed = seed
        self._version = 0
        self._next_step = 0
        self._training_until: float | None = None
        self._idle_since = 0.0
        self._step_time = settings.train_seconds
        self._took = 0.0
        self._steps: dict[int, list[_Group]] = {}
        self._groups: dict[str, _Group] = {}
        self._flying: dict[str, _Sample] = {}
        self._paces: list[float] = []
        self._planned = False
        self._declare()
        sim.after(0.0, self._tick)

    def close(self, now: float) -> None:
        """Count the time since the warm-up, and a wait that is not over."""
        if self._training_until is None:
            self._count_idle(now)
        self._metrics.trainer_seconds += now - WARM_UP

    def _count_idle(self, now: float) -> None:
        self._metrics.idle_seconds += max(0.0, now - max(self._idle_since, WARM_UP))

    def _declare(self) -> None:
        for step in range(self._next_step, self._next_step + STEPS_DECLARED):
            if step not in self._steps:
                groups = [self._make_group(step, i) for i in range(self._cfg.groups)]
                self._steps[step] = groups
                self._groups |= {group.id: group for group in groups}

    def _make_group(self, step: int, index: int) -> _Group:
        cfg, rng = self._cfg, Random(f"{self.name}/{step}/{index}/{self._seed}")
        typical = cfg.median_tokens * rng.lognormvariate(0, cfg.group_spread)
        expected = min(int(typical * rng.lognormvariate(0, cfg.estimate_spread)), cfg.max_tokens)
        if not cfg.known_lengths:
            expected = int(cfg.median_tokens)
        name = f"{self.name}/{step}/{index}"
        samples = []
        for i in range(cfg.group_size):
            tokens = int(typical * rng.lognormvariate(0, cfg.sample_spread))
            tokens = min(max(tokens, 8), cfg.max_tokens)
            samples.append(_Sample(f"{name}/{i}", step, tokens, expected, name))
        return _Group(name, step, expected, samples, len(samples))

    def _tick(self) -> None:
        self._plan()
        self._sim.after(PLAN_TICK, self._tick)

    def _plan_soon(self) -> None:
        if not self._planned:
            self._planned = True
            self._sim.after(PLAN_DELAY, self._plan)

    def _plan(self) -> None:
        self._planned = False
        view = self._view()
        plan = self._policy.plan(view)
        for decision in plan.stragglers:
            self._act(self._flying[decision.sample], decision.action)
        for start in plan.start:
            group = self._groups[start.group]
            early = view.version_at_pull + group.step - view.next_step - start.min_version
            idle = [sample for sample in group.samples if not sample.calls and not sample.done]
            for sample in idle[: start.samples]:
                sample.early = max(0, early)
                self._start(sample, start.min_version)

    def _view(self) -> RolloutView:
        now = self._sim.seconds
        training = self._training_until is not None
        newest = max(side.version.get(self.name, 0) for side in self._sides)
        room = free_slots(self._entry.views(self.name), newest)
        size = self._cfg.groups * self._cfg.group_size
        return RolloutView(
            next_step=self._next_step,
            version_at_pull=self._version + training,
            until_pull=timedelta(seconds=max(0.0, (self._training_until or now) - now)),
            step_time=timedelta(seconds=self._step_time),
            sampler_version=newest,
            free_slots=room,
            sample_tokens_per_second=median(self._paces) if self._paces else SPEED_GUESS,
            time_to_first_token=FIRST_TOKEN,
            steps={
                step: StepView(size, sum(group.early for group in groups))
                for step, groups in self._steps.items()
            },
            waiting=[
                GroupView(group.id, group.step, group.waiting, group.expected)
                for groups in self._steps.values()
                for group in groups
                if group.waiting
            ],
            in_flight=[self._sample_view(sample, newest) for sample in self._flying.values()],
        )

    def _sample_view(self, sample: _Sample, newest: int) -> SampleView:
        now = self._sim.seconds
        made = sample.kept_tokens + max(
            (call.attempt.tokens_made() for call in sample.calls if call.attempt is not None),
            default=0,
        )
        before, since = sample.seen
        if made > before:
            if before > sample.kept_tokens:
                self._note_rate(sample, made - before, now - since)
            sample.seen = (made, now)
        began = sample.started if sample.started is not None else now
        version = sample.version if sample.version is not None else newest
        return SampleView(
            sample.id,
            sample.step,
            version,
            sample.expected,
            made,
            timedelta(seconds=now - began),
            timedelta(seconds=now - max(sample.seen[1], began)),
            sample.rate,
            len(sample.calls),
        )

    def _note_rate(self, sample: _Sample, made: int, seconds: float) -> None:
        kept = 0.5 ** (seconds / RATE_HALF_LIFE)
        now = made / max(seconds, 1e-3)
        sample.rate = now if not sample.rate else kept * sample.rate + (1 - kept) * now

    def _start(
        self, sample: _Sample, min_version: int, exclude: frozenset[str] = frozenset()
    ) -> None:
        if not sample.calls and sample.id not in self._flying:
            self._flying[sample.id] = sample
            group = self._groups[sample.prefix]
            group.waiting -= 1
            group.early += sample.early
        sample.started = self._sim.seconds
        sample.rate = 0.0
        sample.seen = (sample.kept_tokens, self._sim.seconds)
        call = Call(
            caller=self.name,
            priority=Priority.TRAINER,
            prompt_tokens=PROMPT_TOKENS + sample.kept_tokens,
            output_tokens=sample.tokens - sample.kept_tokens,
            expected_tokens=max(sample.expected - sample.kept_tokens, 32),
            prefix=sample.prefix,
            deadline=self._sim.seconds + SAMPLE_DEADLINE,
            ended=lambda call, how: self._ended(sample, call, how),
            started=lambda _call, side: self._began(sample, side),
            excluded=exclude,
            min_version=min_version,
            trainer=self.name,
        )
        sample.calls.append(call)
        self._entry.submit(call)

    def _began(self, sample: _Sample, side: Side) -> None:
        if sample.version is None:
            sample.version = side.version.get(self.name, 0)

    def _act(self, sample: _Sample, action: StragglerAction) -> None:
        self._metrics.actions[action] += 1
        held = [c.attempt.side.name for c in sample.calls if c.attempt and c.attempt.side]
        if action is StragglerAction.HEDGE:
            self._start(sample, 0, frozenset(held))
            return
        made = max((c.attempt.tokens_made() for c in sample.calls if c.attempt), default=0)
        give_up = action is StragglerAction.GIVE_UP
        for call in list(sample.calls):
            sample.calls.remove(call)
            self._entry.cancel(call, CallEnd.LEFT, waste=give_up)
        if give_up:
            self._metrics.tokens_wasted += sample.kept_tokens
            sample.kept_tokens, sample.version = 0, None
            self._land(sample, wait_again=True)
            return
        sample.kept_tokens = min(sample.kept_tokens + made, sample.tokens - 1)
        self._start(sample, 0, frozenset(held))

    def _land(self, sample: _Sample, wait_again: bool) -> None:
        """Count a sample as no longer in flight."""
        if self._flying.pop(sample.id, None) is not None and wait_again:
            group = self._groups[sample.prefix]
            group.waiting += 1
            group.early -= sample.early

    def _ended(self, sample: _Sample, call: Call, how: str) -> None:
        if call not in sample.calls:
            return
        sample.calls.remove(call)
        if how != CallEnd.DONE:
            if not sample.calls:
                sample.version = sample.version if sample.kept_tokens else None
                self._land(sample, wait_again=True)
            return
        sample.done = True
        self._land(sample, wait_again=False)
        for other in list(sample.calls):
            sample.calls.remove(other)
            self._entry.cancel(other, CallEnd.LEFT)
        seconds = self._sim.seconds - (sample.started or 0.0)
        self._paces = [*self._paces[-RECENT:], call.output_tokens / max(seconds, 1e-3)]
        self._take_step()
        self._plan_soon()

    def _take_step(self) -> None:
        if self._training_until is not None:
            return
        samples = [s for group in self._steps[self._next_step] for s in group.samples]
        if not all(sample.done for sample in samples):
            return
        bound = self._policy.settings.staleness_bound
        stale = [s for s in samples if self._version - (s.version or 0) > bound]
        for sample in stale:
            self._metrics.tokens_wasted += sample.tokens
            sample.done, sample.version, sample.kept_tokens = False, None, 0
            self._groups[sample.prefix].waiting += 1
            self._groups[sample.prefix].early -= sample.early
        if stale:
            return
        now = self._sim.seconds
        if now >= WARM_UP:
            self._metrics.staleness += [self._version - (s.version or 0) for s in samples]
            self._metrics.steps += 1
        self._metrics.sample_tokens += sum(s.tokens for s in samples)
        self._count_idle(now)
        if self._took:
            self._step_time = 0.5 * self._step_time + 0.5 * (now - self._took)
        self._took = now
        for group in self._steps.pop(self._next_step):
            del self._groups[group.id]
        self._next_step += 1
        self._declare()
        self._training_until = now + self._cfg.train_seconds
        self._sim.at(self._training_until, self._trained)
        self._plan_soon()

    def _trained(self) -> None:
        self._training_until = None
        self._idle_since = self._sim.seconds
        self._version += 1
        self._swapper.publish(self.name, self._version, self._plan_soon)
        self._take_step()
        self._plan_soon()

"""Compare ways to grant the slots of engines that several gateways share.

Every run is on a virtual clock: the same seed gives the same figures on any machine.
"""

import argparse
import math
from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import timedelta
from random import Random

import attrs

from bench.model.simulation import Simulation
from bench.steps.engines import Engine, Run
from bench.steps.model import Text
from cranberryline.decisions.engine_speeds import EngineSpeeds
from cranberryline.decisions.slot_allocation import (
    ArrivalOrder,
    DemandOrder,
    ShareOrder,
    SlackOrder,
    SlotAllocator,
)
from cranberryline.decisions.slot_model import EngineState, RunningText, TextDemand

__all__ = ["LOADS", "WAYS", "Figures", "SlotLoad", "main", "play"]

PACES = (0.031, 0.052, 0.082)
SLOTS = 8
MAX_QUEUED = 2
MEDIAN_EVENTS, SPREAD, MAX_EVENTS = 13, 0.93, 135
MEAN_EVENTS = 19.5
GROUP_SIZES = (8, 16, 16)
RETRY_SECONDS, TICK_SECONDS = 0.1, 0.02
TYPICAL_RATE = 20.0

WAYS: Mapping[str, DemandOrder | None] = {
    "alone": None,
    "arrival": ArrivalOrder(),
    "slack": SlackOrder(),
    "share": ShareOrder(),
}


@attrs.frozen
class SlotLoad:
    """Three trainers that ask for `load` times what the engines make; times in seconds.

    A trainer's next step starts `period` after the last one, or when that is complete. From
    `disturbed` on, for `lasts`, the first trainer's steps are `burst` times as large, and a share
    of `lost` of the engines is gone.
    """

    name: str
    load: float = 0.8
    burst: float = 1.0
    lost: float = 0.0
    engines: int = 6
    gateways: int = 4
    period: float = 6.0
    disturbed: float = 20.0
    lasts: float = 8.0
    seconds: float = 70.0

    @property
    def restored(self) -> float:
        """Return when the disturbance ends."""
        return self.disturbed + self.lasts


LOADS = (
    SlotLoad("load 0.8"),
    SlotLoad("load 1.2", load=1.2),
    SlotLoad("load 2.0", load=2.0),
    SlotLoad("burst", burst=4.0),
    SlotLoad("loss", lost=1 / 3),
)


@attrs.define(eq=False)
class Job:
    """A step of a trainer."""

    trainer: str
    start: float
    left: int = 0
    end: float = math.inf


@attrs.define(eq=False)
class Item(Text):
    """A text of a job, the texts of its group, and the engine that it was sent to."""

    job: Job = attrs.field(kw_only=True)
    members: list["Item"] = attrs.field(kw_only=True)
    gateway: int = attrs.field(kw_only=True)
    engine: str = ""
    run: Run | None = None
    delayed: bool = False

    @property
    def events_left(self) -> float:
        """Return the events that are expected."""
        return 0.0 if self.made >= self.length else max(self.told - self.made, 1.0)


@attrs.frozen
class Figures:
    """What callers get, in seconds, and the share of texts that an engine queued or rejected.

    `late` is the mean lateness of the trainer that is worst off; one that bursts does not count.
    """

    late: float
    step: float
    delayed: float
    normal_after: float


class _Play:
    """One run; `allocator` is None if each gateway chooses by itself."""

    def __init__(self, load: SlotLoad, order: DemandOrder | None, seed: int) -> None:
        self.load, self.jobs, self.items = load, list[Job](), list[Item]()
        self._allocator = SlotAllocator(order) if order else None
        self._sim, self._speeds = Simulation(), EngineSpeeds()
        self._rng = Random(f"{seed} gateways")
        self._engines = {
            f"e{n}": Engine(f"e{n}", PACES[n % len(PACES)], SLOTS, self._sim)
            for n in range(load.engines)
        }
        self._up = list(self._engines)
        self._waiting: dict[int, Item] = {}
        self._sent: dict[int, Item] = {}
        self._own: Counter[tuple[int, str]] = Counter()
        self._count: Counter[str] = Counter()
        for number, size in enumerate(GROUP_SIZES):
            rng = Random(f"{seed} {number}")
            self._sim.at(number * load.period / len(GROUP_SIZES), self._submit, number, size, rng)
        if load.lost:
            self._sim.at(load.disturbed, self._lose)
            self._sim.at(load.restored, self._restore)
        if self._allocator:
            self._sim.at(0, self._tick)
        self._sim.run(load.seconds)

    def _submit(self, trainer: int, size: int, rng: Random) -> None:
        load, now = self.load, self._sim.seconds
        room = SLOTS * sum(1 / PACES[n % len(PACES)] for n in range(load.engines))
        texts = load.load * room * load.period / MEAN_EVENTS / len(GROUP_SIZES)
        if trainer == 0 and load.disturbed <= now < load.restored:
            texts *= load.burst
        job = Job(f"t{trainer}", now)
        self.jobs.append(job)
        for group in range(round(texts / size)):
            members: list[Item] = []
            for _ in range(size):
                length = _length(rng)
                told = length * 2 ** rng.uniform(-1, 1) if rng.random() < 1 / 3 else length
                gateway = self._rng.randrange(load.gateways)
                members.append(
                    Item(group, length, round(told), job=job, members=members, gateway=gateway)
                )
            job.left += size
            self.items += members
        self._sim.at(now + load.period, self._next, job, trainer, size, rng)
        for item in self.items[-job.left :]:
            self._send(item)

    def _next(self, job: Job, trainer: int, size: int, rng: Random) -> None:
        if job.left:
            self._sim.after(TICK_SECONDS, self._next, job, trainer, size, rng)
        else:
            self._submit(trainer, size, rng)

    def _send(self, item: Item) -> None:
        if self._allocator:
            self._waiting[id(item)] = item
            return
        drawn = self._rng.sample(self._up, min(4, len(self._up)))
        name = min(drawn, key=lambda name: self._expected(item, name))
        if self._count[name] >= SLOTS + MAX_QUEUED:
            item.delayed = True
            self._sim.after(RETRY_SECONDS, self._send, item)
        else:
            self._start(item, name)

    def _expected(self, item: Item, name: str) -> float:
        rate = self._speeds.events_per_second(name, self._sim.now) or TYPICAL_RATE
        return item.events_left / rate * max(1, (self._own[item.gateway, name] + 1) / SLOTS)

    def _start(self, item: Item, name: str) -> None:
        item.engine = name
        item.delayed |= self._count[name] >= SLOTS
        self._count[name] += 1
        self._own[item.gateway, name] += 1
        self._sent[id(item)] = item
        before = item.made
        item.run = self._engines[name].start(item, lambda: self._ended(item, before))

    def _leave(self, item: Item) -> None:
        self._count[item.engine] -= 1
        self._own[item.gateway, item.engine] -= 1
        del self._sent[id(item)]

    def _ended(self, item: Item, before: float) -> None:
        now, job = self._sim.seconds, item.job
        self._leave(item)
        rate = (item.length - before) / max(now - item.run.began, 0.001)
        self._speeds.record(item.engine, rate * self._rng.uniform(0.9, 1.1), self._sim.now)
        job.left -= 1
        if not job.left:
            job.end = now

    def _lose(self) -> None:
        gone = self._up[: round(len(self._up) * self.load.lost)]
        self._up = [name for name in self._up if name not in gone]
        for item in [item for item in self._sent.values() if item.engine in gone]:
            self._engines[item.engine].stop(item.run)
            self._leave(item)
            self._send(item)

    def _restore(self) -> None:
        self._up = list(self._engines)

    def _tick(self) -> None:
        self._sim.after(TICK_SECONDS, self._tick)
        if not self._waiting or all(self._count[name] >= SLOTS for name in self._up):
            return
        now = self._sim.now
        for item in self._sent.values():
            self._engines[item.engine].settle(item.run)
        groups = {id(item.members): item.members for item in self._waiting.values()}
        longest = {key: max(item.events_left for item in own) for key, own in groups.items()}
        demands = [
            self._demand(key, item, longest[id(item.members)])
            for key, item in self._waiting.items()
        ]
        running = [
            RunningText(key, item.job.trainer, item.engine, now, now, 0, 0)
            for key, item in self._sent.items()
        ]
        for placement in self._allocator.place(demands, running, self._states(), now):
            self._start(self._waiting.pop(placement.key), placement.engine)

    def _states(self) -> list[EngineState]:
        now = self._sim.now
        return [
            EngineState(
                name,
                SLOTS,
                SLOTS - self._count[name],
                {},
                self._speeds.events_per_second(name, now),
            )
            for name in self._up
        ]

    def _demand(self, key: int, item: Item, longest: float) -> TextDemand:
        start = timedelta(seconds=item.job.start)
        due = start + timedelta(seconds=self.load.period)
        return TextDemand(key, item.job.trainer, due, start, item.events_left, longest)


def _length(rng: Random) -> int:
    drawn = MEDIAN_EVENTS * math.exp(rng.gauss(0, SPREAD))
    return max(1, min(round(drawn), MAX_EVENTS))


def play(load: SlotLoad, order: DemandOrder | None, seed: int) -> Figures:
    """Play a load once; a step that is not complete at the end counts if it is late by then."""
    done = _Play(load, order, seed)
    steps: dict[str, list[tuple[float, float]]] = {}
    for job in done.jobs:
        spent = min(job.end, load.seconds) - job.start
        if not job.left or spent > load.period:
            steps.setdefault(job.trainer, []).append((job.start, spent))
    late = {
        name: _mean([max(0.0, spent - load.period) for _, spent in own])
        for name, own in steps.items()
        if name != "t0" or load.burst == 1.0
    }
    return Figures(
        max(late.values()),
        _mean([spent for own in steps.values() for _, spent in own]),
        _mean([float(item.delayed) for item in done.items]),
        max(_normal_after(own, load) for own in steps.values()),
    )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _normal_after(steps: Sequence[tuple[float, float]], load: SlotLoad) -> float:
    """Return when a step starts that takes no longer than those before the disturbance."""
    before = (spent for start, spent in steps if start + spent <= load.disturbed)
    longest = max(before, default=0.0)
    starts = (
        start
        for start, spent in steps
        if start + spent > load.restored and spent <= max(longest, load.period)
    )
    return max(0.0, next(starts, load.seconds) - load.restored)


def main(argv: list[str]) -> int:
    """Print what callers get for each load and way, the mean over seeds."""
    parser = argparse.ArgumentParser(prog="script/bench slots", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args(argv)
    print(f"{'load':10}{'way':10}{'late s':>8}{'step s':>8}{'delayed':>9}{'normal s':>10}")
    for load in LOADS:
        for name, order in WAYS.items():
            rows = [attrs.astuple(play(load, order, seed)) for seed in range(1, args.seeds + 1)]
            late, step, delayed, normal = (_mean(values) for values in zip(*rows, strict=True))
            shown = f"{normal:10.2f}" if load.burst > 1 or load.lost else f"{'-':>10}"
            print(f"{load.name:10}{name:10}{late:8.2f}{step:8.2f}{delayed:9.3f}{shown}", flush=True)
    return 0

"""One run of the model: a deployment, a load, and the decisions in force."""

from collections.abc import Callable
from random import Random

import attrs

from cranberryline.decisions import (
    AdmissionPolicy,
    Priority,
    RetryPolicy,
    RolloutPolicy,
    RolloutSettings,
    RoutingPolicy,
    SwapSettings,
    WorkQueue,
)

from .engine import Engine
from .entry import Call, Entry
from .loads import CallerSettings, Deployment, Fault, Load
from .metrics import Metrics
from .side import Side
from .simulation import Simulation
from .trainer import TrainerModel
from .weights import Swapper, WeightStore

__all__ = ["Decisions", "run"]

SLOW_SPEED = 0.1
STALL_SPEED = 0.03
STALL_SECONDS = (15.0, 40.0)
LONG_TOKENS = 2500
LONG_DEADLINE = 180.0
HEAVY_CALLER = "applications-0"


@attrs.frozen
class Decisions:
    """The decisions that are in force in one run."""

    admission: AdmissionPolicy = AdmissionPolicy()
    queue: Callable[[int], WorkQueue] = WorkQueue
    routing: RoutingPolicy = RoutingPolicy()
    retry: RetryPolicy = RetryPolicy()
    rollout: type[RolloutPolicy] = RolloutPolicy
    freshness: float | None = None
    paced_swaps: bool = True


def run(deployment: Deployment, load: Load, decisions: Decisions, seed: int) -> Metrics:
    """Play a load and return what was measured."""
    sim = Simulation()
    metrics = Metrics()
    sides = _sides(sim, deployment, decisions, seed)
    entries = [
        Entry(sim, sides, decisions.routing, decisions.retry, metrics, Random(f"{seed}/entry/{i}"))
        for i in range(deployment.entries)
    ]
    swapper = Swapper(
        sim,
        sides,
        WeightStore(deployment.store_rate),
        SwapSettings(store_rate=deployment.store_rate),
        decisions.paced_swaps,
        metrics,
        Random(f"{seed}/swaps"),
    )
    trainers = [
        TrainerModel(
            sim,
            f"trainer-{i}",
            load.trainer,
            _rollout(deployment, decisions),
            entries[i % len(entries)],
            sides,
            swapper,
            metrics,
            f"{seed}/{load.name}",
        )
        for i in range(load.trainers)
    ]
    _Callers(sim, entries, load, deployment.engines, seed).start()
    _plan_faults(sim, sides, load, seed)
    sim.run(load.seconds)
    for trainer in trainers:
        trainer.close(load.seconds)
    return metrics


def _rollout(deployment: Deployment, decisions: Decisions) -> RolloutPolicy:
    freshness = deployment.freshness if decisions.freshness is None else decisions.freshness
    return decisions.rollout(RolloutSettings(freshness, deployment.staleness_bound))


def _sides(sim: Simulation, deployment: Deployment, decisions: Decisions, seed: int) -> list[Side]:
    return [
        Side(
            sim,
            f"sampler-{i}",
            Engine(sim, deployment.engine),
            decisions.admission,
            decisions.queue(deployment.engine.slots),
            Random(f"{seed}/side/{i}"),
        )
        for i in range(deployment.engines)
    ]


class _Callers:
    """Open-loop arrivals of application and background calls."""

    def __init__(
        self, sim: Simulation, entries: list[Entry], load: Load, engines: int, seed: int
    ) -> None:
        self._sim = sim
        self._entries = entries
        self._load = load
        self._engines = engines
        self._rng = Random(f"{seed}/{load.name}/callers")

    def start(self) -> None:
        """Plan all arrivals."""
        load = self._load
        self._plan("applications", Priority.APPLICATION, load.applications)
        self._plan("background", Priority.BACKGROUND, load.background)
        if load.long_calls:
            settings = CallerSettings(load.long_calls, 2, 600, LONG_TOKENS, 0.2, LONG_DEADLINE)
            self._plan("long", Priority.APPLICATION, settings)

    def _plan(self, name: str, priority: Priority, settings: CallerSettings) -> None:
        for i in range(settings.callers):
            caller = f"{name}-{i}"
            rate = settings.rate * self._engines / settings.callers
            window = self._load.window
            now = 0.0
            while now < self._load.seconds:
                factor = 1.0
                if name == "applications" and window.covers(now):
                    factor = self._load.heavy if caller == HEAVY_CALLER else 1.0
                    factor *= self._load.burst
                now += self._rng.expovariate(rate * factor)
                self._sim.at(now, self._submit, caller, priority, settings, self._draw(settings))

    def _draw(self, settings: CallerSettings) -> tuple[int, int, int, int]:
        tokens = max(4, int(settings.median_tokens * self._rng.lognormvariate(0, settings.spread)))
        expected = max(4, int(tokens * self._rng.lognormvariate(0, 0.3)))
        prefix = self._rng.randrange(settings.prefixes) if settings.prefixes else 0
        return tokens, expected, self._rng.randrange(len(self._entries)), prefix

    def _submit(
        self,
        caller: str,
        priority: Priority,
        settings: CallerSettings,
        drawn: tuple[int, int, int, int],
    ) -> None:
        tokens, expected, entry, prefix = drawn
        call = Call(
            caller=caller,
            priority=priority,
            prompt_tokens=settings.prompt_tokens,
            output_tokens=tokens,
            expected_tokens=expected,
            prefix=f"prefix-{prefix}" if settings.prefixes else caller,
            deadline=self._sim.seconds + settings.deadline,
            ended=lambda _call, _how: None,
        )
        self._entries[entry].submit(call)


def _plan_faults(sim: Simulation, sides: list[Side], load: Load, seed: int) -> None:
    window = load.window
    if load.fault is Fault.SLOW:
        sim.at(window.start, sides[0].engine.set_speed, SLOW_SPEED)
        sim.at(window.end, sides[0].engine.set_speed, 1.0)
    if load.fault is Fault.OUTAGE:
        for side in sides:
            sim.at(window.start, _set_failing, side, True)
            sim.at(window.end, _set_failing, side, False)
    if load.fault is Fault.STALLS:
        _plan_stalls(sim, sides, load, Random(f"{seed}/stalls"))


def _set_failing(side: Side, failing: bool) -> None:
    side.engine.failing = failing
    if failing:
        side.fail_all()


def _plan_stalls(sim: Simulation, sides: list[Side], load: Load, rng: Random) -> None:
    for side in sides:
        now = rng.expovariate(1 / load.stall_every)
        while now < load.seconds:
            length = rng.uniform(*STALL_SECONDS)
            sim.at(now, side.engine.set_speed, STALL_SPEED)
            sim.at(now + length, side.engine.set_speed, 1.0)
            now += length + rng.expovariate(1 / load.stall_every)

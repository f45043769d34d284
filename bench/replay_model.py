"""Play a load of the replay in the queueing model, with engines that step as the stand-in does."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import attrs

from cranberryline.decisions import (
    AdmissionLimits,
    AdmissionPolicy,
    Priority,
    RetryPolicy,
    RoutingPolicy,
    WorkQueue,
)
from cranberryline.decisions.const import DEFAULT_QUEUE_SECONDS

from .model.baselines import AdmitAll, FifoQueue, NoRetry, RoundRobin
from .model.engine import Engine, EngineSettings
from .model.entry import Call, CallEnd, Entry
from .model.metrics import CallRecord, Metrics
from .model.side import Side
from .model.simulation import Simulation
from .replay_load import ENGINES, ENTRIES, QUEUE_SECONDS, Arrival, EngineShape, Load
from .replay_report import Outcome

__all__ = ["BARE", "POLICY", "Rules", "play_model"]

PROMPT_TOKENS = 10
DRAIN_SECONDS = 20.0
WATCH_SECONDS = 0.1


@attrs.frozen
class Rules:
    """The decisions in force."""

    admission: AdmissionPolicy
    queue: Callable[[int], WorkQueue]
    routing: Callable[[], RoutingPolicy]
    retry: RetryPolicy


WAITS = {**DEFAULT_QUEUE_SECONDS, Priority.APPLICATION: timedelta(seconds=QUEUE_SECONDS)}
POLICY = Rules(
    AdmissionPolicy(AdmissionLimits(queue_seconds=WAITS)), WorkQueue, RoutingPolicy, RetryPolicy()
)
BARE = Rules(AdmitAll(), FifoQueue, RoundRobin, NoRetry())


@attrs.frozen
class ModelRun:
    """How each call ended, and what was counted meanwhile."""

    calls: list[Outcome]
    attempts: int
    details: dict[str, object]


class _SteppedEngine(Engine):
    """An engine whose step grows with its batch."""

    def __init__(self, sim: Simulation, shape: EngineShape) -> None:
        super().__init__(sim, EngineSettings(slots=shape.slots))
        self._shape = shape

    def _rate(self) -> float:
        return self._shape.rate(self.running) if self.running else 0.0


def play_model(load: Load, seed: int, rules: Rules, arrivals: list[Arrival]) -> ModelRun:
    """Return how each call ended."""
    sim, metrics = Simulation(), Metrics()
    sides = [
        Side(
            sim,
            f"engine-{i}",
            _SteppedEngine(sim, load.engine),
            rules.admission,
            rules.queue(load.engine.slots),
            Random(f"{seed}/side/{i}"),
        )
        for i in range(ENGINES)
    ]
    entries = [
        Entry(sim, sides, rules.routing(), rules.retry, metrics, Random(f"{seed}/entry/{i}"))
        for i in range(ENTRIES)
    ]
    for arrival in arrivals:
        sim.at(arrival.at, _submit, entries[arrival.entry], arrival)
    seen: list[float] = []
    at = load.window.start
    while at < load.window.end:
        sim.at(at, lambda: seen.append(sum(side.engine.running for side in sides)))
        at += WATCH_SECONDS
    sim.run(load.seconds + DRAIN_SECONDS)
    calls = [_outcome(record) for record in metrics.calls]
    busy = sum(seen) / len(seen) / (ENGINES * load.engine.slots)
    return ModelRun(calls, len(metrics.attempts), {"slots_busy_in_window": round(busy, 3)})


def _submit(entry: Entry, arrival: Arrival) -> None:
    call = Call(
        caller=arrival.caller,
        priority=arrival.priority,
        prompt_tokens=PROMPT_TOKENS,
        output_tokens=arrival.tokens,
        expected_tokens=arrival.tokens,
        prefix=arrival.id,
        deadline=arrival.at + arrival.deadline,
        ended=lambda _call, _how: None,
    )
    entry.submit(call)


def _outcome(record: CallRecord) -> Outcome:
    reason = ""
    if record.how != CallEnd.DONE:
        reason = str(record.reason) if record.how == CallEnd.REFUSED else f"caller_{record.how}"
    return Outcome(
        record.caller, record.priority, record.arrived, record.latency, reason, record.tokens
    )

"""The trainers' and callers' own books, kept without the product's counters."""

from collections import Counter

import attrs

from .launcher import Deployment
from .scorer import score_of
from .text import TextError, check_text

__all__ = [
    "CallBook",
    "CallFault",
    "Received",
    "Told",
    "TrainerBook",
    "audit_calls",
    "audit_samples",
    "call_faults",
]


@attrs.frozen
class Received:
    """A sample that a trainer took, and the trainer's version when it did."""

    step: int
    group: int
    index: int
    prompt: str
    text: str
    segments: tuple[tuple[int | None, int], ...]
    score: float | None
    trainer_version: int

    @property
    def staleness(self) -> int:
        """Return how many versions the oldest token was behind the trainer."""
        versions = [version for version, _ in self.segments if version is not None]
        return max(0, self.trainer_version - min(versions, default=0))


@attrs.define
class TrainerBook:
    """What one trainer received, and what it should have."""

    trainer: str
    bound: int
    received: list[Received] = attrs.field(factory=list)
    wanted: Counter[tuple[int, int, int]] = attrs.field(factory=Counter)
    refusals: Counter[str] = attrs.field(factory=Counter)
    dropped_batches: int = 0
    announced: int = 0
    steps: int = 0
    stalled_steps: int = 0
    idle_s: float = 0.0
    total_s: float = 0.0

    @property
    def duplicates(self) -> int:
        """Count samples taken more than once."""
        return len(self.received) - len(self._identities())

    @property
    def lost(self) -> int:
        """Count samples that never came: of steps said to be done, and of stalled ones."""
        return len(set(self.wanted) - self._identities())

    @property
    def over_bound(self) -> int:
        """Count samples staler than the bound at receipt."""
        return sum(sample.staleness > self.bound for sample in self.received)

    @property
    def mean_staleness(self) -> float:
        """Return the mean staleness at receipt."""
        return sum(s.staleness for s in self.received) / max(1, len(self.received))

    @property
    def idle_share(self) -> float:
        """Return the share of the time spent waiting for samples."""
        return self.idle_s / self.total_s if self.total_s else 0.0

    def _identities(self) -> set[tuple[int, int, int]]:
        return {(s.step, s.group, s.index) for s in self.received}


@attrs.frozen
class Told:
    """What the caller of a refused or failed call was told."""

    ran: str
    reason: str


@attrs.define
class CallBook:
    """What one caller sent, and what came of it; a call's id is `LOGICAL/ATTEMPT`."""

    caller: str
    ok: Counter[str] = attrs.field(factory=Counter)
    wrong: list[str] = attrs.field(factory=list)
    refusals: Counter[str] = attrs.field(factory=Counter)
    told: dict[str, Told] = attrs.field(factory=dict)
    once: set[str] = attrs.field(factory=set)
    latencies: dict[str, list[float]] = attrs.field(factory=dict)


def audit_samples(deployment: Deployment, book: TrainerBook) -> dict[str, int]:
    """Compare each sample with the engines' own journals."""
    runs = _engine_runs(deployment)
    faults: Counter[str] = Counter(wrong_version=0, wrong_text=0, wrong_score=0)
    for sample in book.received:
        try:
            run = check_text(sample.prompt, sample.text)
        except TextError:
            faults["wrong_text"] += 1
            continue
        truth = runs.get(run)
        faults["wrong_version"] += truth is None or truth != sample.segments
        faults["wrong_score"] += sample.score != score_of(sample.text)
    return dict(faults)


def _engine_runs(deployment: Deployment) -> dict[str, tuple[tuple[int | None, int], ...]]:
    """Return each finished run's segments, by the run's name."""
    runs = {}
    for service in deployment.plan.services:
        if service.type != "engine":
            continue
        for name in deployment.upstreams(service.name):
            for row in deployment.journal(name):
                segments = [(seg["weight_version"], seg["tokens"]) for seg in row["segments"]]
                runs[row["run"]] = tuple(segments)
    return runs


@attrs.frozen
class CallFault:
    """A call about which its caller was told something untrue, or which ran twice."""

    kind: str
    call: str
    told: Told | None = None


def call_faults(deployment: Deployment, book: CallBook) -> list[CallFault]:
    """Compare what a caller was told with the plain services' own journals."""
    attempts: Counter[str] = Counter()
    for service in deployment.plan.services:
        for name in deployment.upstreams(service.name):
            if service.type != "engine":
                attempts.update(row["call"] for row in deployment.journal(name))
    logical: Counter[str] = Counter()
    for attempt, count in attempts.items():
        logical[attempt.split("/")[0]] += count
    faults = [CallFault("double_runs", call) for call in book.once if logical[call] > 1]
    for attempt, told in book.told.items():
        if told.ran == "no" and attempts[attempt]:
            faults.append(CallFault("ran_though_refused", attempt, told))
        # A completion's id is no attempt, and engines are audited by their texts.
        if told.ran == "yes" and "/" in attempt and not logical[attempt.split("/")[0]]:
            faults.append(CallFault("not_run_though_told", attempt, told))
    return faults


def audit_calls(deployment: Deployment, book: CallBook) -> dict[str, int]:
    """Count the faults of a caller's calls by kind."""
    kinds = ("double_runs", "ran_though_refused", "not_run_though_told")
    found = Counter(fault.kind for fault in call_faults(deployment, book))
    return {kind: found[kind] for kind in kinds}

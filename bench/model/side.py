"""A model of a side process: admission, queue, and the meters of its engine."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import attrs

from cranberryline.decisions import (
    AdmissionPolicy,
    AdmissionRequest,
    AdmissionView,
    Priority,
    RateMeter,
    RefusalReason,
    Refuse,
    WorkItem,
    WorkQueue,
)

from .engine import Engine, Job
from .simulation import Event, Simulation

__all__ = ["Attempt", "Side", "SideReport"]

TICK = 0.5
FAILURE_SECONDS = 0.05
MAX_SERVICE = 1e6


@attrs.define(eq=False)
class Attempt:
    """One sending of a request to one side process."""

    id: int
    caller: str
    priority: Priority
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    prefix: str
    deadline: float
    done: Callable[["Attempt"], None]
    failed: Callable[["Attempt"], None]
    refused: Callable[["Attempt", RefusalReason, timedelta | None], None]
    started: Callable[["Attempt"], None] | None = None
    job: Job | None = None
    side: "Side | None" = None
    started_at: float | None = None

    @property
    def tokens(self) -> int:
        """Return the expected work."""
        return self.prompt_tokens // 20 + self.expected_tokens

    def tokens_made(self) -> int:
        """Return the output tokens so far."""
        if self.job is None or self.side is None:
            return 0
        return self.side.engine.tokens_made(self.job)


@attrs.frozen
class SideReport:
    """What a side process last told of itself."""

    at: float = -1e9
    outstanding_requests: int = 0
    outstanding_tokens: int = 0
    tokens_per_second: float = 0.0


class Side:
    """Admit, queue, run."""

    def __init__(
        self,
        sim: Simulation,
        name: str,
        engine: Engine,
        admission: AdmissionPolicy,
        queue: WorkQueue,
        rng: Random,
    ) -> None:
        self.name = name
        self.engine = engine
        self.queue = queue
        self.report = SideReport()
        self.version: dict[str, int] = {}
        self._sim = sim
        self._admission = admission
        self._rng = rng
        self._attempts: dict[int, Attempt] = {}
        self._pace = RateMeter()
        self._capacity = RateMeter()
        self._seen = (0.0, 0.0)
        self._expiry: Event | None = None
        sim.after(TICK, self._tick)

    def submit(self, attempt: Attempt) -> None:
        """Take an attempt, or refuse it."""
        attempt.side = self
        if self.engine.failing:
            self._sim.after(FAILURE_SECONDS, attempt.failed, attempt)
            return
        remaining = timedelta(seconds=attempt.deadline - self._sim.seconds)
        pace = self._pace.tokens_per_second(self._sim.now)
        service = attempt.expected_tokens / pace if pace else 0.0
        service_time = timedelta(seconds=min(service, MAX_SERVICE))
        req = AdmissionRequest(
            attempt.caller, attempt.priority, attempt.tokens, remaining, service_time
        )
        verdict = self._admission.decide(self.view(), req, self._rng)
        if isinstance(verdict, Refuse):
            attempt.refused(attempt, verdict.reason, verdict.retry_after)
            return
        start_by = self._sim.now + verdict.start_within
        item = WorkItem(
            attempt.id, attempt.caller, attempt.priority, attempt.tokens, self._sim.now, start_by
        )
        self._attempts[attempt.id] = attempt
        self.queue.push(item)
        self._pump()

    def cancel(self, attempt: Attempt) -> None:
        """Let go of an attempt, waiting or running."""
        if self._attempts.pop(attempt.id, None) is None:
            return
        if self.queue.cancel(attempt.id) is None and attempt.job is not None:
            self.engine.cancel(attempt.job)
            self.queue.finish(attempt.id)
        self._pump()

    def fail_all(self) -> None:
        """Fail everything that runs, as when the engine crashes."""
        for item in list(self.queue.running):
            attempt = self._attempts.pop(item.id)
            if attempt.job is not None:
                self.engine.cancel(attempt.job)
            self.queue.finish(item.id)
            self._sim.after(0.0, attempt.failed, attempt)

    def view(self) -> AdmissionView:
        """Return what admission needs."""
        capacity = self._capacity.tokens_per_second(self._sim.now)
        capacity = capacity or self._pace.tokens_per_second(self._sim.now) * self.queue.slots
        return AdmissionView(self.queue.queued, self.queue.running, self.queue.slots, capacity)

    def _pump(self) -> None:
        for item in self.queue.expire(self._sim.now):
            attempt = self._attempts.pop(item.id)
            attempt.refused(attempt, RefusalReason.EXPIRED, timedelta(seconds=1))
        while (item := self.queue.pop(self._sim.now)) is not None:
            self._start(self._attempts[item.id])
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        due = self.queue.next_expiry()
        if due is not None and due < timedelta(days=1):
            self._expiry = self._sim.at(due.total_seconds() + 1e-3, self._pump)

    def _start(self, attempt: Attempt) -> None:
        if self.engine.failing:
            self._attempts.pop(attempt.id, None)
            self.queue.finish(attempt.id)
            self._sim.after(FAILURE_SECONDS, attempt.failed, attempt)
            return
        attempt.started_at = self._sim.seconds
        attempt.job = Job(
            attempt.prompt_tokens,
            attempt.output_tokens,
            attempt.prefix,
            lambda _job: self._done(attempt),
        )
        self.engine.start(attempt.job)
        if attempt.started is not None:
            attempt.started(attempt)

    def _done(self, attempt: Attempt) -> None:
        self._attempts.pop(attempt.id, None)
        self.queue.finish(attempt.id)
        attempt.done(attempt)
        self._pump()

    def _tick(self) -> None:
        work, seconds = self.engine.measure()
        made, spent = work - self._seen[0], seconds - self._seen[1]
        self._seen = (work, seconds)
        now = self._sim.now
        self._pace.record(made, timedelta(seconds=spent), now)
        if len(self.queue.running) >= self.queue.slots:
            self._capacity.record(made, timedelta(seconds=TICK), now)
        for item in self.queue.running:
            attempt = self._attempts[item.id]
            self.queue.running.set_done(item.id, attempt.tokens_made())
        self.report = SideReport(
            self._sim.seconds,
            len(self.queue.queued) + len(self.queue.running),
            self.queue.queued.tokens + self.queue.running.tokens,
            self._pace.tokens_per_second(now),
        )
        self._sim.after(TICK, self._tick)

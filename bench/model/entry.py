"""A model of an entry: routing, retry and health, with its own counts of what is outstanding."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from itertools import count
from random import Random

import attrs

from cranberryline.decisions import (
    AttemptOutcome,
    GiveUp,
    HealthPolicy,
    HealthState,
    Priority,
    RefusalReason,
    RetryBudget,
    RetryPolicy,
    RetryRequest,
    RouteRequest,
    RoutingPolicy,
    UpstreamView,
)

from .metrics import CallRecord, Metrics
from .side import Attempt, Side
from .simulation import Event, Simulation

__all__ = ["Call", "CallEnd", "Entry"]

attempt_ids = count()


class CallEnd:
    """How a call ended."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


@attrs.define(eq=False)
class Call:
    """A request of a caller, over all its attempts."""

    caller: str
    priority: Priority
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    prefix: str
    deadline: float
    ended: Callable[["Call", str], None]
    started: Callable[["Call", Side], None] | None = None
    excluded: frozenset[str] = frozenset()
    min_version: int | None = None
    trainer: str = ""
    arrived: float = 0.0
    attempts: int = 0
    attempt: Attempt | None = None
    over: bool = False
    refused_reason: str = ""
    leave: Event | None = None


class Entry:
    """Send calls to side processes."""

    def __init__(
        self,
        sim: Simulation,
        sides: Sequence[Side],
        routing: RoutingPolicy,
        retry: RetryPolicy,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._sim = sim
        self._sides = {side.name: side for side in sides}
        self._routing = routing
        self._retry = retry
        self._metrics = metrics
        self._rng = rng
        self._budget = RetryBudget()
        self._health = HealthPolicy()
        self._states = {side.name: HealthState() for side in sides}
        self._own_tokens = {side.name: 0 for side in sides}
        self._own_requests = {side.name: 0 for side in sides}

    def submit(self, call: Call) -> None:
        """Take a call."""
        call.arrived = self._sim.seconds
        self._metrics.requests.append(self._sim.seconds)
        call.leave = self._sim.at(call.deadline, self.cancel, call, CallEnd.LEFT)
        self._send(call, call.excluded)

    def cancel(self, call: Call, how: str, waste: bool = True) -> None:
        """End a call whose caller has left; without `waste` its tokens are of use."""
        if call.over:
            return
        attempt = call.attempt
        if attempt is not None:
            self._metrics.tokens_wasted += attempt.tokens_made() if waste else 0
            if attempt.side is not None:
                attempt.side.cancel(attempt)
            self._let_go(call)
        self._end(call, how)

    def views(self, trainer: str) -> list[UpstreamView]:
        """Return the upstreams as this entry sees them."""
        now = self._sim.now
        return [
            UpstreamView(
                id=name,
                slots=side.queue.slots,
                own_requests=self._own_requests[name],
                own_tokens=self._own_tokens[name],
                reported_requests=side.report.outstanding_requests,
                reported_tokens=side.report.outstanding_tokens,
                report_age=now - timedelta(seconds=max(side.report.at, 0.0)),
                tokens_per_second=side.report.tokens_per_second,
                weight_version=side.version.get(trainer, 0),
                health=self._health.view(self._states[name], now),
            )
            for name, side in self._sides.items()
        ]

    def _send(self, call: Call, excluded: frozenset[str]) -> None:
        if call.over:
            return
        req = RouteRequest(
            tokens=call.prompt_tokens // 20 + call.expected_tokens,
            priority=call.priority,
            prefix_key=call.prefix,
            prefix_tokens=call.prompt_tokens // 20,
            min_weight_version=call.min_version,
            excluded=excluded,
        )
        name = self._routing.choose(self.views(call.trainer), req, self._rng)
        if name is None:
            call.refused_reason = RefusalReason.NO_UPSTREAM
            self._end(call, CallEnd.REFUSED)
            return
        call.attempts += 1
        self._metrics.attempts.append(self._sim.seconds)
        state = self._states[name]
        if self._health.view(state, self._sim.now).probe_due:
            self._states[name] = self._health.probed(state, self._sim.now)
        call.attempt = attempt = Attempt(
            next(attempt_ids),
            call.caller,
            call.priority,
            call.prompt_tokens,
            call.output_tokens,
            call.expected_tokens,
            call.prefix,
            call.deadline,
            done=lambda _attempt: self._done(call),
            failed=lambda _attempt: self._failed(call),
            refused=lambda _attempt, reason, after: self._refused(call, reason, after),
            started=lambda attempt: self._started(call, attempt),
        )
        attempt.side = self._sides[name]
        self._own_tokens[name] += attempt.tokens
        self._own_requests[name] += 1
        self._sides[name].submit(attempt)

    def _started(self, call: Call, attempt: Attempt) -> None:
        if call.started is not None and attempt.side is not None:
            call.started(call, attempt.side)

    def _let_go(self, call: Call) -> str:
        attempt = call.attempt
        assert attempt is not None and attempt.side is not None
        call.attempt = None
        self._own_tokens[attempt.side.name] -= attempt.tokens
        self._own_requests[attempt.side.name] -= 1
        return attempt.side.name

    def _done(self, call: Call) -> None:
        name = self._let_go(call)
        self._states[name] = self._health.succeeded(self._states[name])
        self._budget.earn()
        self._end(call, CallEnd.DONE)

    def _failed(self, call: Call) -> None:
        if call.over:
            return
        name = self._let_go(call)
        self._states[name] = self._health.failed(self._states[name], self._sim.now)
        self._retry_or_end(call, AttemptOutcome.FAILED, name, CallEnd.FAILED)

    def _refused(self, call: Call, reason: RefusalReason, _after: timedelta | None) -> None:
        name = self._let_go(call)
        call.refused_reason = reason
        self._retry_or_end(call, AttemptOutcome.NOT_RUN, name, CallEnd.REFUSED)

    def _retry_or_end(self, call: Call, outcome: AttemptOutcome, name: str, how: str) -> None:
        remaining = timedelta(seconds=max(0.0, call.deadline - self._sim.seconds))
        req = RetryRequest(outcome, True, call.attempts, remaining)
        verdict = self._retry.decide(req, self._budget, self._rng)
        if isinstance(verdict, GiveUp):
            self._end(call, how)
            return
        self._budget.spend()
        excluded = call.excluded | {name} if len(self._sides) > 1 else call.excluded
        self._sim.after(verdict.after.total_seconds(), self._send, call, excluded)

    def _end(self, call: Call, how: str) -> None:
        call.over = True
        if call.leave is not None:
            call.leave.cancel()
        record = CallRecord(
            call.caller,
            call.priority,
            call.arrived,
            self._sim.seconds,
            how,
            call.refused_reason if how == CallEnd.REFUSED else "",
            call.output_tokens,
        )
        if not call.trainer:
            self._metrics.calls.append(record)
        call.ended(call, how)

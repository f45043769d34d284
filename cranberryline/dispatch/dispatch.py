"""Take a request from admission to its one final answer: wait, attempt, retry."""

from datetime import timedelta
from random import Random

import attrs
from result import Err, Ok, Result

from cranberryline.configs import CallerSpec, ConfigFold, ServiceSpec
from cranberryline.decisions import AttemptOutcome as Verdict
from cranberryline.decisions import GiveUp, RetryPolicy, RetryRequest
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.quarantine import Held, RequestGuard
from cranberryline.requests import (
    AttemptBroken,
    AttemptDone,
    AttemptNotRun,
    AttemptOutcome,
)

from .attempt import AttemptTrace, async_attempt
from .errors import Refusal, RefusalReason
from .lane import ServiceLane, Turn
from .model import AnswerSink, CallerRequest
from .outcomes import (
    broken_run,
    held_refusal,
    is_final,
    is_out_of_date,
    is_upstream_fault,
    may_be_crash,
    reason_text,
    refusal_of,
    rest_after,
    tell_failed,
    with_earlier,
)
from .upstreams import PeerTable

__all__ = ["Dispatcher", "ServiceBook"]

_STATUS_SERVER_ERROR = 500
# Entries that are out of date, asked one after the other for one request.
_MAX_OUT_OF_DATE = 16
_NO_LONGER_ELIGIBLE = Refusal(RefusalReason.NO_UPSTREAM, detail="no longer eligible")


class ServiceBook:
    """What the configuration in force says of services and callers."""

    def __init__(self, fold: ConfigFold) -> None:
        self._services: dict[str, ServiceSpec] = {}
        self._last_specs: dict[str, ServiceSpec] = {}
        self._callers: dict[str, CallerSpec] = {}
        self._shares: dict[str, float] = {}
        self._fold = fold
        fold.listen(lambda _: self._read())
        self._read()

    def _read(self) -> None:
        self._services = self._fold.services()
        self._last_specs |= self._services
        self._callers = self._fold.callers()
        self._shares.clear()
        self._shares.update({name: spec.share for name, spec in self._callers.items()})

    def knows(self, service: str) -> bool:
        """Tell whether there is such a service."""
        return service in self._services

    def spec(self, service: str) -> ServiceSpec:
        """Return a service's specification, the last one of a service that was deleted.

        Requests of a deleted service may still wait. Their lane looks up the specification to give
        them their answer; failing there, it would leave them waiting for ever.
        """
        return self._last_specs[service]

    def for_model(self, model: str) -> str | None:
        """Return the service that serves a model, by the model's name or its own."""
        services = self._services
        named = (name for name, spec in services.items() if spec.model == model)
        return next(named, model if model in services else None)

    def caller(self, name: str) -> CallerSpec | None:
        """Return what is configured for a caller."""
        return self._callers.get(name)

    def shares(self) -> dict[str, float]:
        """Return the callers' shares; the mapping follows the records in force."""
        return self._shares


class Dispatcher:
    """Give each request an upstream in its turn, and its caller one final answer."""

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        peers: PeerTable,
        book: ServiceBook,
        metrics: Metrics,
        data_center: str = "",
        guard: RequestGuard | None = None,
    ) -> None:
        self._guard = guard
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._book = book
        self._metrics = metrics
        self._data_center = data_center
        self._lanes: dict[str, ServiceLane] = {}
        self._retry = RetryPolicy()
        self.in_flight = 0
        metrics.queued.set_function(lambda: sum(lane.queued for lane in self._lanes.values()))
        metrics.in_flight.set_function(lambda: self.in_flight)

    def lane(self, service: str) -> ServiceLane:
        """Return the lane of a service in force."""
        lane = self._lanes.get(service)
        if lane is None:
            lane = self._lanes[service] = ServiceLane(
                service,
                self._clock,
                self._rng,
                self._peers,
                lambda: self._book.spec(service),
                self._book.shares(),
                self._data_center,
            )
        return lane

    def places(self, service: str) -> int:
        """Return how many requests the service's upstreams work on at once."""
        return len(self._peers.usable(service)) * self._book.spec(service).concurrency

    def with_room(self, service: str) -> list[str]:
        """Return the upstreams of a service that have a free place, as far as this node knows."""
        return self.lane(service).with_room()

    def wake(self) -> None:
        """Let waiting requests look at the upstreams again."""
        for service, lane in self._lanes.items():
            if self._book.knows(service):
                lane.pump()

    def suspects(self, req: CallerRequest) -> bool:
        """Tell whether an upstream has crashed under a request: no copy of it is sent then."""
        guard = self._guard
        return guard is not None and guard.has_suspects and guard.is_suspected(req.fingerprint)

    async def async_run(self, req: CallerRequest, sink: AnswerSink) -> Result[str, Refusal]:
        """Run a request to its end; return the upstream's id, or a refusal that is final."""
        self.in_flight += 1
        try:
            return await self._async_run(req, sink)
        finally:
            self.in_flight -= 1

    async def _async_run(self, req: CallerRequest, sink: AnswerSink) -> Result[str, Refusal]:
        held = self._held(req)
        trial = held is not None and await self._async_try(req)
        if held is not None and not trial:
            return Err(held_refusal(held))
        lane = self.lane(req.service)
        admitted = lane.admit(req)
        if isinstance(admitted, Err):
            return admitted
        avoid: frozenset[str] = req.avoid
        earlier: list[AttemptOutcome] = []
        while True:
            taken = await lane.async_take_turn(req, admitted.unwrap(), avoid)
            if isinstance(taken, Err):
                return Err(with_earlier(taken.unwrap_err(), earlier))
            turn = taken.unwrap()
            if req.eligible is not None and not req.eligible(turn.upstream.peer.vm_id):
                # The loop may have been busy for any time since the turn was given.
                lane.give_back(turn)
                return Err(with_earlier(_NO_LONGER_ELIGIBLE, earlier))
            held = None if trial else self._held(req)
            if held is not None:
                lane.give_back(turn)
                return Err(with_earlier(held_refusal(held), earlier))
            trial = False
            sink.dispatched(turn.upstream.peer.vm_id)
            trace = AttemptTrace()
            outcome = await self._async_attempt(lane, turn, req, sink, trace)
            if isinstance(outcome, AttemptDone):
                if self._guard is not None and outcome.status < _STATUS_SERVER_ERROR:
                    self._guard.record_answer(req.fingerprint)
                return Ok(turn.upstream.peer.vm_id)
            if self._guard is not None and may_be_crash(outcome, trace, self._clock.monotonic()):
                await self._guard.async_report_broken_run(broken_run(req, turn.upstream.peer.vm_id))
            earlier.append(outcome)
            avoid = avoid | {turn.upstream.peer.vm_id}
            decision = self._decide_retry(lane, req, earlier, avoid)
            if isinstance(decision, Refusal):
                return Err(with_earlier(decision, earlier))
            self._metrics.retry(reason_text(outcome))
            await self._clock.async_sleep(decision)

    def _held(self, req: CallerRequest) -> Held | None:
        guard = self._guard
        if guard is None or not guard.has_suspects:
            return None
        return guard.held(req.fingerprint)

    async def _async_try(self, req: CallerRequest) -> bool:
        return self._guard is not None and await self._guard.async_claim_trial(req.fingerprint)

    async def _async_attempt(
        self,
        lane: ServiceLane,
        turn: Turn,
        req: CallerRequest,
        sink: AnswerSink,
        trace: AttemptTrace,
    ) -> AttemptOutcome:
        tokens = 0
        try:
            outcome = await async_attempt(turn.upstream.peer, req, sink, self._clock, trace)
            if isinstance(outcome, AttemptDone):
                tokens = turn.item.tokens
                turn.upstream.succeeded()
                lane.budget.earn()
            elif is_upstream_fault(outcome):
                turn.upstream.failed(turn.given, self._clock.monotonic())
            self._note_not_served(req, turn, outcome)
            return outcome
        finally:
            lane.finish(turn, tokens)

    def _note_not_served(self, req: CallerRequest, turn: Turn, outcome: AttemptOutcome) -> None:
        """Let an upstream rest that turned the request away, and tell of one that failed it."""
        rest, now = rest_after(outcome), self._clock.monotonic()
        if rest is not None:
            turn.upstream.turned_away(rest, now)
        if is_upstream_fault(outcome) or is_out_of_date(outcome):
            tell_failed(req, turn, outcome, now)

    def _decide_retry(
        self,
        lane: ServiceLane,
        req: CallerRequest,
        earlier: list[AttemptOutcome],
        avoid: frozenset[str],
    ) -> timedelta | Refusal:
        """Return how long to wait before the next attempt, or the final refusal."""
        outcome = earlier[-1]
        if isinstance(outcome, AttemptBroken | AttemptDone):
            return refusal_of(outcome, None)
        out_of_date = sum(map(is_out_of_date, earlier))
        entry_is_old = is_out_of_date(outcome) and out_of_date <= _MAX_OUT_OF_DATE
        in_time = req.deadline > self._clock.monotonic()
        if entry_is_old and in_time and self._has_other(req, avoid):
            return timedelta()
        not_run = isinstance(outcome, AttemptNotRun)
        asked = RetryRequest(
            outcome=Verdict.NOT_RUN if not_run else Verdict.UNKNOWN,
            idempotent=req.idempotent,
            attempts=max(1, len(earlier) - out_of_date),
            remaining=req.deadline - self._clock.monotonic(),
        )
        policy = self._retry
        if req.max_attempts is not None:
            policy = attrs.evolve(policy, max_attempts=req.max_attempts)
        decision = policy.decide(asked, lane.budget, self._rng)
        if isinstance(decision, GiveUp) or is_final(outcome):
            hint = decision.retry_after if isinstance(decision, GiveUp) else None
            return refusal_of(outcome, hint)
        lane.budget.spend()
        return decision.after

    def _has_other(self, req: CallerRequest, avoid: frozenset[str]) -> bool:
        """Tell whether an upstream is left that this request was not sent to."""
        ids = (upstream.peer.vm_id for upstream in self._peers.usable(req.service))
        eligible = req.eligible or (lambda _upstream: True)
        return any(each not in avoid and eligible(each) for each in ids)

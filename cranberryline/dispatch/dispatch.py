"""Run a request from admission over queueing, attempts and retries to its final result."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import attrs
from result import Err, Ok, Result

from cranberryline.configs import CallerSpec, ConfigFold, ServiceSpec
from cranberryline.decisions import AttemptOutcome as RetryOutcome
from cranberryline.decisions import GiveUp, RetryPolicy, RetryRequest
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import once_per_burst
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
from .model import CallerRequest, ResponseSink
from .outcomes import (
    cooldown_after,
    hold_refusal,
    include_earlier_attempts,
    is_final,
    is_stale_registration,
    is_upstream_fault,
    log_failed_attempt,
    make_broken_run,
    make_refusal,
    may_be_crash,
    reason_text,
)
from .scheduler import ServiceScheduler, SlotReservation
from .table import UpstreamTable

__all__ = ["Dispatcher", "ServiceCatalog"]

_STATUS_SERVER_ERROR = 500
# Attempts of one request at upstreams with stale registrations that are repeated without a delay;
# after these, the retry policy decides.
_MAX_STALE_ATTEMPTS = 16
# Upstreams that are full reject many requests at once.
_REJECTION_LOG_INTERVAL = timedelta(seconds=1)
_NO_LONGER_ELIGIBLE = Refusal(RefusalReason.NO_UPSTREAM, detail="no longer eligible")


class ServiceCatalog:
    """Services and callers of the current configuration."""

    def __init__(self, fold: ConfigFold) -> None:
        self._services: dict[str, ServiceSpec] = {}
        self._last_specs: dict[str, ServiceSpec] = {}
        self._callers: dict[str, CallerSpec] = {}
        self._shares: dict[str, float] = {}
        self._fold = fold
        fold.listen(lambda _: self._reload())
        self._reload()

    def _reload(self) -> None:
        self._services = self._fold.services()
        self._last_specs |= self._services
        self._callers = self._fold.callers()
        self._shares.clear()
        self._shares.update({name: spec.share for name, spec in self._callers.items()})

    def has_service(self, service: str) -> bool:
        """Return whether the service is configured."""
        return service in self._services

    def spec(self, service: str) -> ServiceSpec:
        """Return a service's specification, or the last one it had if it was deleted.

        Requests of a deleted service may still be queued. The scheduler needs the specification to
        end them; if the lookup failed, they would wait forever.
        """
        return self._last_specs[service]

    def service_for_model(self, model: str) -> str | None:
        """Return the service that serves a model, or that has its name, None if neither exists."""
        services = self._services
        named = (name for name, spec in services.items() if spec.model == model)
        return next(named, model if model in services else None)

    def caller(self, name: str) -> CallerSpec | None:
        """Return the specification of a caller, None if it is not configured."""
        return self._callers.get(name)

    def shares(self) -> dict[str, float]:
        """Return the callers' weights in the queue; the mapping follows the configuration."""
        return self._shares


class Dispatcher:
    """Assign requests to upstreams, retry them, and return one final result for each.

    `sharers` returns how many processes use the same upstreams, this one included.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        upstreams: UpstreamTable,
        catalog: ServiceCatalog,
        metrics: Metrics,
        data_center: str = "",
        guard: RequestGuard | None = None,
        sharers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._guard = guard
        self._sharers = sharers
        self._clock = clock
        self._rng = rng
        self._upstreams = upstreams
        self._catalog = catalog
        self._metrics = metrics
        self._data_center = data_center
        self._schedulers: dict[str, ServiceScheduler] = {}
        self._retry = RetryPolicy()
        self._rejections = once_per_burst(__name__, clock, _REJECTION_LOG_INTERVAL)
        self.in_flight = 0
        metrics.queued.set_function(
            lambda: sum(scheduler.queued for scheduler in self._schedulers.values())
        )
        metrics.in_flight.set_function(lambda: self.in_flight)

    def scheduler(self, service: str) -> ServiceScheduler:
        """Return the scheduler of a configured service; it is created on first use."""
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = ServiceScheduler(
                service,
                self._clock,
                self._rng,
                self._upstreams.pool(service),
                lambda: self._catalog.spec(service),
                self._catalog.shares(),
                self._data_center,
                self._sharers,
            )
            self._metrics.capacity.labels(service).set_function(lambda: scheduler.capacity)
        return scheduler

    def total_slots(self, service: str) -> int:
        """Return how many requests the service's usable upstreams can run at once."""
        return self.scheduler(service).total_slots

    def has_free_slot(self, service: str, vm_id: str) -> bool:
        """Return whether an upstream has a free slot, as far as this node knows."""
        return self.scheduler(service).has_free_slot(vm_id)

    def wake(self) -> None:
        """Assign queued requests to upstreams that have become available."""
        for service, scheduler in self._schedulers.items():
            if self._catalog.has_service(service):
                scheduler.dispatch_waiting()

    def may_crash_upstream(self, req: CallerRequest) -> bool:
        """Return whether an upstream crashed while it ran this request; it is not hedged then."""
        guard = self._guard_of(req)
        return guard is not None and guard.has_suspects and guard.is_suspected(req.fingerprint)

    async def async_run(self, req: CallerRequest, sink: ResponseSink) -> Result[str, Refusal]:
        """Run a request to its end; return the id of the upstream that served it, or a refusal."""
        self.in_flight += 1
        try:
            return await self._async_run(req, sink)
        finally:
            self.in_flight -= 1

    async def _async_run(self, req: CallerRequest, sink: ResponseSink) -> Result[str, Refusal]:
        guard = self._guard_of(req)
        hold = self._hold_of(req)
        is_trial = hold is not None and await self._async_claim_trial(req)
        if hold is not None and not is_trial:
            return Err(hold_refusal(hold))
        scheduler = self.scheduler(req.service)
        admitted = scheduler.admit(req)
        if isinstance(admitted, Err):
            self._metrics.refuse_queueing(admitted.unwrap_err().detail)
            return admitted
        avoid: frozenset[str] = req.avoid
        outcomes: list[AttemptOutcome] = []
        while True:
            reserved = await scheduler.async_reserve_slot(req, admitted.unwrap(), avoid)
            if isinstance(reserved, Err):
                if reserved.unwrap_err().detail:
                    self._metrics.refuse_queueing(reserved.unwrap_err().detail)
                return Err(include_earlier_attempts(reserved.unwrap_err(), outcomes))
            reservation = reserved.unwrap()
            if not req.may_send_to(reservation.upstream.id):
                # The event loop may have been busy for some time since the slot was reserved.
                scheduler.release_unused(reservation)
                return Err(include_earlier_attempts(_NO_LONGER_ELIGIBLE, outcomes))
            hold = None if is_trial else self._hold_of(req)
            if hold is not None:
                scheduler.release_unused(reservation)
                return Err(include_earlier_attempts(hold_refusal(hold), outcomes))
            is_trial = False
            sink.dispatched(reservation.upstream.id)
            trace = AttemptTrace()
            outcome = await self._async_run_attempt(scheduler, reservation, req, sink, trace)
            if isinstance(outcome, AttemptNotRun):
                sink.not_run()
            if isinstance(outcome, AttemptDone):
                if guard is not None and outcome.status < _STATUS_SERVER_ERROR:
                    guard.record_answer(req.fingerprint)
                return Ok(reservation.upstream.id)
            if guard is not None and may_be_crash(outcome, trace, self._clock.monotonic()):
                await guard.async_report_broken_run(make_broken_run(req, reservation.upstream.id))
            outcomes.append(outcome)
            avoid = avoid | {reservation.upstream.id}
            decision = self._decide_retry(scheduler, req, outcomes, avoid)
            if isinstance(decision, Refusal):
                return Err(include_earlier_attempts(decision, outcomes))
            self._metrics.retry(reason_text(outcome))
            await self._clock.async_sleep(decision)

    def _guard_of(self, req: CallerRequest) -> RequestGuard | None:
        return None if req.exempt_from_hold else self._guard

    def _hold_of(self, req: CallerRequest) -> Held | None:
        guard = self._guard_of(req)
        if guard is None or not guard.has_suspects:
            return None
        return guard.held(req.fingerprint)

    async def _async_claim_trial(self, req: CallerRequest) -> bool:
        return self._guard is not None and await self._guard.async_claim_trial(req.fingerprint)

    async def _async_run_attempt(
        self,
        scheduler: ServiceScheduler,
        reservation: SlotReservation,
        req: CallerRequest,
        sink: ResponseSink,
        trace: AttemptTrace,
    ) -> AttemptOutcome:
        tokens, was_run = 0, True
        try:
            outcome = await async_attempt(reservation.upstream.link, req, sink, self._clock, trace)
            if isinstance(outcome, AttemptDone):
                tokens = reservation.item.tokens
                reservation.upstream.response_completed()
                scheduler.budget.earn()
            elif is_upstream_fault(outcome):
                reservation.upstream.attempt_failed(
                    reservation.reserved_at, self._clock.monotonic()
                )
            was_run = not isinstance(outcome, AttemptNotRun)
            self._record_failed_attempt(req, reservation, outcome)
            return outcome
        finally:
            scheduler.release(reservation, tokens, was_run)

    def _record_failed_attempt(
        self, req: CallerRequest, reservation: SlotReservation, outcome: AttemptOutcome
    ) -> None:
        """Start the cooldown of an upstream that rejected the request, and log failures."""
        cooldown, now = cooldown_after(outcome), self._clock.monotonic()
        if cooldown is not None:
            reservation.upstream.request_rejected(cooldown, now)
        if is_upstream_fault(outcome) or is_stale_registration(outcome):
            log_failed_attempt(req, reservation, outcome, now)
        elif cooldown is not None:
            self._rejections.info(
                "attempt_rejected",
                request_id=req.request_id,
                service=req.service,
                upstream=reservation.upstream.id,
                reason=reason_text(outcome),
            )

    def _decide_retry(
        self,
        scheduler: ServiceScheduler,
        req: CallerRequest,
        outcomes: list[AttemptOutcome],
        avoid: frozenset[str],
    ) -> timedelta | Refusal:
        """Return the delay before the next attempt, or the final refusal."""
        outcome = outcomes[-1]
        if isinstance(outcome, AttemptBroken | AttemptDone):
            return make_refusal(outcome, None)
        stale_attempts = sum(map(is_stale_registration, outcomes))
        registration_is_stale = (
            is_stale_registration(outcome) and stale_attempts <= _MAX_STALE_ATTEMPTS
        )
        in_time = req.start_deadline > self._clock.monotonic()
        if registration_is_stale and in_time and self._has_untried_upstream(req, avoid):
            return timedelta()
        not_run = isinstance(outcome, AttemptNotRun)
        retry_request = RetryRequest(
            outcome=RetryOutcome.NOT_RUN if not_run else RetryOutcome.UNKNOWN,
            idempotent=req.idempotent,
            attempts=max(1, len(outcomes) - stale_attempts),
            remaining=req.start_deadline - self._clock.monotonic(),
        )
        policy = self._retry
        if req.max_attempts is not None:
            policy = attrs.evolve(policy, max_attempts=req.max_attempts)
        decision = policy.decide(retry_request, scheduler.budget, self._rng)
        if isinstance(decision, GiveUp) or is_final(outcome):
            hint = decision.retry_after if isinstance(decision, GiveUp) else None
            return make_refusal(outcome, hint)
        scheduler.budget.spend()
        return decision.after

    def _has_untried_upstream(self, req: CallerRequest, avoid: frozenset[str]) -> bool:
        """Return whether an eligible upstream remains that is not to be avoided."""
        ids = (upstream.id for upstream in self._upstreams.pool(req.service).iter_usable())
        return any(vm_id not in avoid and req.may_send_to(vm_id) for vm_id in ids)

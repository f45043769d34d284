"""Admission control: admit a request to the queue, or reject it at once with a retry hint."""

from collections.abc import Mapping
from datetime import timedelta
from random import Random

import attrs

from .const import (
    CLASS_MIN_SHARES,
    DEFAULT_CALLER_WEIGHT,
    DEFAULT_QUEUE_SECONDS,
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    ZERO,
)
from .model import Priority, RefusalReason
from .outstanding import Outstanding

__all__ = [
    "AdmissionLimits",
    "AdmissionPolicy",
    "AdmissionRequest",
    "AdmissionView",
    "Admit",
    "Refuse",
]

# Bounds memory only; overload is limited by the estimated wait.
DEFAULT_SERVICE_REQUESTS = 4096
# Leaves room for other callers when one caller exhausts its own limit.
MAX_CALLER_SHARE = 0.5
# Random part of a retry hint, so that rejected callers do not all retry at the same moment.
RETRY_JITTER = 0.5
# Share of the allowed wait that the estimate may use. The rest is kept because requests of callers
# with less queued work may still overtake an admitted request. With 5 engines at twice their
# capacity and a share of 1, 466 of 2,678 rejections come only after the request has waited for its
# whole allowed time; with 0.65 these are 146 of 2,720, at the same goodput.
MAX_WAIT_SHARE = 0.65


@attrs.frozen
class AdmissionLimits:
    """Limits that an operator sets for a service.

    `service_requests` and `caller_requests` limit the requests that are queued or running, in total
    and per caller; `caller_tokens` limits their tokens per caller. `queue_seconds` is the longest
    wait in the queue by priority class. `caller_weights` are the weights of fair queueing.
    """

    service_requests: int = DEFAULT_SERVICE_REQUESTS
    caller_requests: int = int(DEFAULT_SERVICE_REQUESTS * MAX_CALLER_SHARE)
    caller_tokens: int | None = None
    queue_seconds: Mapping[Priority, timedelta] = DEFAULT_QUEUE_SECONDS
    caller_weights: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen
class AdmissionRequest:
    """A request that asks for admission.

    `remaining` is the time until the deadline, None without a deadline; `service_time` is the
    expected processing time.
    """

    caller: str
    priority: Priority
    tokens: int
    remaining: timedelta | None = None
    service_time: timedelta = ZERO
    rank: int = 0


@attrs.frozen
class AdmissionView:
    """The queued and running work of an upstream or service at the time of the decision.

    `tokens_per_second` is the capacity of the upstream, 0 if it is not known.
    """

    queued: Outstanding
    running: Outstanding
    slots: int
    tokens_per_second: float


@attrs.frozen
class Admit:
    """The request is admitted and must start within `start_within`."""

    estimated_wait: timedelta
    start_within: timedelta


@attrs.frozen
class Refuse:
    """The request is rejected and has not been run.

    `retry_after` is None if the same request would be rejected at any time, because its processing
    time exceeds its deadline.
    """

    reason: RefusalReason
    retry_after: timedelta | None
    estimated_wait: timedelta = attrs.field(default=ZERO, eq=False)


@attrs.frozen
class AdmissionPolicy:
    """Admits requests by hard limits and by estimated wait.

    Without admission control a queue grows until every request in it exceeds its deadline (goodput
    collapse), and the backlog of one caller delays all others. The criterion is the estimated wait
    and not the length of the queue: the tokens that are served before the request, divided by the
    measured rate.
    """

    limits: AdmissionLimits = AdmissionLimits()

    def decide(
        self, view: AdmissionView, req: AdmissionRequest, rng: Random | None = None
    ) -> Admit | Refuse:
        """Admit or reject a request; `rng` adds jitter to the retry hint.

        The retry hint is the time in which the excess over the allowed wait drains.
        """
        wait = self.estimated_wait(view, req)
        reason = self._limit_reached(view, req)
        if reason is not None:
            return Refuse(reason, _retry_after(wait, rng), wait)
        allowed_wait = self.limits.queue_seconds[req.priority]
        slack = None if req.remaining is None else req.remaining - req.service_time
        if slack is not None and slack < ZERO:
            return Refuse(RefusalReason.DEADLINE, None, wait)
        if slack is not None and wait > slack * MAX_WAIT_SHARE:
            hint = _retry_after(wait - slack * MAX_WAIT_SHARE, rng)
            return Refuse(RefusalReason.DEADLINE, hint, wait)
        if wait > allowed_wait * MAX_WAIT_SHARE:
            hint = _retry_after(wait - allowed_wait * MAX_WAIT_SHARE, rng)
            return Refuse(RefusalReason.QUEUE_WAIT, hint, wait)
        return Admit(wait, allowed_wait if slack is None else min(allowed_wait, slack))

    def estimated_wait(self, view: AdmissionView, req: AdmissionRequest) -> timedelta:
        """Return the expected time until the request starts, 0 if the capacity is not known.

        All work of more urgent classes is served first, but never more than the minimum share of
        the request's own class permits.
        """
        if len(view.running) < view.slots and not len(view.queued):
            return ZERO
        if view.tokens_per_second <= 0:
            return ZERO
        same_class = self._tokens_ahead_in_class(view.queued, req)
        more_urgent = sum(view.queued.class_tokens(p) for p in Priority if p < req.priority)
        tokens_ahead = [same_class + more_urgent]
        min_share = CLASS_MIN_SHARES[req.priority]
        if min_share:
            tokens_ahead.append(same_class / min_share)
        less_urgent_share = sum(
            CLASS_MIN_SHARES[p]
            for p in Priority
            if p > req.priority and view.queued.class_tokens(p) > 0
        )
        next_slot_tokens = view.running.tokens / max(view.slots, 1)
        seconds = (
            min(tokens_ahead) / (1 - less_urgent_share) + next_slot_tokens
        ) / view.tokens_per_second
        return timedelta(seconds=seconds)

    def _tokens_ahead_in_class(self, queued: Outstanding, req: AdmissionRequest) -> float:
        """Return the tokens of the same class that the queue serves before the request.

        More urgent ranks are served first. Within the rank, each other caller is served at most in
        proportion to its weight, so a caller with a large backlog waits for its own work and does
        not delay the others.
        """
        more_urgent = queued.tokens_before_rank(req.priority, req.rank)
        tokens_by_caller = queued.rank_tokens(req.priority, req.rank)
        own_queued = tokens_by_caller.get(req.caller, 0)
        own_virtual_time = (own_queued + req.tokens) / self._weight(req.caller)
        others = sum(
            min(tokens, own_virtual_time * self._weight(caller))
            for caller, tokens in tokens_by_caller.items()
            if caller != req.caller
        )
        return more_urgent + own_queued + others

    def _limit_reached(self, view: AdmissionView, req: AdmissionRequest) -> RefusalReason | None:
        outstanding = len(view.queued) + len(view.running)
        if outstanding >= self.limits.service_requests:
            return RefusalReason.SERVICE_LIMIT
        from_caller = view.queued.caller_requests(req.caller) + view.running.caller_requests(
            req.caller
        )
        if from_caller >= self.limits.caller_requests:
            return RefusalReason.CALLER_LIMIT
        if self.limits.caller_tokens is None:
            return None
        tokens = sum(
            work.caller_tokens(priority).get(req.caller, 0)
            for work in (view.queued, view.running)
            for priority in Priority
        )
        if tokens + req.tokens > self.limits.caller_tokens:
            return RefusalReason.CALLER_LIMIT
        return None

    def _weight(self, caller: str) -> float:
        return self.limits.caller_weights.get(caller, DEFAULT_CALLER_WEIGHT)


def _retry_after(excess: timedelta, rng: Random | None) -> timedelta:
    jitter = 1.0 if rng is None else 1.0 + RETRY_JITTER * rng.random()
    return min(max(excess * jitter, MIN_RETRY_AFTER), MAX_RETRY_AFTER)

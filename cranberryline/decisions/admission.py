"""Decide whether a request is let in, or refused at once with when to come back.

Load answered: bursts, saturation, and a few callers that send most of the work. Without this a
queue grows until every request in it is past its deadline: the upstream works at full speed and
nobody gets an answer in time (goodput collapse), and one caller's backlog is everybody's wait.

The measure is the estimated wait, not the queue's length: the tokens that will be served before
this request, over the measured rate. Which tokens those are follows from how `queueing` orders
work. Of the own class, caller j comes before caller i with no more than its fair part, so a
caller that sends ten times its share waits for its own backlog and the others do not. Of the
classes above, everything comes before, but never more than the class's floor leaves them.

Thresholds: `queue_seconds` is what a caller of each class can bear (see `const`). The service
limit only bounds memory. `WAIT_MARGIN` is the part of the time that the estimate may fill, since
callers with less work may still come before a request that was let in: at 1, 466 of 2,678
refusals at twice saturation came only after the request had waited its whole time in vain, at
0.65 it is 146 of 2,720 at the same goodput (load "twice saturation", 5 engines, seed 1). `CALLER_SHARE` leaves a caller at most half of the service's request
limit, so that one caller cannot exhaust it. The retry hint is the time until the excess over the
budget has drained, spread by up to a half, so that refused callers do not return together.
"""

from collections.abc import Mapping
from datetime import timedelta
from random import Random

import attrs

from .const import (
    CLASS_FLOORS,
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

DEFAULT_SERVICE_REQUESTS = 4096
CALLER_SHARE = 0.5
RETRY_SPREAD = 0.5
WAIT_MARGIN = 0.65


@attrs.frozen
class AdmissionLimits:
    """What an operator sets for a service."""

    service_requests: int = DEFAULT_SERVICE_REQUESTS
    caller_requests: int = int(DEFAULT_SERVICE_REQUESTS * CALLER_SHARE)
    caller_tokens: int | None = None
    queue_seconds: Mapping[Priority, timedelta] = DEFAULT_QUEUE_SECONDS
    caller_weights: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen
class AdmissionRequest:
    """A request as admission sees it; `remaining` is the time to its deadline."""

    caller: str
    priority: Priority
    tokens: int
    remaining: timedelta | None = None
    service_time: timedelta = ZERO


@attrs.frozen
class AdmissionView:
    """What is held at the moment.

    `tokens_per_second` is the upstream's capacity (see `pace`), 0 when it is not known.
    """

    queued: Outstanding
    running: Outstanding
    slots: int
    tokens_per_second: float


@attrs.frozen
class Admit:
    """Let the request in; it must start within `start_within`."""

    estimated_wait: timedelta
    start_within: timedelta


@attrs.frozen
class Refuse:
    """Turn the request away; it was not run.

    `retry_after` is None where the same request would be refused at any time, since it takes longer
    than its deadline allows.
    """

    reason: RefusalReason
    retry_after: timedelta | None


@attrs.frozen
class AdmissionPolicy:
    """Admission by limits and by estimated wait."""

    limits: AdmissionLimits = AdmissionLimits()

    def decide(
        self, view: AdmissionView, req: AdmissionRequest, rng: Random | None = None
    ) -> Admit | Refuse:
        """Admit a request or refuse it; `rng` spreads the retry hint."""
        wait = self.estimated_wait(view, req)
        reason = self._limit_reached(view, req)
        if reason is not None:
            return Refuse(reason, _retry_after(wait, rng))
        budget = self.limits.queue_seconds[req.priority]
        slack = None if req.remaining is None else req.remaining - req.service_time
        if slack is not None and slack < ZERO:
            return Refuse(RefusalReason.DEADLINE, None)
        if slack is not None and wait > slack * WAIT_MARGIN:
            return Refuse(RefusalReason.DEADLINE, _retry_after(wait - slack * WAIT_MARGIN, rng))
        if wait > budget * WAIT_MARGIN:
            return Refuse(RefusalReason.QUEUE_WAIT, _retry_after(wait - budget * WAIT_MARGIN, rng))
        return Admit(wait, budget if slack is None else min(budget, slack))

    def estimated_wait(self, view: AdmissionView, req: AdmissionRequest) -> timedelta:
        """Return how long the request would wait for its start."""
        if len(view.running) < view.slots and not len(view.queued):
            return ZERO
        if view.tokens_per_second <= 0:
            return ZERO
        own = self._tokens_ahead_in_class(view.queued, req)
        above = sum(view.queued.class_tokens(p) for p in Priority if p < req.priority)
        waits = [own + above]
        floor = CLASS_FLOORS[req.priority]
        if floor:
            waits.append(own / floor)
        reserved = sum(
            CLASS_FLOORS[p]
            for p in Priority
            if p > req.priority and view.queued.class_tokens(p) > 0
        )
        next_slot = view.running.tokens / max(view.slots, 1)
        seconds = (min(waits) / (1 - reserved) + next_slot) / view.tokens_per_second
        return timedelta(seconds=seconds)

    def _tokens_ahead_in_class(self, queued: Outstanding, req: AdmissionRequest) -> float:
        callers = queued.caller_tokens(req.priority)
        own_queued = callers.get(req.caller, 0)
        own_turn = (own_queued + req.tokens) / self._weight(req.caller)
        others = sum(
            min(tokens, own_turn * self._weight(caller))
            for caller, tokens in callers.items()
            if caller != req.caller
        )
        return own_queued + others

    def _limit_reached(self, view: AdmissionView, req: AdmissionRequest) -> RefusalReason | None:
        held = len(view.queued) + len(view.running)
        if held >= self.limits.service_requests:
            return RefusalReason.SERVICE_LIMIT
        own = view.queued.caller_requests(req.caller) + view.running.caller_requests(req.caller)
        if own >= self.limits.caller_requests:
            return RefusalReason.CALLER_LIMIT
        if self.limits.caller_tokens is None:
            return None
        tokens = sum(
            held.caller_tokens(priority).get(req.caller, 0)
            for held in (view.queued, view.running)
            for priority in Priority
        )
        if tokens + req.tokens > self.limits.caller_tokens:
            return RefusalReason.CALLER_LIMIT
        return None

    def _weight(self, caller: str) -> float:
        return self.limits.caller_weights.get(caller, DEFAULT_CALLER_WEIGHT)


def _retry_after(excess: timedelta, rng: Random | None) -> timedelta:
    spread = 1.0 if rng is None else 1.0 + RETRY_SPREAD * rng.random()
    return min(max(excess * spread, MIN_RETRY_AFTER), MAX_RETRY_AFTER)

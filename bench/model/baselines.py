"""What a user would have without the decisions: one simple rule for each of them."""

from collections import deque
from collections.abc import Sequence
from datetime import timedelta
from itertools import count
from random import Random

import attrs

from cranberryline.decisions import (
    AdmissionPolicy,
    AdmissionRequest,
    AdmissionView,
    Admit,
    GiveUp,
    GiveUpReason,
    RefusalReason,
    Refuse,
    RetryBudget,
    RetryElsewhere,
    RetryPolicy,
    RetryRequest,
    RolloutPolicy,
    RolloutView,
    RouteRequest,
    RoutingPolicy,
    StartSamples,
    StragglerDecision,
    UpstreamView,
    WorkItem,
    WorkQueue,
    rendezvous,
)

__all__ = [
    "AdmitAll",
    "AllAhead",
    "FifoQueue",
    "FixedQueue",
    "LeastOutstanding",
    "NoRetry",
    "NoStragglers",
    "OnPolicy",
    "OneAhead",
    "PrefixHash",
    "RandomChoice",
    "RetryAtOnce",
    "RoundRobin",
]

FOREVER = timedelta(days=365)
FIXED_QUEUE = 64
ATTEMPTS_AT_ONCE = 4


@attrs.frozen
class AdmitAll(AdmissionPolicy):
    """Let everything in, to wait for as long as its caller does."""

    def decide(
        self, view: AdmissionView, req: AdmissionRequest, rng: Random | None = None
    ) -> Admit | Refuse:
        """Admit."""
        return Admit(timedelta(), FOREVER)


@attrs.frozen
class FixedQueue(AdmissionPolicy):
    """Let in as many as a queue of fixed length holds."""

    def decide(
        self, view: AdmissionView, req: AdmissionRequest, rng: Random | None = None
    ) -> Admit | Refuse:
        """Admit while there is a place."""
        if len(view.queued) >= FIXED_QUEUE:
            return Refuse(RefusalReason.SERVICE_LIMIT, timedelta(seconds=1))
        return Admit(timedelta(), FOREVER)


class FifoQueue(WorkQueue):
    """First in, first out."""

    def __init__(self, slots: int) -> None:
        super().__init__(slots)
        self._fifo: deque[WorkItem] = deque()

    def push(self, item: WorkItem) -> None:
        """Let an item wait."""
        self.queued.add(item)
        self._fifo.append(item)

    def pop(self, now: timedelta) -> WorkItem | None:
        """Return the item that has waited longest."""
        while self._fifo and self._fifo[0].id not in self.queued:
            self._fifo.popleft()
        if not self._fifo or len(self.running) >= self.slots:
            return None
        item = self._fifo.popleft()
        self.queued.remove(item.id)
        self.running.add(item)
        return item


def _usable(upstreams: Sequence[UpstreamView], req: RouteRequest) -> list[UpstreamView]:
    return [
        upstream
        for upstream in upstreams
        if not upstream.draining
        and upstream.id not in req.excluded
        and (upstream.weight_version or 0) >= (req.min_weight_version or 0)
    ]


@attrs.frozen
class RandomChoice(RoutingPolicy):
    """Choose at random."""

    def choose(
        self, upstreams: Sequence[UpstreamView], req: RouteRequest, rng: Random
    ) -> str | None:
        """Return any upstream."""
        usable = _usable(upstreams, req)
        return rng.choice(usable).id if usable else None


@attrs.frozen
class RoundRobin(RoutingPolicy):
    """Choose one after the other."""

    turns: count = attrs.field(factory=count)

    def choose(
        self, upstreams: Sequence[UpstreamView], req: RouteRequest, rng: Random
    ) -> str | None:
        """Return the next upstream."""
        usable = _usable(upstreams, req)
        return usable[next(self.turns) % len(usable)].id if usable else None


@attrs.frozen
class LeastOutstanding(RoutingPolicy):
    """Choose the upstream with the fewest requests of this entry."""

    def choose(
        self, upstreams: Sequence[UpstreamView], req: RouteRequest, rng: Random
    ) -> str | None:
        """Return the upstream with the fewest own requests, ties at random."""
        usable = _usable(upstreams, req)
        if not usable:
            return None
        return min(usable, key=lambda u: (u.own_requests, rng.random())).id


@attrs.frozen
class PrefixHash(RoutingPolicy):
    """Choose by hash of the prefix, without a bound."""

    def choose(
        self, upstreams: Sequence[UpstreamView], req: RouteRequest, rng: Random
    ) -> str | None:
        """Return the prefix's upstream."""
        return rendezvous.top(req.prefix_key or "", [u.id for u in _usable(upstreams, req)])


@attrs.frozen
class RetryAtOnce(RetryPolicy):
    """Send again three times, at once, without a budget."""

    def decide(
        self, req: RetryRequest, budget: RetryBudget, rng: Random
    ) -> RetryElsewhere | GiveUp:
        """Retry until the attempts are used up."""
        if req.attempts >= ATTEMPTS_AT_ONCE:
            return GiveUp(GiveUpReason.ATTEMPTS, None)
        return RetryElsewhere(timedelta())


@attrs.frozen
class NoRetry(RetryPolicy):
    """Never send again."""

    def decide(
        self, req: RetryRequest, budget: RetryBudget, rng: Random
    ) -> RetryElsewhere | GiveUp:
        """Give up."""
        return GiveUp(GiveUpReason.ATTEMPTS, None)


@attrs.frozen
class NoStragglers(RolloutPolicy):
    """Wait for whatever was started."""

    def stragglers(self, view: RolloutView) -> tuple[StragglerDecision, ...]:
        """Do nothing about stragglers."""
        return ()


@attrs.frozen
class _InOrder(NoStragglers):
    """Start in order of declaration."""

    ahead: int = 0

    def start(self, view: RolloutView, free_slots: int) -> tuple[StartSamples, ...]:
        """Start everything of the steps that may start, whatever room there is."""
        return tuple(
            StartSamples(group.id, group.samples, view.sampler_version)
            for group in view.waiting
            if view.version_at_pull + group.step - view.next_step - view.sampler_version
            <= self.ahead
        )


@attrs.frozen
class OnPolicy(_InOrder):
    """Start a step when the trainer is ready for it."""

    ahead: int = 0


@attrs.frozen
class OneAhead(_InOrder):
    """Start a step while the trainer trains on the one before."""

    ahead: int = 1


@attrs.frozen
class AllAhead(_InOrder):
    """Start all that the staleness bound allows."""

    ahead: int = 2

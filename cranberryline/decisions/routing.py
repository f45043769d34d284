"""Choose the upstream for a request: the one with the shortest expected time to completion.

Upstreams differ in speed, load reports lag behind, and prompts share cached prefixes.
"""

from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from random import Random
from statistics import median

import attrs

from . import rendezvous
from .const import ZERO
from .health import HealthView
from .model import Priority
from .queueing import max_slots_for_class

__all__ = [
    "Candidates",
    "RouteRequest",
    "RoutingPolicy",
    "UpstreamView",
    "free_slots",
    "typical_rate",
]

# Age at which the load in a report counts half: about the time in which an engine turns over its
# work.
REPORT_HALF_LIFE = timedelta(seconds=2)
# Upstreams drawn at random for each request. Entries that see the same reports would otherwise all
# choose the same upstream; with own counts alone the best of all could be chosen.
SAMPLE_SIZE = 4
# Upstreams expected to cache a prefix. With two per prefix each cache has to hold twice as many.
AFFINITY_CHOICES = 1
# Fraction added to the expected time in another data centre.
OTHER_DATA_CENTER_PENALTY = 0.05
# Fraction of the typical rate below which an upstream's slots do not count as free.
SLOW_RATE_FRACTION = 0.5
# Weight of the outstanding work where a slot is free: the request does not queue, but shares the
# batch.
BATCH_SHARING_WEIGHT = 0.25
# Fraction taken off the expected time of a short request where a kept connection is idle, so that
# each of many entries with few requests keeps to few upstreams. Spread over all, kept connections
# would expire in between and nearly every request would open a new one. An upstream slower than
# others by more than this loses its requests.
CONNECTION_REUSE_DISCOUNT = 0.25
# Rate of a single request, where no upstream has a recent measurement.
FALLBACK_TOKENS_PER_SECOND = 50.0
# Lower bound of a rate after it has been multiplied by a health weight; the product of two tiny
# numbers is 0, and dividing by it would end the request with an exception.
MIN_TOKENS_PER_SECOND = 1e-6


@attrs.frozen
class UpstreamView:
    """An upstream as one entry sees it.

    The `own` counts are this entry's outstanding work; the `reported` ones come from the load
    report of `report_age` and include all entries. `tokens_per_second` is the measured rate of a
    single request, or 0 without a recent measurement. `connected` means that a kept connection is
    idle. `recently_refused` means that the upstream has just rejected a request without running it.
    """

    id: str
    data_center: str = ""
    slots: int = 1
    own_requests: int = 0
    own_tokens: int = 0
    reported_requests: int = 0
    reported_tokens: int = 0
    report_age: timedelta | None = None
    tokens_per_second: float = 0.0
    weight_version: int | None = None
    health: HealthView = HealthView()
    draining: bool = False
    connected: bool = False
    recently_refused: bool = False


@attrs.frozen
class RouteRequest:
    """A request as routing sees it.

    A cached prefix saves `prefix_tokens` of its `tokens`. `short` means that opening a connection
    takes a noticeable part of the request's time. `may_probe` allows sending it as a health probe
    while another upstream could take it; without one, any request may be a probe.
    """

    tokens: int
    priority: Priority = Priority.APPLICATION
    data_center: str = ""
    prefix_key: str | None = None
    prefix_tokens: int = 0
    min_weight_version: int | None = None
    excluded: frozenset[str] = frozenset()
    may_probe: bool = True
    short: bool = False


@attrs.frozen
class Candidates:
    """The upstreams that a request is weighed for, all of them eligible and healthy.

    `drawn` are some at random, `cached` should have its prefix cached, and `connected` have an idle
    connection. `typical_rate` returns the rate that is assumed of an upstream without a
    measurement, in tokens per second.
    """

    drawn: Sequence[UpstreamView]
    cached: Sequence[UpstreamView]
    connected: Sequence[UpstreamView]
    typical_rate: Callable[[], float]


@attrs.frozen
class RoutingPolicy:
    """Routes by expected time to completion, with bounded prefix and connection affinity.

    Random or round-robin choice sends a slow upstream as much as a fast one. Following load reports
    alone sends all entries to the same idle upstream until its next report. Following the prefix
    cache alone overloads the upstream of a popular prefix.
    """

    sample_size: int = SAMPLE_SIZE
    affinity_choices: int = AFFINITY_CHOICES
    report_half_life: timedelta = REPORT_HALF_LIFE

    def choose(
        self, upstreams: Sequence[UpstreamView], req: RouteRequest, rng: Random
    ) -> str | None:
        """Return the id of the upstream to send to, or None if none is eligible.

        Upstreams that drain, are excluded or serve older weights than required are not eligible. An
        upstream that has just rejected work is chosen only if all others have, too. A probe that is
        due goes first, as one request.
        """
        eligible = [upstream for upstream in upstreams if _is_eligible(upstream, req)]
        eligible = [upstream for upstream in eligible if not upstream.recently_refused] or eligible
        healthy = [upstream for upstream in eligible if upstream.health.weight > 0]
        probes = [upstream.id for upstream in eligible if upstream.health.probe_due]
        if probes and (req.may_probe or not healthy):
            return rng.choice(probes)
        candidates = Candidates(
            drawn=rng.sample(healthy, min(self.sample_size, len(healthy))),
            cached=self._expected_cached(healthy, req),
            connected=[upstream for upstream in healthy if upstream.connected],
            typical_rate=lambda: typical_rate(up.tokens_per_second for up in healthy),
        )
        return self.choose_candidate(candidates, req)

    def choose_candidate(self, candidates: Candidates, req: RouteRequest) -> str | None:
        """Return the id of the candidate that would complete the request first, None without any.

        An expected cache or a connection counts only where a slot is free. Without one the request
        would wait for a slot in any case, and callers with few prefixes would all queue at one
        upstream each.
        """
        cached = [up for up in candidates.cached if self._has_slot(up, req)]
        connected = [up for up in candidates.connected if req.short and self._has_slot(up, req)]
        all_candidates = list(candidates.drawn)
        all_candidates += [up for up in (*cached, *connected) if up not in all_candidates]
        if not all_candidates:
            return None
        rate = 0.0
        if not all(upstream.tokens_per_second for upstream in all_candidates):
            rate = candidates.typical_rate()
        with_cached_prefix = attrs.evolve(req, tokens=max(0, req.tokens - req.prefix_tokens))

        def cost(upstream: UpstreamView) -> float:
            work = with_cached_prefix if upstream in cached else req
            seconds = self.expected_seconds(upstream, work, rate)
            return seconds * (1 - CONNECTION_REUSE_DISCOUNT * (upstream in connected))

        return min(all_candidates, key=cost).id

    def expected_seconds(self, upstream: UpstreamView, req: RouteRequest, rate: float) -> float:
        """Return the approximate time in which the upstream would complete the request.

        This is the time for the request's own tokens at the rate of a single request, after the
        tokens outstanding there at that rate on all slots. `rate` is used for an upstream without a
        measurement. The health weight of a failing upstream lowers its rate.
        """
        rate_there = max(
            (upstream.tokens_per_second or rate) * upstream.health.weight, MIN_TOKENS_PER_SECOND
        )
        ahead = self._outstanding_tokens(upstream) / max(upstream.slots, 1)
        if self._has_slot(upstream, req):
            ahead *= BATCH_SHARING_WEIGHT
        other_data_center = bool(req.data_center) and upstream.data_center != req.data_center
        return (
            (req.tokens + ahead) / rate_there * (1 + OTHER_DATA_CENTER_PENALTY * other_data_center)
        )

    def _outstanding_tokens(self, upstream: UpstreamView) -> float:
        """Return the estimated outstanding tokens.

        Own tokens are known and count in full; those of other entries by the age of the report.
        """
        others = max(0, upstream.reported_tokens - upstream.own_tokens)
        return upstream.own_tokens + self._report_weight(upstream) * others

    def _has_slot(self, upstream: UpstreamView, req: RouteRequest) -> bool:
        others = max(0, upstream.reported_requests - upstream.own_requests)
        in_use = upstream.own_requests + self._report_weight(upstream) * others
        return in_use + 1 <= max_slots_for_class(upstream.slots, req.priority)

    def _report_weight(self, upstream: UpstreamView) -> float:
        """Return the weight of the upstream's load report: 1 if fresh, halved per half-life."""
        if upstream.report_age is None:
            return 0.0
        return 0.5 ** (max(upstream.report_age, ZERO) / self.report_half_life)

    def _expected_cached(
        self, healthy: Sequence[UpstreamView], req: RouteRequest
    ) -> list[UpstreamView]:
        """Return the upstreams that should have the request's prefix cached.

        They are the first by rendezvous hashing of the prefix key. Their expected time is reduced
        only by the work that the cache saves, so requests with a popular prefix overflow to other
        upstreams.
        """
        if req.prefix_key is None or not req.prefix_tokens:
            return []
        by_id = {upstream.id: upstream for upstream in healthy}
        ranked = rendezvous.rank(req.prefix_key, by_id)
        return [by_id[member] for member in ranked[: self.affinity_choices]]


def free_slots(upstreams: Sequence[UpstreamView], min_version: int | None = None) -> int:
    """Return how many samples may be started without waiting for a slot.

    A slot on a slow upstream does not count: a sample sent there would become a straggler, and one
    that routing keeps away from it would wait in another upstream's queue.
    """
    req = RouteRequest(tokens=0, min_weight_version=min_version)
    eligible = [u for u in upstreams if _is_eligible(u, req) and u.health.weight > 0]
    if not eligible:
        return 0
    slow = SLOW_RATE_FRACTION * typical_rate(u.tokens_per_second for u in eligible)
    return sum(
        max(
            0,
            max_slots_for_class(u.slots, Priority.TRAINER)
            - max(u.own_requests, u.reported_requests),
        )
        for u in eligible
        if not 0 < u.tokens_per_second < slow
    )


def _is_eligible(upstream: UpstreamView, req: RouteRequest) -> bool:
    if upstream.draining or upstream.id in req.excluded or not upstream.health.usable:
        return False
    if req.min_weight_version is None:
        return True
    version = upstream.weight_version
    return version is not None and version >= req.min_weight_version


def typical_rate(rates: Iterable[float]) -> float:
    """Return the median of the known rates in tokens per second; a rate of 0 is unknown."""
    known = [rate for rate in rates if rate > 0]
    return median(known) if known else FALLBACK_TOKENS_PER_SECOND

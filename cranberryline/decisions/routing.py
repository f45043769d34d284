"""Choose the upstream for a request.

Load answered: upstreams of unlike speed, load reports that lag, and prompts that share prefixes.
Random or round-robin choice sends a slow upstream as much as a fast one, and its callers wait.
Following the reports alone goes wrong in herds: every entry sees the same idle upstream until the
next report. Following the prefix cache alone sends a popular prefix to one upstream.

The measure is the expected time until this request is done there: its own tokens at the pace of one
request, after the tokens outstanding there at that pace on all slots. Where a slot is free nothing
has to be waited for, and what is outstanding counts only for `SHARING_COST`, since the batch is
shared with it. The pace is measured (see `pace`) and comes with the load report. Own outstanding
tokens count in full: they are known. What a report shows beyond them is the work of other entries;
it counts in full when fresh and half after `REPORT_HALF_LIFE`, about the time in which an engine
turns over its work. Of `SAMPLE_SIZE` upstreams drawn at random the best is taken, so that entries
that see the same reports do not all choose the same upstream; own counts alone would allow the best
of all.

Prefix affinity: the first upstream by rendezvous hash of the prefix key is expected to hold the
prefix, and its expected time is less by the work that this saves. So affinity never makes a request
wait longer than it saves, and a prefix that is too popular spills to the others by itself. Where no
slot is free there affinity counts for nothing: what a caller waits for in a full upstream is its
own turn, and callers with few prefixes would all queue at one upstream each. One upstream a prefix,
for with two each cache has to hold twice as many (measured: load "many prefixes" in
docs/POLICY.md).

Connections: where each of many entries has few requests for a service, and sends each to another upstream, its kept
connections expire between them and nearly every request opens a new one. For a short request an upstream to which a
connection waits is always among the drawn and counts as faster by `CONNECTED_SAVING`, while it has a free slot; one that
is slower than others by more than that loses its requests.

An upstream that drains, is excluded, or serves too old weights is not chosen, one that turned work away just now
(`turned_away`) only where all others did, too. One that is drawn
down by `health` counts as slower by its weight; a due probe goes first, as one request.
"""

from collections.abc import Sequence
from datetime import timedelta
from random import Random
from statistics import median

import attrs

from . import rendezvous
from .const import ZERO
from .health import HealthView
from .model import Priority
from .queueing import max_slots_for_class

__all__ = ["RouteRequest", "RoutingPolicy", "UpstreamView", "free_slots"]

REPORT_HALF_LIFE = timedelta(seconds=2)
SAMPLE_SIZE = 4
AFFINITY_CHOICES = 1
FAR_PENALTY = 0.05
SLOW_SHARE = 0.5
SHARING_COST = 0.25
CONNECTED_SAVING = 0.25
FALLBACK_TOKENS_PER_SECOND = 50.0


@attrs.frozen
class UpstreamView:
    """An upstream as one entry sees it.

    `tokens_per_second` is the pace of one request; 0 means that there is no recent measurement.
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
    resting: bool = False


@attrs.frozen
class RouteRequest:
    """A request as routing sees it; `prefix_tokens` of its `tokens` are saved by a cached prefix.

    A `short` one takes so little time that a new connection counts beside it.
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
class RoutingPolicy:
    """Routing by expected time, with bounded affinity."""

    sample_size: int = SAMPLE_SIZE
    affinity_choices: int = AFFINITY_CHOICES
    report_half_life: timedelta = REPORT_HALF_LIFE

    def choose(
        self, upstreams: Sequence[UpstreamView], req: RouteRequest, rng: Random
    ) -> str | None:
        """Return the id of the upstream to send to, or None when none may be chosen."""
        usable = [upstream for upstream in upstreams if _is_usable(upstream, req)]
        usable = [upstream for upstream in usable if not upstream.resting] or usable
        if req.may_probe:
            probes = [upstream.id for upstream in usable if upstream.health.probe_due]
            if probes:
                return rng.choice(probes)
        healthy = [upstream for upstream in usable if upstream.health.weight > 0]
        if not healthy:
            return None
        rate = _typical_rate(healthy)
        preferred = self._preferred(healthy, req)
        drawn = rng.sample(healthy, min(self.sample_size, len(healthy)))
        connected = self._connected(healthy, req)
        drawn += [upstream for upstream in (*preferred, *connected) if upstream not in drawn]
        cached = attrs.evolve(req, tokens=max(0, req.tokens - req.prefix_tokens))

        def cost(upstream: UpstreamView) -> float:
            work = cached if upstream in preferred else req
            seconds = self.expected_seconds(upstream, work, rate)
            return seconds * (1 - CONNECTED_SAVING * (upstream in connected))

        return min(drawn, key=cost).id

    def expected_seconds(self, upstream: UpstreamView, req: RouteRequest, rate: float) -> float:
        """Return the time in which the upstream would be done with the request, roughly."""
        pace = (upstream.tokens_per_second or rate) * upstream.health.weight
        ahead = self._outstanding_tokens(upstream) / max(upstream.slots, 1)
        if self._has_slot(upstream, req):
            ahead *= SHARING_COST
        far = bool(req.data_center) and upstream.data_center != req.data_center
        return (req.tokens + ahead) / pace * (1 + FAR_PENALTY * far)

    def _outstanding_tokens(self, upstream: UpstreamView) -> float:
        others = max(0, upstream.reported_tokens - upstream.own_tokens)
        return upstream.own_tokens + self._trust(upstream) * others

    def _has_slot(self, upstream: UpstreamView, req: RouteRequest) -> bool:
        others = max(0, upstream.reported_requests - upstream.own_requests)
        taken = upstream.own_requests + self._trust(upstream) * others
        return taken + 1 <= max_slots_for_class(upstream.slots, req.priority)

    def _trust(self, upstream: UpstreamView) -> float:
        if upstream.report_age is None:
            return 0.0
        return 0.5 ** (max(upstream.report_age, ZERO) / self.report_half_life)

    def _preferred(self, healthy: Sequence[UpstreamView], req: RouteRequest) -> list[UpstreamView]:
        if req.prefix_key is None or not req.prefix_tokens:
            return []
        by_id = {upstream.id: upstream for upstream in healthy}
        ranked = rendezvous.rank(req.prefix_key, by_id)
        preferred = [by_id[member] for member in ranked[: self.affinity_choices]]
        return [upstream for upstream in preferred if self._has_slot(upstream, req)]

    def _connected(self, healthy: Sequence[UpstreamView], req: RouteRequest) -> list[UpstreamView]:
        if not req.short:
            return []
        return [up for up in healthy if up.connected and self._has_slot(up, req)]


def free_slots(upstreams: Sequence[UpstreamView], min_version: int | None = None) -> int:
    """Return how many samples may be started without waiting for a slot.

    A slot on an upstream that crawls does not count: a sample sent there is a straggler at once,
    and one that is kept from there waits in the queue of another.
    """
    req = RouteRequest(tokens=0, min_weight_version=min_version)
    usable = [u for u in upstreams if _is_usable(u, req) and u.health.weight > 0]
    if not usable:
        return 0
    slow = SLOW_SHARE * _typical_rate(usable)
    return sum(
        max(
            0,
            max_slots_for_class(u.slots, Priority.TRAINER)
            - max(u.own_requests, u.reported_requests),
        )
        for u in usable
        if not 0 < u.tokens_per_second < slow
    )


def _is_usable(upstream: UpstreamView, req: RouteRequest) -> bool:
    if upstream.draining or upstream.id in req.excluded or not upstream.health.usable:
        return False
    if req.min_weight_version is None:
        return True
    version = upstream.weight_version
    return version is not None and version >= req.min_weight_version


def _typical_rate(upstreams: Sequence[UpstreamView]) -> float:
    known = [u.tokens_per_second for u in upstreams if u.tokens_per_second > 0]
    return median(known) if known else FALLBACK_TOKENS_PER_SECOND

"""Select the few upstreams of a pool that a request is weighed for."""

import itertools
from collections.abc import Iterable, Sequence
from datetime import timedelta
from random import Random

import attrs

from cranberryline.decisions import (
    Candidates,
    RouteRequest,
    RoutingPolicy,
    UpstreamView,
    typical_rate,
)
from cranberryline.helpers.sample_set import SampleSet

from .model import CallerRequest
from .pool import UpstreamPool
from .upstreams import Upstream

__all__ = ["choose_upstream"]

_ROUTING = RoutingPolicy()
# Free upstreams drawn to find a few that may serve the request; if none of them may, all
# are looked at.
_MAX_DRAWS = 32
# Failing upstreams looked at for one that is due to be probed.
_MAX_PROBE_CHECKS = 8
# Upstreams with an idle connection that a short request is weighed for.
_MAX_CONNECTED = 8


def choose_upstream(
    pool: UpstreamPool, req: CallerRequest, routed: RouteRequest, now: timedelta, rng: Random
) -> Upstream | None:
    """Return the upstream with a free slot to send a request to, or None if none may serve it.

    The pool must be up to date. `routed` is the request as routing sees it. A request that is
    pinned to an upstream gets no other one.
    """
    if req.upstream:
        return _pinned_upstream(pool, req, routed, now)
    chosen = _Selection(pool, req, routed, now, rng).choose()
    return None if chosen is None else pool.get(chosen)


def _pinned_upstream(
    pool: UpstreamPool, req: CallerRequest, routed: RouteRequest, now: timedelta
) -> Upstream | None:
    """Return the upstream of a pinned request if it can be sent there now."""
    upstream = pool.get(req.upstream)
    if upstream is None or not req.may_use(upstream.id):
        return None
    if upstream.id in pool.free:
        return upstream
    probes = routed.may_probe and upstream.id in pool.failing and upstream.probe_due(now)
    return upstream if probes else None


@attrs.frozen
class _Selection:
    """The choice of an upstream for one request."""

    _pool: UpstreamPool
    _req: CallerRequest
    _routed: RouteRequest
    _now: timedelta
    _rng: Random

    def choose(self) -> str | None:
        if self._routed.may_probe:
            probe = self._find_probe()
            if probe is not None:
                return probe
        drawn = self._draw()
        if not drawn:
            # A service without idempotent requests would never use a failing upstream again.
            return None if self._routed.may_probe else self._find_probe()
        candidates = Candidates(
            drawn=self._views(drawn),
            cached=self._views(self._find_home()),
            connected=self._views(self._find_connected()) if self._routed.short else (),
            typical_rate=self._typical_rate,
        )
        return _ROUTING.choose_candidate(candidates, self._routed)

    def _find_probe(self) -> str | None:
        """Return a failing upstream that is due to be probed; upstreams to avoid are no choice."""
        for vm_id in self._pool.failing.draw(_MAX_PROBE_CHECKS, self._rng):
            due = self._upstream(vm_id).probe_due(self._now)
            if due and vm_id not in self._routed.excluded and self._may_serve(vm_id):
                return vm_id
        return None

    def _draw(self) -> list[str]:
        """Return some free upstreams at random that may serve the request.

        Only a bounded number is looked at, unless none of these may serve.
        """
        sources = self._sources()
        drawn = _draw_from(sources, _MAX_DRAWS, self._rng)
        found = self._select(drawn)
        if found or len(drawn) < _MAX_DRAWS:
            return found
        return self._select(itertools.chain.from_iterable(sources))

    def _select(self, vm_ids: Iterable[str]) -> list[str]:
        """Return the first upstreams that may serve, the preferred ones if there are any.

        Upstreams that have just rejected a request are preferred to those to avoid.
        """
        preferred: list[str] = []
        others: list[str] = []
        for vm_id in filter(self._may_serve, vm_ids):
            (preferred if self._is_preferred(vm_id) else others).append(vm_id)
            if len(preferred) == _ROUTING.sample_size:
                break
        if preferred:
            return preferred
        return [vm_id for vm_id in others if vm_id not in self._routed.excluded] or others

    def _sources(self) -> Sequence[SampleSet[str]]:
        need = self._req.version_need
        if need is None:
            return (self._pool.free,)
        return self._pool.free_with_version(need.model, need.min_version)

    def _find_home(self) -> list[str]:
        """Return the upstream that should have the prefix cached, if it has a free slot."""
        prefix = self._routed.prefix_key
        if prefix is None or not self._routed.prefix_tokens:
            return []
        home = self._pool.homes.find(
            prefix, lambda vm_id: vm_id in self._pool.free and self._is_candidate(vm_id)
        )
        return [] if home is None else [home]

    def _find_connected(self) -> list[str]:
        """Return upstreams with a spare idle connection, those used last first."""
        found: list[str] = []
        counted = self._pool.counts_connections()
        for upstream in self._pool.recent():
            vm_id = upstream.id
            connected = upstream.spare_connections if counted else upstream.link.connected
            if connected and vm_id in self._pool.free and self._is_candidate(vm_id):
                found.append(vm_id)
            if len(found) == _MAX_CONNECTED:
                break
        return found

    def _is_candidate(self, vm_id: str) -> bool:
        return self._is_preferred(vm_id) and self._may_serve(vm_id)

    def _is_preferred(self, vm_id: str) -> bool:
        rejects = self._upstream(vm_id).rejects_requests(self._now)
        return not rejects and vm_id not in self._routed.excluded

    def _may_serve(self, vm_id: str) -> bool:
        return self._req.eligible is None or self._req.eligible(vm_id)

    def _upstream(self, vm_id: str) -> Upstream:
        upstream = self._pool.get(vm_id)
        assert upstream is not None
        return upstream

    def _views(self, vm_ids: Iterable[str]) -> list[UpstreamView]:
        upstreams = [self._upstream(vm_id) for vm_id in vm_ids]
        return [
            upstream.view(self._pool.concurrency, self._now, self._rate(upstream))
            for upstream in upstreams
        ]

    def _rate(self, upstream: Upstream) -> float:
        """Return the rate that the request's sender knows, or else the one measured here."""
        if self._req.token_rate is not None:
            return self._req.token_rate(upstream.id)
        return upstream.token_rate.tokens_per_second(self._now)

    def _typical_rate(self) -> float:
        return typical_rate(map(self._rate, self._pool.recent()))


def _draw_from(sources: Sequence[SampleSet[str]], count: int, rng: Random) -> list[str]:
    """Return up to `count` different members of all sources in random order."""
    if len(sources) == 1:
        return sources[0].draw(count, rng)
    drawn = [member for source in sources for member in source.draw(count, rng)]
    # Weighted draw without replacement (Efraimidis and Spirakis): each member that was drawn stands
    # for as many as its source has for each drawn.
    weights = [
        len(source) / min(count, len(source))
        for source in sources
        for _ in range(min(count, len(source)))
    ]
    keys = [rng.random() ** (1 / weight) for weight in weights]
    order = sorted(range(len(drawn)), key=keys.__getitem__, reverse=True)
    return [drawn[index] for index in order[:count]]

"""The upstreams of one service, indexed so that choosing one costs the same at any number."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta
from functools import partial

import attrs

from cranberryline.decisions import PrefixHomes
from cranberryline.helpers.sample_set import SampleSet
from cranberryline.transport import UpstreamLink

from .upstreams import Upstream

__all__ = ["UpstreamPool"]

# Upstreams whose requests ended last. Their rates stand for the service, and they hold the kept
# connections that the next request can reuse.
MAX_RECENT = 32

_NO_VERSIONS: Mapping[str, int] = {}


@attrs.define
class _Counted:
    """What an upstream contributes to the pool's totals and indexes."""

    usable: bool = False
    slots: int = 0
    free: bool = False
    failing: bool = False
    outdated_at: timedelta | None = None
    versions: Mapping[str, int] = _NO_VERSIONS


class UpstreamPool:
    """Keeps the free upstreams and the number of slots up to date as upstreams change.

    Adding them up for each request takes time that grows with requests times upstreams: with
    thousands of upstreams a process would do little else. A change only marks its upstream;
    `update` counts the marked ones again, before anything is read.

    `counts_connections` returns whether an idle connection is used by one request only; elsewhere
    requests of the same moment may choose an upstream for the same one.
    """

    def __init__(
        self,
        served_versions: Callable[[str], Mapping[str, int]],
        counts_connections: Callable[[], bool] = lambda: False,
    ) -> None:
        self.usable_count = 0
        self.usable_slots = 0
        self.concurrency = 0
        self.free: SampleSet[str] = SampleSet()
        self.failing: SampleSet[str] = SampleSet()
        self.homes = PrefixHomes()
        self._served_versions = served_versions
        self.counts_connections = counts_connections
        self._upstreams: dict[str, Upstream] = {}
        self._counted: dict[str, _Counted] = {}
        self._free_by_version: dict[str, dict[int, SampleSet[str]]] = {}
        self._recent: OrderedDict[str, None] = OrderedDict()
        self._outdated: list[tuple[timedelta, str]] = []
        self._changed: set[str] = set()

    def add(self, link: UpstreamLink, data_center: str) -> None:
        """Add an upstream; its id must not be in the pool."""
        vm_id = link.vm_id
        mark_changed = partial(self.mark_changed, vm_id)
        self._upstreams[vm_id] = Upstream(link, data_center, mark_changed)
        self._counted[vm_id] = _Counted()
        self.homes.add(vm_id)
        link.listen(mark_changed)
        self._changed.add(vm_id)

    def remove(self, vm_id: str) -> None:
        """Remove an upstream."""
        self._recount(vm_id, _Counted())
        del self._upstreams[vm_id], self._counted[vm_id]
        self.homes.discard(vm_id)
        self._recent.pop(vm_id, None)
        self._changed.discard(vm_id)

    def get(self, vm_id: str) -> Upstream | None:
        """Return an upstream, None if it is not in the pool."""
        return self._upstreams.get(vm_id)

    def links(self) -> Iterator[UpstreamLink]:
        """Yield the links to all upstreams."""
        return (upstream.link for upstream in self._upstreams.values())

    def iter_usable(self) -> Iterator[Upstream]:
        """Yield the upstreams that accept new requests."""
        return (upstream for upstream in self._upstreams.values() if upstream.link.usable)

    def recent(self) -> Iterator[Upstream]:
        """Yield the upstreams whose requests ended last, the last one first."""
        return (self._upstreams[vm_id] for vm_id in reversed(self._recent))

    def free_with_version(self, model: str, min_version: int) -> list[SampleSet[str]]:
        """Return the free upstreams that serve a model at a version or a newer one, by version."""
        by_version = self._free_by_version.get(model, {})
        return [members for version, members in by_version.items() if version >= min_version]

    def mark_changed(self, vm_id: str) -> None:
        """Count an upstream again at the next update."""
        if vm_id in self._upstreams:
            self._changed.add(vm_id)

    def record_ended(self, vm_id: str) -> None:
        """Record that a request at an upstream has just ended."""
        if vm_id not in self._upstreams:
            return
        self._recent[vm_id] = None
        self._recent.move_to_end(vm_id)
        if len(self._recent) > MAX_RECENT:
            self._recent.popitem(last=False)

    def update(self, concurrency: int, now: timedelta) -> None:
        """Count the upstreams again that have changed, or whose load report no longer counts."""
        if concurrency != self.concurrency:
            self.concurrency = concurrency
            self._changed.update(self._upstreams)
        while self._outdated and self._outdated[0][0] < now:
            self.mark_changed(heapq.heappop(self._outdated)[1])
        if not self._changed:
            return
        changed, self._changed = self._changed, set()
        for vm_id in changed:
            self._recount(vm_id, self._count(self._upstreams[vm_id], now))

    def _count(self, upstream: Upstream, now: timedelta) -> _Counted:
        if not upstream.link.usable:
            return _Counted()
        return _Counted(
            usable=True,
            slots=upstream.usable_slots(self.concurrency, now),
            free=upstream.has_free_slot(self.concurrency, now),
            failing=upstream.failing,
            outdated_at=upstream.load_outdated_at(now),
            versions=self._served_versions(upstream.id),
        )

    def _recount(self, vm_id: str, counted: _Counted) -> None:
        before = self._counted[vm_id]
        if before == counted:
            return
        self._counted[vm_id] = counted
        if counted.outdated_at is not None and counted.outdated_at != before.outdated_at:
            heapq.heappush(self._outdated, (counted.outdated_at, vm_id))
        self.usable_count += counted.usable - before.usable
        self.usable_slots += counted.slots - before.slots
        self._index(vm_id, before, SampleSet.discard)
        self._index(vm_id, counted, SampleSet.add)
        for model in before.versions:
            self._drop_empty(model)

    def _index(
        self,
        vm_id: str,
        counted: _Counted,
        apply: Callable[[SampleSet[str], str], None],
    ) -> None:
        """Add an upstream to the indexes that it belongs to, or discard it from them."""
        if not counted.free:
            return
        if counted.failing:
            apply(self.failing, vm_id)
            return
        apply(self.free, vm_id)
        for model, version in counted.versions.items():
            by_version = self._free_by_version.setdefault(model, {})
            apply(by_version.setdefault(version, SampleSet()), vm_id)

    def _drop_empty(self, model: str) -> None:
        by_version = self._free_by_version.get(model, {})
        for version in [version for version, members in by_version.items() if not members]:
            del by_version[version]

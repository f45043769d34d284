"""The totals and indexes of a service's upstreams, and the choice that rests on them."""

from collections.abc import Mapping
from datetime import timedelta
from random import Random
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberryline.decisions import RouteRequest
from cranberryline.dispatch.candidates import choose_upstream
from cranberryline.dispatch.model import CallerRequest, VersionNeed
from cranberryline.dispatch.pool import UpstreamPool
from cranberryline.dispatch.upstreams import Upstream
from cranberryline.transport.model import Load

from .conftest import FakeSideProcess

CONCURRENCY = 2
NOW = timedelta(seconds=100)
LATER = timedelta(seconds=10)
IDS = st.sampled_from([f"vm-{number}" for number in range(6)])


class Fleet:
    """A pool with fake links, and the versions that its upstreams serve."""

    def __init__(self, count: int = 0, versions: Mapping[str, int] | None = None) -> None:
        self.versions: dict[str, Mapping[str, int]] = {}
        self.pool = UpstreamPool(lambda vm_id: self.versions.get(vm_id, {}))
        self.links: dict[str, FakeSideProcess] = {}
        for number in range(count):
            self.add(f"vm-{number}", versions or {})
        self.pool.update(CONCURRENCY, NOW)

    def add(self, vm_id: str, versions: Mapping[str, int]) -> None:
        """Add an upstream."""
        self.versions[vm_id] = versions
        self.links[vm_id] = FakeSideProcess(vm_id)
        self.pool.add(self.links[vm_id], "levis")

    def upstream(self, vm_id: str) -> Upstream:
        """Return an upstream that is in the pool."""
        upstream = self.pool.get(vm_id)
        assert upstream is not None
        return upstream

    def choose(
        self, excluded: frozenset[str] = frozenset(), seed: int = 1, **fields: Any
    ) -> str | None:
        """Return the id of the upstream that is chosen for a request."""
        self.pool.update(CONCURRENCY, NOW)
        req = CallerRequest("files", "GET", "/", (), b"", NOW + LATER, "caller", **fields)
        routed = RouteRequest(
            tokens=1,
            prefix_key=req.prefix_key or None,
            prefix_tokens=req.prefix_tokens,
            excluded=excluded,
            may_probe=req.idempotent,
            short=req.token_rate is None,
        )
        chosen = choose_upstream(self.pool, req, routed, NOW, Random(seed))
        return None if chosen is None else chosen.id


class PoolMachine(RuleBasedStateMachine):
    """Whatever changes, the pool tells what its upstreams tell one by one."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.now = NOW

    @rule(vm_id=IDS, version=st.integers(0, 2))
    def add(self, vm_id: str, version: int) -> None:
        if vm_id not in self.fleet.links:
            self.fleet.add(vm_id, {"m": version} if version else {})

    @rule(vm_id=IDS)
    def remove(self, vm_id: str) -> None:
        if self.fleet.links.pop(vm_id, None) is not None:
            self.fleet.pool.remove(vm_id)

    @rule(vm_id=IDS, usable=st.booleans())
    def connect(self, vm_id: str, usable: bool) -> None:
        if vm_id in self.fleet.links:
            self.fleet.links[vm_id].usable = usable

    @rule(vm_id=IDS, others=st.integers(0, 3), seconds=st.integers(0, 2))
    def report_load(self, vm_id: str, others: int, seconds: int) -> None:
        if vm_id in self.fleet.links:
            link = self.fleet.links[vm_id]
            link.load = Load(others + link.outstanding, 0, 0, CONCURRENCY, None, 0)
            link.load_at = self.now - timedelta(seconds=seconds)
            link.outstanding_at_load = link.outstanding

    @rule(vm_id=IDS)
    def reserve(self, vm_id: str) -> None:
        if vm_id in self.fleet.links:
            self.fleet.upstream(vm_id).reserve(self.now)

    @rule(vm_id=IDS)
    def end(self, vm_id: str) -> None:
        if vm_id in self.fleet.links and self.fleet.upstream(vm_id)._reserved_slots:
            self.fleet.upstream(vm_id).release()
            self.fleet.pool.record_ended(vm_id)

    @rule(vm_id=IDS, failed=st.booleans())
    def answer(self, vm_id: str, failed: bool) -> None:
        if vm_id in self.fleet.links:
            upstream = self.fleet.upstream(vm_id)
            for _ in range(4 if failed else 1):
                self.now += timedelta(milliseconds=1)
                if failed:
                    upstream.attempt_failed(self.now, self.now)
                else:
                    upstream.response_completed()

    @rule(vm_id=IDS, version=st.integers(1, 3))
    def load_version(self, vm_id: str, version: int) -> None:
        if vm_id in self.fleet.links:
            self.fleet.versions[vm_id] = {"m": version}
            self.fleet.pool.mark_changed(vm_id)

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds: float) -> None:
        self.now += timedelta(seconds=seconds)

    @invariant()
    def totals_and_indexes_are_those_of_the_upstreams(self) -> None:
        pool, now = self.fleet.pool, self.now
        pool.update(CONCURRENCY, now)
        usable = [up for up in map(self.fleet.upstream, self.fleet.links) if up.link.usable]
        free = [up for up in usable if up.has_free_slot(CONCURRENCY, now)]
        assert pool.usable_count == len(usable)
        assert pool.usable_slots == sum(up.usable_slots(CONCURRENCY, now) for up in usable)
        assert set(pool.free) == {up.id for up in free if not up.failing}
        assert set(pool.failing) == {up.id for up in free if up.failing}
        for version in (1, 2, 3):
            found = {vm_id for some in pool.free_with_version("m", version) for vm_id in some}
            assert found == {
                vm_id for vm_id in pool.free if self.fleet.versions[vm_id].get("m", 0) >= version
            }
        assert {up.id for up in pool.recent()} <= self.fleet.links.keys()


TestPool = PoolMachine.TestCase
TestPool.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


@pytest.mark.parametrize("count", [30, 300, 3000])
def test_a_choice_looks_at_a_bounded_number_of_upstreams(count: int) -> None:
    """Each request looks at every upstream, so a gateway before thousands answers nothing in time."""
    fleet, asked = Fleet(count, {"m": 1}), []
    for number in range(20):
        asked.clear()
        chosen = fleet.choose(
            seed=number,
            tokens=100,
            prefix_key=f"p{number}",
            prefix_tokens=50,
            version_need=VersionNeed("m", 1),
            eligible=lambda vm_id: not asked.append(vm_id),
            token_rate=lambda _: 1.0,
        )
        assert chosen is not None and len(asked) < 100


def test_the_only_upstream_with_the_version_is_found() -> None:
    """A request is refused although an upstream among thousands could serve it."""
    fleet = Fleet(3000, {"m": 1})
    fleet.versions["vm-1234"] = {"m": 2}
    fleet.pool.mark_changed("vm-1234")
    assert fleet.choose(version_need=VersionNeed("m", 2)) == "vm-1234"
    assert fleet.choose(version_need=VersionNeed("m", 3)) is None
    assert fleet.choose(eligible=lambda vm_id: vm_id == "vm-77") == "vm-77"


def test_versions_are_drawn_by_how_many_upstreams_serve_them() -> None:
    """The few upstreams with a new version get as many requests as the many with the old one."""
    fleet = Fleet(100, {"m": 1})
    for number in range(5):
        fleet.versions[f"vm-{number}"] = {"m": 2}
        fleet.pool.mark_changed(f"vm-{number}")
    need = VersionNeed("m", 1)
    chosen = [fleet.choose(seed=seed, version_need=need) for seed in range(400)]
    newer = sum(vm_id in {f"vm-{number}" for number in range(5)} for vm_id in chosen)
    assert 5 <= newer <= 50


def test_upstreams_to_avoid_come_last() -> None:
    """A retry goes to the upstream that has just failed, or none is left to go to."""
    fleet = Fleet(3)
    fleet.upstream("vm-0").request_rejected(LATER, NOW)
    avoid = frozenset({"vm-1"})
    for seed in range(20):
        assert fleet.choose(avoid, seed) == "vm-2"
    fleet.links["vm-2"].usable = False
    for seed in range(20):
        assert fleet.choose(avoid, seed) == "vm-0"
    fleet.links["vm-0"].usable = False
    assert fleet.choose(avoid) == "vm-1"


def test_a_failing_upstream_gets_a_probe_only() -> None:
    """An upstream that fails everything at once attracts all requests, or never gets any again."""
    fleet = Fleet(2)
    for turn in range(1, 6):
        fleet.upstream("vm-0").attempt_failed(
            NOW - timedelta(seconds=9 - turn), NOW - timedelta(seconds=9 - turn)
        )
    assert fleet.choose() == "vm-0"
    fleet.upstream("vm-0").reserve(NOW)
    assert [fleet.choose(seed=seed) for seed in range(20)] == ["vm-1"] * 20


def test_a_request_that_may_run_once_is_a_probe_where_nothing_else_is_left() -> None:
    """Guards against a service without idempotent requests that is never served again after a cut."""
    fleet = Fleet(2)
    failed_at = NOW - timedelta(seconds=9)
    for vm_id in ("vm-0", "vm-1"):
        for turn in range(5):
            at = failed_at + timedelta(milliseconds=turn)
            fleet.upstream(vm_id).attempt_failed(at, at)
    fleet.upstream("vm-1").reserve(NOW)
    assert fleet.choose(idempotent=False) == "vm-0"
    fleet.upstream("vm-0").reserve(NOW)
    assert fleet.choose(idempotent=False) is None


def test_a_request_that_may_run_once_is_no_probe_beside_a_sound_upstream() -> None:
    """Guards against a run that is lost at a failing upstream although another one was free."""
    fleet = Fleet(2)
    failed_at = NOW - timedelta(seconds=9)
    for turn in range(5):
        at = failed_at + timedelta(milliseconds=turn)
        fleet.upstream("vm-0").attempt_failed(at, at)
    assert [fleet.choose(seed=seed, idempotent=False) for seed in range(20)] == ["vm-1"] * 20


def test_a_short_request_goes_where_a_connection_waits() -> None:
    """With many upstreams nearly every plain request opens a new connection."""
    fleet = Fleet(300)
    fleet.links["vm-42"].connected = True
    fleet.pool.record_ended("vm-42")
    assert [fleet.choose(seed=seed) for seed in range(20)] == ["vm-42"] * 20

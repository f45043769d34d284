"""Registrations of several incarnations in any order: late, repeated, removed or rejected."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.store import StoreError, StoreProblem
from cranberryline.upstreams.directory import Directory, Registration
from cranberryline.upstreams.errors import RegistrationProblem

IDS = st.sampled_from(["i-1", "i-2"])
START_TIMES = st.integers(0, 3)


def _make_registration(upstream: str, born: int, draining: bool) -> Registration:
    return Registration(upstream, "s", f"10.0.0.{born}:80", "dc", 4, draining, {"m": born}, born)


class RegistrationsInAnyOrder(RuleBasedStateMachine):
    """Only the newest incarnation of an upstream, and its own state, decide whether it is used."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.health = StoreHealth(self.clock)
        self.directory = Directory(self.clock, self.health)
        self.newest: dict[str, int] = {}
        self.drained: set[str] = set()
        self.superseded: list[str] = []
        self.directory.listen_superseded(self.superseded.append)

    @rule(upstream=IDS, born=START_TIMES, draining=st.booleans())
    def put(self, upstream: str, born: int, draining: bool) -> None:
        """Register an incarnation, which may be an older one."""
        registration = _make_registration(upstream, born, draining)
        newest = self.newest.get(upstream, born)
        result = self.directory.put(registration)
        assert result.is_ok() == (born >= newest)
        if born >= newest:
            self.newest[upstream] = born
            if draining:
                self.drained.add(registration.key)
            assert self.directory.get(registration.key) is not None
            assert self.directory.version(registration.key, "m") == born

    @rule(upstream=IDS)
    def remove(self, upstream: str) -> None:
        """Remove a registration."""
        self.directory.remove(upstream)

    @rule(upstream=IDS)
    def reject(self, upstream: str) -> None:
        """Reject an invalid entry."""
        self.directory.reject(upstream, RegistrationProblem.UNREADABLE)
        assert all(vm.name != upstream for vm in self.directory.membership.upstreams())

    @rule(upstream=IDS, born=START_TIMES)
    def record_version(self, upstream: str, born: int) -> None:
        """Record a version from a response, perhaps one of a replaced incarnation."""
        key = _make_registration(upstream, born, False).key
        self.directory.record_version(key, "m", 9)
        known = self.directory.get(key) is not None
        assert self.directory.version(key, "m") == (9 if known else None)

    @rule(fails=st.booleans())
    def advance_time(self, fails: bool) -> None:
        """Advance the time, perhaps after a store failure."""
        if fails:
            self.health.failed(StoreError(StoreProblem.REFUSED), "", self.clock.monotonic())
        self.clock.advance(timedelta(seconds=1))
        self.directory.expire()

    @invariant()
    def only_the_newest_incarnation_is_in_use(self) -> None:
        """Check that each id has at most one row, of its newest incarnation unless that drains.

        Each replaced incarnation must be reported once.
        """
        rows = self.directory.membership.upstreams()
        assert len({vm.name for vm in rows}) == len(rows)
        for vm in rows:
            registration = self.directory.get(vm.id)
            assert registration is not None and registration.born == self.newest[vm.name]
            assert vm.id not in self.drained and not registration.draining
        assert len(set(self.superseded)) == len(self.superseded)
        current = {_make_registration(name, born, False).key for name, born in self.newest.items()}
        assert current.isdisjoint(self.superseded)


TestRegistrationsInAnyOrder = RegistrationsInAnyOrder.TestCase


@given(st.permutations(range(1, 6)))
def test_newest_incarnation_is_used_in_any_order(order: list[int]) -> None:
    """Five incarnations register in any order; the newest one must be in use."""
    clock = FakeClock()
    directory = Directory(clock, StoreHealth(clock))
    for born in order:
        directory.put(_make_registration("i-1", born, draining=born < 5))
    assert [vm.address for vm in directory.membership.upstreams()] == ["http://10.0.0.5:80"]

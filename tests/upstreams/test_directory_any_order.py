"""Entries in any order: late, repeated, gone, refused, of several starts of several upstreams."""

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
STARTS = st.integers(0, 3)


def _row(upstream: str, born: int, draining: bool) -> Registration:
    return Registration(upstream, "s", f"10.0.0.{born}:80", "dc", 4, draining, {"m": born}, born)


class EntriesInAnyOrder(RuleBasedStateMachine):
    """What is in use is told by the newest start alone, and by what was told of that."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.health = StoreHealth(self.clock)
        self.directory = Directory(self.clock, self.health)
        self.newest: dict[str, int] = {}
        self.drained: set[str] = set()
        self.over: list[str] = []
        self.directory.listen_over(self.over.append)

    @rule(upstream=IDS, born=STARTS, draining=st.booleans())
    def put(self, upstream: str, born: int, draining: bool) -> None:
        """Tell of a start, in any order."""
        row = _row(upstream, born, draining)
        newest = self.newest.get(upstream, born)
        taken = self.directory.put(row)
        assert taken.is_ok() == (born >= newest)
        if born >= newest:
            self.newest[upstream] = born
            if draining:
                self.drained.add(row.key)
            assert self.directory.get(row.key) is not None
            assert self.directory.version(row.key, "m") == born

    @rule(upstream=IDS)
    def remove(self, upstream: str) -> None:
        """Tell of the end of an entry."""
        self.directory.remove(upstream)

    @rule(upstream=IDS)
    def refuse(self, upstream: str) -> None:
        """Find an entry that names no upstream."""
        self.directory.refuse(upstream, RegistrationProblem.UNREADABLE)
        assert all(vm.name != upstream for vm in self.directory.membership.upstreams())

    @rule(upstream=IDS, born=STARTS)
    def learn(self, upstream: str, born: int) -> None:
        """Hear an answer, perhaps of a start that is over."""
        key = _row(upstream, born, False).key
        self.directory.learn(key, "m", 9)
        known = self.directory.get(key) is not None
        assert self.directory.version(key, "m") == (9 if known else None)

    @rule(fails=st.booleans())
    def pass_time(self, fails: bool) -> None:
        """Let time pass, with the store in trouble or not."""
        if fails:
            self.health.failed(StoreError(StoreProblem.REFUSED), "read")
        self.clock.advance(timedelta(seconds=1))
        self.directory.expire()

    @invariant()
    def only_the_newest_start_is_in_use(self) -> None:
        """One row for each id at most, not of a start that drained; no end is told twice."""
        rows = self.directory.membership.upstreams()
        assert len({vm.name for vm in rows}) == len(rows)
        for vm in rows:
            row = self.directory.get(vm.id)
            assert row is not None and row.born == self.newest[vm.name]
            assert vm.id not in self.drained and not row.draining
        assert len(set(self.over)) == len(self.over)
        current = {_row(name, born, False).key for name, born in self.newest.items()}
        assert current.isdisjoint(self.over)


TestEntriesInAnyOrder = EntriesInAnyOrder.TestCase


@given(st.permutations(range(1, 6)))
def test_the_newest_start_stands_whatever_the_order(order: list[int]) -> None:
    """Five starts told in any order: the last one is in use."""
    clock = FakeClock()
    directory = Directory(clock, StoreHealth(clock))
    for born in order:
        directory.put(_row("i-1", born, draining=born < 5))
    assert [vm.address for vm in directory.membership.upstreams()] == ["http://10.0.0.5:80"]

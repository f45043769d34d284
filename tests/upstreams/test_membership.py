"""The membership view: a lagging list, drain notices, and nonsense in either."""

from typing import Any

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cranberryline.ports.model import VmEntry, VmList, VmRole, VmState
from cranberryline.upstreams import Membership, MembershipReason, MemberState

IDS = ("vm-0", "vm-1", "vm-2")


def upstream(vm_id: str, state: VmState = VmState.LIVE, service: str = "s") -> VmEntry:
    """Return an upstream's row."""
    return VmEntry(
        vm_id,
        VmRole.UPSTREAM,
        state,
        "dc",
        "tcp://127.0.0.1:7000",
        "http://127.0.0.1:9000",
        service,
    )


def entry(vm_id: str) -> VmEntry:
    """Return an entry's row."""
    return VmEntry(vm_id, VmRole.ENTRY, VmState.LIVE, "dc", "tcp://127.0.0.1:7000")


@pytest.fixture
def membership() -> Membership:
    """Return a view that has seen a list with one entry and two upstreams."""
    membership = Membership()
    membership.apply_list(VmList(5, (entry("e"), upstream("vm-0"), upstream("vm-1", service="t"))))
    return membership


def usable(membership: Membership) -> list[str]:
    """Return the ids of the usable upstreams."""
    return [vm.id for vm in membership.upstreams()]


def test_upstreams_by_service(membership: Membership) -> None:
    """Entries and upstreams are told apart, and upstreams by service."""
    assert [vm.id for vm in membership.entries()] == ["e"]
    assert [vm.id for vm in membership.upstreams("t")] == ["vm-1"]


def test_upstream_without_a_side_process_is_usable(membership: Membership) -> None:
    """An empty peer is no mistake for an upstream: it is reached at its own address."""
    direct = attrs.evolve(upstream("vm-2"), peer="")
    assert membership.apply_list(VmList(6, (direct,))).unwrap().refused == ()
    assert usable(membership) == ["vm-2"]


def test_late_live_does_not_undo_a_drain(membership: Membership) -> None:
    """A side process announces its stop; the list, which lags, shows it live again and again.

    What callers see: no new work goes there. The next life of the VM is usable at once.
    """
    membership.apply_welcome("vm-0", "life-1", draining=False)
    membership.apply_drain("vm-0", "life-1")
    membership.apply_list(VmList(6, (upstream("vm-0"),)))
    membership.apply_welcome("vm-0", "life-1", draining=False)
    assert membership.state("vm-0") is MemberState.DRAINING
    membership.apply_welcome("vm-0", "life-2", draining=False)
    assert membership.state("vm-0") is MemberState.USABLE


def test_late_drain_of_an_earlier_life_is_refused(membership: Membership) -> None:
    """A drain notice is delayed until the VM's next life answers; that life stays usable."""
    membership.apply_welcome("vm-0", "life-1", draining=False)
    membership.apply_welcome("vm-0", "life-2", draining=False)
    refused = membership.apply_drain("vm-0", "life-1").unwrap_err()
    assert refused.reason is MembershipReason.SUPERSEDED
    assert "vm-0" in usable(membership)


def test_leaving_is_final_for_an_id(membership: Membership) -> None:
    """An id that was `leaving` is not used again, whatever a later list or its process says."""
    membership.apply_list(VmList(6, (upstream("vm-0", VmState.LEAVING), upstream("vm-1"))))
    membership.apply_list(VmList(7, (upstream("vm-0"), upstream("vm-1"))))
    membership.apply_welcome("vm-0", "life-9", draining=False)
    assert usable(membership) == ["vm-1"]


def test_list_versions_never_go_back(membership: Membership) -> None:
    """An answer of the list service that was overtaken by a newer one changes nothing."""
    membership.apply_list(VmList(6, (upstream("vm-0"),)))
    refused = membership.apply_list(VmList(5, (upstream("vm-9"),))).unwrap_err()
    assert refused.reason is MembershipReason.OLD_VERSION
    assert usable(membership) == ["vm-0"]


@pytest.mark.parametrize(
    ("vm_list", "reason"),
    [
        (None, MembershipReason.BAD_LIST),
        (VmList("9", ()), MembershipReason.BAD_LIST),
        (VmList(True, ()), MembershipReason.BAD_LIST),
        (VmList(-3, ()), MembershipReason.BAD_LIST),
        (VmList(9, 3), MembershipReason.BAD_LIST),
        (VmList(9, ()), MembershipReason.EMPTY_LIST),
    ],
)
def test_nonsense_list_is_refused_whole(
    membership: Membership, vm_list: Any, reason: MembershipReason
) -> None:
    """A list that cannot be one changes nothing and is counted."""
    before = usable(membership)
    assert membership.apply_list(vm_list).unwrap_err().reason is reason
    assert membership.refusals[reason] == 1
    assert usable(membership) == before


@pytest.mark.parametrize(
    "change",
    [
        {"id": ""},
        {"id": 7},
        {"id": "x" * 1000},
        {"role": "king"},
        {"state": "undead"},
        {"peer": "ipc://x"},
        {"peer": None},
        {"peer": "", "role": VmRole.ENTRY},
        {"data_center": None},
        {"service": ""},
        {"address": "ftp://x"},
    ],
)
def test_nonsense_row_is_passed_over(membership: Membership, change: dict[str, Any]) -> None:
    """One bad row is refused and counted; the others of its list are taken."""
    bad = attrs.evolve(upstream("bad"), **change)
    applied = membership.apply_list(VmList(6, (bad, upstream("vm-2")))).unwrap()
    assert [row.row for row in applied.refused] == [0]
    assert usable(membership) == ["vm-2"]


def test_id_that_stands_twice_counts_as_leaving_if_either_row_says_so(
    membership: Membership,
) -> None:
    """Two rows of one id contradict each other: the careful reading holds."""
    rows = (upstream("vm-0"), upstream("vm-0", VmState.LEAVING), upstream("vm-1"))
    applied = membership.apply_list(VmList(6, rows)).unwrap()
    assert applied.refused[0].reason is MembershipReason.DUPLICATE_ID
    assert usable(membership) == ["vm-1"]


@pytest.mark.parametrize("notice", [("", "life"), ("vm-0", ""), (None, "life"), ("vm-0", 5)])
def test_nonsense_notice_is_refused(membership: Membership, notice: tuple[Any, Any]) -> None:
    """A notice without an id or incarnation changes nothing."""
    refused = membership.apply_drain(*notice).unwrap_err()
    assert refused.reason is MembershipReason.BAD_NOTICE
    assert usable(membership) == ["vm-0", "vm-1"]


def test_listeners_hear_only_of_changes(membership: Membership) -> None:
    """A listener is called once for each change of who is usable."""
    calls: list[int] = []
    membership.listen(lambda: calls.append(1))
    membership.apply_drain("vm-0", "life-1")
    membership.apply_drain("vm-0", "life-1")
    membership.apply_list(VmList(6, (entry("e"), upstream("vm-0"), upstream("vm-1", service="t"))))
    assert len(calls) == 1


class MembershipMachine(RuleBasedStateMachine):
    """Lists, welcomes and drain notices of several lives, in any order and repeated."""

    @initialize()
    def start(self) -> None:
        """Start with all upstreams live, each in its first life."""
        self.membership = Membership()
        self.version = 1
        self.lives = dict.fromkeys(IDS, 0)
        self.drained: dict[str, set[int]] = {vm_id: set() for vm_id in IDS}
        self.met: dict[str, int] = {}
        self.left: set[str] = set()
        self.listed: set[str] = set(IDS)
        self.membership.apply_list(VmList(1, tuple(map(upstream, IDS))))

    @rule(
        states=st.tuples(*[st.sampled_from([None, VmState.LIVE, VmState.LEAVING]) for _ in IDS]),
        newer=st.booleans(),
    )
    def list_arrives(self, states: tuple[VmState | None, ...], newer: bool) -> None:
        """Apply a list, or one that was overtaken."""
        version = self.version + 1 if newer else self.version
        rows = tuple(
            upstream(vm_id, state)
            for vm_id, state in zip(IDS, states, strict=True)
            if state is not None
        )
        taken = self.membership.apply_list(VmList(version, rows)).is_ok()
        assert taken == (newer and bool(rows or not self.listed))
        if taken:
            self.version = version
            self.listed = {vm.id for vm in rows}
            self.left |= {vm.id for vm in rows if vm.state is VmState.LEAVING}
            for vm_id in set(IDS) - self.listed:
                if vm_id in self.left or self.met.get(vm_id) not in self.drained[vm_id]:
                    self.met.pop(vm_id, None)

    @rule(vm_id=st.sampled_from(IDS))
    def restart(self, vm_id: str) -> None:
        """Begin the next life of a VM."""
        self.lives[vm_id] += 1

    @rule(vm_id=st.sampled_from(IDS), back=st.integers(0, 2), draining=st.booleans())
    def welcome(self, vm_id: str, back: int, draining: bool) -> None:
        """Hear from a life, perhaps an earlier one, late."""
        self.notice(vm_id, max(0, self.lives[vm_id] - back), draining, "welcome")

    @rule(vm_id=st.sampled_from(IDS), back=st.integers(0, 2))
    def drain(self, vm_id: str, back: int) -> None:
        """Hear of a stop, perhaps late."""
        self.notice(vm_id, max(0, self.lives[vm_id] - back), True, "drain")

    def notice(self, vm_id: str, life: int, draining: bool, kind: str) -> None:
        """Apply a notice to the view and to the model.

        Lives are met in order here: one that was never heard of before its successor is told from
        a newer one by nothing, so the model leaves it out.
        """
        if life < self.met.get(vm_id, 0) and not self.was_met(vm_id, life):
            return
        if kind == "drain":
            self.membership.apply_drain(vm_id, f"{vm_id}-{life}")
        else:
            self.membership.apply_welcome(vm_id, f"{vm_id}-{life}", draining)
        if life >= self.met.get(vm_id, 0):
            self.met[vm_id] = life
            self.seen.setdefault(vm_id, set()).add(life)
            if draining:
                self.drained[vm_id].add(life)

    @property
    def seen(self) -> dict[str, set[int]]:
        """Return the lives that the view has met, by VM."""
        return self.__dict__.setdefault("_seen", {})

    def was_met(self, vm_id: str, life: int) -> bool:
        """Return whether the view has met a life and still remembers its VM."""
        return vm_id in self.met and life in self.seen.get(vm_id, set())

    @invariant()
    def no_work_for_those_that_left(self) -> None:
        """Never use an id that was ever `leaving`, or that is not listed."""
        if not hasattr(self, "membership"):
            return
        found = {vm.id for vm in self.membership.upstreams()}
        assert not found & self.left
        assert found <= self.listed

    @invariant()
    def no_work_for_a_drained_life(self) -> None:
        """Never use a VM whose present life announced its stop, whatever the list says."""
        if not hasattr(self, "membership"):
            return
        for vm_id, life in self.met.items():
            if life in self.drained[vm_id]:
                assert not self.membership.usable(vm_id)


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(max_examples=150, stateful_step_count=40)


def test_who_is_usable_is_worked_out_once_for_each_change(
    membership: Membership, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An entry asks for the live entries several times a second, of a list of 8,000 rows."""
    first = (membership.entries(), membership.upstreams("dossiers"), membership.upstreams())
    monkeypatch.setattr(Membership, "state", _fail)
    again = (membership.entries(), membership.upstreams("dossiers"), membership.upstreams())
    assert again == first


def _fail(*_: object) -> MemberState:
    raise AssertionError("worked out again without a change")

"""Membership: outdated lists, drain notices, and invalid input of either kind."""

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
    """Return the row of an upstream."""
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
    """Return the row of an entry."""
    return VmEntry(vm_id, VmRole.ENTRY, VmState.LIVE, "dc", "tcp://127.0.0.1:7000")


@pytest.fixture
def membership() -> Membership:
    """Return a membership with one entry and two upstreams."""
    membership = Membership()
    membership.apply_list(VmList(5, (entry("e"), upstream("vm-0"), upstream("vm-1", service="t"))))
    return membership


def usable(membership: Membership) -> list[str]:
    """Return the ids of the usable upstreams."""
    return [vm.id for vm in membership.upstreams()]


def test_upstreams_are_returned_by_service(membership: Membership) -> None:
    """Entries must not be returned as upstreams, nor upstreams for another service."""
    assert [vm.id for vm in membership.entries()] == ["e"]
    assert [vm.id for vm in membership.upstreams("t")] == ["vm-1"]


def test_upstream_without_a_side_process_is_usable(membership: Membership) -> None:
    """An empty peer is valid for an upstream, which is then reached at its own address."""
    direct = attrs.evolve(upstream("vm-2"), peer="")
    assert membership.apply_list(VmList(6, (direct,))).unwrap().refused == ()
    assert usable(membership) == ["vm-2"]


def test_outdated_list_does_not_undo_a_drain(membership: Membership) -> None:
    """A side process announces its stop, and the lagging list still shows it as live.

    The VM must get no new work, or callers would see refusals. Its next incarnation is usable at
    once.
    """
    membership.apply_welcome("vm-0", "life-1", draining=False)
    membership.apply_drain("vm-0", "life-1")
    membership.apply_list(VmList(6, (upstream("vm-0"),)))
    membership.apply_welcome("vm-0", "life-1", draining=False)
    assert membership.state("vm-0") is MemberState.DRAINING
    membership.apply_welcome("vm-0", "life-2", draining=False)
    assert membership.state("vm-0") is MemberState.USABLE


def test_late_drain_of_an_earlier_incarnation_is_refused(membership: Membership) -> None:
    """A drain notice arrives after the VM's next incarnation, which must stay usable."""
    membership.apply_welcome("vm-0", "life-1", draining=False)
    membership.apply_welcome("vm-0", "life-2", draining=False)
    refused = membership.apply_drain("vm-0", "life-1").unwrap_err()
    assert refused.reason is MembershipReason.SUPERSEDED
    assert "vm-0" in usable(membership)


def test_leaving_is_final_for_an_id(membership: Membership) -> None:
    """An id that was `leaving` must not be used again, whatever is reported about it later."""
    membership.apply_list(VmList(6, (upstream("vm-0", VmState.LEAVING), upstream("vm-1"))))
    membership.apply_list(VmList(7, (upstream("vm-0"), upstream("vm-1"))))
    membership.apply_welcome("vm-0", "life-9", draining=False)
    assert usable(membership) == ["vm-1"]


def test_list_with_an_older_version_is_refused(membership: Membership) -> None:
    """A response of the list service arrives after a newer one; it must change nothing."""
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
def test_invalid_list_is_refused_as_a_whole(
    membership: Membership, vm_list: Any, reason: MembershipReason
) -> None:
    """A list with an invalid type or version, or without rows, is counted and changes nothing."""
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
def test_invalid_row_is_refused_alone(membership: Membership, change: dict[str, Any]) -> None:
    """One invalid row is refused; the other rows of its list must still apply."""
    bad = attrs.evolve(upstream("bad"), **change)
    applied = membership.apply_list(VmList(6, (bad, upstream("vm-2")))).unwrap()
    assert [row.row for row in applied.refused] == [0]
    assert usable(membership) == ["vm-2"]


def test_duplicate_id_is_leaving_if_either_row_is(
    membership: Membership,
) -> None:
    """Two rows of one id contradict each other; the VM must not get work."""
    rows = (upstream("vm-0"), upstream("vm-0", VmState.LEAVING), upstream("vm-1"))
    applied = membership.apply_list(VmList(6, rows)).unwrap()
    assert applied.refused[0].reason is MembershipReason.DUPLICATE_ID
    assert usable(membership) == ["vm-1"]


@pytest.mark.parametrize("notice", [("", "life"), ("vm-0", ""), (None, "life"), ("vm-0", 5)])
def test_invalid_notice_is_refused(membership: Membership, notice: tuple[Any, Any]) -> None:
    """A notice without a valid id or incarnation must change nothing."""
    refused = membership.apply_drain(*notice).unwrap_err()
    assert refused.reason is MembershipReason.BAD_NOTICE
    assert usable(membership) == ["vm-0", "vm-1"]


def test_listeners_are_called_only_for_changes(membership: Membership) -> None:
    """A listener is called once per change of the usable VMs, not for each list or notice."""
    calls: list[set[str]] = []
    membership.listen(lambda changed: calls.append(set(changed)))
    membership.apply_drain("vm-0", "life-1")
    membership.apply_drain("vm-0", "life-1")
    membership.apply_list(VmList(6, (entry("e"), upstream("vm-0"), upstream("vm-1", service="t"))))
    assert calls == [{"vm-0"}]


def test_changed_rows_apply_without_the_whole_list() -> None:
    """Each change of one upstream costs as much as the list has rows.

    A row that is changed, becomes invalid, leaves or is removed counts as it would in a list.
    """
    membership, calls = Membership(may_be_empty=True), list[set[str]]()
    membership.listen(lambda changed: calls.append(set(changed)))
    membership.apply_rows([upstream(f"vm-{number}") for number in range(4)], ())
    membership.apply_rows([upstream("vm-0")], ["vm-9"])
    membership.apply_rows(
        [upstream("vm-1", VmState.LEAVING), upstream("vm-2", service="")], ["vm-3"]
    )
    membership.apply_rows([upstream("vm-1")], ())
    assert calls == [
        {"vm-0", "vm-1", "vm-2", "vm-3"},
        {"vm-1", "vm-2", "vm-3"},
        {"vm-1"},
    ]
    assert usable(membership) == ["vm-0"]
    assert [membership.upstream(f"vm-{number}") for number in range(4)] == [
        upstream("vm-0"),
        None,
        None,
        None,
    ]


class MembershipMachine(RuleBasedStateMachine):
    """Lists, welcomes and drain notices of several incarnations, in any order and repeated.

    `incarnations` is the current incarnation of each VM; `reported` the newest one that the
    membership has a notice of, and `seen` all of those.
    """

    @initialize()
    def start(self) -> None:
        """Start with all upstreams live, each in its first incarnation."""
        self.membership = Membership()
        self.version = 1
        self.incarnations = dict.fromkeys(IDS, 0)
        self.drained: dict[str, set[int]] = {vm_id: set() for vm_id in IDS}
        self.reported: dict[str, int] = {}
        self.left_ids: set[str] = set()
        self.listed_ids: set[str] = set(IDS)
        self.membership.apply_list(VmList(1, tuple(map(upstream, IDS))))

    @rule(
        states=st.tuples(*[st.sampled_from([None, VmState.LIVE, VmState.LEAVING]) for _ in IDS]),
        newer=st.booleans(),
    )
    def apply_list(self, states: tuple[VmState | None, ...], newer: bool) -> None:
        """Apply a list, which may have an outdated version."""
        version = self.version + 1 if newer else self.version
        rows = tuple(
            upstream(vm_id, state)
            for vm_id, state in zip(IDS, states, strict=True)
            if state is not None
        )
        applied = self.membership.apply_list(VmList(version, rows)).is_ok()
        assert applied == (newer and bool(rows or not self.listed_ids))
        if applied:
            self.version = version
            self.listed_ids = {vm.id for vm in rows}
            self.left_ids |= {vm.id for vm in rows if vm.state is VmState.LEAVING}
            for vm_id in set(IDS) - self.listed_ids:
                if vm_id in self.left_ids or self.reported.get(vm_id) not in self.drained[vm_id]:
                    self.reported.pop(vm_id, None)

    @rule(vm_id=st.sampled_from(IDS))
    def restart(self, vm_id: str) -> None:
        """Start the next incarnation of a VM."""
        self.incarnations[vm_id] += 1

    @rule(vm_id=st.sampled_from(IDS), back=st.integers(0, 2), draining=st.booleans())
    def welcome(self, vm_id: str, back: int, draining: bool) -> None:
        """Receive a welcome, perhaps a late one of an earlier incarnation."""
        self.notice(vm_id, max(0, self.incarnations[vm_id] - back), draining, "welcome")

    @rule(vm_id=st.sampled_from(IDS), back=st.integers(0, 2))
    def drain(self, vm_id: str, back: int) -> None:
        """Receive a drain notice, perhaps a late one of an earlier incarnation."""
        self.notice(vm_id, max(0, self.incarnations[vm_id] - back), True, "drain")

    def notice(self, vm_id: str, incarnation: int, draining: bool, kind: str) -> None:
        """Apply a notice to the membership and to the model.

        The membership cannot tell an earlier incarnation from a newer one if the first notice of
        it comes after its successor's. The model omits this case.
        """
        if incarnation < self.reported.get(vm_id, 0) and not self.was_reported(vm_id, incarnation):
            return
        if kind == "drain":
            self.membership.apply_drain(vm_id, f"{vm_id}-{incarnation}")
        else:
            self.membership.apply_welcome(vm_id, f"{vm_id}-{incarnation}", draining)
        if incarnation >= self.reported.get(vm_id, 0):
            self.reported[vm_id] = incarnation
            self.seen.setdefault(vm_id, set()).add(incarnation)
            if draining:
                self.drained[vm_id].add(incarnation)

    @property
    def seen(self) -> dict[str, set[int]]:
        """Return the incarnations of which the membership has received a notice, by VM."""
        return self.__dict__.setdefault("_seen", {})

    def was_reported(self, vm_id: str, incarnation: int) -> bool:
        """Return whether the membership had a notice of an incarnation and still stores its VM."""
        return vm_id in self.reported and incarnation in self.seen.get(vm_id, set())

    @invariant()
    def vms_that_left_are_not_usable(self) -> None:
        """Check that no id is usable that was ever `leaving`, or that is not listed."""
        if not hasattr(self, "membership"):
            return
        found = {vm.id for vm in self.membership.upstreams()}
        assert not found & self.left_ids
        assert found <= self.listed_ids

    @invariant()
    def drained_incarnations_are_not_usable(self) -> None:
        """Check that no VM is usable whose current incarnation drains, whatever the list says."""
        if not hasattr(self, "membership"):
            return
        for vm_id, incarnation in self.reported.items():
            if incarnation in self.drained[vm_id]:
                assert not self.membership.usable(vm_id)


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(max_examples=150, stateful_step_count=40)


def test_usable_vms_are_computed_once_per_change(
    membership: Membership, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An entry requests the live entries several times a second, from a list of 8,000 rows.

    Computing them each time would take too much CPU time, so they are cached until a change.
    """
    first = (membership.entries(), membership.upstreams("dossiers"), membership.upstreams())
    monkeypatch.setattr(Membership, "state", _fail)
    again = (membership.entries(), membership.upstreams("dossiers"), membership.upstreams())
    assert again == first


def _fail(*_: object) -> MemberState:
    raise AssertionError("usable VMs computed again without a change")

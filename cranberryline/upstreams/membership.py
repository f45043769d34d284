"""The view of entries and upstreams, from the VM list and from what the processes say."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryline.ports.model import VmEntry, VmList, VmRole, VmState

from .const import (
    ADDRESS_PREFIX,
    INCARNATIONS_KEPT,
    LEFT_IDS_KEPT,
    MAX_TEXT_LENGTH,
    PEER_PREFIX,
)
from .errors import MembershipReason, MembershipRefused
from .model import ListApplied, MemberState, RowRefused

__all__ = ["Membership"]

Listener = Callable[[], None]


@attrs.define
class _Life:
    """What a VM's process said of itself: its present incarnation, earlier ones, its drain."""

    incarnation: str
    drained: bool = False
    superseded: deque[str] = attrs.field(factory=lambda: deque(maxlen=INCARNATIONS_KEPT))


class Membership:
    """Join the VM list, which lags, with notices from the processes themselves.

    A VM is usable while the list shows it live and its process has announced no stop. `leaving`
    in the list is final for an id. A drain notice holds for the incarnation that gave it.

    `may_be_empty` is for a list that is folded here, row by row: without it, the end of the last
    upstream would be taken for a list service that lost its data, and the upstream stay in use.
    """

    def __init__(self, may_be_empty: bool = False) -> None:
        self._may_be_empty = may_be_empty
        self._version = 0
        self._rows: dict[str, VmEntry] = {}
        self._left: OrderedDict[str, None] = OrderedDict()
        self._lives: dict[str, _Life] = {}
        self._listeners: list[Listener] = []
        self._usable_by_service: dict[str | None, list[VmEntry]] = {}
        self._usable_entries: list[VmEntry] | None = None
        self.refusals: Counter[MembershipReason] = Counter()

    @property
    def version(self) -> int:
        """Return the version of the last list taken, 0 before the first."""
        return self._version

    def listen(self, listener: Listener) -> None:
        """Call back after each change of the rows or of who is usable."""
        self._listeners.append(listener)

    def entries(self) -> list[VmEntry]:
        """Return the usable entries, sorted by id."""
        if self._usable_entries is None:
            rows = [vm for vm in self._sorted() if vm.role is VmRole.ENTRY]
            self._usable_entries = [vm for vm in rows if self._usable(vm.id)]
        return list(self._usable_entries)

    def upstreams(self, service: str | None = None) -> list[VmEntry]:
        """Return the usable upstreams of a service, or of all, sorted by id."""
        found = self._usable_by_service.get(service)
        if found is None:
            rows = [vm for vm in self._sorted() if vm.role is VmRole.UPSTREAM]
            found = [vm for vm in rows if service in (None, vm.service) and self._usable(vm.id)]
            if found:
                self._usable_by_service[service] = found
        return list(found)

    def get(self, vm_id: str) -> VmEntry | None:
        """Return the list's row of a VM."""
        return self._rows.get(vm_id)

    def all(self) -> list[VmEntry]:
        """Return every row of the list, sorted by id."""
        return self._sorted()

    def state(self, vm_id: str) -> MemberState:
        """Return whether a VM gets new work, and why not."""
        if vm_id in self._left:
            return MemberState.LEAVING
        if vm_id not in self._rows:
            return MemberState.GONE
        life = self._lives.get(vm_id)
        if life is not None and life.drained:
            return MemberState.DRAINING
        return MemberState.USABLE

    def usable(self, vm_id: str) -> bool:
        """Return whether a VM may get new work."""
        return self._usable(vm_id)

    def apply_list(self, vm_list: VmList) -> Result[ListApplied, MembershipRefused]:
        """Take a newer list; bad rows are passed over, a list that cannot be one is refused."""
        problem = self._check_list(vm_list)
        if problem is not None:
            self.refusals[problem.reason] += 1
            return Err(problem)
        before, rows_before = self._usable_ids(), self._rows
        rows, refused = self._read_rows(vm_list.vms)
        self._version = vm_list.version
        self._rows = rows
        for vm in rows.values():
            if vm.state is VmState.LEAVING:
                self._left[vm.id] = None
        self._forget()
        after = self._usable_ids()
        joined, left = tuple(sorted(after - before)), tuple(sorted(before - after))
        self._notify(bool(joined or left) or rows != rows_before)
        return Ok(ListApplied(vm_list.version, joined, left, tuple(refused)))

    def apply_drain(self, vm_id: str, incarnation: str) -> Result[bool, MembershipRefused]:
        """Take a process's notice that it stops; return whether anything changed.

        The list may show the VM live for minutes more, or again. Taking it back then would send
        work to a process that refuses it, and callers would see refusals: the notice holds until
        another incarnation answers for the VM.
        """
        return self._apply_life(vm_id, incarnation, drained=True)

    def apply_welcome(
        self, vm_id: str, incarnation: str, draining: bool
    ) -> Result[bool, MembershipRefused]:
        """Take what a process says of itself when it is reached."""
        return self._apply_life(vm_id, incarnation, drained=draining)

    def _apply_life(
        self, vm_id: str, incarnation: str, drained: bool
    ) -> Result[bool, MembershipRefused]:
        if not _is_text(vm_id) or not _is_text(incarnation) or not isinstance(drained, bool):
            return self._refuse_notice(MembershipReason.BAD_NOTICE, f"{vm_id!r} {incarnation!r}")
        before = self._usable(vm_id)
        life = self._lives.get(vm_id)
        if life is None:
            life = self._lives[vm_id] = _Life(incarnation)
        if incarnation in life.superseded:
            return self._refuse_notice(MembershipReason.SUPERSEDED, vm_id)
        if incarnation != life.incarnation:
            life.superseded.append(life.incarnation)
            life.incarnation = incarnation
            life.drained = False
        life.drained = life.drained or drained
        changed = self._usable(vm_id) != before
        self._notify(changed)
        return Ok(changed)

    def _refuse_notice(
        self, reason: MembershipReason, detail: str
    ) -> Result[bool, MembershipRefused]:
        self.refusals[reason] += 1
        return Err(MembershipRefused(reason, detail[:MAX_TEXT_LENGTH]))

    def _check_list(self, vm_list: Any) -> MembershipRefused | None:
        if not isinstance(vm_list, VmList) or not isinstance(vm_list.vms, tuple | list):
            return MembershipRefused(MembershipReason.BAD_LIST, "not a VM list")
        version = vm_list.version
        if not isinstance(version, int) or isinstance(version, bool) or version < 1:
            return MembershipRefused(MembershipReason.BAD_LIST, f"version {version!r}"[:80])
        if version <= self._version:
            return MembershipRefused(
                MembershipReason.OLD_VERSION, f"version {version}, {self._version} is known"
            )
        # A list service that lost its data answers an empty list. Taking it would drop every
        # upstream at once; a true end of all VMs ends the entry that reads it too.
        if self._rows and not vm_list.vms and not self._may_be_empty:
            return MembershipRefused(MembershipReason.EMPTY_LIST, "no VMs, not even ourselves")
        return None

    def _read_rows(self, vms: Any) -> tuple[dict[str, VmEntry], list[RowRefused]]:
        rows: dict[str, VmEntry] = {}
        refused: list[RowRefused] = []
        for number, vm in enumerate(vms):
            detail = _row_problem(vm)
            reason = MembershipReason.BAD_ROW
            if not detail and vm.id in rows:
                detail, reason = "the id stands twice", MembershipReason.DUPLICATE_ID
                if vm.state is VmState.LEAVING:
                    rows[vm.id] = attrs.evolve(rows[vm.id], state=VmState.LEAVING)
            if detail:
                self.refusals[reason] += 1
                shown = str(getattr(vm, "id", ""))[:MAX_TEXT_LENGTH]
                refused.append(RowRefused(number, shown, reason, detail))
                continue
            rows[vm.id] = vm
        return rows, refused

    def _forget(self) -> None:
        for vm_id in [vm_id for vm_id in self._lives if vm_id not in self._rows]:
            life = self._lives[vm_id]
            if vm_id in self._left or not life.drained:
                del self._lives[vm_id]
        excess = len(self._left) - LEFT_IDS_KEPT
        if excess <= 0:
            return
        for vm_id in [vm_id for vm_id in self._left if vm_id not in self._rows][:excess]:
            del self._left[vm_id]

    def _sorted(self) -> list[VmEntry]:
        return [vm for _, vm in sorted(self._rows.items())]

    def _usable(self, vm_id: str) -> bool:
        return self.state(vm_id) is MemberState.USABLE

    def _usable_ids(self) -> set[str]:
        return {vm_id for vm_id in self._rows if self._usable(vm_id)}

    def _notify(self, changed: bool) -> None:
        # Who tails the log asks for the entries several times a second; going through thousands of
        # rows each time would take more of the processor than all other control together. A row
        # may change without its VM becoming usable or not, so every list makes them anew.
        self._usable_by_service.clear()
        self._usable_entries = None
        if not changed:
            return
        for listener in self._listeners:
            listener()


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH


def _row_problem(vm: Any) -> str:
    if not isinstance(vm, VmEntry):
        return "not a row"
    if not _is_text(vm.id):
        return "id is empty or too long"
    if not isinstance(vm.role, VmRole) or not isinstance(vm.state, VmState):
        return "role or state is not one we know"
    if not isinstance(vm.data_center, str):
        return "data_center is not a text"
    # Only an upstream can do without a process of ours; an empty peer says that it does, while a
    # missing one is a mistake.
    direct = vm.role is VmRole.UPSTREAM and vm.peer == ""
    if not direct and (not _is_text(vm.peer) or not vm.peer.startswith(PEER_PREFIX)):
        return f"peer does not start with {PEER_PREFIX}"
    if vm.role is VmRole.UPSTREAM and not _is_text(vm.service):
        return "an upstream without a service"
    if vm.role is VmRole.UPSTREAM and not str(vm.address).startswith(ADDRESS_PREFIX):
        return f"address does not start with {ADDRESS_PREFIX}"
    return ""

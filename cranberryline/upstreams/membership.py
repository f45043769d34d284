"""Membership of entry and upstream VMs, from the VM list and from notices of their processes."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Collection, Iterable
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryline.ports.model import VmEntry, VmList, VmRole, VmState

from .const import (
    ADDRESS_PREFIX,
    MAX_LEFT_IDS,
    MAX_SUPERSEDED_INCARNATIONS,
    MAX_TEXT_LENGTH,
    PEER_PREFIX,
)
from .errors import MembershipReason, MembershipRefused
from .model import ListApplied, MemberState, RowRefused

__all__ = ["Membership"]

Listener = Callable[[Collection[str]], None]


@attrs.define
class _ProcessState:
    """State that a VM's process reported: its current and earlier incarnations, and its drain."""

    incarnation: str
    drained: bool = False
    superseded: deque[str] = attrs.field(factory=lambda: deque(maxlen=MAX_SUPERSEDED_INCARNATIONS))


class Membership:
    """Combines the VM list, which lags, with notices from the processes themselves.

    A VM is usable while the list shows it as live and its process has not announced that it stops.
    The state `leaving` in the list is final for an id. A drain notice applies to the incarnation
    that sent it.

    `may_be_empty` accepts empty lists, for a list that is built in this process. Otherwise an empty
    list is refused, since it means that the list service lost its data; the removal of the last
    upstream would then be refused too, and the upstream would stay in use.
    """

    def __init__(self, may_be_empty: bool = False) -> None:
        self._may_be_empty = may_be_empty
        self._version = 0
        self._rows: dict[str, VmEntry] = {}
        self._left_ids: OrderedDict[str, None] = OrderedDict()
        self._processes: dict[str, _ProcessState] = {}
        self._listeners: list[Listener] = []
        self._usable_by_service: dict[str | None, list[VmEntry]] = {}
        self._usable_entries: list[VmEntry] | None = None
        self.refusals: Counter[MembershipReason] = Counter()

    @property
    def version(self) -> int:
        """Return the version of the last applied list, 0 before the first."""
        return self._version

    def listen(self, listener: Listener) -> None:
        """Call a listener after each change of rows or of usability, with the ids of these VMs."""
        self._listeners.append(listener)

    def entries(self) -> list[VmEntry]:
        """Return the usable entry VMs, sorted by id."""
        if self._usable_entries is None:
            rows = [vm for vm in self._sorted_rows() if vm.role is VmRole.ENTRY]
            self._usable_entries = [vm for vm in rows if self._usable(vm.id)]
        return list(self._usable_entries)

    def upstreams(self, service: str | None = None) -> list[VmEntry]:
        """Return the usable upstreams of one service, or of all services, sorted by id."""
        found = self._usable_by_service.get(service)
        if found is None:
            rows = [vm for vm in self._sorted_rows() if vm.role is VmRole.UPSTREAM]
            found = [vm for vm in rows if service in (None, vm.service) and self._usable(vm.id)]
            if found:
                self._usable_by_service[service] = found
        return list(found)

    def upstream(self, vm_id: str) -> VmEntry | None:
        """Return the row of a VM if it is a usable upstream, else None."""
        vm = self._rows.get(vm_id)
        return vm if vm is not None and vm.role is VmRole.UPSTREAM and self._usable(vm_id) else None

    def get(self, vm_id: str) -> VmEntry | None:
        """Return the row of a VM, or None if the list does not contain it."""
        return self._rows.get(vm_id)

    def all(self) -> list[VmEntry]:
        """Return every row of the list, sorted by id."""
        return self._sorted_rows()

    def state(self, vm_id: str) -> MemberState:
        """Return whether a VM gets new work, and if not, why."""
        if vm_id in self._left_ids:
            return MemberState.LEAVING
        if vm_id not in self._rows:
            return MemberState.GONE
        process = self._processes.get(vm_id)
        if process is not None and process.drained:
            return MemberState.DRAINING
        return MemberState.USABLE

    def usable(self, vm_id: str) -> bool:
        """Return whether a VM may get new work."""
        return self._usable(vm_id)

    def apply_list(self, vm_list: VmList) -> Result[ListApplied, MembershipRefused]:
        """Apply a newer list without its invalid rows; an invalid or outdated list is refused."""
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
                self._left_ids[vm.id] = None
        self._discard_stale()
        after = self._usable_ids()
        joined, left = tuple(sorted(after - before)), tuple(sorted(before - after))
        changed = {vm_id for vm_id in rows_before if rows.get(vm_id) != rows_before[vm_id]}
        self._notify(changed | (rows.keys() - rows_before.keys()) | (after ^ before))
        return Ok(ListApplied(vm_list.version, joined, left, tuple(refused)))

    def apply_rows(self, changed: Collection[VmEntry], removed: Iterable[str]) -> None:
        """Apply changed and removed rows of a list that is kept in this process.

        It costs as much as there are changes, whereas a whole list costs as much as it has rows. An
        invalid row removes the one that its VM had.
        """
        rows, _ = self._read_rows(changed)
        removed = {*removed, *(vm.id for vm in changed if vm.id not in rows)}
        gone = {vm_id for vm_id in removed if self._rows.pop(vm_id, None) is not None}
        ids = gone | {vm_id for vm_id, vm in rows.items() if self._rows.get(vm_id) != vm}
        self._rows.update(rows)
        for vm in rows.values():
            if vm.state is VmState.LEAVING:
                self._left_ids[vm.id] = None
        self._version += 1
        self._limit_left_ids()
        self._notify(ids)

    def apply_drain(self, vm_id: str, incarnation: str) -> Result[bool, MembershipRefused]:
        """Apply a process's notice that it stops; return whether the VM's usability changed.

        The list may show the VM as live for minutes after it, or again. If it became usable then,
        callers would see refusals of a process that accepts no more work. So the notice applies
        until another incarnation of the VM reports itself.
        """
        return self._apply_notice(vm_id, incarnation, drained=True)

    def apply_welcome(
        self, vm_id: str, incarnation: str, draining: bool
    ) -> Result[bool, MembershipRefused]:
        """Apply the state that a process reports when a connection to it is made."""
        return self._apply_notice(vm_id, incarnation, drained=draining)

    def _apply_notice(
        self, vm_id: str, incarnation: str, drained: bool
    ) -> Result[bool, MembershipRefused]:
        if (
            not _is_valid_text(vm_id)
            or not _is_valid_text(incarnation)
            or not isinstance(drained, bool)
        ):
            return self._refuse_notice(MembershipReason.BAD_NOTICE, f"{vm_id!r} {incarnation!r}")
        before = self._usable(vm_id)
        process = self._processes.get(vm_id)
        if process is None:
            process = self._processes[vm_id] = _ProcessState(incarnation)
        if incarnation in process.superseded:
            return self._refuse_notice(MembershipReason.SUPERSEDED, vm_id)
        if incarnation != process.incarnation:
            process.superseded.append(process.incarnation)
            process.incarnation = incarnation
            process.drained = False
        process.drained = process.drained or drained
        changed = self._usable(vm_id) != before
        self._notify({vm_id} if changed else ())
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
                MembershipReason.OLD_VERSION, f"version {version} is not newer than {self._version}"
            )
        # A list service that lost its data returns an empty list. Applying it would remove every
        # upstream at once. If all VMs were really gone, so would be the entry that reads the list.
        if self._rows and not vm_list.vms and not self._may_be_empty:
            return MembershipRefused(MembershipReason.EMPTY_LIST, "the list contains no VMs")
        return None

    def _read_rows(self, vms: Any) -> tuple[dict[str, VmEntry], list[RowRefused]]:
        rows: dict[str, VmEntry] = {}
        refused: list[RowRefused] = []
        for index, vm in enumerate(vms):
            detail = _row_problem(vm)
            reason = MembershipReason.BAD_ROW
            if not detail and vm.id in rows:
                detail, reason = "duplicate id", MembershipReason.DUPLICATE_ID
                if vm.state is VmState.LEAVING:
                    rows[vm.id] = attrs.evolve(rows[vm.id], state=VmState.LEAVING)
            if detail:
                self.refusals[reason] += 1
                vm_id = str(getattr(vm, "id", ""))[:MAX_TEXT_LENGTH]
                refused.append(RowRefused(index, vm_id, reason, detail))
                continue
            rows[vm.id] = vm
        return rows, refused

    def _discard_stale(self) -> None:
        """Discard state of VMs that are not in the list, to limit memory.

        A drain of a VM that has not left is kept, since the list may show the VM again. Left ids
        are kept up to `MAX_LEFT_IDS`.
        """
        for vm_id in [vm_id for vm_id in self._processes if vm_id not in self._rows]:
            process = self._processes[vm_id]
            if vm_id in self._left_ids or not process.drained:
                del self._processes[vm_id]
        self._limit_left_ids()

    def _limit_left_ids(self) -> None:
        excess = len(self._left_ids) - MAX_LEFT_IDS
        if excess <= 0:
            return
        for vm_id in [vm_id for vm_id in self._left_ids if vm_id not in self._rows][:excess]:
            del self._left_ids[vm_id]

    def _sorted_rows(self) -> list[VmEntry]:
        return [vm for _, vm in sorted(self._rows.items())]

    def _usable(self, vm_id: str) -> bool:
        return self.state(vm_id) is MemberState.USABLE

    def _usable_ids(self) -> set[str]:
        return {vm_id for vm_id in self._rows if self._usable(vm_id)}

    def _notify(self, changed: Collection[str]) -> None:
        # Readers of the log ask for the entries several times a second; scanning thousands of rows
        # each time would take more CPU time than all other control work together. A row may change
        # while its VM stays usable, so every list and notice clears the caches.
        self._usable_by_service.clear()
        self._usable_entries = None
        if not changed:
            return
        for listener in self._listeners:
            listener(changed)


def _is_valid_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH


def _row_problem(vm: Any) -> str:
    if not isinstance(vm, VmEntry):
        return "not a VM entry"
    if not _is_valid_text(vm.id):
        return "id is empty or too long"
    if not isinstance(vm.role, VmRole) or not isinstance(vm.state, VmState):
        return "unknown role or state"
    if not isinstance(vm.data_center, str):
        return "data_center is not a string"
    # Only an upstream can run without a side process; an empty peer says so, and a missing one is
    # an error.
    direct = vm.role is VmRole.UPSTREAM and vm.peer == ""
    if not direct and (not _is_valid_text(vm.peer) or not vm.peer.startswith(PEER_PREFIX)):
        return f"peer does not start with {PEER_PREFIX}"
    if vm.role is VmRole.UPSTREAM and not _is_valid_text(vm.service):
        return "upstream without a service"
    if vm.role is VmRole.UPSTREAM and not str(vm.address).startswith(ADDRESS_PREFIX):
        return f"address does not start with {ADDRESS_PREFIX}"
    return ""

"""Notices that inform side processes of the members of their service, sent only on changes."""

from collections.abc import Iterable

from cranberryline.ports.model import VmRole
from cranberryline.transport.model import Members
from cranberryline.upstreams import Membership

__all__ = ["MAX_LISTED_MEMBERS", "MemberNotices"]

# A notice with the ids of 7,300 upstreams takes 100 KB. It would go to each of 28 side processes at
# each change of the list, about every 30 s, which is ten times the limit for control traffic. In
# services above this size, side processes need only the count: they choose their turns by hash.
MAX_LISTED_MEMBERS = 64


class MemberNotices:
    """Create member notices, and keep the last one of each connected side process."""

    def __init__(self, members: Membership) -> None:
        self._members = members
        self._last_notices: dict[str, Members] = {}

    def take_changed(self, peers: Iterable[str]) -> list[tuple[str, Members]]:
        """Return the notices that differ from the last ones of these side processes, as now sent."""
        by_service = self._ids_by_service()
        changed = []
        for peer in peers:
            vm = self._members.get(peer)
            if vm is None or vm.role is not VmRole.UPSTREAM:
                continue
            notice = _notice(vm.service, by_service.get(vm.service, []))
            if self._last_notices.get(peer) != notice:
                self._last_notices[peer] = notice
                changed.append((peer, notice))
        return changed

    def forget(self, peer: str) -> None:
        """Discard the last notice of a lost connection; the next one may reach a new process."""
        self._last_notices.pop(peer, None)

    def _ids_by_service(self) -> dict[str, list[str]]:
        by_service: dict[str, list[str]] = {}
        for vm in self._members.upstreams():
            by_service.setdefault(vm.service, []).append(vm.id)
        return by_service


def _notice(service: str, ids: list[str]) -> Members:
    listed = tuple(ids) if len(ids) <= MAX_LISTED_MEMBERS else ()
    return Members(service, listed, len(ids))

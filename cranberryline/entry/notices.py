"""Tell side processes of the members of their service, and only what is new to them."""

from collections.abc import Iterable

from cranberryline.ports.model import VmRole
from cranberryline.transport.model import Members
from cranberryline.upstreams import Membership

__all__ = ["MAX_LISTED_MEMBERS", "MemberNotices"]

# All ids of 7,300 upstreams are 100 KB, to each of 28 side processes at each change of the list,
# which is every half minute: ten times what control may send. Above this size side processes need
# the count alone, since they take their turns by hash.
MAX_LISTED_MEMBERS = 64


class MemberNotices:
    """Keep what each connected side process was told last."""

    def __init__(self, members: Membership) -> None:
        self._members = members
        self._told: dict[str, Members] = {}

    def due(self, peers: Iterable[str]) -> list[tuple[str, Members]]:
        """Return the notices that are news to these side processes, and note them as told."""
        by_service = self._ids_by_service()
        found = []
        for peer in peers:
            row = self._members.get(peer)
            if row is None or row.role is not VmRole.UPSTREAM:
                continue
            notice = _notice(row.service, by_service.get(row.service, []))
            if self._told.get(peer) != notice:
                self._told[peer] = notice
                found.append((peer, notice))
        return found

    def forget(self, peer: str) -> None:
        """Forget a connection that ended: what is behind the next one may know nothing."""
        self._told.pop(peer, None)

    def _ids_by_service(self) -> dict[str, list[str]]:
        by_service: dict[str, list[str]] = {}
        for vm in self._members.upstreams():
            by_service.setdefault(vm.service, []).append(vm.id)
        return by_service


def _notice(service: str, ids: list[str]) -> Members:
    listed = tuple(ids) if len(ids) <= MAX_LISTED_MEMBERS else ()
    return Members(service, listed, len(ids))

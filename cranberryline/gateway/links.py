"""Direct links from the gateway to upstreams, without a side process in between."""

from collections.abc import Callable, Collection

from cranberryline.dispatch.direct import DirectUpstream, DirectUpstreams
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.ports.model import VmEntry
from cranberryline.upstreams import Membership

__all__ = ["DirectLinks"]


def _never(_upstream: VmEntry) -> bool:
    return False


class DirectLinks:
    """Maintain a direct link to each upstream that accepts new requests.

    `is_cordoned` returns whether an operator wants an upstream to get none.
    """

    def __init__(
        self,
        table: UpstreamTable,
        direct_upstreams: DirectUpstreams,
        is_cordoned: Callable[[VmEntry], bool] = _never,
    ) -> None:
        self._table = table
        self._direct_upstreams = direct_upstreams
        self._is_cordoned = is_cordoned
        self._links: dict[str, tuple[VmEntry, DirectUpstream]] = {}

    def apply(self, members: Membership, changed: Collection[str]) -> None:
        """Drain the links of removed, cordoned and changed upstreams, and add links to new ones.

        `changed` are the ids of the VMs to look at. A drained link gets no new requests; those that
        run on it finish.
        """
        for vm_id in sorted(changed):
            entry = members.upstream(vm_id)
            if entry is not None and self._is_cordoned(entry):
                entry = None
            known = self._links.get(vm_id)
            if known is not None and known[0] == entry:
                continue
            if known is not None:
                del self._links[vm_id]
                self._table.remove(vm_id)
                self._direct_upstreams.drain(known[1])
            if entry is not None:
                link = self._direct_upstreams.make(entry)
                self._links[vm_id] = (entry, link)
                self._table.add(entry.service, link, entry.data_center)

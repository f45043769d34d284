"""Direct links from the gateway to upstreams, without a side process in between."""

from collections.abc import Collection

from cranberryline.dispatch.direct import DirectUpstream, DirectUpstreams
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.ports.model import VmEntry
from cranberryline.upstreams import Membership

__all__ = ["DirectLinks"]


class DirectLinks:
    """Maintain a direct link to each upstream that accepts new requests."""

    def __init__(self, table: UpstreamTable, direct_upstreams: DirectUpstreams) -> None:
        self._table = table
        self._direct_upstreams = direct_upstreams
        self._links: dict[str, tuple[VmEntry, DirectUpstream]] = {}

    def apply(self, members: Membership, changed: Collection[str]) -> None:
        """Drain the links of removed and changed upstreams, and add links to new and changed ones.

        `changed` are the ids of the VMs to look at. A drained link gets no new requests; those that
        run on it finish.
        """
        for vm_id in sorted(changed):
            entry = members.upstream(vm_id)
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

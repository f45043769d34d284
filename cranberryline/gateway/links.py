"""Direct links from the gateway to upstreams, without a side process in between."""

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

    def apply(self, members: Membership) -> None:
        """Drain the links of removed and changed upstreams, and add links to new and changed ones.

        A drained link gets no new requests; those that run on it finish.
        """
        entries = {vm.id: vm for vm in members.upstreams()}
        for vm_id in [key for key, (entry, _) in self._links.items() if entries.get(key) != entry]:
            self._table.remove(vm_id)
            self._direct_upstreams.drain(self._links.pop(vm_id)[1])
        for vm_id in sorted(entries.keys() - self._links.keys()):
            entry = entries[vm_id]
            link = self._direct_upstreams.make(entry)
            self._links[vm_id] = (entry, link)
            self._table.add(entry.service, link, entry.data_center)

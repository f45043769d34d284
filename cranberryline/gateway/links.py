"""The gateway's ways to upstreams, each reached without a side process."""

from cranberryline.dispatch.direct import DirectUpstream, DirectUpstreams
from cranberryline.dispatch.upstreams import UpstreamTable
from cranberryline.ports.model import VmEntry
from cranberryline.upstreams import Membership

__all__ = ["DirectLinks"]


class DirectLinks:
    """Keep a direct way to each upstream that takes new work."""

    def __init__(self, table: UpstreamTable, directs: DirectUpstreams) -> None:
        self._table = table
        self._directs = directs
        self._links: dict[str, tuple[VmEntry, DirectUpstream]] = {}

    def apply(self, members: Membership) -> None:
        """Reach what has come; give no new work to what leaves, and let its runs end."""
        rows = {vm.id: vm for vm in members.upstreams()}
        for vm_id in [key for key, (row, _) in self._links.items() if rows.get(key) != row]:
            self._table.remove(vm_id)
            self._directs.drain(self._links.pop(vm_id)[1])
        for vm_id in sorted(rows.keys() - self._links.keys()):
            row = rows[vm_id]
            link = self._directs.make(row)
            self._links[vm_id] = (row, link)
            self._table.add(row.service, link, row.data_center)

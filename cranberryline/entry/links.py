"""An entry's ways to upstreams: which to take, over what, and when to let go."""

import asyncio
from datetime import timedelta

from cranberryline.decisions import SubsetChooser
from cranberryline.dispatch.direct import DirectUpstream, DirectUpstreams
from cranberryline.dispatch.upstreams import UpstreamTable
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.model import VmEntry, VmRole
from cranberryline.transport import DialerEvents, UpstreamLink
from cranberryline.transport.model import Message
from cranberryline.upstreams import Membership, MemberState

from .dialing import Dialers, Dialing

__all__ = ["SideLinks"]

# A connection to an upstream that has left the list is kept while answers still come over it.
_LINGER_POLL = timedelta(milliseconds=200)


class SideLinks:
    """Keep a way to each upstream of this entry's subset.

    That is a connection to its side process, with a task of its own, or where the list shows none
    a direct one.
    """

    def __init__(
        self,
        dialing: Dialing,
        events: DialerEvents,
        table: UpstreamTable,
        metrics: Metrics,
        directs: DirectUpstreams,
    ) -> None:
        self._clock = dialing.clock
        self._vm_id = dialing.vm_id
        self._dialers = Dialers(dialing, events)
        self._table = table
        self._metrics = metrics
        self._directs = directs
        self._links: dict[str, UpstreamLink] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._choosers: dict[str, SubsetChooser] = {}

    def connected(self) -> list[str]:
        """Return the side processes that can be reached now."""
        return self._dialers.connected()

    def get(self, vm_id: str) -> UpstreamLink | None:
        """Return the way to an upstream."""
        return self._links.get(vm_id)

    def send(self, vm_id: str, msg: Message) -> bool:
        """Send a message to a side process; False when it cannot be reached."""
        link = self._links.get(vm_id)
        return link is not None and link.send(msg)

    def apply(self, members: Membership) -> None:
        """Reach what the subset gained; give no new work to what it lost.

        A side process that drains stays dialled: answers still come over the connection, and only
        over a new one does its successor on that VM say that it is there.
        """
        rows = {vm.id: vm for vm in members.all() if _is_reached(vm, members)}
        wanted = self._subset(members, rows)
        kept = {vm_id for vm_id in wanted if self._still_fits(rows[vm_id])}
        for vm_id in self._links.keys() - kept:
            self._retire(vm_id)
        for vm_id in sorted(wanted - self._links.keys()):
            self._add(rows[vm_id])
        self._metrics.peers.set(len(self._dialers))

    async def async_close(self) -> None:
        """End every connection."""
        closing = list(self._closing)
        for task in closing:
            task.cancel()
        await asyncio.gather(self._dialers.async_close(), *closing, return_exceptions=True)

    def _subset(self, members: Membership, rows: dict[str, VmEntry]) -> set[str]:
        entries = sorted({vm.id for vm in members.entries()} | {self._vm_id})
        by_service: dict[str, list[str]] = {}
        for vm in rows.values():
            by_service.setdefault(vm.service, []).append(vm.id)
        known = self._choosers
        self._choosers = {
            service: known.get(service) or SubsetChooser(self._vm_id) for service in by_service
        }
        wanted: set[str] = set()
        for service, ids in by_service.items():
            wanted |= self._choosers[service].choose(entries, ids)
        return wanted

    def _still_fits(self, row: VmEntry) -> bool:
        """Tell whether the way to an upstream is the one that its row asks for now."""
        link = self._links.get(row.id)
        if isinstance(link, DirectUpstream):
            return not row.peer and (row.address, row.service) == (link.address, link.service)
        return link is not None and bool(row.peer)

    def _add(self, row: VmEntry) -> None:
        link = self._dialers.dial(row) if row.peer else self._directs.make(row)
        self._links[row.id] = link
        self._table.add(row.service, link, row.data_center)

    def _retire(self, vm_id: str) -> None:
        self._table.remove(vm_id)
        link = self._links.pop(vm_id)
        if isinstance(link, DirectUpstream):
            self._directs.drain(link)
            return
        task = self._dialers.release(vm_id)
        closing = asyncio.ensure_future(self._async_close_when_idle(link, task))
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)

    async def _async_close_when_idle(self, link: UpstreamLink, task: asyncio.Task[None]) -> None:
        while link.outstanding:
            await self._clock.async_sleep(_LINGER_POLL)
        task.cancel()


def _is_reached(vm: VmEntry, members: Membership) -> bool:
    state = members.state(vm.id)
    return vm.role is VmRole.UPSTREAM and state in (MemberState.USABLE, MemberState.DRAINING)

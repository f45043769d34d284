"""The links of an entry to its subset of the upstreams, direct or through side processes."""

import asyncio
from datetime import timedelta

from cranberryline.decisions import SubsetChooser
from cranberryline.dispatch.direct import DirectUpstream, DirectUpstreams
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.model import VmEntry, VmRole
from cranberryline.transport import DialerEvents, UpstreamLink
from cranberryline.transport.model import Message
from cranberryline.upstreams import Membership, MemberState

from .dialing import DialContext, DialerPool

__all__ = ["UpstreamLinks"]

# A connection to a removed upstream stays open while responses still arrive over it.
_IDLE_POLL_INTERVAL = timedelta(milliseconds=200)


class UpstreamLinks:
    """Keep a link to each upstream of this entry's subset.

    A link is a connection to the upstream's side process, run by its own task, or a direct link if
    the VM list shows no side process.
    """

    def __init__(
        self,
        context: DialContext,
        events: DialerEvents,
        table: UpstreamTable,
        metrics: Metrics,
        direct_upstreams: DirectUpstreams,
    ) -> None:
        self._clock = context.clock
        self._vm_id = context.vm_id
        self._dialer_pool = DialerPool(context, events)
        self._table = table
        self._metrics = metrics
        self._direct_upstreams = direct_upstreams
        self._links: dict[str, UpstreamLink] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self._subset_choosers: dict[str, SubsetChooser] = {}

    def connected(self) -> list[str]:
        """Return the VM ids of the side processes that are connected now."""
        return self._dialer_pool.connected()

    def get(self, vm_id: str) -> UpstreamLink | None:
        """Return the link to an upstream, or None if it is not in the subset."""
        return self._links.get(vm_id)

    def send(self, vm_id: str, msg: Message) -> bool:
        """Send a message to a side process; return False if it is not connected."""
        link = self._links.get(vm_id)
        return link is not None and link.send(msg)

    def apply(self, members: Membership) -> None:
        """Add links to upstreams that joined the subset, and remove those of upstreams that left.

        A draining side process stays dialled: responses still arrive over the connection, and the
        process that replaces it on that VM is discovered only when the connection is made again.
        """
        vms = {vm.id: vm for vm in members.all() if _is_connectable(vm, members)}
        chosen = self._choose_subset(members, vms)
        unchanged = {vm_id for vm_id in chosen if self._matches_vm(vms[vm_id])}
        for vm_id in self._links.keys() - unchanged:
            self._remove_link(vm_id)
        for vm_id in sorted(chosen - self._links.keys()):
            self._add_link(vms[vm_id])
        self._metrics.peers.set(len(self._dialer_pool))

    async def async_close(self) -> None:
        """Close all connections."""
        closing = list(self._closing_tasks)
        for task in closing:
            task.cancel()
        await asyncio.gather(self._dialer_pool.async_close(), *closing, return_exceptions=True)

    def _choose_subset(self, members: Membership, vms: dict[str, VmEntry]) -> set[str]:
        entries = sorted({vm.id for vm in members.entries()} | {self._vm_id})
        by_service: dict[str, list[str]] = {}
        for vm in vms.values():
            by_service.setdefault(vm.service, []).append(vm.id)
        previous_choosers = self._subset_choosers
        self._subset_choosers = {
            service: previous_choosers.get(service) or SubsetChooser(self._vm_id)
            for service in by_service
        }
        chosen: set[str] = set()
        for service, ids in by_service.items():
            chosen |= self._subset_choosers[service].choose(entries, ids)
        return chosen

    def _matches_vm(self, vm: VmEntry) -> bool:
        """Return whether the existing link still matches the upstream's row in the VM list."""
        link = self._links.get(vm.id)
        if isinstance(link, DirectUpstream):
            return not vm.peer and (vm.address, vm.service) == (link.address, link.service)
        return link is not None and bool(vm.peer)

    def _add_link(self, vm: VmEntry) -> None:
        link = self._dialer_pool.dial(vm) if vm.peer else self._direct_upstreams.make(vm)
        self._links[vm.id] = link
        self._table.add(vm.service, link, vm.data_center)

    def _remove_link(self, vm_id: str) -> None:
        self._table.remove(vm_id)
        link = self._links.pop(vm_id)
        if isinstance(link, DirectUpstream):
            self._direct_upstreams.drain(link)
            return
        task = self._dialer_pool.detach(vm_id)
        closing = asyncio.ensure_future(self._async_close_when_idle(link, task))
        self._closing_tasks.add(closing)
        closing.add_done_callback(self._closing_tasks.discard)

    async def _async_close_when_idle(self, link: UpstreamLink, task: asyncio.Task[None]) -> None:
        while link.outstanding:
            await self._clock.async_sleep(_IDLE_POLL_INTERVAL)
        task.cancel()


def _is_connectable(vm: VmEntry, members: Membership) -> bool:
    state = members.state(vm.id)
    return vm.role is VmRole.UPSTREAM and state in (MemberState.USABLE, MemberState.DRAINING)

"""An entry's connections to side processes: which to dial, and when to let go."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import zmq

from cranberryline.decisions import SubsetChooser
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.platform.model import VmEntry, VmRole
from cranberryline.transport import Dialer, DialerEvents
from cranberryline.transport.model import Hello, Message
from cranberryline.upstreams import Membership, MemberState

from .upstreams import PeerTable

__all__ = ["SideLinks"]

# A connection to an upstream that has left the list is kept while answers still come over it.
_LINGER_POLL = timedelta(milliseconds=200)


class SideLinks:
    """Keep one task for each side process of this entry's subset."""

    def __init__(
        self,
        ctx: zmq.Context,
        clock: Clock,
        vm_id: str,
        hello: Callable[[], Hello],
        next_id: Callable[[], int],
        events: DialerEvents,
        table: PeerTable,
        metrics: Metrics,
    ) -> None:
        self._ctx = ctx
        self._clock = clock
        self._vm_id = vm_id
        self._hello = hello
        self._next_id = next_id
        self._events = events
        self._table = table
        self._metrics = metrics
        self._dialers: dict[str, Dialer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._choosers: dict[str, SubsetChooser] = {}

    def connected(self) -> list[str]:
        """Return the side processes that can be reached now."""
        return [vm_id for vm_id, dialer in self._dialers.items() if dialer.welcome is not None]

    def get(self, vm_id: str) -> Dialer | None:
        """Return the connection with a side process."""
        return self._dialers.get(vm_id)

    def send(self, vm_id: str, msg: Message) -> bool:
        """Send a message to a side process; False when it cannot be reached."""
        dialer = self._dialers.get(vm_id)
        return dialer is not None and dialer.send(msg)

    def apply(self, members: Membership) -> None:
        """Dial what the subset gained; give no new work to what it lost.

        A side process that drains stays dialled: answers still come over the connection, and only
        over a new one does its successor on that VM say that it is there.
        """
        rows = {vm.id: vm for vm in members.all() if _is_dialled(vm, members)}
        wanted = self._subset(members, rows)
        for vm_id in [vm_id for vm_id in self._dialers if vm_id not in wanted]:
            self._retire(vm_id)
        for vm_id in sorted(wanted - self._dialers.keys()):
            self._dial(rows[vm_id])
        self._metrics.peers.set(len(self._dialers))

    async def async_close(self) -> None:
        """End every connection."""
        tasks = [*self._tasks.values(), *self._closing]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

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

    def _dial(self, row: VmEntry) -> None:
        dialer = Dialer(
            self._ctx, self._clock, row.id, row.peer, self._hello, self._events, self._next_id
        )
        self._dialers[row.id] = dialer
        self._table.add(row.service, dialer, row.data_center)
        self._tasks[row.id] = asyncio.ensure_future(dialer.async_run())

    def _retire(self, vm_id: str) -> None:
        self._table.remove(vm_id)
        dialer, task = self._dialers.pop(vm_id), self._tasks.pop(vm_id)
        closing = asyncio.ensure_future(self._async_close_when_idle(dialer, task))
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)

    async def _async_close_when_idle(self, dialer: Dialer, task: asyncio.Task[None]) -> None:
        while dialer.outstanding:
            await self._clock.async_sleep(_LINGER_POLL)
        task.cancel()


def _is_dialled(vm: VmEntry, members: Membership) -> bool:
    state = members.state(vm.id)
    return vm.role is VmRole.UPSTREAM and state in (MemberState.USABLE, MemberState.DRAINING)

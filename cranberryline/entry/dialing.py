"""The outgoing connections of an entry, each kept up by a task of its own."""

import asyncio
from collections.abc import Callable

import attrs
import zmq

from cranberryline.helpers.clock import Clock
from cranberryline.ports.model import VmEntry
from cranberryline.transport import Dialer, DialerEvents
from cranberryline.transport.model import Hello

__all__ = ["DialerPool", "DialContext"]


@attrs.frozen
class DialContext:
    """Settings and callbacks that all outgoing connections of this entry share."""

    ctx: zmq.Context
    clock: Clock
    vm_id: str
    hello: Callable[[], Hello]
    next_id: Callable[[], int]


class DialerPool:
    """Hold at most one outgoing connection to each peer, and the task that runs it."""

    def __init__(self, context: DialContext, events: DialerEvents) -> None:
        self._context = context
        self._events = events
        self._dialers: dict[str, Dialer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def __len__(self) -> int:
        return len(self._dialers)

    def ids(self) -> list[str]:
        """Return the VM ids of all peers that are dialled, connected or not."""
        return list(self._dialers)

    def connected(self) -> list[str]:
        """Return the VM ids of the peers that are connected now."""
        return [vm_id for vm_id, dialer in self._dialers.items() if dialer.welcome is not None]

    def get(self, vm_id: str) -> Dialer | None:
        """Return the connection to a peer, or None if it is not dialled."""
        return self._dialers.get(vm_id)

    def dial(self, vm: VmEntry) -> Dialer:
        """Return the connection to a peer, and start one if there is none."""
        dialer = self._dialers.get(vm.id)
        if dialer is None:
            context = self._context
            dialer = self._dialers[vm.id] = Dialer(
                context.ctx,
                context.clock,
                vm.id,
                vm.peer,
                context.hello,
                self._events,
                context.next_id,
            )
            self._tasks[vm.id] = asyncio.ensure_future(dialer.async_run())
        return dialer

    def detach(self, vm_id: str) -> asyncio.Task[None]:
        """Remove a peer; its connection stays open until the caller cancels the returned task."""
        del self._dialers[vm_id]
        return self._tasks.pop(vm_id)

    async def async_close(self) -> None:
        """Close all connections of the pool."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

"""The connections that an entry dials, each with a task of its own that keeps it."""

import asyncio
from collections.abc import Callable

import attrs
import zmq

from cranberryline.helpers.clock import Clock
from cranberryline.ports.model import VmEntry
from cranberryline.transport import Dialer, DialerEvents
from cranberryline.transport.model import Hello

__all__ = ["Dialers", "Dialing"]


@attrs.frozen
class Dialing:
    """What all connections that this entry dials have in common."""

    ctx: zmq.Context
    clock: Clock
    vm_id: str
    hello: Callable[[], Hello]
    next_id: Callable[[], int]


class Dialers:
    """Keep at most one connection to each peer, and the task that runs it."""

    def __init__(self, dialing: Dialing, events: DialerEvents) -> None:
        self._dialing = dialing
        self._events = events
        self._dialers: dict[str, Dialer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def __len__(self) -> int:
        return len(self._dialers)

    def ids(self) -> list[str]:
        """Return the peers that are dialled, connected or not."""
        return list(self._dialers)

    def connected(self) -> list[str]:
        """Return the peers that can be reached now."""
        return [vm_id for vm_id, dialer in self._dialers.items() if dialer.welcome is not None]

    def get(self, vm_id: str) -> Dialer | None:
        """Return the connection to a peer."""
        return self._dialers.get(vm_id)

    def dial(self, row: VmEntry) -> Dialer:
        """Return the connection to a peer, begun now if there is none."""
        dialer = self._dialers.get(row.id)
        if dialer is None:
            common = self._dialing
            dialer = self._dialers[row.id] = Dialer(
                common.ctx,
                common.clock,
                row.id,
                row.peer,
                common.hello,
                self._events,
                common.next_id,
            )
            self._tasks[row.id] = asyncio.ensure_future(dialer.async_run())
        return dialer

    def release(self, vm_id: str) -> asyncio.Task[None]:
        """Forget a peer; its connection stays until the caller cancels the task."""
        del self._dialers[vm_id]
        return self._tasks.pop(vm_id)

    async def async_close(self) -> None:
        """End every connection."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

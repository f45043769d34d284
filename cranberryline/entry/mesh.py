"""Connections between entries, which relay configuration and forward trainers' requests."""

import asyncio
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.configs.push import TailerRanking
from cranberryline.ports.model import VmEntry
from cranberryline.transport import (
    BadFrame,
    Connection,
    Dialer,
    DialerEvents,
    Listener,
    ListenerEvents,
    Lost,
)
from cranberryline.transport.const import SILENT_AFTER
from cranberryline.transport.model import (
    ConfigDelta,
    ConfigRequest,
    Message,
    PeerAnswer,
    PeerRequest,
    Welcome,
)

from .dialing import DialContext, DialerPool

__all__ = ["EntryMesh", "MeshEvents", "PeerReply"]

# With up to this many other entries, each entry dials all of them. With more, it dials only those
# that tail the log, and the owner of a trainer's step when a request for the step arrives.
MAX_FULL_MESH_PEERS = 8
TAILERS_DIALLED = 3
_DIAL_TIMEOUT = timedelta(seconds=1)
_STOP_POLL_INTERVAL = timedelta(milliseconds=20)


@attrs.frozen
class PeerReply:
    """The response of the entry that owns a trainer's step."""

    status: int
    body: bytes


class MeshEvents:
    """Callbacks of the mesh; by default they do nothing, and forwarded requests get a 404."""

    def on_entry_offset(self, vm_id: str, offset: int) -> None:
        """Handle the configuration offset that another entry reported."""

    def on_entry_disconnected(self, vm_id: str) -> None:
        """Handle the loss of the last connection to another entry."""

    def on_entry_config(self, vm_id: str, msg: ConfigDelta | ConfigRequest) -> None:
        """Handle configuration records, or a request for them, from another entry."""

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Handle an invalid frame."""

    def config_offset(self) -> int:
        """Return the log offset up to which this entry has the configuration."""
        return 0

    async def async_serve_peer(self, req: PeerRequest) -> PeerReply:
        """Handle a trainer's request that another entry forwarded."""
        return PeerReply(404, b"")


class EntryMesh(ListenerEvents, DialerEvents):
    """Accept connections from other entries, dial some of them, and use whichever is connected."""

    def __init__(self, dial_context: DialContext, events: MeshEvents) -> None:
        self._dial_context = dial_context
        self._clock = dial_context.clock
        self._vm_id = dial_context.vm_id
        self._events = events
        self._listener: Listener | None = None
        self._other_entries: dict[str, VmEntry] = {}
        self._dialer_pool = DialerPool(dial_context, self)
        self._serving_tasks: set[asyncio.Task[None]] = set()

    def listen(self, address: str) -> None:
        """Open the port for other entries; raises PortTaken if it is in use."""
        self._listener = Listener(
            self._dial_context.ctx, address, self._clock, self._build_welcome, self
        )

    def connected(self) -> list[str]:
        """Return the VM ids of the entries connected in either direction, sorted."""
        inbound = [] if self._listener is None else self._listener.connections
        return sorted({*self._dialer_pool.connected(), *(conn.vm_id for conn in inbound)})

    def apply_members(self, entries: list[VmEntry]) -> None:
        """Dial the entries that are needed, and disconnect from those no longer listed."""
        self._other_entries = {vm.id: vm for vm in entries if vm.id != self._vm_id}
        ids_to_dial = self._choose_ids_to_dial()
        for vm_id in self._dialer_pool.ids():
            if vm_id not in self._other_entries:
                self._dialer_pool.detach(vm_id).cancel()
        for vm_id in ids_to_dial:
            self._dialer_pool.dial(self._other_entries[vm_id])

    def send(self, vm_id: str, msg: Message) -> bool:
        """Send a message to an entry; return False if it is not connected."""
        dialer = self._dialer_pool.get(vm_id)
        if dialer is not None and dialer.welcome is not None:
            return dialer.send(msg)
        conn = None if self._listener is None else self._listener.get(vm_id)
        if conn is None or self._listener is None:
            return False
        self._listener.send(conn, msg)
        return True

    async def async_request(
        self, vm_id: str, method: str, path: str, body: bytes, timeout: timedelta
    ) -> Result[PeerReply, str]:
        """Forward a trainer's request to the entry that owns its step.

        The error is `unreachable`, `lost` for a connection lost before the response, or `timeout`.
        """
        dialer = await self._async_connect(vm_id)
        if dialer is None:
            return Err("unreachable")
        timeout_ms = int(timeout / timedelta(milliseconds=1))
        exchange = dialer.open(
            lambda request_id, _: PeerRequest(request_id, method, path, body, timeout_ms), 0
        )
        if exchange is None:
            return Err("unreachable")
        try:
            msg = await exchange.async_next(timeout + _DIAL_TIMEOUT)
        finally:
            exchange.close()
        if isinstance(msg, PeerAnswer):
            return Ok(PeerReply(msg.status, msg.body))
        return Err("lost" if isinstance(msg, Lost) else "timeout")

    def drop_timed_out(self, timeout: timedelta) -> None:
        """Drop inbound connections on which nothing arrived for longer than the timeout."""
        if self._listener is not None:
            self._listener.drop_silent(timeout)

    async def async_stop(self) -> None:
        """Wait until the other entries have read the responses to the requests they forwarded.

        Closing the socket earlier would drop responses. The forwarding entry does not know the step
        itself, so its trainer would declare the step again for samples that were already available.
        Entries that have become unresponsive are not waited for.
        """
        if self._listener is None:
            return
        while self._serving_tasks:
            await self._clock.async_sleep(_STOP_POLL_INTERVAL)
        self._listener.announce_drain(self._dial_context.hello().incarnation, SILENT_AFTER)
        while self._listener.drain_unread:
            await self._clock.async_sleep(_STOP_POLL_INTERVAL)

    async def async_close(self) -> None:
        """Close all connections."""
        serving_tasks = list(self._serving_tasks)
        for task in serving_tasks:
            task.cancel()
        await asyncio.gather(
            self._dialer_pool.async_close(), *serving_tasks, return_exceptions=True
        )
        if self._listener is not None:
            self._listener.close()

    def on_up(self, peer: Dialer, welcome: Welcome) -> None:
        """Report the other entry's configuration offset when an outgoing connection is up."""
        self._events.on_entry_offset(peer.vm_id, welcome.config_offset)

    def on_down(self, peer: Dialer) -> None:
        """Report the other entry as disconnected if this was its last connection."""
        self._report_if_disconnected(peer.vm_id)

    def on_offset(self, peer: Dialer, offset: int) -> None:
        """Report a new configuration offset of the other entry."""
        self._events.on_entry_offset(peer.vm_id, offset)

    def on_config(self, peer: Dialer, msg: ConfigDelta | ConfigRequest) -> None:
        """Report configuration records, or a request for them, from the other entry."""
        self._events.on_entry_config(peer.vm_id, msg)

    def on_connected(self, conn: Connection) -> None:
        """Report the other entry's configuration offset when it has connected."""
        self._events.on_entry_offset(conn.vm_id, conn.config_offset)

    def on_disconnected(self, conn: Connection) -> None:
        """Report the other entry as disconnected if this was its last connection."""
        self._report_if_disconnected(conn.vm_id)

    def on_heartbeat(self, conn: Connection) -> None:
        """Report the configuration offset in a heartbeat of the other entry."""
        self._events.on_entry_offset(conn.vm_id, conn.config_offset)

    def on_message(self, conn: Connection, msg: Message) -> None:
        """Handle a message on a connection that the other entry dialled."""
        if isinstance(msg, ConfigDelta | ConfigRequest):
            self._events.on_entry_config(conn.vm_id, msg)
        elif isinstance(msg, PeerRequest):
            task = asyncio.ensure_future(self._async_serve(conn, msg))
            self._serving_tasks.add(task)
            task.add_done_callback(self._serving_tasks.discard)

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Report an invalid frame."""
        self._events.on_bad_frame(bad)

    def config_offset(self) -> int:
        """Return the log offset up to which this entry has the configuration."""
        return self._events.config_offset()

    async def _async_serve(self, conn: Connection, msg: PeerRequest) -> None:
        reply = await self._events.async_serve_peer(msg)
        if self._listener is not None:
            self._listener.send(conn, PeerAnswer(msg.id, reply.status, reply.body))

    async def _async_connect(self, vm_id: str) -> Dialer | None:
        if vm_id not in self._other_entries:
            return None
        dialer = self._dialer_pool.dial(self._other_entries[vm_id])
        # The timeout starts when the connection is lost, not at each request. Otherwise every
        # request for an owner that is down would wait for it before being served here.
        give_up_at = dialer.down_since + _DIAL_TIMEOUT
        while dialer.welcome is None and self._clock.monotonic() < give_up_at:
            await self._clock.async_sleep(timedelta(milliseconds=20))
        return dialer if dialer.welcome is not None else None

    def _choose_ids_to_dial(self) -> list[str]:
        if len(self._other_entries) <= MAX_FULL_MESH_PEERS:
            return list(self._other_entries)
        ranking = TailerRanking(self._vm_id, lambda: self._other_entries, TAILERS_DIALLED)
        return [vm_id for vm_id in ranking.tailers() if vm_id != self._vm_id]

    def _report_if_disconnected(self, vm_id: str) -> None:
        if vm_id not in self.connected():
            self._events.on_entry_disconnected(vm_id)

    def _build_welcome(self) -> Welcome:
        hello = self._dial_context.hello()
        return Welcome(
            vm_id=hello.vm_id,
            incarnation=hello.incarnation,
            service="",
            data_center=hello.data_center,
            config_offset=hello.config_offset,
            draining=False,
        )

"""Connections between entries: configuration is relayed and trainers' calls are passed over them."""

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

from .dialing import Dialers, Dialing

__all__ = ["EntryMesh", "MeshEvents", "PeerReply"]

# Up to this many entries every one dials every other; beyond, only those that tail the log, and
# the owner of a trainer's step when a call for it comes in.
MAX_FULL_MESH = 8
TAILERS_DIALLED = 3
_DIAL_TIMEOUT = timedelta(seconds=1)
_STOP_POLL = timedelta(milliseconds=20)


@attrs.frozen
class PeerReply:
    """What the owner of a step answered."""

    status: int
    body: bytes


class MeshEvents:
    """What the mesh tells the entry; the default ignores everything."""

    def on_entry_offset(self, vm_id: str, offset: int) -> None:
        """Handle what another entry says of how much configuration it has."""

    def on_entry_lost(self, vm_id: str) -> None:
        """Handle the end of the last connection with another entry."""

    def on_entry_config(self, vm_id: str, msg: ConfigDelta | ConfigRequest) -> None:
        """Handle configuration from another entry."""

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Handle a frame that could not be read."""

    def config_offset(self) -> int:
        """Return how much configuration this entry has."""
        return 0

    async def async_serve_peer(self, req: PeerRequest) -> PeerReply:
        """Answer a trainer's call that another entry passed on."""
        return PeerReply(404, b"")


class EntryMesh(ListenerEvents, DialerEvents):
    """Listen for other entries, dial those that matter, and talk over whichever is up."""

    def __init__(self, dialing: Dialing, events: MeshEvents) -> None:
        self._dialing = dialing
        self._clock = dialing.clock
        self._vm_id = dialing.vm_id
        self._events = events
        self._listener: Listener | None = None
        self._rows: dict[str, VmEntry] = {}
        self._dialers = Dialers(dialing, self)
        self._serving: set[asyncio.Task[None]] = set()

    def listen(self, address: str) -> None:
        """Open the peer port."""
        self._listener = Listener(self._dialing.ctx, address, self._clock, self._welcome, self)

    def connected(self) -> list[str]:
        """Return the entries that can be reached now."""
        inbound = [] if self._listener is None else self._listener.connections
        return sorted({*self._dialers.connected(), *(conn.vm_id for conn in inbound)})

    def apply_members(self, entries: list[VmEntry]) -> None:
        """Dial the entries that matter, and let go of those that have left."""
        self._rows = {vm.id: vm for vm in entries if vm.id != self._vm_id}
        wanted = self._wanted()
        for vm_id in self._dialers.ids():
            if vm_id not in self._rows:
                self._dialers.release(vm_id).cancel()
        for vm_id in wanted:
            self._dialers.dial(self._rows[vm_id])

    def send(self, vm_id: str, msg: Message) -> bool:
        """Send a message to an entry; False when it cannot be reached."""
        dialer = self._dialers.get(vm_id)
        if dialer is not None and dialer.welcome is not None:
            return dialer.send(msg)
        conn = None if self._listener is None else self._listener.get(vm_id)
        if conn is None or self._listener is None:
            return False
        self._listener.send(conn, msg)
        return True

    async def async_request(
        self, vm_id: str, method: str, path: str, body: bytes, budget: timedelta
    ) -> Result[PeerReply, str]:
        """Pass a trainer's call to the entry that owns its step; the error tells why not."""
        dialer = await self._async_reach(vm_id)
        if dialer is None:
            return Err("unreachable")
        millis = int(budget / timedelta(milliseconds=1))
        exchange = dialer.open(lambda rid, _: PeerRequest(rid, method, path, body, millis), 0)
        if exchange is None:
            return Err("unreachable")
        try:
            msg = await exchange.async_next(budget + _DIAL_TIMEOUT)
        finally:
            exchange.close()
        if isinstance(msg, PeerAnswer):
            return Ok(PeerReply(msg.status, msg.body))
        return Err("lost" if isinstance(msg, Lost) else "timeout")

    def drop_silent(self, silent_after: timedelta) -> None:
        """Let go of entries that have said nothing for too long."""
        if self._listener is not None:
            self._listener.drop_silent(silent_after)

    async def async_stop(self) -> None:
        """Stay until the other entries have read the answers to the calls that they passed on.

        Closed before, the socket would drop them: the other entry knows no such step, and its trainer declares it
        once more for samples that were at hand. An entry that has gone silent is not waited for.
        """
        if self._listener is None:
            return
        while self._serving:
            await self._clock.async_sleep(_STOP_POLL)
        self._listener.announce_drain(self._dialing.hello().incarnation, SILENT_AFTER)
        while self._listener.drain_unread:
            await self._clock.async_sleep(_STOP_POLL)

    async def async_close(self) -> None:
        """Close every connection."""
        serving = list(self._serving)
        for task in serving:
            task.cancel()
        await asyncio.gather(self._dialers.async_close(), *serving, return_exceptions=True)
        if self._listener is not None:
            self._listener.close()

    def on_up(self, peer: Dialer, welcome: Welcome) -> None:
        """Tell the entry how much configuration the other one has."""
        self._events.on_entry_offset(peer.vm_id, welcome.config_offset)

    def on_down(self, peer: Dialer) -> None:
        """Tell the entry when the last connection has gone."""
        self._tell_lost(peer.vm_id)

    def on_offset(self, peer: Dialer, offset: int) -> None:
        """Pass on what the other entry says of its configuration."""
        self._events.on_entry_offset(peer.vm_id, offset)

    def on_config(self, peer: Dialer, msg: ConfigDelta | ConfigRequest) -> None:
        """Pass on configuration."""
        self._events.on_entry_config(peer.vm_id, msg)

    def on_connected(self, conn: Connection) -> None:
        """Tell the entry how much configuration the other one has."""
        self._events.on_entry_offset(conn.vm_id, conn.config_offset)

    def on_disconnected(self, conn: Connection) -> None:
        """Tell the entry when the last connection has gone."""
        self._tell_lost(conn.vm_id)

    def on_heartbeat(self, conn: Connection) -> None:
        """Pass on what the other entry says of its configuration."""
        self._events.on_entry_offset(conn.vm_id, conn.config_offset)

    def on_message(self, conn: Connection, msg: Message) -> None:
        """Handle a message over a connection that the other entry dialled."""
        if isinstance(msg, ConfigDelta | ConfigRequest):
            self._events.on_entry_config(conn.vm_id, msg)
        elif isinstance(msg, PeerRequest):
            task = asyncio.ensure_future(self._async_serve(conn, msg))
            self._serving.add(task)
            task.add_done_callback(self._serving.discard)

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Pass on a frame that could not be read."""
        self._events.on_bad_frame(bad)

    def config_offset(self) -> int:
        """Return how much configuration this entry has."""
        return self._events.config_offset()

    async def _async_serve(self, conn: Connection, msg: PeerRequest) -> None:
        reply = await self._events.async_serve_peer(msg)
        if self._listener is not None:
            self._listener.send(conn, PeerAnswer(msg.id, reply.status, reply.body))

    async def _async_reach(self, vm_id: str) -> Dialer | None:
        if vm_id not in self._rows:
            return None
        dialer = self._dialers.dial(self._rows[vm_id])
        # From when the connection went, and not from now: with an owner that is down, every call
        # of its trainers would wait this long before it is served here.
        give_up_at = dialer.down_since + _DIAL_TIMEOUT
        while dialer.welcome is None and self._clock.monotonic() < give_up_at:
            await self._clock.async_sleep(timedelta(milliseconds=20))
        return dialer if dialer.welcome is not None else None

    def _wanted(self) -> list[str]:
        if len(self._rows) <= MAX_FULL_MESH:
            return list(self._rows)
        ranking = TailerRanking(self._vm_id, lambda: self._rows, TAILERS_DIALLED)
        return [vm_id for vm_id in ranking.tailers() if vm_id != self._vm_id]

    def _tell_lost(self, vm_id: str) -> None:
        if vm_id not in self.connected():
            self._events.on_entry_lost(vm_id)

    def _welcome(self) -> Welcome:
        hello = self._dialing.hello()
        return Welcome(
            vm_id=hello.vm_id,
            incarnation=hello.incarnation,
            service="",
            data_center=hello.data_center,
            config_offset=hello.config_offset,
            draining=False,
        )

"""The listening end of connections between our processes."""

import itertools
from collections.abc import Callable
from datetime import timedelta

import attrs
import zmq

from cranberryline.helpers.clock import Clock

from .const import SILENT_AFTER
from .errors import BadFrame, BadFrameReason
from .model import Drain, DrainAck, Heartbeat, HeartbeatAck, Hello, Message, Welcome
from .sockets import RouterSocket

__all__ = ["Connection", "Listener", "ListenerEvents"]


@attrs.define(eq=False)
class Connection:
    """One connection from a peer.

    `peer` is the socket's name for it, `name` one that is never used again, `incarnation` the
    life of the process that dialled, `unread_drains` the announcements of a stop that it has not
    acknowledged, the first of them told at `told_at`.
    """

    peer: bytes
    name: str
    incarnation: str
    vm_id: str
    heard_at: timedelta
    config_offset: int = 0
    unread_drains: int = 0
    told_at: timedelta = timedelta()


class ListenerEvents:
    """What the listening end tells its owner; the default ignores everything."""

    def on_connected(self, conn: Connection) -> None:
        """Handle a new connection."""

    def on_disconnected(self, conn: Connection) -> None:
        """Handle the end of a connection."""

    def on_heartbeat(self, conn: Connection) -> None:
        """Handle a sign of life."""

    def on_message(self, conn: Connection, msg: Message) -> None:
        """Handle any other message."""

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Handle a frame that could not be read, or that came before a Hello."""

    def config_offset(self) -> int:
        """Return how much configuration this process has."""
        return 0


class Listener:
    """Bind the VM's one peer port, greet who dials, and answer heartbeats.

    Binding is also the guard against two side processes beside one upstream: a second one cannot
    bind while the first, perhaps paused, still holds the port.
    """

    def __init__(
        self,
        ctx: zmq.Context,
        address: str,
        clock: Clock,
        welcome: Callable[[], Welcome],
        events: ListenerEvents,
    ) -> None:
        self._clock = clock
        self._welcome = welcome
        self._events = events
        self._serial = itertools.count()
        self._conns: dict[bytes, Connection] = {}
        self._by_vm: dict[str, Connection] = {}
        self._sock = RouterSocket(ctx, address, self._receive, events.on_bad_frame, self._on_gone)

    @property
    def connections(self) -> list[Connection]:
        """Return the latest connection of each peer."""
        return list(self._by_vm.values())

    def get(self, vm_id: str) -> Connection | None:
        """Return the latest connection of a peer."""
        return self._by_vm.get(vm_id)

    def send(self, conn: Connection, msg: Message) -> None:
        """Send a message over a connection; one that has ended is noticed and let go of."""
        self._sock.send(conn.peer, msg)

    def broadcast(self, msg: Message) -> None:
        """Send a message to every peer."""
        for conn in self._by_vm.values():
            self._sock.send(conn.peer, msg)

    def announce_drain(self, incarnation: str, deadline: timedelta) -> None:
        """Tell every peer that this process stops."""
        for conn in self.connections:
            if not conn.unread_drains:
                conn.told_at = self._clock.monotonic()
            conn.unread_drains += 1
        self.broadcast(Drain(incarnation, int(deadline / timedelta(milliseconds=1))))

    @property
    def drain_unread(self) -> bool:
        """Tell whether a peer has still to read what it was told; one that has gone silent is left out."""
        now = self._clock.monotonic()
        return any(
            conn.unread_drains and now - max(conn.heard_at, conn.told_at) < SILENT_AFTER
            for conn in self.connections
        )

    def drop_silent(self, silent_after: timedelta) -> None:
        """Let go of peers that have said nothing for too long."""
        now = self._clock.monotonic()
        for conn in list(self._conns.values()):
            if now - conn.heard_at > silent_after:
                self._on_gone(conn.peer)

    def close(self) -> None:
        """Close the port."""
        self._sock.close()

    def _on_gone(self, peer: bytes) -> None:
        conn = self._conns.pop(peer, None)
        if conn is None:
            return
        if self._by_vm.get(conn.vm_id) is conn:
            del self._by_vm[conn.vm_id]
        self._events.on_disconnected(conn)

    def _receive(self, peer: bytes, msg: Message) -> None:
        if isinstance(msg, Hello):
            self._greet(peer, msg)
            return
        conn = self._conns.get(peer)
        if conn is None:
            self._events.on_bad_frame(BadFrame(BadFrameReason.NO_HELLO))
            return
        conn.heard_at = self._clock.monotonic()
        if isinstance(msg, Heartbeat):
            conn.config_offset = msg.config_offset
            self._sock.send(peer, HeartbeatAck(msg.seq, self._events.config_offset()))
            self._events.on_heartbeat(conn)
            return
        if isinstance(msg, DrainAck):
            conn.unread_drains -= 1
            return
        self._events.on_message(conn, msg)

    def _greet(self, peer: bytes, msg: Hello) -> None:
        # A new connection from a VM replaces the old one: what still arrives on the old one was
        # given up by who dialled, and must not run.
        old = self._by_vm.get(msg.vm_id)
        if old is not None:
            self._on_gone(old.peer)
        name = f"{msg.incarnation}-{next(self._serial)}"
        conn = Connection(
            peer, name, msg.incarnation, msg.vm_id, self._clock.monotonic(), msg.config_offset
        )
        self._conns[peer] = self._by_vm[msg.vm_id] = conn
        self._sock.send(peer, self._welcome())
        self._events.on_connected(conn)

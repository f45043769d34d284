"""The side process's door: one listening socket, and what each connected entry may ask."""

import itertools
from collections.abc import Callable
from datetime import timedelta

import attrs
import zmq

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.requests import RequestKey
from cranberryline.transport import BadFrame, BadFrameReason, RouterSocket
from cranberryline.transport.model import (
    Cancel,
    ConfigDelta,
    ConfigRequest,
    Credit,
    Drain,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Load,
    Message,
    Submit,
    Welcome,
    Withdraw,
    Withdrawn,
)

from .runner import Runner

__all__ = ["Connection", "PeerServer", "ServerEvents"]


@attrs.define(eq=False)
class Connection:
    """One entry's connection.

    `peer` is the socket's name for it, `name` one that is never used again, `entry` the entry's
    life.
    """

    peer: bytes
    name: str
    entry: str
    vm_id: str
    heard_at: timedelta
    config_offset: int = 0


class ServerEvents:
    """What the door tells the side process; the default ignores everything."""

    def on_connected(self, conn: Connection) -> None:
        """Handle a new connection."""

    def on_config(self, conn: Connection, msg: ConfigDelta | ConfigRequest) -> None:
        """Handle configuration records, or a request for them."""

    def config_offset(self) -> int:
        """Return how much configuration this process has."""
        return 0

    def load(self) -> Load | None:
        """Return the present load report."""
        return None


class PeerServer:
    """Bind the VM's one peer port and hand each message to whom it concerns.

    Binding is also the guard against two side processes beside one upstream: a second one cannot
    bind while the first, perhaps paused, still holds the port.
    """

    def __init__(
        self,
        ctx: zmq.Context,
        address: str,
        clock: Clock,
        runner: Runner,
        metrics: Metrics,
        welcome: Callable[[], Welcome],
        events: ServerEvents,
    ) -> None:
        self._clock = clock
        self._runner = runner
        self._metrics = metrics
        self._welcome = welcome
        self._events = events
        self._serial = itertools.count()
        self._conns: dict[bytes, Connection] = {}
        self._by_entry: dict[str, Connection] = {}
        self._sock = RouterSocket(ctx, address, self._on_message, self._on_bad_frame, self._on_gone)

    @property
    def connections(self) -> list[Connection]:
        """Return the entries that are connected."""
        return list(self._by_entry.values())

    def send(self, conn: Connection, msg: Message) -> None:
        """Send a message to one entry."""
        self._sock.send(conn.peer, msg)

    def broadcast(self, msg: Message) -> None:
        """Send a message to every connected entry."""
        for conn in self._by_entry.values():
            self._sock.send(conn.peer, msg)

    def announce_drain(self, incarnation: str, deadline: timedelta) -> None:
        """Tell every entry that this process stops."""
        self.broadcast(Drain(incarnation, int(deadline / timedelta(milliseconds=1))))

    def drop_silent(self, silent_after: timedelta) -> None:
        """Let go of entries that have said nothing for too long."""
        now = self._clock.monotonic()
        for conn in list(self._conns.values()):
            if now - conn.heard_at > silent_after:
                self._on_gone(conn.peer)

    def close(self) -> None:
        """Close the port."""
        self._sock.close()

    def _on_bad_frame(self, bad: BadFrame) -> None:
        self._metrics.bad_frame(bad.reason.value)

    def _on_gone(self, peer: bytes) -> None:
        conn = self._conns.pop(peer, None)
        if conn is None:
            return
        if self._by_entry.get(conn.entry) is conn:
            del self._by_entry[conn.entry]
        self._runner.connection_lost(conn.name)

    def _on_message(self, peer: bytes, msg: Message) -> None:
        if isinstance(msg, Hello):
            self._greet(peer, msg)
            return
        conn = self._conns.get(peer)
        if conn is None:
            self._metrics.bad_frame(BadFrameReason.NO_HELLO.value)
            return
        conn.heard_at = self._clock.monotonic()
        self._handle(conn, msg)

    def _greet(self, peer: bytes, msg: Hello) -> None:
        # A new connection of the same life replaces the old one: what still arrives on the old one
        # was given up by the entry, and must not run.
        old = self._by_entry.get(msg.incarnation)
        if old is not None:
            self._on_gone(old.peer)
        name = f"{msg.incarnation}-{next(self._serial)}"
        conn = Connection(
            peer, name, msg.incarnation, msg.vm_id, self._clock.monotonic(), msg.config_offset
        )
        self._conns[peer] = self._by_entry[msg.incarnation] = conn
        self._runner.book.open(name)
        self._sock.send(peer, self._welcome())
        self._report_load(conn)
        self._events.on_connected(conn)

    def _handle(self, conn: Connection, msg: Message) -> None:
        if isinstance(msg, Submit):
            self._submit(conn, msg)
        elif isinstance(msg, Withdraw):
            outcome = self._runner.withdraw(RequestKey(conn.name, msg.id))
            self._sock.send(conn.peer, Withdrawn(msg.id, outcome))
        elif isinstance(msg, Cancel):
            self._runner.cancel(RequestKey(conn.name, msg.id))
        elif isinstance(msg, Credit):
            self._runner.grant(RequestKey(conn.name, msg.id), msg.size)
        elif isinstance(msg, Heartbeat):
            conn.config_offset = msg.config_offset
            self._sock.send(conn.peer, HeartbeatAck(msg.seq, self._events.config_offset()))
            self._report_load(conn)
        elif isinstance(msg, ConfigDelta | ConfigRequest):
            self._events.on_config(conn, msg)

    def _submit(self, conn: Connection, msg: Submit) -> None:
        peer = conn.peer
        key = RequestKey(conn.name, msg.id)
        self._runner.submit(key, msg, lambda reply: self._sock.send(peer, reply))

    def _report_load(self, conn: Connection) -> None:
        load = self._events.load()
        if load is not None:
            self._sock.send(conn.peer, load)

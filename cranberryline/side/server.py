"""Server for the entries that are connected to a side process."""

from collections.abc import Callable
from functools import partial

import zmq

from cranberryline.execution.errors import RunnerReason
from cranberryline.execution.execution import send_not_run
from cranberryline.execution.runner import Runner
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.memory import MemoryAccount
from cranberryline.helpers.metrics import Metrics
from cranberryline.requests import RequestKey
from cranberryline.transport import BadFrame, Connection, Listener, ListenerEvents
from cranberryline.transport.model import (
    Cancel,
    ConfigDelta,
    ConfigRequest,
    Credit,
    Granted,
    Load,
    Members,
    Message,
    Offer,
    Submit,
    Welcome,
    Withdraw,
    Withdrawn,
)

from .body_room import BodyRoom
from .load_reports import LoadReporter

__all__ = ["PeerServer", "ServerEvents"]


class ServerEvents:
    """Callbacks from the server to the side process; the defaults do nothing."""

    def on_connected(self, conn: Connection) -> None:
        """Handle a new connection."""

    def on_disconnected(self, conn: Connection) -> None:
        """Handle the end of a connection."""

    def on_config_offset(self, conn: Connection) -> None:
        """Handle the configuration offset that an entry reported in a heartbeat."""

    def on_config_message(self, conn: Connection, msg: ConfigDelta | ConfigRequest) -> None:
        """Handle configuration records, or a request for them, from an entry."""

    def on_members(self, msg: Members) -> None:
        """Handle the list of VMs that serve a service."""

    def config_offset(self) -> int:
        """Return the log offset up to which this process has the configuration."""
        return 0

    def load(self) -> Load | None:
        """Return the current load report, or None if there is none."""
        return None


class PeerServer(ListenerEvents):
    """Dispatch the messages of entries to the runner and to the side process."""

    def __init__(
        self,
        ctx: zmq.Context,
        address: str,
        clock: Clock,
        runner: Runner,
        metrics: Metrics,
        memory: MemoryAccount,
        welcome: Callable[[], Welcome],
        events: ServerEvents,
    ) -> None:
        self._runner = runner
        self._metrics = metrics
        self._events = events
        self._room = BodyRoom(memory)
        self.listener = Listener(ctx, address, clock, welcome, self)
        self._reporter = LoadReporter(
            clock, events.load, self.listener.send, lambda: self.listener.connections
        )
        runner.on_ended = self._reporter.request_ended

    def close(self) -> None:
        """Close the port and send no more reports."""
        self._reporter.close()
        self.listener.close()

    def refuse_offers(self) -> None:
        """Refuse the bodies that wait for room; behind a drain no more of them are granted."""
        self._room.refuse_waiting()

    def on_connected(self, conn: Connection) -> None:
        """Register the connection and send the current load report."""
        self._runner.book.open(conn.name)
        self._reporter.report(conn)
        self._events.on_connected(conn)

    def on_disconnected(self, conn: Connection) -> None:
        """Handle the loss of the connection for the entry's queued and running requests."""
        self._reporter.forget(conn)
        self._room.drop_connection(conn.name)
        self._runner.connection_lost(conn.name)
        self._events.on_disconnected(conn)

    def on_heartbeat(self, conn: Connection) -> None:
        """Reply with the current load report."""
        self._reporter.report(conn)
        self._events.on_config_offset(conn)

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Count a frame that could not be decoded."""
        self._metrics.bad_frame(bad.reason.value)

    def config_offset(self) -> int:
        """Return the log offset up to which this process has the configuration."""
        return self._events.config_offset()

    def on_message(self, conn: Connection, msg: Message) -> None:
        """Dispatch a message from an entry."""
        if isinstance(msg, Submit):
            key = RequestKey(conn.name, msg.id)
            reply = partial(self.listener.send, conn)
            self._runner.submit(key, msg, reply, room=self._room.take(key))
        elif isinstance(msg, Offer):
            self._offered(conn, msg)
        elif isinstance(msg, Withdraw):
            key = RequestKey(conn.name, msg.id)
            self._room.drop(key)
            self.listener.send(conn, Withdrawn(msg.id, self._runner.withdraw(key)))
        elif isinstance(msg, Cancel):
            self._room.drop(RequestKey(conn.name, msg.id))
            self._runner.cancel(RequestKey(conn.name, msg.id))
        elif isinstance(msg, Credit):
            self._runner.extend_window(RequestKey(conn.name, msg.id), msg.size)
        elif isinstance(msg, ConfigDelta | ConfigRequest):
            self._events.on_config_message(conn, msg)
        elif isinstance(msg, Members):
            self._events.on_members(msg)

    def _offered(self, conn: Connection, msg: Offer) -> None:
        reply = partial(self.listener.send, conn)
        draining = RunnerReason.DRAINING.value
        refuse = partial(send_not_run, msg.id, draining, reply, self._metrics)
        if self._runner.book.draining:
            refuse()
            return
        key = RequestKey(conn.name, msg.id)
        self._room.offer(key, msg.size, partial(reply, Granted(msg.id)), refuse)

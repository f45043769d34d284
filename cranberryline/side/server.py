"""Server for the entries that are connected to a side process."""

from collections.abc import Callable

import zmq

from cranberryline.execution.runner import Runner
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.requests import RequestKey
from cranberryline.transport import BadFrame, Connection, Listener, ListenerEvents
from cranberryline.transport.model import (
    Cancel,
    ConfigDelta,
    ConfigRequest,
    Credit,
    Load,
    Members,
    Message,
    Submit,
    Welcome,
    Withdraw,
    Withdrawn,
)

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
        welcome: Callable[[], Welcome],
        events: ServerEvents,
    ) -> None:
        self._runner = runner
        self._metrics = metrics
        self._events = events
        self.listener = Listener(ctx, address, clock, welcome, self)
        self._reporter = LoadReporter(
            clock, events.load, self.listener.send, lambda: self.listener.connections
        )
        runner.on_ended = self._reporter.request_ended

    def close(self) -> None:
        """Close the port and send no more reports."""
        self._reporter.close()
        self.listener.close()

    def on_connected(self, conn: Connection) -> None:
        """Register the connection and send the current load report."""
        self._runner.book.open(conn.name)
        self._reporter.report(conn)
        self._events.on_connected(conn)

    def on_disconnected(self, conn: Connection) -> None:
        """Handle the loss of the connection for the entry's queued and running requests."""
        self._reporter.forget(conn)
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
            self._runner.submit(
                RequestKey(conn.name, msg.id), msg, lambda reply: self.listener.send(conn, reply)
            )
        elif isinstance(msg, Withdraw):
            outcome = self._runner.withdraw(RequestKey(conn.name, msg.id))
            self.listener.send(conn, Withdrawn(msg.id, outcome))
        elif isinstance(msg, Cancel):
            self._runner.cancel(RequestKey(conn.name, msg.id))
        elif isinstance(msg, Credit):
            self._runner.extend_window(RequestKey(conn.name, msg.id), msg.size)
        elif isinstance(msg, ConfigDelta | ConfigRequest):
            self._events.on_config_message(conn, msg)
        elif isinstance(msg, Members):
            self._events.on_members(msg)

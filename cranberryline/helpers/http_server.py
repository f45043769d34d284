"""An HTTP server that answers bad input, and closes without losing sight of a request that it has read."""

import asyncio
import socket
from datetime import timedelta
from typing import Any

import attrs
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPServerConnectionDelegate
from tornado.web import RequestHandler

from .accounted_stream import AccountedStream
from .input_limits import DROPPED_BYTES, GuardedMessage, InputLimits, LimitsGuard
from .memory import MemoryAccount, open_account
from .memory.const import CONNECTION_BYTES
from .metrics import Metrics
from .request_screen import RequestScreen
from .slow_headers import SlowHeaders
from .stalled_clients import StalledClients

__all__ = [
    "ClientLimits",
    "GracefulServer",
    "InputLimits",
    "break_off",
    "break_off_if_closed",
    "open_http_server",
]

_HEADER_MARGIN_BYTES = 256 * 1024
# Between requests a connection may rest this long.
_REST = timedelta(seconds=75)
_SLOW_SENDER_MARGIN = timedelta(seconds=5)
_DEFAULT_STALL = timedelta(seconds=10)
_REASON_TOO_MANY = "too_many_connections"


@attrs.define
class ClientLimits:
    """What the clients of a server may hold of this process.

    `memory` is the account of the process. `screen` decides by the headers alone. A client that neither
    sends nor reads for `stall` is ended. Beyond `max_connections` those at rest are closed.
    """

    memory: MemoryAccount = attrs.field(factory=open_account)
    screen: RequestScreen | None = None
    stall: timedelta = _DEFAULT_STALL
    max_connections: int | None = None


class GracefulServer(HTTPServer):
    """A server that knows which of its connections have a request, and ends them without losing one.

    A planned stop calls `stop`, then `close_at_rest`, waits until there are no `open_requests` as long as it may,
    and ends with `close_all_connections`.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Start without connections; tornado builds its servers by this call."""
        super().initialize(*args, **kwargs)
        self._newest: dict[HTTP1ServerConnection, GuardedMessage] = {}
        self._ending = False
        self._slow_headers: SlowHeaders | None = None
        self._stalled: StalledClients | None = None

    def limit_clients(self, limits: InputLimits, clients: ClientLimits, metrics: Metrics) -> None:
        """End connections whose clients take too long or hold too much."""
        self._clients = clients
        self._metrics = metrics
        self._slow_headers = SlowHeaders(
            limits, metrics, lambda: [conn for conn in self._newest if self._at_rest(conn)]
        )
        self._stalled = StalledClients(clients.stall, metrics, self._newest.values)
        self._held = clients.memory.open()

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        """Serve a connection whose buffers are counted; tornado's own takes plain streams."""
        if not self._make_room():
            connection.close()
            return
        stream = AccountedStream(
            connection,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
            memory=self._clients.memory,
        )
        self._held.take(CONNECTION_BYTES)
        self.handle_stream(stream, address)

    def _make_room(self) -> bool:
        """Return whether a connection may be added, after closing another one if there are too many.

        The one that has been at rest for longest goes; next, one whose request was refused.
        """
        most = self._clients.max_connections
        if most is None or len(self._connections) < most:
            return True
        self._metrics.drop(_REASON_TOO_MANY)
        return any(self._close_at_rest(conn) for conn in self._newest) or any(
            self._close_refused(conn) for conn in self._newest
        )

    def _close_refused(self, conn: HTTP1ServerConnection) -> bool:
        if not self._newest[conn].refused:
            return False
        conn.stream.close()
        return True

    @property
    def open_requests(self) -> int:
        """Return how many connections have a request, from its whole head to the last byte of its answer."""
        return sum(not self._at_rest(conn) for conn in self._connections)

    @property
    def at_rest(self) -> int:
        """Return how many connections have none: nothing was sent on them, or not a whole head yet."""
        return len(self._connections) - self.open_requests

    def close_at_rest(self) -> int:
        """Close the connections that have no request, and from now on each other one behind its answer.

        Return how many were closed. A stop that left them open till it saw no request anywhere would go on
        taking new ones, up to the bound at which it cuts what it has: run by an upstream, never answered. Closed
        here, what was taken last still has all of the time that the stop allows.
        """
        self._ending = True
        return sum(self._close_at_rest(conn) for conn in list(self._connections))

    def _close_at_rest(self, conn: HTTP1ServerConnection) -> bool:
        if not self._at_rest(conn):
            return False
        conn.stream.close()
        return True

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTPConnection
    ) -> GuardedMessage:
        """Return the receiver of a connection's next request; it is asked for as soon as the last one ended."""
        if self._ending:
            # A turn later: by then a request that was sent right behind the last one shows as read.
            asyncio.get_running_loop().call_soon(self._close_at_rest, server_conn)
        message: GuardedMessage = super().start_request(server_conn, request_conn)
        self._release(server_conn)
        self._newest[server_conn] = message
        if self._slow_headers is not None:
            self._slow_headers.start()
        if self._stalled is not None:
            self._stalled.start()
        return message

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        self._release(server_conn)
        self._held.shrink(CONNECTION_BYTES)
        if not self._newest:
            for checks in (self._slow_headers, self._stalled):
                if checks is not None:
                    checks.stop()
        super().on_close(server_conn)

    def _release(self, conn: object) -> None:
        """Take that a connection's last request has been answered to its last byte, or given up."""
        message = self._newest.pop(conn, None)  # type: ignore[call-overload]
        if message is not None:
            message.release()

    def _at_rest(self, conn: HTTP1ServerConnection) -> bool:
        """Tell whether no whole head of a request has been read.

        Once it has been read from the socket, its parser still waits some turns of the loop: then no
        read is pending, and nothing has begun either.
        """
        message = self._newest.get(conn)
        return message is not None and not message.begun and conn.stream.reading()

    async def close_all_connections(self) -> None:
        """Close what is left, all in one turn of the loop, then wait for what still ends.

        Without `close_at_rest` before, a connection whose turn came later would still be read from: a request
        there would be run and then cut.
        """
        for conn in self._connections:
            conn.stream.close()
        await super().close_all_connections()


def break_off(handler: RequestHandler) -> None:
    """End a request without an answer, by closing its connection.

    A handler that returns unanswered, as one does whose task is cancelled when a stop is forced, is
    finished by tornado with status 200 and an empty body: a whole answer that nobody gave.
    """
    if handler._finished:  # noqa: SLF001 - no public way to ask
        return
    conn = handler.request.connection
    stream = conn.detach() if isinstance(conn, HTTP1Connection) else None
    if stream is not None:
        stream.close()
    handler._finished = True  # noqa: SLF001 - tornado would answer otherwise
    handler.request.body = b""


def break_off_if_closed(handler: RequestHandler) -> bool:
    """End a request whose connection closed before its work began; nothing of it is passed on.

    Return whether it was so.

    A request that has been read waits some turns of the loop for its handler. Where its caller leaves, or a stop
    reaches its bound and closes the connection, in between, the handler is told of nothing: it would pass the
    request on, and an upstream run it for nobody.
    """
    conn = handler.request.connection
    stream = getattr(conn, "stream", None)
    if stream is None or not stream.closed():
        return False
    break_off(handler)
    return True


def open_http_server(
    app: HTTPServerConnectionDelegate,
    address: str,
    limits: InputLimits,
    metrics: Metrics,
    clients: ClientLimits | None = None,
) -> GracefulServer:
    """Listen on an address, "127.0.0.1:8001", with an application behind the limits."""
    clients = clients or ClientLimits()
    guard = LimitsGuard(app, limits, metrics, clients.memory, clients.screen)
    server = GracefulServer(
        guard,
        max_body_size=limits.max_body_bytes + DROPPED_BYTES,
        max_header_size=limits.max_header_bytes + _HEADER_MARGIN_BYTES,
        max_buffer_size=limits.max_body_bytes + DROPPED_BYTES,
        body_timeout=(limits.slow_sender + _SLOW_SENDER_MARGIN).total_seconds(),
        idle_connection_timeout=_REST.total_seconds(),
    )
    server.limit_clients(limits, clients, metrics)
    host, _, port = address.rpartition(":")
    server.listen(int(port), host.strip("[]"))
    return server

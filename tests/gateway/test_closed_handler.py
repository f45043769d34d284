"""A request that is read in the event loop iteration in which a stopping gateway closes connections.

Its handler starts only in the next iteration, so the gateway sees no request in flight and closes
the connection. If the handler then forwarded the request, an upstream would run it without a caller.
"""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.web import Application

from cranberryline.entry.proxy import _CallerHandler
from cranberryline.gateway.handler import CallerHandler
from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.http_server import InputLimits, open_http_server
from cranberryline.helpers.metrics import Metrics
from stand_ins.process import free_ports


class _ClosingApplication(Application):
    """Closes every connection as soon as a request has been read, before its handler starts."""

    close: Any = None

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return a delegate that closes the connections after the request has been read."""
        inner = super().start_request(server_conn, request_conn)
        finish = inner.finish

        def finish_and_close() -> None:
            finish()
            self.close()

        inner.finish = finish_and_close  # type: ignore[method-assign]
        return inner


class _GatewayHandler(CallerHandler):
    def get(self) -> None:
        """Record that the request is forwarded."""
        self.context.forwarded.append(self.request.path)  # type: ignore[attr-defined]
        self.finish("x")


class _EntryHandler(_CallerHandler):
    def _identify(self) -> str:
        return "c"

    def get(self) -> None:
        """Record that the request is forwarded."""
        self.context.forwarded.append(self.request.path)  # type: ignore[attr-defined]
        self.finish("x")


@pytest.mark.parametrize("handler", [_GatewayHandler, _EntryHandler])
@pytest.mark.parametrize("closes", [True, False])
def test_request_of_a_closed_connection_is_not_forwarded(
    handler: type[CallerHandler], closes: bool
) -> None:
    """The handler starts after its connection was closed and must not forward the request.

    With the connection open, the same request is forwarded and answered.
    """

    async def async_scenario() -> tuple[list[str], bytes]:
        metrics, forwarded = Metrics(), []
        context = SimpleNamespace(
            clock=FakeClock(), metrics=metrics, forwarded=forwarded, ready=lambda: True
        )
        app = _ClosingApplication(
            [(r".*", handler, {"context": context})], log_function=lambda _: None
        )
        (port,) = free_ports(1)
        limits = InputLimits(1000, 1000, timedelta(seconds=1))
        server = open_http_server(app, f"127.0.0.1:{port}", limits, metrics)

        def close() -> None:
            for conn in list(server._connections) if closes else ():
                conn.stream.close()

        app.close = close
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        response = await asyncio.wait_for(reader.read(), 5)
        await asyncio.sleep(0.05)
        server.stop()
        writer.close()
        return forwarded, response

    forwarded, response = asyncio.run(async_scenario())
    assert (forwarded, bool(response)) == (([], False) if closes else (["/a"], True))

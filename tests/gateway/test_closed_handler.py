"""A request that is read in the turn of the loop in which a stopping gateway closes its connections.

Nothing is in flight, since the handler has not begun: the gateway closes. In the next turn the handler
begins and passes the request on; an upstream runs it, and the caller sees a closed connection and no answer.
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


class _Closing(Application):
    """Close every connection as soon as a request has been read, before its handler begins."""

    close: Any = None

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of a request."""
        inner = super().start_request(server_conn, request_conn)
        finish = inner.finish

        def finish_and_close() -> None:
            finish()
            self.close()

        inner.finish = finish_and_close  # type: ignore[method-assign]
        return inner


class _Gateway(CallerHandler):
    def get(self) -> None:
        """Note that the request is passed on."""
        self.context.passed_on.append(self.request.path)  # type: ignore[attr-defined]
        self.finish("x")


class _Entry(_CallerHandler):
    def _identify(self) -> str:
        return "c"

    def get(self) -> None:
        """Note that the request is passed on."""
        self.context.passed_on.append(self.request.path)  # type: ignore[attr-defined]
        self.finish("x")


@pytest.mark.parametrize("handler", [_Gateway, _Entry])
@pytest.mark.parametrize("closes", [True, False])
def test_nothing_is_passed_on_from_a_connection_that_has_closed(
    handler: type[CallerHandler], closes: bool
) -> None:
    """With the connection open, the same request is passed on and answered."""

    async def scene() -> tuple[list[str], bytes]:
        metrics, passed_on = Metrics(), []
        context = SimpleNamespace(
            clock=FakeClock(), metrics=metrics, passed_on=passed_on, ready=lambda: True
        )
        app = _Closing([(r".*", handler, {"context": context})], log_function=lambda _: None)
        (port,) = free_ports(1)
        limits = InputLimits(1000, 1000, timedelta(seconds=1))
        server = open_http_server(app, f"127.0.0.1:{port}", limits, metrics)

        def close() -> None:
            for conn in list(server._connections) if closes else ():
                conn.stream.close()

        app.close = close
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 5)
        await asyncio.sleep(0.05)
        server.stop()
        writer.close()
        return passed_on, answer

    passed_on, answer = asyncio.run(scene())
    assert (passed_on, bool(answer)) == (([], False) if closes else (["/a"], True))

"""What the path is compared with: an upstream, and a bare tornado handler that forwards to it."""

import asyncio
import sys
from collections.abc import Callable

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

__all__ = ["BODY", "main"]

BODY = b"x" * 1024

_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
    + str(len(BODY)).encode()
    + b"\r\n\r\n"
    + BODY
)
_MAX_CLIENTS = 1000


class _Upstream(asyncio.Protocol):
    """Answer each request without a body at once, so that the upstream is not what is measured."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection."""
        self._transport = transport
        self._received = b""

    def data_received(self, data: bytes) -> None:
        """Answer as many requests as have arrived whole."""
        *requests, self._received = (self._received + data).split(b"\r\n\r\n")
        for request in requests:
            self._transport.write(_ANSWER)  # type: ignore[attr-defined]
            if b"\r\nconnection: close" in request.lower():
                self._transport.close()


class _Forward(RequestHandler):
    """Forward a request and hand its answer back, and do nothing else."""

    def initialize(self, upstream: str) -> None:
        """Take the upstream's address."""
        self._upstream = upstream

    async def get(self) -> None:
        """Forward."""
        headers = self.request.headers.copy()
        headers.pop("Host", None)
        req = HTTPRequest(
            self._upstream + (self.request.uri or "/"),
            headers=headers,
            follow_redirects=False,
            decompress_response=False,
        )
        response = await AsyncHTTPClient().fetch(req, raise_error=False)
        self.set_status(response.code)
        for name, value in response.headers.get_all():
            if name not in ("Connection", "Content-Length", "Transfer-Encoding"):
                self.set_header(name, value)
        self.finish(response.body)


async def _async_serve_upstream(port: int) -> None:
    """Serve the upstream until ended."""
    server = await asyncio.get_running_loop().create_server(_Upstream, "127.0.0.1", port)
    await server.serve_forever()


async def _async_serve_bare(port: int, upstream: int) -> None:
    """Serve the bare handler until ended."""
    AsyncHTTPClient.configure(None, max_clients=_MAX_CLIENTS)
    rule = (".*", _Forward, {"upstream": f"http://127.0.0.1:{upstream}"})
    server = HTTPServer(Application([rule], log_function=_silent))
    server.listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def _silent(_handler: RequestHandler) -> None:
    """Log no requests; the product logs none either."""


def main(argv: list[str]) -> None:
    """Serve `upstream PORT` or `bare PORT UPSTREAM_PORT`."""
    kinds: dict[str, Callable[..., object]] = {
        "upstream": _async_serve_upstream,
        "bare": _async_serve_bare,
    }
    kind, *ports = argv
    asyncio.run(kinds[kind](*map(int, ports)))  # type: ignore[arg-type]


if __name__ == "__main__":
    main(sys.argv[1:])

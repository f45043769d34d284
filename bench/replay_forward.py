"""The simplest thing in the place of an entry: a bare tornado handler that forwards in turn."""

import asyncio
import itertools
import sys
from collections.abc import Iterator

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import HTTPTimeoutError
from tornado.web import Application, RequestHandler

MAX_CLIENTS = 4000
HEADER_DEADLINE = "X-Deadline-Ms"
STATUS_TIMEOUT = 504


class _Forward(RequestHandler):
    """Forward to the next upstream, without admission, queue or retry."""

    def initialize(self, upstreams: Iterator[str]) -> None:
        """Take the upstreams' addresses, without end."""
        self._upstreams = upstreams

    async def post(self) -> None:
        """Forward."""
        req = HTTPRequest(
            next(self._upstreams) + (self.request.uri or "/"),
            "POST",
            headers={"Content-Type": "application/json"},
            body=self.request.body,
            request_timeout=int(self.request.headers[HEADER_DEADLINE]) / 1000,
        )
        try:
            response = await AsyncHTTPClient().fetch(req, raise_error=False)
        except HTTPTimeoutError:
            self.send_error(STATUS_TIMEOUT)
            return
        self.set_status(response.code)
        self.finish(response.body or b"")


async def _async_serve(port: int, upstreams: list[str]) -> None:
    """Serve until ended."""
    AsyncHTTPClient.configure(None, max_clients=MAX_CLIENTS)
    rule = (".*", _Forward, {"upstreams": itertools.cycle(upstreams)})
    server = HTTPServer(Application([rule], log_function=lambda _: None))
    server.listen(port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_async_serve(int(sys.argv[1]), sys.argv[2:]))

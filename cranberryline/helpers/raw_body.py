"""An application that leaves bodies and queries as they came."""

from collections.abc import Awaitable
from typing import Any
from urllib.parse import parse_qsl

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.routing import _RoutingDelegate
from tornado.web import Application, RequestHandler, _HandlerDelegate

from .memory import BodyBuffer

__all__ = ["RawBodyApplication", "read_query"]


def read_query(query: str) -> dict[str, str]:
    """Return the last value of each name in a query; what cannot be decoded is replaced."""
    return dict(parse_qsl(query, keep_blank_values=True))


class RawBodyApplication(Application):
    """Hands each body to its handler as a single copy, and drops it with the answer.

    Bodies and queries are passed on, so their arguments are nobody's here. Parsing a form takes several
    times its size, and refuses what an upstream would take, such as many fields.
    """

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of a request."""
        return _RawQueryDelegate(self, server_conn, request_conn)

    def get_handler_delegate(
        self,
        request: HTTPServerRequest,
        target_class: type[RequestHandler],
        target_kwargs: dict[str, Any] | None = None,
        path_args: list[bytes] | None = None,
        path_kwargs: dict[str, bytes] | None = None,
    ) -> "_RawBodyDelegate":
        """Return the receiver of a request for a handler."""
        return _RawBodyDelegate(self, request, target_class, target_kwargs, path_args, path_kwargs)

    def log_request(self, handler: RequestHandler) -> None:
        """Drop the body of a request that has its answer; handlers log their own requests.

        The request is part of reference cycles, so that its body would stay until the garbage collector
        finds them.
        """
        handler.request.body = b""


class _RawQueryDelegate(_RoutingDelegate):
    """Finds the handler of a request without parsing its query."""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Hand the request to its handler; `arguments` are empty, `query` is as it came."""
        assert isinstance(start_line, RequestStartLine)
        uri = start_line.path
        path, _, query = uri.partition("?")
        request = HTTPServerRequest(
            connection=self.request_conn,
            server_connection=self.server_conn,
            start_line=start_line._replace(path=path),
            headers=headers,
        )
        request.uri, request.query = uri, query
        self.delegate = self.router.find_handler(request)
        assert self.delegate is not None
        return self.delegate.headers_received(start_line, headers)


class _RawBodyDelegate(_HandlerDelegate):
    """Collects a body, and starts its handler."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._body = BodyBuffer()
        self.request._parse_body = _keep_body  # type: ignore[method-assign]

    def data_received(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body.add(data)

    def finish(self) -> None:
        """Start the handler with the whole body."""
        self.request.body = self._body.value()
        self._body.clear()
        self.execute()

    def on_connection_close(self) -> None:
        """Drop what has come; the handler has not started."""
        self._body.clear()


def _keep_body() -> None:
    """Parse nothing."""

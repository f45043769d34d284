"""The entry's HTTP server, and the handler of each path."""

from collections.abc import Callable
from typing import Any

from tornado.web import RequestHandler

from cranberryline.helpers.http_server import (
    ClientLimits,
    GracefulServer,
    InputLimits,
    open_http_server,
)
from cranberryline.helpers.memory import ConnectionShare, connection_limit, open_account
from cranberryline.helpers.metrics import Metrics, MetricsHandler
from cranberryline.helpers.problem import ProblemHandler, write_problem
from cranberryline.helpers.raw_body import RawBodyApplication
from cranberryline.settings import EntrySettings

from .proxy import CompletionHandler, ProxyContext, ServiceHandler
from .screen import EntryScreen

__all__ = ["Route", "listen_http"]

Route = tuple[str, type[RequestHandler], dict[str, Any]]

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class _HealthHandler(ProblemHandler):
    """Report whether the process is alive, or whether it is ready for requests."""

    def initialize(self, good: Callable[[], bool]) -> None:
        """Set the health check; `good` returns whether it passes."""
        self._check = good

    def get(self) -> None:
        """Return 200 if the check passes, 503 if not."""
        passed = self._check()
        self.set_status(STATUS_OK if passed else STATUS_UNAVAILABLE)
        self.finish({"ok": passed})


class _NotFoundHandler(ProblemHandler):
    """Handle requests for unknown paths."""

    def prepare(self) -> None:
        """Return a 404 problem document."""
        write_problem(self, STATUS_NOT_FOUND, "unknown_path", "there is no such path")


def listen_http(
    cfg: EntrySettings,
    context: ProxyContext,
    metrics: Metrics,
    alive: Callable[[], bool],
    ready: Callable[[], bool],
    extra_routes: list[Route],
) -> GracefulServer:
    """Open the HTTP port with the given routes, and return its server.

    Raises OSError if the port is in use.
    """
    app = RawBodyApplication(
        [
            (r"/services/([^/]+)/(.*)", ServiceHandler, {"context": context}),
            (r"/v1/(completions|chat/completions)", CompletionHandler, {"context": context}),
            ("/health", _HealthHandler, {"good": alive}),
            ("/ready", _HealthHandler, {"good": ready}),
            ("/metrics", MetricsHandler, {"metrics": metrics}),
            *extra_routes,
        ],
        default_handler_class=_NotFoundHandler,
    )
    limits = InputLimits(cfg.max_body_bytes, cfg.max_header_bytes, cfg.slow_sender_timeout)
    clients = ClientLimits(
        open_account(cfg.memory_mb, metrics),
        EntryScreen(context, alive),
        cfg.stall_timeout,
        connection_limit(cfg.max_descriptors, ConnectionShare.CALLERS),
    )
    return open_http_server(app, cfg.listen, limits, metrics, clients)

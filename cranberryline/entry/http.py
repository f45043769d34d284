"""The entry's HTTP surface: which path goes to which handler."""

from collections.abc import Callable
from typing import Any

from tornado.web import Application, RequestHandler

from cranberryline.helpers.http_server import GracefulServer, InputLimits, open_http_server
from cranberryline.helpers.metrics import Metrics, MetricsHandler
from cranberryline.helpers.problem import ProblemHandler, write_problem
from cranberryline.settings import EntrySettings

from .proxy import CompletionHandler, ProxyContext, ServiceHandler

__all__ = ["Route", "listen_http"]

Route = tuple[str, type[RequestHandler], dict[str, Any]]

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class _HealthHandler(ProblemHandler):
    """Answer whether the process lives, or is ready for work."""

    def initialize(self, good: Callable[[], bool]) -> None:
        """Take the question."""
        self._good = good

    def get(self) -> None:
        """Answer 200 or 503."""
        good = self._good()
        self.set_status(STATUS_OK if good else STATUS_UNAVAILABLE)
        self.finish({"ok": good})


class _NotFoundHandler(ProblemHandler):
    """Answer paths that do not exist."""

    def prepare(self) -> None:
        """Refuse with a problem."""
        write_problem(self, STATUS_NOT_FOUND, "unknown_path", "there is no such path")


def listen_http(
    cfg: EntrySettings,
    context: ProxyContext,
    metrics: Metrics,
    alive: Callable[[], bool],
    ready: Callable[[], bool],
    more: list[Route],
) -> GracefulServer:
    """Open the HTTP port."""
    app = Application(
        [
            (r"/services/([^/]+)/(.*)", ServiceHandler, {"context": context}),
            (r"/v1/(completions|chat/completions)", CompletionHandler, {"context": context}),
            ("/health", _HealthHandler, {"good": alive}),
            ("/ready", _HealthHandler, {"good": ready}),
            ("/metrics", MetricsHandler, {"metrics": metrics}),
            *more,
        ],
        default_handler_class=_NotFoundHandler,
        log_function=lambda _: None,
    )
    limits = InputLimits(cfg.max_body_bytes, cfg.max_header_bytes, cfg.slow_sender_timeout)
    return open_http_server(app, cfg.listen, limits, metrics)

"""What all handlers of the gateway's callers share: refusals, ids, the end of an answer."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import attrs
from tornado.httputil import HTTPHeaders
from tornado.web import RequestHandler

from cranberryline.decisions.hedging import HedgeBudget
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.http_server import break_off_if_closed
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.problem import ProblemHandler, problem_body
from cranberryline.jobs.ports import EdgeFormat
from cranberryline.jobs.service import JobService
from cranberryline.routes import ActiveRoutes

__all__ = ["RETRY_AFTER", "CallerHandler", "GatewayContext", "ReadyHandler"]

_LOGGER = get_logger(__name__)

RETRY_AFTER = timedelta(milliseconds=300)


@attrs.define
class GatewayContext:
    """What the handlers share."""

    clock: Clock
    metrics: Metrics
    edge: EdgeFormat
    routes: ActiveRoutes
    dispatcher: Dispatcher
    jobs: JobService
    rng: random.Random
    hedges: HedgeBudget = attrs.field(factory=HedgeBudget)
    holds_known: Callable[[], bool] = lambda: True
    stopping: bool = False
    # Set when a stop closes what is left: a request that ends then was cut by us, not left by its caller.
    closed: bool = False


class ReadyHandler(RequestHandler):
    """Answer whether new connections should come here."""

    def initialize(self, ready: Callable[[], bool]) -> None:
        """Take the question."""
        self._ready = ready

    def get(self) -> None:
        """Answer 200 or 503."""
        good = self._ready()
        self.set_status(HTTPStatus.OK if good else HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish({"ready": good})


class CallerHandler(ProblemHandler):
    """One call of a caller."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    def initialize(self, context: GatewayContext) -> None:
        """Take the shared context."""
        self.context = context

    def prepare(self) -> None:
        """Start the request's time."""
        self._began = self.context.clock.monotonic()
        self._work: asyncio.Task[Any] | None = None
        self._first_ms = 0
        self.request_id = ""
        if break_off_if_closed(self):
            _LOGGER.info("connection_closed_before_work", path=self.request.path)

    def clear(self) -> None:
        """Start an answer without headers: all of them are the upstream's or a refusal's."""
        self._headers = HTTPHeaders()
        self._write_buffer = []
        self._status_code = HTTPStatus.OK
        self._reason = HTTPStatus.OK.phrase

    def compute_etag(self) -> None:
        """Leave entity tags to the upstream."""
        return

    def on_connection_close(self) -> None:
        """Stop working for a caller that has gone."""
        if self._work is not None:
            self._work.cancel()

    def _refuse_later(self, reason: str) -> None:
        self.context.metrics.refuse(reason)
        self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after=RETRY_AFTER)

    def _refuse(
        self,
        status: int,
        reason: str,
        ran: str = "no",
        detail: str = "",
        retry_after: timedelta | None = None,
    ) -> None:
        """Write a final answer without a result, and say in the log why."""
        _LOGGER.info(
            "request_refused",
            request_id=self.request_id,
            path=self.request.path,
            status=int(status),
            reason=reason,
            ran=ran,
            detail=detail,
            config=self._config_version(),
            ms=self._ms(),
        )
        self.clear()
        self.set_status(status)
        if retry_after is not None:
            self.set_header("Retry-After", f"{retry_after.total_seconds():g}")
        body = problem_body(int(status), reason, reason.replace("_", " "), ran, self.request_id)
        self.set_header("Content-Type", "application/problem+json")
        self._finish_body(body)

    def _write_json(self, status: HTTPStatus, body: bytes) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self._finish_body(body)

    def _finish_body(self, body: bytes) -> None:
        self.set_header("Content-Length", str(len(body)))
        if self.context.stopping:
            # A request sent on a kept connection in the moment in which it closes would be lost.
            self.set_header("Connection", "close")
        self.finish(body)

    def _config_version(self) -> int:
        table = self.context.routes.table
        return 0 if table is None else table.version

    def _ms(self) -> int:
        return in_milliseconds(self.context.clock.monotonic() - self._began)

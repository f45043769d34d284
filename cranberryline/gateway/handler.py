"""Base class of the handlers for callers, and the readiness handler."""

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
from cranberryline.dispatch.hedged import RunTimes
from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.http_server import break_off_if_closed
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.memory import MemoryAccount
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.problem import ProblemHandler, problem_body
from cranberryline.jobs.ports import EdgeFormat
from cranberryline.jobs.service import JobService
from cranberryline.ports.const import CHUNK_BYTES
from cranberryline.routes import ActiveRoutes
from cranberryline.usage import UsageCounter
from cranberryline.workspaces import KeyCheck

from .recent_reads import RecentReads

__all__ = ["RETRY_AFTER", "CallerHandler", "GatewayContext", "ReadyHandler"]

_LOGGER = get_logger(__name__)

RETRY_AFTER = timedelta(milliseconds=300)


@attrs.define
class GatewayContext:
    """Dependencies and state that the handlers share."""

    clock: Clock
    metrics: Metrics
    edge: EdgeFormat
    routes: ActiveRoutes
    dispatcher: Dispatcher
    jobs: JobService
    rng: random.Random
    key_check: KeyCheck
    confirmation: RecentReads
    memory: MemoryAccount
    usage: UsageCounter | None = None
    hedge_budget: HedgeBudget = attrs.field(factory=HedgeBudget)
    quarantine_ready: Callable[[], bool] = lambda: True
    stopping: bool = False
    # Set when a stop closes the remaining connections. Requests that end afterwards were cut by the
    # gateway, not disconnected by their callers.
    closed: bool = False


class ReadyHandler(RequestHandler):
    """Readiness check of the load balancer."""

    def initialize(self, ready: Callable[[], bool]) -> None:
        """Set the function that returns whether the gateway is ready."""
        self._is_ready = ready

    def get(self) -> None:
        """Respond with 200 if the gateway is ready, else with 503."""
        is_ready = self._is_ready()
        self.set_status(HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish({"ready": is_ready})


class CallerHandler(ProblemHandler):
    """Base class of the handlers of a caller's request."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    def initialize(self, context: GatewayContext) -> None:
        """Set the shared context."""
        self.context = context

    def prepare(self) -> None:
        """Start the clock of the request, or end it if its connection has closed already."""
        self._started_at = self.context.clock.monotonic()
        self._task: asyncio.Task[Any] | None = None
        self._response_head_ms = 0
        # None while it is unknown, and where callers need no key.
        self.workspace: str | None = None
        self._runs = RunTimes(self.context.clock)
        self.request_id = ""
        if break_off_if_closed(self):
            _LOGGER.info("connection_closed_before_work", path=self.request.path)

    def clear(self) -> None:
        """Reset the response to one without tornado's default headers.

        All headers come from the upstream or from the refusal.
        """
        self._headers = HTTPHeaders()
        self._write_buffer = []
        self._status_code = HTTPStatus.OK
        self._reason = HTTPStatus.OK.phrase

    def compute_etag(self) -> None:
        """Return no entity tag; the upstream sets it."""
        return

    def on_connection_close(self) -> None:
        """Cancel the work for a caller that has disconnected."""
        if self._task is not None:
            self._task.cancel()

    def _refuse_with_retry(self, reason: str) -> None:
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
        """Send a problem response and log the reason.

        `ran` says whether an upstream may have run the request.
        """
        _LOGGER.info(
            "request_refused",
            request_id=self.request_id,
            path=self.request.path,
            status=int(status),
            reason=reason,
            ran=ran,
            detail=detail,
            config=self._config_version(),
            ms=self._elapsed_ms(),
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
            # A request that the caller sends on a keep-alive connection while it closes is lost.
            self.set_header("Connection", "close")
        if len(body) > CHUNK_BYTES:
            # In one packet with the headers it would be copied.
            self.flush()
        self.finish(body)

    def _count_for_workspace(self, outcome: str) -> None:
        if self.workspace is not None:
            self.context.metrics.workspace_requests.count(self.workspace, outcome)

    def _record_usage(self) -> None:
        """Count the request for its workspace if an upstream began to run it."""
        usage, began = self.context.usage, self._runs.first
        if usage is not None and self.workspace is not None and began is not None:
            usage.count(self.workspace, began)

    def _config_version(self) -> int:
        table = self.context.routes.table
        return 0 if table is None else table.version

    def _elapsed_ms(self) -> int:
        return in_milliseconds(self.context.clock.monotonic() - self._started_at)

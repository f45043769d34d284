"""HTTP handlers for application callers: plain services and model engines."""

import asyncio
import itertools
import uuid
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import attrs
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from cranberryline.dispatch.attempt import CallerDisconnected
from cranberryline.dispatch.dispatch import Dispatcher, ServiceCatalog
from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.model import CallerClass, CallerRequest, ResponseSink
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.http_headers import HOP_BY_HOP_HEADERS
from cranberryline.helpers.http_server import break_off, break_off_if_closed
from cranberryline.helpers.logging import Logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.problem import ProblemHandler, write_problem
from cranberryline.helpers.tokens import TokenTable
from cranberryline.requests import scoped_key

from .completions import CHARS_PER_TOKEN, read_completion

__all__ = ["CompletionHandler", "ProxyContext", "ServiceHandler"]

HEADER_PRIORITY = "X-Priority"
HEADER_DEADLINE = "X-Deadline-Ms"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_IDEMPOTENT = "X-Idempotent"
HEADER_AUTHORIZATION = "Authorization"
HEADER_CALLER = "X-Caller"
HEADER_REQUEST_ID = "X-Request-Id"

_MAX_DEADLINE_DIGITS = 9
_MAX_KEY_CHARS = 255
_SLASHES_BEFORE_PATH = 3
_NOT_READY_RETRY_AFTER = timedelta(seconds=1)

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
# Hop-by-hop headers apply to one connection only; the other ones are addressed to the entry.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    "host",
    HEADER_PRIORITY.lower(),
    HEADER_DEADLINE.lower(),
    HEADER_IDEMPOTENT.lower(),
}


@attrs.define
class ProxyContext:
    """The dependencies shared by the handlers of callers.

    `ready` returns whether the configuration has been loaded and is up to date.
    """

    clock: Clock
    metrics: Metrics
    dispatcher: Dispatcher
    catalog: ServiceCatalog
    tokens: TokenTable
    ready: Callable[[], bool]
    log: Logger


class _HandlerSink(ResponseSink):
    """Streams the upstream's response to the caller."""

    def __init__(self, handler: "_CallerHandler") -> None:
        self._handler = handler

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Set the status and headers, which are sent together with the first chunk of the body."""
        self._handler.clear()
        self._handler.set_status(status)
        for name, value in headers:
            if name.lower() not in _DROPPED_HEADERS or name.lower() == "content-length":
                self._handler.add_header(name, value)
        return False

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Write a chunk of the body; wait for the socket unless it is the last chunk."""
        try:
            self._handler.write(data)
            if not last:
                await self._handler.flush()
        except StreamClosedError as exc:
            raise CallerDisconnected from exc


class _CallerHandler(ProblemHandler):
    """Base handler for requests to plain services and to engines."""

    kind = "service"
    _request_numbers = itertools.count()
    _process_id = uuid.uuid4().hex[:8]

    def initialize(self, context: ProxyContext) -> None:
        """Store the shared dependencies."""
        self.context = context

    def prepare(self) -> None:
        """Identify the request and its caller; reject it if the entry is not ready."""
        given_id = self.request.headers.get(HEADER_REQUEST_ID, "")
        self.request_id = given_id[:64] or f"{self._process_id}-{next(self._request_numbers)}"
        self._task: asyncio.Task[Any] | None = None
        self._dropped_headers = _DROPPED_HEADERS
        self._started_at = self.context.clock.monotonic()
        self.caller = self._identify()
        self.context.metrics.requests.labels(self.kind).inc()
        break_off_if_closed(self)
        # Without the configuration every service is unknown, and callers do not retry a 404.
        if not self._finished and not self.context.ready():
            self.refuse(Refusal(RefusalReason.NOT_READY, retry_after=_NOT_READY_RETRY_AFTER))

    def clear(self) -> None:
        """Reset the response without tornado's default headers.

        All headers come from the upstream or from the problem response.
        """
        self._headers = HTTPHeaders()
        self._write_buffer = []
        self._status_code = HTTPStatus.OK
        self._reason = HTTPStatus.OK.phrase

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        if self._task is not None:
            self._task.cancel()

    def compute_etag(self) -> None:
        """Add no entity tag; only the upstream sets one."""
        return

    def refuse(self, refusal: Refusal) -> None:
        """Respond with a problem, or close the connection if a response has been partly sent."""
        ctx = self.context
        count = ctx.metrics.refuse if refusal.ran is Ran.NO else ctx.metrics.fail
        count(refusal.reason.value)
        self.context.log.info(
            "request_refused",
            request_id=self.request_id,
            caller=self.caller,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            detail=refusal.detail,
        )
        if self._headers_written or refusal.response_started:
            # The status has been sent: a regular end would make the truncated body look complete.
            break_off(self)
            return
        write_problem(
            self,
            refusal.status,
            refusal.reason.value,
            refusal.reason.value.replace("_", " "),
            ran=refusal.ran.value,
            retry_after=refusal.retry_after,
            detail=refusal.detail,
        )

    async def async_serve(self, req: CallerRequest) -> None:
        """Dispatch a request and write its response."""
        sink = _HandlerSink(self)
        result = await self.context.dispatcher.async_run(req, sink)
        if result.is_err():
            self.refuse(result.unwrap_err())
            return
        self.context.metrics.answers.labels(self.kind).inc()
        await self.finish()
        elapsed = self.context.clock.monotonic() - self._started_at
        self.context.metrics.latency.labels(self.kind).observe(elapsed.total_seconds())

    def _identify(self) -> str:
        """Return the caller's name: from its token, else from X-Caller, else its IP address."""
        header = self.request.headers.get(HEADER_AUTHORIZATION)
        identified = self.context.tokens.identify(header)
        if isinstance(identified, Ok):
            # The token authenticates the caller to the entry. Upstreams must not receive it, since
            # they could impersonate the caller with it.
            self._dropped_headers = _DROPPED_HEADERS | {HEADER_AUTHORIZATION.lower()}
            return identified.unwrap().name
        return self.request.headers.get(HEADER_CALLER, "") or self.request.remote_ip or "unknown"

    def read_caller_class(self) -> Result[CallerClass, Refusal]:
        """Return the priority class of the request.

        It is never more urgent than the class in the caller's configuration record.
        """
        spec = self.context.catalog.caller(self.caller)
        most_urgent = CallerClass.APPLICATION
        if spec is not None:
            most_urgent = CallerClass[spec.caller_class.name]
        text = self.request.headers.get(HEADER_PRIORITY, most_urgent.name).upper()
        if text not in CallerClass.__members__:
            allowed = ", ".join(c.name.lower() for c in CallerClass)
            return Err(_bad_request(f"{HEADER_PRIORITY} must be one of {allowed}"))
        return Ok(max(CallerClass[text], most_urgent))

    def read_deadline(self, service: str) -> Result[timedelta, Refusal]:
        """Return the deadline on the monotonic clock.

        It is read from X-Deadline-Ms, and defaults to the timeout of the service.
        """
        text = self.request.headers.get(HEADER_DEADLINE)
        if text is None:
            return Ok(self.context.clock.monotonic() + self._timeout(service))
        if not text.isdecimal() or len(text) > _MAX_DEADLINE_DIGITS:
            return Err(_bad_request(f"{HEADER_DEADLINE} must be a whole number of milliseconds"))
        return Ok(self.context.clock.monotonic() + timedelta(milliseconds=int(text)))

    def _timeout(self, service: str) -> timedelta:
        return timedelta(seconds=self.context.catalog.spec(service).timeout_seconds)

    def read_idempotent(self, default: bool) -> Result[bool, Refusal]:
        """Return whether the request is idempotent, from X-Idempotent or `default`."""
        text = self.request.headers.get(HEADER_IDEMPOTENT, "").lower()
        if text not in ("", "true", "false"):
            return Err(_bad_request(f"{HEADER_IDEMPOTENT} must be true or false"))
        return Ok(default if text == "" else text == "true")

    def build_request(
        self, service: str, path: str, idempotent: bool, tokens: int = 0, prefix: str = ""
    ) -> Result[CallerRequest, Refusal]:
        """Validate the headers and build the request, or return why it is rejected."""
        if not self.context.catalog.has_service(service):
            return Err(Refusal(RefusalReason.UNKNOWN_SERVICE, detail=service[:100]))
        caller_class, deadline = self.read_caller_class(), self.read_deadline(service)
        is_idempotent = self.read_idempotent(idempotent)
        for part in (caller_class, deadline, is_idempotent):
            if part.is_err():
                return Err(part.unwrap_err())
        key = self.request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
        if len(key) > _MAX_KEY_CHARS:
            return Err(
                _bad_request(
                    f"{HEADER_IDEMPOTENCY_KEY} must have at most {_MAX_KEY_CHARS} characters"
                )
            )
        if key:
            key = scoped_key(self.caller, key)
        headers = [
            (name, value)
            for name, value in self.request.headers.get_all()
            if name.lower() not in self._dropped_headers
        ]
        if HEADER_REQUEST_ID not in self.request.headers:
            headers.append((HEADER_REQUEST_ID, self.request_id))
        return Ok(
            CallerRequest(
                service=service,
                method=self.request.method or "GET",
                path=path,
                headers=tuple(headers),
                body=self.request.body,
                deadline=deadline.unwrap(),
                caller=self.caller,
                caller_class=caller_class.unwrap(),
                idempotent=is_idempotent.unwrap(),
                key=key,
                tokens=tokens,
                # Requests with the same idempotency key are routed to the same upstream if
                # possible, where a duplicate is detected without reading the log.
                prefix_key=prefix or key,
                prefix_tokens=len(prefix) // CHARS_PER_TOKEN if prefix else int(bool(key)),
                request_id=self.request_id,
            )
        )

    async def async_serve_or_refuse(self, built: Result[CallerRequest, Refusal]) -> None:
        """Serve a request that was built, or respond with the refusal."""
        if built.is_err():
            self.refuse(built.unwrap_err())
            return
        self._task = asyncio.current_task()
        try:
            await self.async_serve(built.unwrap())
        except asyncio.CancelledError:
            self.context.metrics.fail(RefusalReason.CALLER_LEFT.value)
            break_off(self)
        finally:
            self._task = None


class ServiceHandler(_CallerHandler):
    """Proxies any request to a plain service."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    async def async_handle(self, service: str, path: str) -> None:
        """Proxy the request with its path and query unchanged."""
        # Tornado decodes the captured groups, but an escaped slash must reach the upstream escaped.
        raw_path = self.request.uri.split("/", _SLASHES_BEFORE_PATH)[-1] if self.request.uri else ""
        is_idempotent = self.request.method in _IDEMPOTENT_METHODS
        await self.async_serve_or_refuse(self.build_request(service, f"/{raw_path}", is_idempotent))

    get = head = post = delete = patch = put = options = async_handle


class CompletionHandler(_CallerHandler):
    """Proxies a completion request to the engines that serve its model."""

    kind = "completion"

    async def post(self, path: str) -> None:
        """Proxy the request."""
        await self.async_serve_or_refuse(self._read_request(path))

    def _read_request(self, path: str) -> Result[CallerRequest, Refusal]:
        read = read_completion(self.request.body)
        if isinstance(read, Err):
            return Err(_bad_request(read.unwrap_err()))
        call = read.unwrap()
        service = self.context.catalog.service_for_model(call.model)
        if service is None:
            return Err(Refusal(RefusalReason.UNKNOWN_SERVICE, detail=call.model[:100]))
        return self.build_request(service, f"/v1/{path}", True, call.tokens, call.prefix)


def _bad_request(detail: str) -> Refusal:
    return Refusal(RefusalReason.BAD_REQUEST, detail=detail)

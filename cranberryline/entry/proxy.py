"""HTTP handlers for application callers: plain services and model engines."""

import asyncio
import itertools
import json
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

__all__ = ["CompletionHandler", "ProxyContext", "ServiceHandler"]

HEADER_PRIORITY = "X-Priority"
HEADER_DEADLINE = "X-Deadline-Ms"
HEADER_KEY = "Idempotency-Key"
HEADER_IDEMPOTENT = "X-Idempotent"
HEADER_AUTHORIZATION = "Authorization"
HEADER_CALLER = "X-Caller"
HEADER_REQUEST_ID = "X-Request-Id"

DEFAULT_MAX_TOKENS = 256
# A prompt's leading part decides which engine has it cached; group members share all of it.
PREFIX_CHARS = 256
CHARS_PER_TOKEN = 4
_MAX_DEADLINE_DIGITS = 9
_MAX_KEY_CHARS = 255
_SEGMENTS_BEFORE_PATH = 3
_NOT_READY_RETRY = timedelta(seconds=1)

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
# Hop-by-hop headers belong to one connection, ours belong to the entry.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    "host",
    HEADER_PRIORITY.lower(),
    HEADER_DEADLINE.lower(),
    HEADER_IDEMPOTENT.lower(),
}


@attrs.define
class ProxyContext:
    """What the handlers of callers share."""

    clock: Clock
    metrics: Metrics
    dispatcher: Dispatcher
    book: ServiceCatalog
    tokens: TokenTable
    ready: Callable[[], bool]
    log: Logger


class _HandlerSink(ResponseSink):
    """Write an answer to the caller as it arrives."""

    def __init__(self, handler: "_CallerHandler") -> None:
        self._handler = handler

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Set the status and headers; they leave with the first part of the body."""
        self._handler.clear()
        self._handler.set_status(status)
        for name, value in headers:
            if name.lower() not in _DROPPED_HEADERS or name.lower() == "content-length":
                self._handler.add_header(name, value)
        return False

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Write a part of the body and wait until the caller has taken it."""
        try:
            self._handler.write(data)
            if not last:
                await self._handler.flush()
        except StreamClosedError as exc:
            raise CallerDisconnected from exc


class _CallerHandler(ProblemHandler):
    """What plain services and engines have in common."""

    kind = "service"
    _ids = itertools.count()
    _process = uuid.uuid4().hex[:8]

    def initialize(self, context: ProxyContext) -> None:
        """Take the shared context."""
        self.context = context

    def prepare(self) -> None:
        """Name the request."""
        given = self.request.headers.get(HEADER_REQUEST_ID, "")
        self.request_id = given[:64] or f"{self._process}-{next(self._ids)}"
        self._work: asyncio.Task[Any] | None = None
        self._dropped = _DROPPED_HEADERS
        self._began = self.context.clock.monotonic()
        self.caller = self._identify()
        self.context.metrics.requests.labels(self.kind).inc()
        break_off_if_closed(self)
        # Without the configuration every service would look unknown, and a 404 is final.
        if not self._finished and not self.context.ready():
            self.refuse(Refusal(RefusalReason.NOT_READY, retry_after=_NOT_READY_RETRY))

    def clear(self) -> None:
        """Start an answer without headers: all of them are the upstream's or a refusal's."""
        self._headers = HTTPHeaders()
        self._write_buffer = []
        self._status_code = HTTPStatus.OK
        self._reason = HTTPStatus.OK.phrase

    def on_connection_close(self) -> None:
        """Stop working for a caller that has gone."""
        if self._work is not None:
            self._work.cancel()

    def compute_etag(self) -> None:
        """Leave entity tags to the upstream."""
        return

    def refuse(self, refusal: Refusal) -> None:
        """End with a refusal, or cut the connection when a part of an answer has left."""
        ctx = self.context
        counted = ctx.metrics.refuse if refusal.ran is Ran.NO else ctx.metrics.fail
        counted(refusal.reason.value)
        self.context.log.info(
            "request_refused",
            request_id=self.request_id,
            caller=self.caller,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            detail=refusal.detail,
        )
        if self._headers_written or refusal.response_started:
            # The status has left: a tidy end would make a part look like the whole.
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
        """Run a request and write its answer."""
        sink = _HandlerSink(self)
        result = await self.context.dispatcher.async_run(req, sink)
        if result.is_err():
            self.refuse(result.unwrap_err())
            return
        self.context.metrics.answers.labels(self.kind).inc()
        await self.finish()
        took = self.context.clock.monotonic() - self._began
        self.context.metrics.latency.labels(self.kind).observe(took.total_seconds())

    def _identify(self) -> str:
        """Name the caller: by its token, else as it says itself, else by its address."""
        header = self.request.headers.get(HEADER_AUTHORIZATION)
        identified = self.context.tokens.identify(header)
        if isinstance(identified, Ok):
            # The token is for us; passed on, every upstream could act in the caller's name.
            self._dropped = _DROPPED_HEADERS | {HEADER_AUTHORIZATION.lower()}
            return identified.unwrap().name
        return self.request.headers.get(HEADER_CALLER, "") or self.request.remote_ip or "unknown"

    def caller_class(self) -> Result[CallerClass, Refusal]:
        """Read the class of the request; a caller's record bounds how urgent it may call itself."""
        spec = self.context.book.caller(self.caller)
        most_urgent = CallerClass.APPLICATION
        if spec is not None:
            most_urgent = CallerClass[spec.caller_class.name]
        text = self.request.headers.get(HEADER_PRIORITY, most_urgent.name).upper()
        if text not in CallerClass.__members__:
            allowed = ", ".join(c.name.lower() for c in CallerClass)
            return Err(_bad(f"{HEADER_PRIORITY} must be one of {allowed}"))
        return Ok(max(CallerClass[text], most_urgent))

    def deadline(self, service: str) -> Result[timedelta, Refusal]:
        """Read the deadline, on the monotonic clock."""
        text = self.request.headers.get(HEADER_DEADLINE)
        if text is None:
            return Ok(self.context.clock.monotonic() + self._timeout(service))
        if not text.isdecimal() or len(text) > _MAX_DEADLINE_DIGITS:
            return Err(_bad(f"{HEADER_DEADLINE} must be a whole number of milliseconds"))
        return Ok(self.context.clock.monotonic() + timedelta(milliseconds=int(text)))

    def _timeout(self, service: str) -> timedelta:
        return timedelta(seconds=self.context.book.spec(service).timeout_seconds)

    def idempotent(self, default: bool) -> Result[bool, Refusal]:
        """Read whether the request may be repeated."""
        text = self.request.headers.get(HEADER_IDEMPOTENT, "").lower()
        if text not in ("", "true", "false"):
            return Err(_bad(f"{HEADER_IDEMPOTENT} must be true or false"))
        return Ok(default if text == "" else text == "true")

    def build(
        self, service: str, path: str, idempotent: bool, tokens: int = 0, prefix: str = ""
    ) -> Result[CallerRequest, Refusal]:
        """Check the headers and put the request together."""
        if not self.context.book.has_service(service):
            return Err(Refusal(RefusalReason.UNKNOWN_SERVICE, detail=service[:100]))
        caller_class, deadline = self.caller_class(), self.deadline(service)
        repeatable = self.idempotent(idempotent)
        for part in (caller_class, deadline, repeatable):
            if part.is_err():
                return Err(part.unwrap_err())
        key = self.request.headers.get(HEADER_KEY, "")
        if len(key) > _MAX_KEY_CHARS:
            return Err(_bad(f"{HEADER_KEY} must have at most {_MAX_KEY_CHARS} characters"))
        if key:
            key = scoped_key(self.caller, key)
        headers = [
            (name, value)
            for name, value in self.request.headers.get_all()
            if name.lower() not in self._dropped
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
                idempotent=repeatable.unwrap(),
                key=key,
                tokens=tokens,
                # Both callers of one key are sent to one upstream while they can be: it then
                # sees the second one without asking the log.
                prefix_key=prefix or key,
                prefix_tokens=len(prefix) // CHARS_PER_TOKEN if prefix else int(bool(key)),
                request_id=self.request_id,
            )
        )

    async def async_build_and_serve(self, built: Result[CallerRequest, Refusal]) -> None:
        """Serve a request that was put together, or refuse it."""
        if built.is_err():
            self.refuse(built.unwrap_err())
            return
        self._work = asyncio.current_task()
        try:
            await self.async_serve(built.unwrap())
        except asyncio.CancelledError:
            self.context.metrics.fail(RefusalReason.CALLER_LEFT.value)
            break_off(self)
        finally:
            self._work = None


class ServiceHandler(_CallerHandler):
    """Pass any request to a plain service."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    async def async_handle(self, service: str, path: str) -> None:
        """Pass the request on."""
        # The router hands its groups over decoded; an escaped slash must stay one.
        raw = self.request.uri.split("/", _SEGMENTS_BEFORE_PATH)[-1] if self.request.uri else ""
        repeatable = self.request.method in _IDEMPOTENT_METHODS
        await self.async_build_and_serve(self.build(service, f"/{raw}", repeatable))

    get = head = post = delete = patch = put = options = async_handle


class CompletionHandler(_CallerHandler):
    """Pass a completion request to the engines that serve its model."""

    kind = "completion"

    async def post(self, path: str) -> None:
        """Pass the request on."""
        await self.async_build_and_serve(self._read(path))

    def _read(self, path: str) -> Result[CallerRequest, Refusal]:
        try:
            body = json.loads(self.request.body)
        except (ValueError, RecursionError):
            return Err(_bad("the body is not JSON"))
        if not isinstance(body, dict) or not isinstance(body.get("model"), str):
            return Err(_bad("the body must be an object with a model"))
        max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
        if not isinstance(max_tokens, int) or isinstance(max_tokens, bool) or max_tokens < 1:
            return Err(_bad("max_tokens must be a whole number above 0"))
        service = self.context.book.service_for_model(body["model"])
        if service is None:
            return Err(Refusal(RefusalReason.UNKNOWN_SERVICE, detail=body["model"][:100]))
        prompt = _prompt_text(body)
        tokens = max_tokens + len(prompt) // CHARS_PER_TOKEN
        return self.build(service, f"/v1/{path}", True, tokens, prompt[:PREFIX_CHARS])


def _prompt_text(body: dict[str, Any]) -> str:
    if isinstance(body.get("prompt"), str):
        return body["prompt"]
    return json.dumps(body.get("messages", body.get("prompt", "")))


def _bad(detail: str) -> Refusal:
    return Refusal(RefusalReason.BAD_REQUEST, detail=detail)

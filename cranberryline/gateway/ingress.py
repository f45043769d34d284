"""HTTP handler for the requests of callers: forwards them by route, or handles batch jobs."""

import asyncio
from datetime import timedelta
from http import HTTPStatus

import attrs
from result import Err, Ok, Result
from tornado.iostream import StreamClosedError

from cranberryline.decisions.hedging import hedge_delay
from cranberryline.dispatch.attempt import CallerDisconnected
from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.hedged import AttemptSink, HedgedRequest
from cranberryline.dispatch.model import CallerClass, CallerRequest
from cranberryline.helpers.clock import in_milliseconds
from cranberryline.helpers.http_headers import HOP_BY_HOP_HEADERS
from cranberryline.helpers.http_server import break_off
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.raw_body import read_query
from cranberryline.jobs.ports import (
    HeaderPairs,
    ItemBodyRead,
    JobEnd,
    JobRead,
    PlainCall,
)
from cranberryline.routes import Route, RouteKind

from .handler import RETRY_AFTER
from .job_handler import JobHandler
from .streams import StreamForwarder, StreamOutput

__all__ = ["IngressHandler"]

_LOGGER = get_logger(__name__)

_DEFAULT_TIMEOUT = timedelta(seconds=30)
# Besides hop-by-hop headers, those that the HTTP server of each process sets itself.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"date", "server"}


class IngressHandler(JobHandler):
    """Serves all requests of callers."""

    async def async_handle(self) -> None:
        """Serve the request until it is finished or cancelled by a disconnect."""
        self._task = asyncio.current_task()
        try:
            await self._async_serve()
        except asyncio.CancelledError:
            self._log_disconnect()
            break_off(self)
        finally:
            self._task = None

    def _log_disconnect(self) -> None:
        """Log whether the caller disconnected, or a stop closed the connection during the request."""
        if self.context.closed:
            self.context.metrics.fail("stop_cut")
            _LOGGER.error("stop_cut", request_id=self.request_id, ms=self._elapsed_ms())
            return
        self.context.metrics.fail(RefusalReason.CALLER_LEFT.value)
        _LOGGER.info("caller_left", request_id=self.request_id, ms=self._elapsed_ms())

    get = head = post = delete = patch = put = options = async_handle

    async def _async_serve(self) -> None:
        req, ctx = self.request, self.context
        query = read_query(req.query)
        read = ctx.edge.read_call(req.method or "", req.path, query, req.headers)
        if isinstance(read, Err):
            self._refuse(HTTPStatus.BAD_REQUEST, "bad_request", detail=read.unwrap_err())
            return
        match read.unwrap():
            case JobRead() as call:
                await self._async_read_job(call)
            case ItemBodyRead() as call:
                await self._async_read_item_body(call)
            case JobEnd() as call:
                await self._async_end_job(call)
            case PlainCall() as call:
                await self._async_serve_route(call)

    async def _async_serve_route(self, call: PlainCall) -> None:
        """Serve a request by its route.

        Before a configuration is loaded the response is 503, as it is unknown which routes exist.
        """
        self.request_id = call.request_id
        table = await self._async_wait_for_routes()
        if table is None:
            self._refuse_with_retry(RefusalReason.NOT_READY.value)
            return
        host = self.request.headers.get("Host", "").partition(":")[0]
        route = table.match(host, self.request.path)
        if route is None:
            self._refuse(HTTPStatus.NOT_FOUND, "no_route", detail=f"version {table.version}")
            return
        if not route.public and not self._identify(table):
            return
        self.context.metrics.requests.labels(route.kind.value).inc()
        if route.kind is RouteKind.JOB:
            await self._async_submit_job(call, host)
            return
        try:
            if route.kind is RouteKind.STREAM:
                await self._async_forward_stream(call, route)
            else:
                await self._async_forward(call, route)
        finally:
            self._record_usage()

    async def _async_forward(self, call: PlainCall, route: Route) -> None:
        """Send the request until an upstream returns a complete response, and forward it."""
        ctx = self.context
        timeout = min(call.time_left or _DEFAULT_TIMEOUT, route.timeout)
        deadline = self._started_at + timeout
        outcome: Result[AttemptSink, Refusal]
        if route.repeatable:
            hedged = HedgedRequest(
                ctx.dispatcher,
                ctx.hedge_budget,
                ctx.metrics,
                lambda avoid: self._upstream_request(route, deadline, avoid, 1),
                hedge_delay(route.goal),
                max(1, route.max_attempts),
                clock=ctx.clock,
                runs=self._runs,
            )
            outcome = await hedged.async_run()
        else:
            sink = AttemptSink(ctx.clock, self._runs)
            req = self._upstream_request(route, deadline, frozenset(), max(1, route.max_attempts))
            result = await ctx.dispatcher.async_run(req, sink)
            outcome = Ok(sink) if isinstance(result, Ok) else Err(result.unwrap_err())
        if isinstance(outcome, Err):
            self._write_refusal(outcome.unwrap_err(), route)
            return
        self._write_response(outcome.unwrap(), route)

    async def _async_forward_stream(self, call: PlainCall, route: Route) -> None:
        """Forward a stream as it arrives.

        If it ends early, the connection is closed so that the caller does not take it for complete. The
        timeout of its route bounds how long it waits to begin; from then on it lasts as long as its
        caller waits.
        """
        ctx = self.context
        deadline = self._started_at + (call.time_left or _DEFAULT_TIMEOUT)
        starts_by = self._started_at + route.timeout

        def make_request(last_event: int | None, avoid: frozenset[str]) -> CallerRequest:
            req = self._upstream_request(route, deadline, avoid, 1)
            headers = ctx.edge.resume_headers(req.headers, last_event)
            # Makes the upstream cancel the request when the caller disconnects. The dispatcher does
            # not retry it, as it is allowed one attempt.
            starts = timedelta.max if forwarder.response_started else starts_by
            return attrs.evolve(req, headers=headers, idempotent=True, starts_by=starts)

        forwarder = StreamForwarder(
            ctx.dispatcher,
            StreamOutput(self._async_stream_head, self._async_stream_events),
            make_request,
            ctx.edge.version_field,
            route.resumable,
            max(1, route.max_attempts),
            call.last_event,
        )
        outcome = await forwarder.async_run()
        if isinstance(outcome, Ok):
            sink = outcome.unwrap()
            if forwarder.response_started:
                await self.finish()
                self._count_for_workspace("answered")
                _LOGGER.info(
                    "stream_ended",
                    request_id=self.request_id,
                    route=route.name,
                    upstream=sink.upstream,
                    first_ms=self._response_head_ms,
                    ms=self._elapsed_ms(),
                )
                return
            response = AttemptSink()
            response.upstream = sink.upstream
            await response.async_head(sink.status, sink.headers)
            await response.async_chunk(sink.body)
            self._write_response(response, route)
            return
        refusal = outcome.unwrap_err()
        if not refusal.response_started:
            self._write_refusal(refusal, route)
            return
        ctx.metrics.fail("stream_cut")
        _LOGGER.warning("stream_cut", request_id=self.request_id, ms=self._elapsed_ms())
        break_off(self)

    async def _async_stream_head(self, status: int, headers: HeaderPairs) -> None:
        # A stream begins to run with its first token, possibly long after it was sent.
        self._runs.start()
        self._response_head_ms = self._elapsed_ms()
        self.set_status(status)
        for name, value in headers:
            if name.lower() not in _DROPPED_HEADERS:
                self.add_header(name, value)
        await self._async_flush()

    async def _async_stream_events(self, data: bytes) -> None:
        self.write(data)
        await self._async_flush()

    async def _async_flush(self) -> None:
        try:
            await self.flush()
        except StreamClosedError as exc:
            raise CallerDisconnected from exc

    def _upstream_request(
        self, route: Route, deadline: timedelta, avoid: frozenset[str], attempts: int
    ) -> CallerRequest:
        req, edge = self.request, self.context.edge
        headers = tuple(
            (name, value)
            for name, value in req.headers.get_all()
            if name.lower() not in _DROPPED_HEADERS
        )
        workspace = self.workspace or ""
        return CallerRequest(
            service=route.choose_service(self.context.rng),
            method=req.method or "GET",
            path=req.uri or "/",
            headers=edge.caller_headers(headers, workspace),
            body=req.body,
            deadline=deadline,
            caller=route.host,
            caller_class=CallerClass.APPLICATION,
            idempotent=route.repeatable,
            avoid=avoid,
            max_attempts=attempts,
            request_id=self.request_id,
            credential=workspace or edge.credential(req.headers),
            workspace=workspace,
            rank=self.context.routes.rank(route, workspace),
        )

    def _write_response(self, sink: AttemptSink, route: Route) -> None:
        self.set_status(sink.status)
        for name, value in sink.headers:
            if name.lower() not in _DROPPED_HEADERS:
                self.add_header(name, value)
        self._finish_body(sink.body)
        self.context.metrics.answers.labels(route.kind.value).inc()
        self._count_for_workspace("answered")
        elapsed = self.context.clock.monotonic() - self._started_at
        self.context.metrics.latency.labels(route.kind.value).observe(elapsed.total_seconds())
        _LOGGER.info(
            "request_answered",
            request_id=self.request_id,
            route=route.name,
            config=self._config_version(),
            upstream=sink.upstream,
            status=sink.status,
            # Time until the request was sent to the upstream that answered it.
            place_ms=(
                None if sink.sent_at is None else in_milliseconds(sink.sent_at - self._started_at)
            ),
            ms=self._elapsed_ms(),
        )

    def _write_refusal(self, refusal: Refusal, route: Route) -> None:
        """Send a problem response.

        It is counted as a refusal only if it is certain that no upstream ran the request.
        """
        ctx = self.context
        count = ctx.metrics.refuse if refusal.ran is Ran.NO else ctx.metrics.fail
        count(refusal.reason.value)
        self._count_for_workspace("refused" if refusal.ran is Ran.NO else "failed")
        status = refusal.status
        if refusal.ran is not Ran.NO:
            # Either status leaves open whether the request ran; 504 says that the timeout ended it,
            # 502 that an upstream did.
            timed_out = ctx.clock.monotonic() >= self._started_at + route.timeout
            status = HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY
        self._refuse(
            status,
            refusal.reason.value,
            ran=refusal.ran.value,
            detail=f"{route.name} {refusal.detail}",
            retry_after=_retry_after(refusal),
        )


def _retry_after(refusal: Refusal) -> timedelta | None:
    """Return the delay before a retry, None if the request may have run.

    A request in quarantine is refused until its next trial.
    """
    if refusal.ran is not Ran.NO:
        return None
    return refusal.retry_after if refusal.reason is RefusalReason.HELD else RETRY_AFTER

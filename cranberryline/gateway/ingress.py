"""HTTP handlers of the gateway: requests by route, batch jobs, readiness."""

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
from cranberryline.jobs.ports import (
    HeaderPairs,
    ItemBodyRead,
    JobEnd,
    JobRead,
    PlainCall,
)
from cranberryline.routes import Route, RouteKind, RouteTable

from .handler import RETRY_AFTER
from .job_calls import JobCalls
from .streams import StreamAnswer, StreamRun

__all__ = ["IngressHandler"]

_LOGGER = get_logger(__name__)

_DEFAULT_TIME = timedelta(seconds=30)
_START_PATIENCE = timedelta(milliseconds=400)
_START_LOOK = timedelta(milliseconds=10)
# What the server of the answering process sets by itself is not passed on either.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"date", "server"}


class IngressHandler(JobCalls):
    """Serve every call of a caller."""

    async def async_handle(self) -> None:
        """Serve the call, or stop when its caller leaves."""
        self._work = asyncio.current_task()
        try:
            await self._async_serve()
        except asyncio.CancelledError:
            self._tell_cut()
            break_off(self)
        finally:
            self._work = None

    def _tell_cut(self) -> None:
        """Say whether the caller left, or a stop closed the connection under the request."""
        if self.context.closed:
            self.context.metrics.fail("stop_cut")
            _LOGGER.error("stop_cut", request_id=self.request_id, ms=self._ms())
            return
        self.context.metrics.fail(RefusalReason.CALLER_LEFT.value)
        _LOGGER.info("caller_left", request_id=self.request_id, ms=self._ms())

    get = head = post = delete = patch = put = options = async_handle

    async def _async_serve(self) -> None:
        req, ctx = self.request, self.context
        query = {name: values[-1].decode() for name, values in req.query_arguments.items()}
        read = ctx.edge.read_call(req.method or "", req.path, query, req.headers)
        if isinstance(read, Err):
            self._refuse(HTTPStatus.BAD_REQUEST, "bad_request", detail=read.unwrap_err())
            return
        match read.unwrap():
            case JobRead() as call:
                await self._async_read_job(call)
            case ItemBodyRead() as call:
                await self._async_read_body(call)
            case JobEnd() as call:
                await self._async_end_job(call)
            case PlainCall() as call:
                await self._async_route(call)

    async def _async_route(self, call: PlainCall) -> None:
        """Find the route; without any configuration nothing can be said to be missing."""
        self.request_id = call.request_id
        table = await self._async_table()
        if table is None:
            self._refuse_later(RefusalReason.NOT_READY.value)
            return
        host = self.request.headers.get("Host", "").partition(":")[0]
        route = table.match(host, self.request.path)
        if route is None:
            self._refuse(HTTPStatus.NOT_FOUND, "no_route", detail=f"version {table.version}")
            return
        self.context.metrics.requests.labels(route.kind.value).inc()
        if route.kind is RouteKind.JOB:
            await self._async_submit(call, host)
            return
        if route.kind is RouteKind.STREAM:
            await self._async_stream(call, route)
            return
        await self._async_pass_on(call, route)

    async def _async_table(self) -> RouteTable | None:
        """Return the routes in force; right after a start, wait shortly for them and for requests that are held.

        All nodes may have been started at once. Refused, the caller comes back after what is several
        times the moment in which the routes are read.
        """
        give_up = self._began + _START_PATIENCE
        ctx = self.context
        while ctx.routes.table is None or not ctx.holds_known():
            if ctx.clock.monotonic() >= give_up:
                break
            await ctx.clock.async_sleep(_START_LOOK)
        return ctx.routes.table

    async def _async_pass_on(self, call: PlainCall, route: Route) -> None:
        """Send the request until an upstream answers it whole, and pass that answer on."""
        ctx = self.context
        patience = min(call.time_left or _DEFAULT_TIME, route.timeout)
        deadline = self._began + patience
        outcome: Result[AttemptSink, Refusal]
        if route.repeatable:
            repeated = HedgedRequest(
                ctx.dispatcher,
                ctx.hedges,
                ctx.metrics,
                lambda avoid: self._upstream_request(route, deadline, avoid, 1),
                hedge_delay(route.goal),
                max(1, route.max_attempts),
                clock=ctx.clock,
            )
            outcome = await repeated.async_run()
        else:
            sink = AttemptSink(ctx.clock)
            req = self._upstream_request(route, deadline, frozenset(), max(1, route.max_attempts))
            once = await ctx.dispatcher.async_run(req, sink)
            outcome = Ok(sink) if isinstance(once, Ok) else Err(once.unwrap_err())
        if isinstance(outcome, Err):
            self._write_refusal(outcome.unwrap_err(), route)
            return
        self._write_answer(outcome.unwrap(), route)

    async def _async_stream(self, call: PlainCall, route: Route) -> None:
        """Pass a stream on as it comes; one that breaks off must look broken to its caller."""
        ctx = self.context
        deadline = self._began + (call.time_left or _DEFAULT_TIME)

        def make(last_event: int | None, avoid: frozenset[str]) -> CallerRequest:
            req = self._upstream_request(route, deadline, avoid, 1)
            headers = ctx.edge.resume_headers(req.headers, last_event)
            # Not repeated by the dispatcher, but stopped at the upstream when the caller leaves.
            return attrs.evolve(req, headers=headers, idempotent=True)

        run = StreamRun(
            ctx.dispatcher,
            StreamAnswer(self._async_stream_head, self._async_stream_events),
            make,
            ctx.edge.version_field,
            route.resumable,
            max(1, route.max_attempts),
            call.last_event,
        )
        ended = await run.async_run()
        if isinstance(ended, Ok):
            sink = ended.unwrap()
            if run.begun:
                await self.finish()
                _LOGGER.info(
                    "stream_ended",
                    request_id=self.request_id,
                    route=route.name,
                    upstream=sink.upstream,
                    first_ms=self._first_ms,
                    ms=self._ms(),
                )
                return
            answer = AttemptSink()
            answer.upstream = sink.upstream
            await answer.async_head(sink.status, sink.headers)
            await answer.async_chunk(sink.body)
            self._write_answer(answer, route)
            return
        refusal = ended.unwrap_err()
        if not refusal.response_started:
            self._write_refusal(refusal, route)
            return
        ctx.metrics.fail("stream_cut")
        _LOGGER.warning("stream_cut", request_id=self.request_id, ms=self._ms())
        break_off(self)

    async def _async_stream_head(self, status: int, headers: HeaderPairs) -> None:
        self._first_ms = self._ms()
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
        req = self.request
        headers = [
            (name, value)
            for name, value in req.headers.get_all()
            if name.lower() not in _DROPPED_HEADERS
        ]
        return CallerRequest(
            service=route.choose_service(self.context.rng),
            method=req.method or "GET",
            path=req.uri or "/",
            headers=tuple(headers),
            body=req.body,
            deadline=deadline,
            caller=route.host,
            caller_class=CallerClass.APPLICATION,
            idempotent=route.repeatable,
            avoid=avoid,
            max_attempts=attempts,
            request_id=self.request_id,
            credential=self.context.edge.credential(req.headers),
        )

    def _write_answer(self, sink: AttemptSink, route: Route) -> None:
        self.set_status(sink.status)
        for name, value in sink.headers:
            if name.lower() not in _DROPPED_HEADERS:
                self.add_header(name, value)
        self._finish_body(sink.body)
        self.context.metrics.answers.labels(route.kind.value).inc()
        took = self.context.clock.monotonic() - self._began
        self.context.metrics.latency.labels(route.kind.value).observe(took.total_seconds())
        _LOGGER.info(
            "request_answered",
            request_id=self.request_id,
            route=route.name,
            config=self._config_version(),
            upstream=sink.upstream,
            status=sink.status,
            place_ms=None if sink.sent_at is None else in_milliseconds(sink.sent_at - self._began),
            ms=self._ms(),
        )

    def _write_refusal(self, refusal: Refusal, route: Route) -> None:
        """Give the final answer at once; only what was surely not run is told as a refusal."""
        ctx = self.context
        counted = ctx.metrics.refuse if refusal.ran is Ran.NO else ctx.metrics.fail
        counted(refusal.reason.value)
        status = refusal.status
        if refusal.ran is not Ran.NO:
            # Both promise nothing; the caller learns whether its own time or an upstream ended it.
            late = ctx.clock.monotonic() >= self._began + route.timeout
            status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
        self._refuse(
            status,
            refusal.reason.value,
            ran=refusal.ran.value,
            detail=f"{route.name} {refusal.detail}",
            retry_after=_retry_after(refusal),
        )


def _retry_after(refusal: Refusal) -> timedelta | None:
    """Return when to come back; a request that is held would be refused until its next trial."""
    if refusal.ran is not Ran.NO:
        return None
    return refusal.retry_after if refusal.reason is RefusalReason.HELD else RETRY_AFTER

"""What callers' requests are refused for by their headers alone."""

from datetime import timedelta
from http import HTTPStatus

from result import Err
from tornado.httputil import HTTPHeaders, RequestStartLine

from cranberryline.dispatch.errors import RefusalReason
from cranberryline.helpers.raw_body import read_query
from cranberryline.helpers.request_screen import Admission, Refusal, RequestScreen
from cranberryline.jobs.ports import PlainCall
from cranberryline.workspaces import KeyProblem

from .access import async_wait_for_routes, identify
from .handler import RETRY_AFTER, GatewayContext

__all__ = ["CallerScreen"]

HEADER_LENGTH = "Content-Length"


class CallerScreen(RequestScreen):
    """Refuses what no route, key or time allows, so that its body is not read."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    async def async_screen(
        self, line: RequestStartLine, headers: HTTPHeaders
    ) -> Refusal | Admission:
        """Return why a request cannot be served whatever its body is, or that it may be read."""
        ctx = self._context
        started_at = ctx.clock.monotonic()
        path, _, query = line.path.partition("?")
        read = ctx.edge.read_call(line.method, path, read_query(query), headers)
        if isinstance(read, Err):
            return Refusal(HTTPStatus.BAD_REQUEST, RefusalReason.BAD_REQUEST.value)
        call = read.unwrap()
        if not isinstance(call, PlainCall):
            return Admission()
        if ctx.stopping and HEADER_LENGTH in headers:
            # Another gateway has more time for a long body; one in chunks may be short.
            return _unavailable(RefusalReason.STOPPING.value)
        if call.time_left is not None and call.time_left <= timedelta():
            return _unavailable(RefusalReason.DEADLINE.value)
        return await self._async_screen_route(path, headers, started_at)

    async def _async_screen_route(
        self, path: str, headers: HTTPHeaders, started_at: timedelta
    ) -> Refusal | Admission:
        ctx = self._context
        table = await async_wait_for_routes(ctx, started_at)
        if table is None:
            return _unavailable(RefusalReason.NOT_READY.value)
        route = table.match(headers.get("Host", "").partition(":")[0], path)
        if route is None:
            return Refusal(HTTPStatus.NOT_FOUND, "no_route")
        if not route.public:
            found = identify(ctx, table, headers)
            if isinstance(found, Err):
                return _no_access(found.unwrap_err())
        return Admission()


def _unavailable(reason: str) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, RETRY_AFTER)


def _no_access(problem: KeyProblem) -> Refusal:
    if problem is KeyProblem.UNCONFIRMED:
        return _unavailable(problem.value)
    return Refusal(HTTPStatus.UNAUTHORIZED, problem.value)

"""What an entry refuses requests for by their headers alone."""

from collections.abc import Callable
from http import HTTPStatus

from result import Err
from tornado.httputil import HTTPHeaders, RequestStartLine

from cranberryline.dispatch.errors import RefusalReason
from cranberryline.helpers.memory.const import RETRY_AFTER
from cranberryline.helpers.request_screen import Admission, Refusal, RequestScreen

from .proxy import HEADER_AUTHORIZATION, HEADER_DEADLINE, ProxyContext

__all__ = ["EntryScreen"]

# The body, its message to the side process, and what the socket has not taken of it.
_FORWARDED_COPIES = 3
# The body and the objects that it is decoded to.
_DECODED_COPIES = 4
_SERVICES = "services"
_COMPLETIONS = "v1"
_WITH_TOKEN = ("config", "trainers")


class EntryScreen(RequestScreen):
    """Refuses what no service, token or time allows, so that its body is not read."""

    def __init__(self, context: ProxyContext, alive: Callable[[], bool]) -> None:
        self._context = context
        self._alive = alive

    async def async_screen(
        self, line: RequestStartLine, headers: HTTPHeaders
    ) -> Refusal | Admission:
        """Return why a request cannot be served whatever its body is, or that it may be read."""
        ctx = self._context
        kind, _, rest = line.path.partition("?")[0].lstrip("/").partition("/")
        if not self._alive():
            return _unavailable(RefusalReason.STOPPING)
        if kind in _WITH_TOKEN:
            found = ctx.tokens.identify(headers.get(HEADER_AUTHORIZATION))
            if isinstance(found, Err):
                refused = found.unwrap_err()
                return Refusal(HTTPStatus(refused.status), refused.value)
            return Admission(_DECODED_COPIES)
        if not ctx.ready():
            return _unavailable(RefusalReason.NOT_READY)
        if headers.get(HEADER_DEADLINE, "").strip() == "0":
            return _unavailable(RefusalReason.DEADLINE)
        if kind == _COMPLETIONS:
            return Admission(_FORWARDED_COPIES)
        if kind != _SERVICES:
            return Refusal(HTTPStatus.NOT_FOUND, "unknown_path")
        if not ctx.catalog.has_service(rest.partition("/")[0]):
            return Refusal(HTTPStatus.NOT_FOUND, RefusalReason.UNKNOWN_SERVICE.value)
        return Admission(_FORWARDED_COPIES)


def _unavailable(reason: RefusalReason) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason.value, RETRY_AFTER)

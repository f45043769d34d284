"""What is decided about a request by its headers alone."""

import abc
from datetime import timedelta
from http import HTTPStatus

import attrs
from tornado.httputil import HTTPHeaders, RequestStartLine

from .memory.const import RETRY_AFTER

__all__ = [
    "BODY_TOO_LARGE",
    "HEADERS_TOO_LARGE",
    "MEMORY_FULL",
    "SLOW_SENDER",
    "Admission",
    "Refusal",
    "RequestScreen",
]


@attrs.frozen
class Refusal:
    """An answer to a request that has not run and never will."""

    status: HTTPStatus
    reason: str
    retry_after: timedelta | None = None


@attrs.frozen
class Admission:
    """A request may be read; its body will be held `copies` times until it is answered."""

    copies: int = 1


BODY_TOO_LARGE = Refusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large")
HEADERS_TOO_LARGE = Refusal(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers_too_large")
SLOW_SENDER = Refusal(HTTPStatus.REQUEST_TIMEOUT, "slow_sender")
MEMORY_FULL = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "memory_full", RETRY_AFTER)


class RequestScreen(abc.ABC):
    """Refuses requests before their bodies are read."""

    @abc.abstractmethod
    async def async_screen(
        self, line: RequestStartLine, headers: HTTPHeaders
    ) -> Refusal | Admission:
        """Return why a request cannot be served whatever its body is, or that it may be read."""

"""Refusals as problem JSON: why, whether the request ran, and when to come back."""

import json
import math
from datetime import timedelta
from http import HTTPStatus
from typing import Any

from tornado.web import RequestHandler

__all__ = [
    "CONTENT_TYPE_PROBLEM",
    "HEADER_RETRY_AFTER",
    "ProblemHandler",
    "problem_body",
    "retry_after_seconds",
    "write_problem",
]

CONTENT_TYPE_PROBLEM = "application/problem+json"

HEADER_RETRY_AFTER = "Retry-After"
_TYPE_PREFIX = "urn:cranberryline:problem:"
_REASON_OTHER = "http_error"
_REASONS = {
    HTTPStatus.BAD_REQUEST: "bad_request",
    HTTPStatus.NOT_FOUND: "unknown_path",
    HTTPStatus.METHOD_NOT_ALLOWED: "method_not_allowed",
    HTTPStatus.INTERNAL_SERVER_ERROR: "internal_error",
}


class ProblemHandler(RequestHandler):
    """A handler whose own errors are problems too, and never look like a whole answer."""

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Answer an error that no code of ours has met.

        After the head has gone out, tornado would finish the body in good order: the caller would
        take the part that was sent for the whole answer. The connection is closed instead.
        """
        if self._headers_written and not self._finished:
            self.request.connection.close()  # type: ignore[union-attr]
            return
        super().send_error(status_code, **kwargs)

    def write_error(self, status_code: int, **_kwargs: Any) -> None:
        """Write the problem of a status; an error of ours may have come after the run."""
        reason = _REASONS.get(HTTPStatus(status_code), _REASON_OTHER)
        ran = "no" if status_code < HTTPStatus.INTERNAL_SERVER_ERROR else "unknown"
        write_problem(self, status_code, reason, HTTPStatus(status_code).phrase, ran=ran)


def write_problem(
    handler: RequestHandler,
    status: int,
    reason: str,
    title: str,
    ran: str = "no",
    retry_after: timedelta | None = None,
    detail: str = "",
    **extra: Any,
) -> None:
    """Finish an HTTP answer with a refusal.

    Once the head of an answer has gone out, a refusal appended to it would reach the caller as part
    of a body that looks whole; the connection is closed instead, which no client takes for an end.
    """
    if handler._finished:
        return
    if handler._headers_written:
        handler.request.connection.close()  # type: ignore[union-attr]
        return
    handler.clear()
    request_id = getattr(handler, "request_id", None)
    body = problem_body(status, reason, title, ran, request_id, detail, **extra)
    handler.set_status(status)
    handler.set_header("Content-Type", CONTENT_TYPE_PROBLEM)
    if retry_after is not None:
        handler.set_header(HEADER_RETRY_AFTER, str(retry_after_seconds(retry_after)))
    handler.finish(body)


def problem_body(
    status: int,
    reason: str,
    title: str,
    ran: str = "no",
    request_id: object = None,
    detail: str = "",
    **extra: Any,
) -> bytes:
    """Return the JSON of a refusal; members of its own win over those in `extra`."""
    body: dict[str, Any] = {
        **extra,
        "type": _TYPE_PREFIX + reason,
        "title": title,
        "status": status,
        "reason": reason,
        "ran": ran,
    }
    if request_id is not None:
        body["request_id"] = str(request_id)
    if detail:
        body["detail"] = detail
    return json.dumps(body).encode()


def retry_after_seconds(duration: timedelta) -> int:
    """Return whole seconds, rounded up.

    Rounded down, a caller would come back before the time and be refused again; zero would make it
    come back at once.
    """
    return max(1, math.ceil(duration.total_seconds()))

"""Refusals as problem JSON: why, whether the request ran, and when to come back."""

import json
import math
from datetime import timedelta
from typing import Any

from tornado.web import RequestHandler

__all__ = ["CONTENT_TYPE_PROBLEM", "problem_body", "retry_after_seconds", "write_problem"]

CONTENT_TYPE_PROBLEM = "application/problem+json"

_HEADER_RETRY_AFTER = "Retry-After"
_TYPE_PREFIX = "urn:cranberryline:problem:"


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
        handler.set_header(_HEADER_RETRY_AFTER, str(retry_after_seconds(retry_after)))
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

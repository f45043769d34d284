"""The way of one plain request through the gateways."""

from datetime import timedelta
from typing import Any

import msgspec
from result import Err, Ok, Result

from cranberryline.requests import Ran

from .errors import ReportError, ReportProblem
from .model import Cause, LogLines, RequestPath, Span
from .steps import moment

__all__ = ["request_path"]

_MAY_HAVE_RUN = (Ran.YES.value, Ran.UNKNOWN.value)


def request_path(log: LogLines, request_id: str) -> Result[RequestPath, ReportError]:
    """Return a request's lines in the order of time, and what the last answer's time went on."""
    if not log.of_request:
        message = f"{request_id}: no line about this request in {log.lines} lines"
        return Err(ReportError(ReportProblem.UNKNOWN_ID, message))
    unique = {msgspec.json.encode(line, order="sorted"): line for line in log.of_request}
    lines = tuple(unique[key] for key in sorted(unique, key=lambda key: (_at(unique[key]), key)))
    return Ok(RequestPath(request_id, lines, _spans(lines)))


def _at(line: dict[str, Any]) -> float:
    return float(line["timestamp"])


def _rest(line: dict[str, Any]) -> Cause:
    """Return what a request's time went on where its line tells no parts of it."""
    if str(line.get("message_type")).startswith("job_"):
        return Cause.ACCEPT
    may_have_run = line.get("upstream") or line.get("ran") in _MAY_HAVE_RUN
    return Cause.UPSTREAM if may_have_run else Cause.PLACE


def _spans(lines: tuple[dict[str, Any], ...]) -> tuple[Span, ...]:
    """Return the spans of the last answer that tells how long it took.

    What came before the answering upstream's turn is its wait for a place, attempts at others included;
    of a stream, what came before its first event.
    """
    timed = [line for line in lines if isinstance(line.get("ms"), int) and line["ms"] >= 0]
    if not timed:
        return ()
    last = timed[-1]
    end = moment(_at(last))
    start = end - timedelta(milliseconds=last["ms"])
    rest = _rest(last)
    for name, cause in (("place_ms", Cause.PLACE), ("first_ms", Cause.PREFILL)):
        until = last.get(name)
        if isinstance(until, int) and 0 <= until <= last["ms"]:
            middle = start + timedelta(milliseconds=until)
            return (Span(cause, start, middle), Span(rest, middle, end))
    return (Span(rest, start, end),)

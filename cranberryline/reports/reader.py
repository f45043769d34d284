"""Read the lines of gateways' logs; what can't be used is counted, never passed over unsaid."""

from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any, BinaryIO

import msgspec
from result import Err, Ok, Result

from .errors import ReportError, ReportProblem
from .model import (
    GroupsRead,
    ItemLine,
    JobAccepted,
    JobCancelled,
    JobEnded,
    LogLines,
    Refused,
    VersionNamed,
)

__all__ = ["read_files", "read_stream"]

_Kind = tuple[type[Any], Callable[[LogLines], list[Any]]]
_KINDS: dict[str, _Kind] = {
    "job_accepted": (JobAccepted, lambda log: log.accepted),
    "job_ended": (JobEnded, lambda log: log.ended),
    "job_items_cancelled": (JobCancelled, lambda log: log.cancelled),
    "item_ended": (ItemLine, lambda log: log.items),
    "groups_read": (GroupsRead, lambda log: log.reads),
    "request_refused": (Refused, lambda log: log.refused),
    "version_named": (VersionNamed, lambda log: log.versions),
}


def read_files(paths: Sequence[str], request: str = "") -> Result[LogLines, ReportError]:
    """Read all files; one that can't be read fails the whole, since a step's lines lie in several."""
    log = LogLines()
    for path in paths:
        try:
            with Path(path).open("rb") as file:
                read_stream(file, log, request)
        except OSError as exc:
            message = f"{path}: cannot be read: {exc.strerror or exc}"
            return Err(ReportError(ReportProblem.BAD_FILE, message))
    if not log.lines:
        return Err(ReportError(ReportProblem.NO_LINES, "the logs have no lines"))
    if log.lines == log.skipped.total:
        message = f"none of the {log.lines} lines is a line of a gateway's log"
        return Err(ReportError(ReportProblem.NO_LINES, message))
    return Ok(log)


def read_stream(lines: BinaryIO | Iterable[bytes], log: LogLines, request: str = "") -> None:
    """Add the lines of one file or of standard input.

    A collector of logs may have put time and host before each line; they are left out. A last line
    without its end is the mark of a file that was cut while it was written.
    """
    for line in lines:
        text = line.strip()
        if not text:
            continue
        log.lines += 1
        fields = _fields(text)
        if fields is None and not line.endswith(b"\n"):
            log.skipped.cut_short += 1
        elif fields is None:
            log.skipped.not_json += 1
        else:
            _take(fields, log, request)


def _fields(text: bytes) -> dict[str, Any] | None:
    """Return the fields of a line, None if it has none."""
    start = text.find(b"{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return fields if isinstance(fields, dict) else None


def _take(fields: dict[str, Any], log: LogLines, request: str) -> None:
    """Sort a line in, or count it."""
    wanted = bool(request) and fields.get("request_id") == request
    if wanted:
        if not isinstance(fields.get("timestamp"), int | float):
            log.skipped.bad_fields += 1
            return
        log.of_request.append(fields)
    name = fields.get("message_type")
    kind = _KINDS.get(name) if isinstance(name, str) else None
    if kind is None:
        log.other += not wanted
        return
    try:
        kind[1](log).append(msgspec.convert(fields, kind[0]))
    except msgspec.ValidationError:
        log.skipped.bad_fields += 1

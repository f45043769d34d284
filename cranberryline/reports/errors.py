"""What can keep a report from being made."""

import enum

import attrs

__all__ = ["ReportError", "ReportProblem"]


class ReportProblem(enum.StrEnum):
    """Why there is no report."""

    BAD_FILE = "bad_file"
    NO_LINES = "no_lines"
    UNKNOWN_ID = "unknown_id"
    USAGE = "usage"
    NO_LIBRARY = "no_library"


@attrs.frozen
class ReportError:
    """Why there is no report, in words for whoever asked for it."""

    problem: ReportProblem
    message: str

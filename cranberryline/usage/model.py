"""Windows of time, and the records from which reports are made."""

from collections.abc import Mapping
from datetime import timedelta

import attrs
import msgspec

__all__ = ["CountRecord", "ReportRecord", "UsageWindows", "without_zeros"]


class CountRecord(msgspec.Struct, array_like=True, frozen=True, tag="count"):
    """All requests of a window that one start of a node has counted so far, by workspace."""

    node: str
    start: str
    window: int
    counts: dict[str, int]


class ReportRecord(msgspec.Struct, array_like=True, frozen=True, tag="report"):
    """The report of a window as a holder decided it; the first one in the log is final."""

    window: int
    counts: dict[str, int]
    holder: str = ""


@attrs.frozen
class UsageWindows:
    """Windows of equal length since 1970, each to be reported within `late` after its end."""

    length: timedelta
    late: timedelta

    def window_at(self, unix_seconds: float) -> int:
        """Return the window that a time belongs to."""
        return int(unix_seconds // self.length.total_seconds())

    def end(self, window: int) -> float:
        """Return the end of a window in Unix seconds."""
        return (window + 1) * self.length.total_seconds()

    def count_in(self, span: timedelta) -> int:
        """Return the number of windows that end within a span, rounded up."""
        return -(-span // self.length)

    def due(self, window: int) -> float:
        """Return the time by which a window has to be reported, in Unix seconds."""
        return self.end(window) + self.late.total_seconds()


def without_zeros(counts: Mapping[str, int]) -> dict[str, int]:
    """Return the counts of the workspaces that have any, by name."""
    return {name: counts[name] for name in sorted(counts) if counts[name] > 0}

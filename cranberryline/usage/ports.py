"""Port to the service that takes reports of use."""

import abc
import enum
from collections.abc import Mapping

__all__ = ["ReportOutcome", "UsagePort"]


class ReportOutcome(enum.StrEnum):
    """What became of a report."""

    ACCEPTED = "accepted"
    FENCED = "fenced"  # a holder with a higher token has reported
    REFUSED = "refused"  # nothing was done
    UNKNOWN = "unknown"  # no answer: it may have been accepted, or may be later


class UsagePort(abc.ABC):
    """Sends reports; repeating one with the same counts changes nothing."""

    @abc.abstractmethod
    async def async_report(
        self, window: int, counts: Mapping[str, int], holder: str, token: int
    ) -> ReportOutcome:
        """Send the report of a window under a fencing token."""

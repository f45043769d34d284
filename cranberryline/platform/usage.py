"""Reports of use to the platform's API."""

from collections.abc import Mapping
from contextlib import suppress

import msgspec
from result import Err

from cranberryline.ports.errors import UpstreamCut
from cranberryline.ports.http import HttpOrigin, async_exchange
from cranberryline.ports.model import UpstreamRequest
from cranberryline.usage import ReportOutcome, UsagePort
from cranberryline.usage.const import CONNECT_TIMEOUT, SEND_TIMEOUT

from .const import (
    HEADER_FENCE,
    HEADER_HOLDER,
    PATH_USAGE,
    STATUS_CONFLICT,
    STATUS_OK,
    STATUS_TOO_MANY,
    STATUS_UNAVAILABLE,
)

__all__ = ["PlatformUsage"]

_OUTCOMES = {
    STATUS_OK: ReportOutcome.ACCEPTED,
    STATUS_CONFLICT: ReportOutcome.FENCED,
    STATUS_TOO_MANY: ReportOutcome.REFUSED,
    STATUS_UNAVAILABLE: ReportOutcome.REFUSED,
}


class PlatformUsage(UsagePort):
    """Send each report on a connection of its own: they are seconds apart."""

    def __init__(self, address: str) -> None:
        self._origin = HttpOrigin(f"http://{address}")

    async def async_report(
        self, window: int, counts: Mapping[str, int], holder: str, token: int
    ) -> ReportOutcome:
        """Send one report; statuses that the platform does not describe leave it unknown."""
        headers = (
            (HEADER_HOLDER, holder),
            (HEADER_FENCE, str(token)),
            ("Content-Type", "application/json"),
        )
        body = msgspec.json.encode({"window": window, "counts": counts})
        req = UpstreamRequest("POST", PATH_USAGE, headers, body)
        sent = await async_exchange(self._origin, req, SEND_TIMEOUT, connect=CONNECT_TIMEOUT)
        if isinstance(sent, Err):
            lost = sent.unwrap_err().may_have_run
            return ReportOutcome.UNKNOWN if lost else ReportOutcome.REFUSED
        answer = sent.unwrap()
        with suppress(UpstreamCut):  # the status alone tells what became of the report
            await answer.async_whole()
        return _OUTCOMES.get(answer.head.status, ReportOutcome.UNKNOWN)

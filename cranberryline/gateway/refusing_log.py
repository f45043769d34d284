"""A log port for gateways, which do not support claims of idempotency keys."""

from datetime import timedelta
from typing import Any

from result import Err, Result

from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import LogPage, LogPort

__all__ = ["RefusingLog"]


class RefusingLog(LogPort):
    """Refuses every call, so that no idempotency key can be claimed.

    Execution stores claims of idempotency keys in a log service, which a gateway does not have.
    """

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Return an error."""
        return Err(
            PlatformError(
                PlatformReason.REFUSED, "no log service is configured", may_have_run=False
            )
        )

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Return an error."""
        return Err(
            PlatformError(
                PlatformReason.REFUSED, "no log service is configured", may_have_run=False
            )
        )

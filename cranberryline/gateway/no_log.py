"""The claims of idempotency keys that this edge does not carry."""

from datetime import timedelta
from typing import Any

from result import Err, Result

from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import LogPage, LogPort

__all__ = ["NoLog"]


class NoLog(LogPort):
    """Refuse claims of idempotency keys: this edge carries none."""

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Refuse."""
        return Err(PlatformError(PlatformReason.REFUSED, "no log", may_have_run=False))

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Refuse."""
        return Err(PlatformError(PlatformReason.REFUSED, "no log", may_have_run=False))

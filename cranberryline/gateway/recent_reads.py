"""Confirm all that a request is served by before it is."""

import asyncio
from datetime import timedelta

from cranberryline.execution.gate import SendGate
from cranberryline.helpers.confirmation import ReadConfirmation

__all__ = ["RecentReads"]


class RecentReads:
    """Confirms the configuration and the registrations at the same time.

    One after the other, a request would wait for a lost store twice.
    """

    def __init__(self, config: ReadConfirmation, gate: SendGate) -> None:
        self._config = config
        self._gate = gate

    async def async_confirm(self, received_at: timedelta) -> bool:
        """Return whether a request may be served by the active configuration.

        `received_at` is on the monotonic clock. Whether the registrations are recent enough is decided when
        the request is sent.
        """
        if self._gate.is_current():
            return await self._config.async_confirm(received_at)
        confirmed, _ = await asyncio.gather(
            self._config.async_confirm(received_at), self._gate.async_confirm()
        )
        return confirmed

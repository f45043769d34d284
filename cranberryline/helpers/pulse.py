"""Wake whoever waits for a change."""

import asyncio
from datetime import timedelta

__all__ = ["Pulse"]


class Pulse:
    """A change that may happen many times; each waiter is woken by the next one."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all who wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def async_wait(self, timeout: timedelta) -> bool:
        """Wait for the next change; return False if there was none within the timeout."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._event.wait()
        except TimeoutError:
            return False
        return True

"""A signal that wakes all who wait for the next one."""

import asyncio
import contextlib
from datetime import timedelta

__all__ = ["Signal"]


class Signal:
    """Wake every present waiter; one who comes later waits for the next signal."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all who wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def async_wait(self, timeout: timedelta) -> bool:
        """Wait for the next signal; return False after the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._event.wait()
        return False

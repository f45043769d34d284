"""Notification for all coroutines that currently wait."""

import asyncio
import contextlib
from datetime import timedelta

__all__ = ["Signal"]


class Signal:
    """Notifies all current waiters; later waiters wait for the next notification."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Notify all current waiters."""
        self._event.set()
        self._event = asyncio.Event()

    async def async_wait(self, timeout: timedelta) -> bool:
        """Wait for the next notification; return False on timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._event.wait()
        return False

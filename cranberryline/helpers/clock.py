"""The clock as an interface, so that decisions and aggregates can be tested without waiting."""

import abc
import asyncio
import time
from datetime import UTC, datetime, timedelta

__all__ = ["Clock", "FakeClock", "SystemClock", "in_milliseconds"]


class Clock(abc.ABC):
    """Tell the time and sleep."""

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC, for people and records only."""

    @abc.abstractmethod
    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never goes back."""

    def elapsed(self) -> timedelta:
        """Return the time since an arbitrary start, with the time for which the VM was suspended.

        The monotonic time stands still while a VM is suspended: who held something for a limited
        time would wake up and take it as still held.
        """
        return self.monotonic()

    @abc.abstractmethod
    async def async_sleep(self, duration: timedelta) -> None:
        """Sleep for at least the given duration."""


class SystemClock(Clock):
    """Read the clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the operating system's monotonic time."""
        return timedelta(seconds=time.monotonic())

    def elapsed(self) -> timedelta:
        """Return the operating system's time since its start, suspension included."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def async_sleep(self, duration: timedelta) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(duration.total_seconds())


class FakeClock(Clock):
    """Stand still until told to advance."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start plus what has been advanced."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return what has been advanced."""
        return self._elapsed

    async def async_sleep(self, duration: timedelta) -> None:
        """Advance at once by the given duration."""
        self.advance(duration)
        await asyncio.sleep(0)

    def advance(self, duration: timedelta) -> None:
        """Move the time forward."""
        self._elapsed += duration


def in_milliseconds(span: timedelta) -> int:
    """Return a span as whole milliseconds, rounded towards zero."""
    return int(span / timedelta(milliseconds=1))

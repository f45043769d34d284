"""An event loop whose time moves only when nothing is left to run."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

from cranberryline.helpers.clock import Clock

T = TypeVar("T")

START = datetime(2026, 1, 1, tzinfo=UTC)
STEP_SECONDS = 0.001


class _VirtualSelector(selectors.DefaultSelector):
    """Move the time on by the timeout instead of waiting for it."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready at once; with nothing to come, the test would hang."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        if timeout > 0:
            self.now += max(timeout, STEP_SECONDS)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual.now

    def jump(self, seconds: float) -> None:
        """Move the time on while no task runs, as a paused process sees it."""
        self._virtual.now += seconds


class LoopClock(Clock):
    """Tell the time of the running virtual loop."""

    def now(self) -> datetime:
        """Return the wall-clock time that goes with the virtual time."""
        return START + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the virtual time; outside a loop it has not begun."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return timedelta()
        return timedelta(seconds=loop.time())

    async def async_sleep(self, duration: timedelta) -> None:
        """Sleep in virtual time."""
        await asyncio.sleep(duration.total_seconds())


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a test's coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)

"""A check that a server repeats as long as it has connections."""

import abc
import asyncio
from datetime import timedelta

__all__ = ["CHECK_INTERVAL", "PeriodicCheck"]

CHECK_INTERVAL = timedelta(milliseconds=500)


class PeriodicCheck(abc.ABC):
    """Calls `check` once in each interval between `start` and `stop`.

    Each check counts one interval, so that time in which this process does not run is not counted as
    its clients'.
    """

    def __init__(self) -> None:
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check from now on."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                CHECK_INTERVAL.total_seconds(), self._run
            )

    def stop(self) -> None:
        """Check no more; there is no connection left."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @abc.abstractmethod
    def check(self) -> None:
        """Look at all connections."""

    def _run(self) -> None:
        self._timer = None
        self.check()
        self.start()

"""Pace this gateway's polls of the store by the gateways that share its limit."""

from collections.abc import Callable, Collection
from datetime import timedelta

from result import Result

from cranberryline.decisions.read_budget import ReadBudget
from cranberryline.helpers.clock import Clock
from cranberryline.ports.store import KeyedSnapshot, LogRead, SharedLog, StoreError

from .wrapped_log import WrappedLog

__all__ = ["PacedLog"]


class PacedLog(WrappedLog):
    """Lets polls wait for this gateway's part of the store's limit of reads.

    Reads that do not wait for records are counted, but not delayed: a request or an item waits for
    them. Nor are polls of the `urgent` topics, since a late one is read again by another read. `sharers`
    returns how many gateways read the store.
    """

    def __init__(
        self,
        direct: SharedLog,
        budget: ReadBudget,
        sharers: Callable[[], int],
        clock: Clock,
        on_delay: Callable[[], None] = lambda: None,
        urgent: Collection[str] = (),
    ) -> None:
        super().__init__(direct)
        self._urgent = urgent
        self._budget = budget
        self._sharers = sharers
        self._clock = clock
        self._on_delay = on_delay

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read; a poll waits first if this gateway has read more than its part."""
        delay = self._budget.take(self._sharers(), self._clock.monotonic())
        if wait and delay and topic not in self._urgent:
            self._on_delay()
            await self._clock.async_sleep(delay)
        return await self.direct.async_read(topic, part, start, wait, timeout)

    async def async_newest(
        self, topic: str, timeout: timedelta
    ) -> Result[KeyedSnapshot, StoreError]:
        """Read the newest record of each key."""
        self._budget.take(self._sharers(), self._clock.monotonic())
        return await self.direct.async_newest(topic, timeout)

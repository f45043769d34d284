"""Pace this gateway's polls of the store by the gateways that share its limit."""

from collections.abc import Callable
from datetime import timedelta

from result import Result

from cranberryline.decisions.read_budget import ReadBudget
from cranberryline.helpers.clock import Clock
from cranberryline.ports.store import (
    Appended,
    KeyedRecord,
    KeyedSnapshot,
    LogRead,
    SharedLog,
    StoreError,
)

__all__ = ["PacedLog"]


class PacedLog(SharedLog):
    """Passes calls on to the store; polls wait for their part of the store's limit.

    Reads that do not wait for records are counted, but not delayed: a request or an item waits for
    them. `sharers` returns how many gateways read the store.
    """

    def __init__(
        self,
        direct: SharedLog,
        budget: ReadBudget,
        sharers: Callable[[], int],
        clock: Clock,
        on_delay: Callable[[], None] = lambda: None,
    ) -> None:
        self._direct = direct
        self._budget = budget
        self._sharers = sharers
        self._clock = clock
        self._on_delay = on_delay

    async def async_append(
        self,
        topic: str,
        part: int,
        records: list[bytes],
        timeout: timedelta,
        at: int | None = None,
    ) -> Result[Appended, StoreError]:
        """Append at once."""
        return await self._direct.async_append(topic, part, records, timeout, at)

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read; a poll waits first if this gateway has read more than its part."""
        delay = self._budget.take(self._sharers(), self._clock.monotonic())
        if wait and delay:
            self._on_delay()
            await self._clock.async_sleep(delay)
        return await self._direct.async_read(topic, part, start, wait, timeout)

    async def async_newest(
        self, topic: str, timeout: timedelta
    ) -> Result[KeyedSnapshot, StoreError]:
        """Read the newest records at once."""
        self._budget.take(self._sharers(), self._clock.monotonic())
        return await self._direct.async_newest(topic, timeout)

    async def async_trim(
        self, topic: str, part: int, before: int, timeout: timedelta
    ) -> Result[None, StoreError]:
        """Trim at once."""
        return await self._direct.async_trim(topic, part, before, timeout)

    def pack_keyed(self, key: str, value: bytes) -> bytes:
        """Return the record that sets a key of a keyed topic."""
        return self._direct.pack_keyed(key, value)

    def unpack_keyed(self, record: bytes) -> KeyedRecord | None:
        """Return the key and value of a record of a keyed topic, or None if it has none."""
        return self._direct.unpack_keyed(record)

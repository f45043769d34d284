"""Follow the newest record of each key of a topic."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from result import Err, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.ports.store import (
    KeyedRecord,
    KeyedSnapshot,
    LogRead,
    SharedLog,
    StoreError,
    StoreProblem,
)

from .base import POLL_SLACK, POLL_WAIT, SNAPSHOT_TIMEOUT, Moment, Tail

__all__ = ["KeyedTail"]

# A poll that is answered this much later than its wait ends may stand on a connection that has gone silent.
_POLL_OVERDUE = timedelta(milliseconds=250)


class KeyedTail(Tail):
    """Follow a topic that keeps the newest record of each key.

    `on_key` gets each record that is new to this tail, with an empty value for a dropped key. `gather` is
    how long the tail leaves records to come together after each poll that brought one: where every VM
    writes and every VM reads, a poll for each record grows with the square of their number. `is_urgent`
    has a poll that is overdue checked by a read on another connection.
    """

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        clock: Clock,
        health: StoreHealth,
        on_key: Callable[[KeyedRecord], None],
        gather: timedelta = timedelta(),
        is_urgent: bool = False,
    ) -> None:
        super().__init__(log, topic, 0, clock, health)
        self._is_urgent = is_urgent
        self._gather = gather
        self._on_key = on_key
        self._offsets: dict[str, int] = {}

    async def _async_step(self) -> StoreError | None:
        if not self.loaded.is_set():
            return await self._async_load()
        polled = await self._async_poll_in_time()
        if polled is None:
            return None
        read, as_of = polled
        if isinstance(read, Err):
            error = read.unwrap_err()
            if error.problem is StoreProblem.GONE:
                # Records that were deleted before they were read: the newest of each key tells all.
                return await self._async_reload(error)
            return error
        await self._async_take(read.unwrap(), as_of)
        if read.unwrap().records and self._gather:
            await self._clock.async_sleep(self._gather)
        return None

    async def _async_poll_in_time(self) -> tuple[Result[LogRead, StoreError], Moment] | None:
        """Poll; return None if another read brought all records while the poll was overdue.

        A connection that went silent for good looks like a slow store, but for that new ones work. Taken
        for a lost store, it would make removed records look expired.
        """
        if not self._is_urgent:
            return await self._async_poll()
        poll = asyncio.ensure_future(self._async_poll())
        read: asyncio.Future[bool] | None = None
        try:
            overdue_s = (POLL_WAIT + _POLL_OVERDUE).total_seconds()
            if (await asyncio.wait((poll,), timeout=overdue_s))[0]:
                return poll.result()
            read = asyncio.ensure_future(self.async_sync(POLL_SLACK))
            await asyncio.wait((poll, read), return_when=asyncio.FIRST_COMPLETED)
            if not poll.done() and read.result():
                return None
            return await poll
        finally:
            poll.cancel()
            if read is not None:
                read.cancel()

    async def _async_sync_failed(self, error: StoreError, give_up: timedelta) -> bool:
        """Load the newest records where older ones were deleted before they were read."""
        left = give_up - self._clock.monotonic()
        if error.problem is not StoreProblem.GONE or left <= timedelta():
            return await super()._async_sync_failed(error, give_up)
        lost = await self._async_load(left)
        return lost is None or await super()._async_sync_failed(lost, give_up)

    async def _async_reload(self, gone: StoreError) -> StoreError | None:
        """Load again; a topic that is no further then is asked again only after a pause."""
        before = self.offset
        lost = await self._async_load()
        return lost or (None if self.offset > before else gone)

    async def _async_load(self, timeout: timedelta = SNAPSHOT_TIMEOUT) -> StoreError | None:
        asked = self._moment()
        loaded = await self._log.async_newest(self.topic, timeout)
        if isinstance(loaded, Err):
            return loaded.unwrap_err()
        if self.loaded.is_set() and loaded.unwrap().end < self.offset:
            # Another read has brought more meanwhile; what this one lacks is not dropped.
            return None
        self._take_snapshot(loaded.unwrap())
        self.at_end = True
        self.current_at, self._read_at = asked.monotonic, asked.elapsed
        return None

    def start_from(self, snapshot: KeyedSnapshot) -> bool:
        """Take what another node has read, and follow on from there; False if this tail has loaded.

        How old that is stays unknown until the store answers.
        """
        if self.loaded.is_set():
            return False
        self._take_snapshot(snapshot)
        return True

    def _take_snapshot(self, snapshot: KeyedSnapshot) -> None:
        found = {record.key for record in snapshot.records}
        for key in [key for key in self._offsets if key not in found]:
            self._hand_on(self._hand_over, KeyedRecord(key, b"", snapshot.end))
        for record in snapshot.records:
            self._hand_on(self._hand_over, record)
        for _ in range(snapshot.unreadable):
            self._health.unsound("store_record_unreadable", topic=self.topic)
        self.offset = max(self.offset, snapshot.end)
        self.loaded.set()

    def _fold(self, offset: int, record: bytes) -> None:
        keyed = self._log.unpack_keyed(record)
        if keyed is None:
            self._health.unsound("store_record_unreadable", topic=self.topic, offset=offset)
            return
        self._hand_over(KeyedRecord(keyed.key, keyed.value, offset))

    def _hand_over(self, record: KeyedRecord) -> None:
        if self._offsets.get(record.key, -1) >= record.offset and record.value:
            return
        if record.value:
            self._offsets[record.key] = record.offset
        else:
            self._offsets.pop(record.key, None)
        self._on_key(record)

"""The platform's store in memory, with the faults that tests ask for."""

import asyncio
import base64
from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from cranberryline.ports.store import (
    Appended,
    KeyedRecord,
    KeyedSnapshot,
    LogRead,
    SharedLog,
    StoreError,
    StoreProblem,
)


class FakeStore:
    """What the store holds; nodes reach it through a `StoreLink` each."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, int], list[bytes]] = defaultdict(list)
        self.first: dict[tuple[str, int], int] = defaultdict(int)
        self._grown = asyncio.Event()

    def append(self, topic: str, part: int, records: list[bytes]) -> Appended:
        """Append and wake the readers."""
        kept = self.records[(topic, part)]
        offset = len(kept)
        kept += records
        self._grown.set()
        self._grown = asyncio.Event()
        return Appended(offset, len(kept))

    async def async_grown(self, wait: timedelta) -> None:
        """Wait for the next append, or for the time given."""
        try:
            async with asyncio.timeout(wait.total_seconds()):
                await self._grown.wait()
        except TimeoutError:
            return


class StoreLink(SharedLog):
    """One node's way to the store.

    `refusing` answers that nothing was done, `silent` answers nothing, `lost` is how many next
    appends take effect and get no answer, `late` after how long those do, and `page` how many records
    a read brings at most.
    """

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.refusing: Callable[[str, int], bool] = lambda _topic, _part: False
        self.silent = False
        self.lost = 0
        self.late = timedelta()
        self.appends = 0
        self.page = 1_000_000

    async def async_append(
        self,
        topic: str,
        part: int,
        records: list[bytes],
        timeout: timedelta,
        at: int | None = None,
    ) -> Result[Appended, StoreError]:
        """Append, under the faults in force."""
        self.appends += 1
        if self.refusing(topic, part):
            return Err(StoreError(StoreProblem.REFUSED, "status 503"))
        if self.silent:
            return await self._async_no_answer(timeout)
        if self.lost:
            self.lost -= 1
            asyncio.get_running_loop().call_later(
                self.late.total_seconds(), self._append_late, topic, part, records, at
            )
            return await self._async_no_answer(timeout)
        await asyncio.sleep(0.004)
        if at is not None and at != len(self.store.records[(topic, part)]):
            end = len(self.store.records[(topic, part)])
            return Err(StoreError(StoreProblem.CONFLICT, position=end))
        return Ok(self.store.append(topic, part, records))

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read, under the faults in force."""
        if self.refusing(topic, part):
            return Err(StoreError(StoreProblem.REFUSED, "status 503"))
        if self.silent:
            return await self._async_no_answer(timeout)
        await asyncio.sleep(0.004)
        first = self.store.first[(topic, part)]
        if start < first:
            return Err(StoreError(StoreProblem.GONE, position=first))
        if len(self.store.records[(topic, part)]) <= start and wait:
            await self.store.async_grown(wait)
            if self.silent:
                return await self._async_no_answer(timeout)
        kept = self.store.records[(topic, part)]
        return Ok(LogRead(start, len(kept), tuple(kept[start : start + self.page])))

    async def async_newest(
        self, topic: str, timeout: timedelta
    ) -> Result[KeyedSnapshot, StoreError]:
        """Return the newest record of each key."""
        if self.refusing(topic, 0):
            return Err(StoreError(StoreProblem.REFUSED, "status 503"))
        if self.silent:
            return await self._async_no_answer(timeout)
        await asyncio.sleep(0.004)
        kept = self.store.records[(topic, 0)]
        newest: dict[str, KeyedRecord] = {}
        for offset, record in enumerate(kept):
            keyed = self.unpack_keyed(record)
            assert keyed is not None
            newest[keyed.key] = KeyedRecord(keyed.key, keyed.value, offset)
        rows = tuple(newest[key] for key in sorted(newest) if newest[key].value)
        return Ok(KeyedSnapshot(rows, len(kept)))

    async def async_trim(
        self, topic: str, part: int, before: int, timeout: timedelta
    ) -> Result[None, StoreError]:
        """Delete records before an offset, under the faults in force."""
        if self.refusing(topic, part):
            return Err(StoreError(StoreProblem.REFUSED, "status 503"))
        if self.silent:
            return await self._async_no_answer(timeout)
        self.store.first[(topic, part)] = max(self.store.first[(topic, part)], before)
        return Ok(None)

    def pack_keyed(self, key: str, value: bytes) -> bytes:
        """Return a record of our own form."""
        return base64.b64encode(key.encode()) + b":" + value

    def unpack_keyed(self, record: bytes) -> KeyedRecord | None:
        """Read a record of our own form."""
        key, found, value = record.partition(b":")
        return KeyedRecord(base64.b64decode(key).decode(), value) if found else None

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Set a key as the platform does, whatever this link's faults are."""
        self.store.append(topic, 0, [self.pack_keyed(key, value)])

    def _append_late(self, topic: str, part: int, records: list[bytes], at: int | None) -> None:
        if at is None or at == len(self.store.records[(topic, part)]):
            self.store.append(topic, part, records)

    @staticmethod
    async def _async_no_answer(timeout: timedelta) -> Any:
        await asyncio.sleep(timeout.total_seconds())
        return Err(StoreError(StoreProblem.UNKNOWN, "no answer"))

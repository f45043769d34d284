"""Write keyed records to the store until they stand."""

import asyncio
import random
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.store import SharedLog

__all__ = ["RecordWriter"]

_APPEND_TIMEOUT = timedelta(milliseconds=900)
_FIRST_PAUSE = timedelta(milliseconds=50)
_MAX_PAUSE = timedelta(milliseconds=400)
_MAX_BATCH = 64
# An upstream that crashes has at most a few hundred requests; more are of crashes that an outage held up.
_MAX_WAITING = 1024


class RecordWriter:
    """Append the newest value of each key; what an outage holds up goes when it is over.

    Appended again without an answer, a record is the same one. A value that a later one has replaced is not
    appended any more. Beyond `_MAX_WAITING` keys the oldest is dropped, and counted.
    """

    def __init__(self, log: SharedLog, topic: str, clock: Clock, metrics: Metrics) -> None:
        self._log = log
        self._topic = topic
        self._clock = clock
        self._metrics = metrics
        self._waiting: dict[str, bytes] = {}
        self._task: asyncio.Task[None] | None = None

    def put(self, key: str, value: bytes) -> None:
        """Set a key soon."""
        self._waiting.pop(key, None)
        self._waiting[key] = value
        if len(self._waiting) > _MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]
            self._metrics.drop("quarantine_record")
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._async_write())

    def drop(self, *keys: str) -> None:
        """Drop keys soon."""
        for key in keys:
            self.put(key, b"")

    async def async_flushed(self, timeout: timedelta) -> bool:
        """Wait until all stands; False if it takes longer, and is still tried."""
        if self._task is None:
            return True
        await asyncio.wait((self._task,), timeout=timeout.total_seconds())
        return self._task.done()

    async def async_close(self) -> None:
        """End what is being written."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _async_write(self) -> None:
        pause = _FIRST_PAUSE
        while self._waiting:
            batch = dict(list(self._waiting.items())[:_MAX_BATCH])
            records = [self._log.pack_keyed(key, value) for key, value in batch.items()]
            taken = await self._log.async_append(self._topic, 0, records, _APPEND_TIMEOUT)
            if taken.is_err():
                await self._clock.async_sleep(pause * (0.5 + random.random()))
                pause = min(pause * 2, _MAX_PAUSE)
                continue
            pause = _FIRST_PAUSE
            for key, value in batch.items():
                if self._waiting.get(key) is value:
                    del self._waiting[key]

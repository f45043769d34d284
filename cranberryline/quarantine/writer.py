"""Background writer of keyed records that retries until the store has them."""

import asyncio
import random
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.store import SharedLog

__all__ = ["RecordWriter"]

_APPEND_TIMEOUT = timedelta(milliseconds=900)
_MIN_BACKOFF = timedelta(milliseconds=50)
_MAX_BACKOFF = timedelta(milliseconds=400)
_MAX_BATCH_RECORDS = 64
# An upstream runs at most a few hundred requests when it crashes. More records than these are left
# over from earlier crashes during a store outage.
_MAX_PENDING_KEYS = 1024


class RecordWriter:
    """Appends the latest value of each key, and retries with back-off while the store fails.

    Retrying an append without a response is idempotent, because it writes the same value for the
    same key. A value that was replaced before it was appended is not written. Beyond
    `_MAX_PENDING_KEYS` keys the oldest one is dropped and counted in the drop metric.
    """

    def __init__(self, log: SharedLog, topic: str, clock: Clock, metrics: Metrics) -> None:
        self._log = log
        self._topic = topic
        self._clock = clock
        self._metrics = metrics
        self._pending: dict[str, bytes] = {}
        self._task: asyncio.Task[None] | None = None

    def put(self, key: str, value: bytes) -> None:
        """Schedule a write of a key."""
        self._pending.pop(key, None)
        self._pending[key] = value
        if len(self._pending) > _MAX_PENDING_KEYS:
            del self._pending[next(iter(self._pending))]
            self._metrics.drop("quarantine_record")
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._async_write())

    def delete(self, *keys: str) -> None:
        """Schedule the deletion of keys; an empty value marks a key as deleted."""
        for key in keys:
            self.put(key, b"")

    async def async_wait_flushed(self, timeout: timedelta) -> bool:
        """Wait until all pending keys are written; return False on timeout, while retries go on."""
        if self._task is None:
            return True
        await asyncio.wait((self._task,), timeout=timeout.total_seconds())
        return self._task.done()

    async def async_close(self) -> None:
        """Cancel pending writes."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _async_write(self) -> None:
        backoff = _MIN_BACKOFF
        while self._pending:
            batch = dict(list(self._pending.items())[:_MAX_BATCH_RECORDS])
            records = [self._log.pack_keyed(key, value) for key, value in batch.items()]
            appended = await self._log.async_append(self._topic, 0, records, _APPEND_TIMEOUT)
            if appended.is_err():
                await self._clock.async_sleep(backoff * (0.5 + random.random()))
                backoff = min(backoff * 2, _MAX_BACKOFF)
                continue
            backoff = _MIN_BACKOFF
            for key, value in batch.items():
                if self._pending.get(key) is value:
                    del self._pending[key]

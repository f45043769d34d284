"""Count requests by workspace and window, and store the counts."""

import asyncio
import uuid
from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta

import msgspec
from result import Ok

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.partition import partition_of
from cranberryline.ports.store import SharedLog

from .const import (
    APPEND_TIMEOUT,
    HORIZON_LIMITS,
    MAX_STORE_DELAY,
    MIN_STORE_DELAY,
    STORE_DELAY_PER_NODE,
    STORE_RETRY_DELAY,
    TOPIC_COUNTS,
)
from .model import CountRecord, UsageWindows
from .peer_clock import PeerClock

__all__ = ["UsageCounter", "UsageWriter"]

_LOGGER = get_logger(__name__)


class UsageCounter:
    """The requests that this process has counted, by window and workspace."""

    def __init__(self, windows: UsageWindows, clock: PeerClock, node: str) -> None:
        self._windows = windows
        self._clock = clock
        self._node = node
        # Counts of two processes on one VM are added up; those of one process replace each other.
        self._start = uuid.uuid4().hex
        # Requests that no window has yet: the time of day takes a look at every peer, which is done
        # once for all of them and not for each request.
        self._new: list[tuple[str, timedelta]] = []
        self._counts: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._unstored: set[int] = set()
        self.changed = asyncio.Event()

    def count(self, workspace: str, began: timedelta) -> None:
        """Count a request that began to run at a reading of `Clock.elapsed`."""
        self._new.append((workspace, began))
        self.changed.set()

    def take_unstored(self) -> list[CountRecord]:
        """Return the records of all windows with new counts, and drop windows past reporting."""
        self._assign_windows()
        horizon = self._windows.late.total_seconds() * HORIZON_LIMITS
        oldest = self._clock.unix_seconds() - horizon
        for window in [window for window in self._counts if self._windows.end(window) < oldest]:
            if window in self._unstored:
                _LOGGER.warning("usage_lost", window=window, requests=self._counts[window].total())
            del self._counts[window]
        taken = sorted(self._unstored & self._counts.keys())
        self._unstored.clear()
        self.changed.clear()
        return [
            CountRecord(self._node, self._start, window, dict(self._counts[window]))
            for window in taken
        ]

    def _assign_windows(self) -> None:
        offset = self._clock.offset()
        for workspace, began in self._new:
            window = self._windows.window_at(began.total_seconds() + offset)
            self._counts[window][workspace] += 1
            self._unstored.add(window)
        self._new.clear()

    def put_back(self, records: list[CountRecord]) -> None:
        """Mark records as not stored; they are repeated with what was counted since."""
        self._unstored.update(record.window for record in records)
        if records:
            self.changed.set()


class UsageWriter:
    """Store new counts shortly after they were made.

    A record has the whole count of its window, so an append without an answer may be repeated.
    """

    def __init__(
        self,
        counter: UsageCounter,
        log: SharedLog,
        node: str,
        partitions: int,
        clock: Clock,
        live_nodes: Callable[[], int],
    ) -> None:
        self._counter = counter
        self._log = log
        self._partition = partition_of(node, partitions)
        self._clock = clock
        self._live_nodes = live_nodes

    async def async_run(self) -> None:
        """Store counts until cancelled; nothing is written while there are none."""
        while True:
            await self._counter.changed.wait()
            await self._clock.async_sleep(self._delay())
            if not await self.async_store():
                await self._clock.async_sleep(STORE_RETRY_DELAY)

    async def async_store(self) -> bool:
        """Store all counts that are not stored; return whether the store confirmed them."""
        records = self._counter.take_unstored()
        if not records:
            return True
        encoded = [msgspec.msgpack.encode(record) for record in records]
        confirmed = False
        try:
            appended = await self._log.async_append(
                TOPIC_COUNTS, self._partition, encoded, APPEND_TIMEOUT
            )
            confirmed = isinstance(appended, Ok)
        finally:
            if not confirmed:
                self._counter.put_back(records)
        return confirmed

    def _delay(self) -> timedelta:
        return min(MIN_STORE_DELAY + STORE_DELAY_PER_NODE * self._live_nodes(), MAX_STORE_DELAY)

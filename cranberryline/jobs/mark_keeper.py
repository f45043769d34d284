"""Reading and writing of partition marks."""

import asyncio
from collections.abc import Callable, Collection
from datetime import timedelta

from result import Err

from cranberryline.decisions import rendezvous
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.store import SharedLog

from .const import MARK_INTERVAL, MARK_TIMEOUT, MARKS_READ_TIMEOUT, STORE_RETRY_DELAY, TRIM_INTERVAL
from .marks import PartitionMark, decode_mark, encode_mark
from .service import JobService

__all__ = ["MarkManager"]

_LOGGER = get_logger(__name__)


class MarkManager:
    """Limit what a starting node reads to the open jobs, regardless of the length of the log.

    Nodes that start at the same time share the bandwidth of the store. Reading all jobs of the last
    minutes, almost all of which are finished, would keep every node from working for seconds. For
    each partition, one live node chosen by rendezvous hashing writes a mark: the offset at which
    the open jobs start. A starting node reads from there, and `PartitionHistory` reads the older
    records on demand. `live` returns the IDs of the live nodes. Two concurrent writers of a mark
    are harmless, because every mark stays valid.
    """

    def __init__(
        self,
        jobs: JobService,
        log: SharedLog,
        topic: str,
        clock: Clock,
        health: StoreHealth,
        node: str,
        live: Callable[[], Collection[str]],
    ) -> None:
        self.loaded = asyncio.Event()
        self._jobs = jobs
        self._log = log
        self._topic = topic
        self._clock = clock
        self._health = health
        self._node = node
        self._live_nodes = live
        self._last_written: dict[int, PartitionMark] = {}
        self._next_trim_at = timedelta()
        self._ranked_nodes: frozenset[str] = frozenset()
        self._first_for: set[int] = set()

    async def async_run(self) -> None:
        """Start each partition at its mark, then write marks until cancelled."""
        await self._async_load()
        self.loaded.set()
        while True:
            await self._clock.async_sleep(MARK_INTERVAL)
            await self._async_write()

    async def _async_load(self) -> None:
        """Read the marks.

        Partitions start at their oldest record if the marks cannot be read in time.
        """
        deadline = self._clock.monotonic() + MARKS_READ_TIMEOUT
        while (remaining := deadline - self._clock.monotonic()) > timedelta():
            snapshot = await self._log.async_newest(self._topic, remaining)
            if isinstance(snapshot, Err):
                await self._clock.async_sleep(STORE_RETRY_DELAY)
                continue
            for record in snapshot.unwrap().records:
                self._apply_record(record.key, record.value)
            return
        _LOGGER.warning("marks_unread")

    def _apply_record(self, key: str, value: bytes) -> None:
        decoded = decode_mark(value)
        partition = int(key) if key.isascii() and key.isdigit() else -1
        if isinstance(decoded, Err) or not 0 <= partition < len(self._jobs.tails):
            detail = decoded.err() or "key is not a valid partition number"
            self._health.unsound("mark_unreadable", key=key, detail=detail)
            return
        self._jobs.start_from_mark(partition, decoded.unwrap())

    async def _async_write(self) -> None:
        """Write changed marks and delete unneeded texts of the partitions assigned to this node."""
        assigned = self._assigned_partitions()
        marks = {partition: self._jobs.mark(partition) for partition in assigned}
        changed = {
            partition: mark
            for partition, mark in marks.items()
            if mark != self._last_written.get(partition)
        }
        records = [
            self._log.pack_keyed(str(partition), encode_mark(mark))
            for partition, mark in changed.items()
        ]
        if records:
            appended = await self._log.async_append(self._topic, 0, records, MARK_TIMEOUT)
            self._last_written.update(changed if appended.is_ok() else {})
        if self._clock.monotonic() >= self._next_trim_at:
            self._next_trim_at = self._clock.monotonic() + TRIM_INTERVAL
            for partition in assigned:
                await self._jobs.texts.async_trim(partition)

    def _assigned_partitions(self) -> list[int]:
        """Return the partitions assigned to this node that it has read to their end."""
        live_nodes = frozenset(self._live_nodes())
        if live_nodes != self._ranked_nodes:
            # Ranking all nodes for each partition once a second takes longer than all else here.
            self._ranked_nodes = live_nodes
            self._first_for = {
                partition
                for partition in range(len(self._jobs.tails))
                if rendezvous.top(f"mark {partition}", live_nodes) == self._node
            }
        return [
            partition for partition in sorted(self._first_for) if self._jobs.tails[partition].at_end
        ]

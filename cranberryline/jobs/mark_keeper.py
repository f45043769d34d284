"""Write the marks of partitions, and begin at them."""

import asyncio
from collections.abc import Callable, Collection
from datetime import timedelta

from result import Err

from cranberryline.decisions import rendezvous
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.store import SharedLog

from .const import ACCEPT_PAUSE, MARK_INTERVAL, MARK_TIMEOUT, MARKS_PATIENCE, TRIM_INTERVAL
from .marks import PartitionMark, read_mark, write_mark
from .service import JobService

__all__ = ["MarkKeeper"]

_LOGGER = get_logger(__name__)


class MarkKeeper:
    """Bound what a node reads when it starts by what is open, however long the log is.

    All nodes that start at once share the store's bandwidth. Reading the jobs of the last minutes, of which next to
    all are over, takes each of them seconds in which nobody works. For each partition one live node, ranked alike by
    all, writes where the open jobs begin. A node that starts begins there; what lies before is read where somebody
    asks for it (`history.py`). `live` names the nodes that live. Two writers of one mark do no harm: each mark holds for
    good.
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
        self._live = live
        self._written: dict[int, PartitionMark] = {}
        self._trim_at = timedelta()

    async def async_run(self) -> None:
        """Begin each partition at its mark, then write marks until cancelled."""
        await self._async_load()
        self.loaded.set()
        while True:
            await self._clock.async_sleep(MARK_INTERVAL)
            await self._async_write()

    async def _async_load(self) -> None:
        """Read the marks; where they cannot be read in time, partitions begin with their oldest record."""
        give_up = self._clock.monotonic() + MARKS_PATIENCE
        while (left := give_up - self._clock.monotonic()) > timedelta():
            loaded = await self._log.async_newest(self._topic, left)
            if isinstance(loaded, Err):
                await self._clock.async_sleep(ACCEPT_PAUSE)
                continue
            for record in loaded.unwrap().records:
                self._take(record.key, record.value)
            return
        _LOGGER.warning("marks_unread")

    def _take(self, key: str, value: bytes) -> None:
        read = read_mark(value)
        part = int(key) if key.isascii() and key.isdigit() else -1
        if isinstance(read, Err) or not 0 <= part < len(self._jobs.tails):
            detail = read.err() or "no partition of ours"
            self._health.unsound("mark_unreadable", key=key, detail=detail)
            return
        self._jobs.start_from_mark(part, read.unwrap())

    async def _async_write(self) -> None:
        """Write the marks that have moved, and delete texts that are over, of the partitions that fall to this node."""
        own = self._own_parts()
        marks = {part: self._jobs.mark(part) for part in own}
        news = {part: mark for part, mark in marks.items() if mark != self._written.get(part)}
        records = [self._log.pack_keyed(str(part), write_mark(mark)) for part, mark in news.items()]
        if records:
            written = await self._log.async_append(self._topic, 0, records, MARK_TIMEOUT)
            self._written.update(news if written.is_ok() else {})
        if self._clock.monotonic() >= self._trim_at:
            self._trim_at = self._clock.monotonic() + TRIM_INTERVAL
            for part in own:
                await self._jobs.texts.async_trim(part)

    def _own_parts(self) -> list[int]:
        """Return the partitions that fall to this node and have been read to their end."""
        live = self._live()
        return [
            part
            for part, tail in enumerate(self._jobs.tails)
            if tail.at_end and rendezvous.top(f"mark {part}", live) == self._node
        ]

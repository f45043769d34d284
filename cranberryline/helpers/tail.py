"""Follow topics of the store: the newest record of each key, or every record of a partition."""

import abc
import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVarTuple

import attrs
from result import Err, Ok, Result

from cranberryline.ports.store import (
    KeyedRecord,
    KeyedSnapshot,
    LogRead,
    SharedLog,
    StoreError,
    StoreProblem,
)

from .clock import Clock
from .store_health import StoreHealth, source_name

__all__ = ["KeyedTail", "PartitionTail", "ReadTurns", "StoreHealth", "TimedRead"]

_Args = TypeVarTuple("_Args")

# A connection that went silent for good looks like a poll with nothing to tell. Polls are short, so
# that a change is seen within `_POLL_WAIT` + `_POLL_SLACK` of such a loss; two polls a second and
# topic cost a hundredth of what the store takes from one node.
_POLL_WAIT = timedelta(seconds=1)
_POLL_SLACK = timedelta(milliseconds=1500)
_SNAPSHOT_TIMEOUT = timedelta(seconds=3)
_FIRST_BACKOFF = timedelta(milliseconds=100)
_MAX_BACKOFF = timedelta(milliseconds=400)
# How long a page is folded in one go. A megabyte of records takes a slow VM a tenth of a second, in which
# callers and the balancer's questions would wait.
_FOLD_TURN = timedelta(milliseconds=5)
# Characters of an error in a log line; the error may quote the record.
_MAX_ERROR = 200


TimedRead = Callable[[timedelta], Awaitable[Result[LogRead, StoreError]]]


class ReadTurns(abc.ABC):
    """The turns in which the tails of one node read up to the end for the first time."""

    @abc.abstractmethod
    async def async_run(self, read: TimedRead) -> Result[LogRead, StoreError]:
        """Make a read in its turn, and give it the time that it may take."""


@attrs.frozen
class _Moment:
    """A moment on the monotonic clock, and on the one that counts suspensions of the VM."""

    monotonic: timedelta
    elapsed: timedelta

    def later(self, span: timedelta) -> "_Moment":
        """Return the moment after a span in which nothing was suspended."""
        return _Moment(self.monotonic + span, self.elapsed + span)


class _Tail(abc.ABC):
    """What both kinds of tail share: the loop, its pauses, and how current they are.

    `at_end` says whether the last read reached the partition's end: between two pages of a long partition
    what was read is older than what the store has, by as much as is left. `current_at` is the moment up to
    which everything has been read.
    """

    def __init__(
        self, log: SharedLog, topic: str, part: int, clock: Clock, health: StoreHealth
    ) -> None:
        self.topic = topic
        self.part = part
        self.source = source_name(topic, part)
        self.loaded = asyncio.Event()
        self.at_end = False
        self.current_at: timedelta | None = None
        self._read_at: timedelta | None = None
        self._outage = (timedelta(), timedelta())
        self.offset = 0
        self._log = log
        self._clock = clock
        self._health = health
        self._backoff = _FIRST_BACKOFF

    async def async_run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            asked_at = self._clock.monotonic()
            error = await self._async_step()
            if error is None:
                self._health.succeeded(self.source)
                self._backoff = _FIRST_BACKOFF
                continue
            self._health.failed(error, self.source, asked_at)
            await self._clock.async_sleep(self._backoff * (0.5 + random.random()))
            self._backoff = min(self._backoff * 2, _MAX_BACKOFF)

    async def async_sync(self, timeout: timedelta) -> bool:
        """Read to the partition's end now; False when the store could not be asked."""
        asked = self._moment()
        give_up = asked.monotonic + timeout
        while True:
            left = give_up - self._clock.monotonic()
            if left <= timedelta() or not self.loaded.is_set():
                return False
            read = await self._log.async_read(self.topic, self.part, self.offset, timedelta(), left)
            if isinstance(read, Err):
                self._note_outage(read.unwrap_err())
                return False
            if await self._async_take(read.unwrap(), asked):
                return True

    def age(self) -> timedelta | None:
        """Return how old what is known here may be; None before the end was reached, or between pages.

        Suspensions of the VM count. A span in which the store answered nobody does not: nothing can
        have been written in it. What was missed before that span still does.
        """
        if self._read_at is None or not self.at_end:
            return None
        since, until = self._outage
        outage = max(until - max(since, self._read_at), timedelta())
        return self._clock.elapsed() - self._read_at - outage

    def unconfirmed_for(self) -> timedelta | None:
        """Return for how long a newer record may stand unread; None before the first read.

        Suspensions of the VM and outages of the store count.
        """
        return None if self._read_at is None else self._clock.elapsed() - self._read_at

    @abc.abstractmethod
    async def _async_step(self) -> StoreError | None:
        """Make one call and take what it brings; return why it brought nothing."""

    @abc.abstractmethod
    def _fold(self, offset: int, record: bytes) -> None:
        """Take one record."""

    def _moment(self) -> _Moment:
        return _Moment(self._clock.monotonic(), self._clock.elapsed())

    async def _async_poll(self) -> tuple[Result[LogRead, StoreError], _Moment]:
        """Wait for records; return what came, and the moment up to which it tells everything.

        A poll that brought nothing was answered when its wait was over. Counted from when it was asked,
        what is known of a quiet partition would always seem more than a second old.
        """
        asked = self._moment()
        read = await self._log.async_read(
            self.topic, self.part, self.offset, _POLL_WAIT, _POLL_WAIT + _POLL_SLACK
        )
        if isinstance(read, Err):
            self._note_outage(read.unwrap_err())
            return read, asked
        waited = not read.unwrap().records and not read.unwrap().at_once
        if waited and self._clock.monotonic() - asked.monotonic >= _POLL_WAIT:
            return read, asked.later(_POLL_WAIT)
        return read, asked

    def _note_outage(self, error: StoreError) -> None:
        """Take from a failed call that the store answers nobody.

        It may have come back within the last probe of either node, a second ago at most; the next one,
        half a second later, tells so, long before anybody counts on a store that was out until now.
        """
        if error.out_since is not None:
            self._outage = (error.out_since, self._clock.elapsed())

    def _hand_on(self, take: Callable[[*_Args], None], *args: *_Args) -> None:
        """Give what was read to whoever takes it; what that raises ends here.

        Raised on, it would end the tail's task for good: the process would look well and hear nothing of
        the topic any more, neither the ends of jobs nor routes. Here one record is lost, which is counted,
        and the next ones are taken. Every way to a taker leads through here.
        """
        try:
            take(*args)
        except Exception as exc:
            self._health.unsound(
                "record_not_taken",
                topic=self.topic,
                part=self.part,
                error=repr(exc)[:_MAX_ERROR],
            )

    async def _async_take(self, read: LogRead, as_of: _Moment) -> bool:
        """Take records from where this tail stands; return whether it is at the end now.

        Two reads may be under way at once; the one that is answered last brings again what the
        other brought, and folding it twice would move the tail behind itself.

        Between two turns of a long page the tail is not at the end: a job may have been taken and its end,
        further on in the page, not yet.
        """
        turn_ends = self._clock.monotonic() + _FOLD_TURN
        for number, record in enumerate(read.records):
            if read.start + number != self.offset:
                continue
            if self._clock.monotonic() >= turn_ends:
                self.at_end = False
                await asyncio.sleep(0)
                turn_ends = self._clock.monotonic() + _FOLD_TURN
                if read.start + number != self.offset:
                    continue
            self._hand_on(self._fold, self.offset, record)
            self.offset += 1
        self.at_end = self.offset >= read.end
        if not self.at_end:
            return False
        if self.current_at is None or as_of.monotonic > self.current_at:
            self.current_at, self._read_at = as_of.monotonic, as_of.elapsed
        return True


class KeyedTail(_Tail):
    """Follow a topic that keeps the newest record of each key.

    `on_key` gets each record that is new to this tail, with an empty value for a dropped key. `gather` is
    how long the tail leaves records to come together after each poll that brought one: where every VM
    writes and every VM reads, a poll for each record grows with the square of their number.
    """

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        clock: Clock,
        health: StoreHealth,
        on_key: Callable[[KeyedRecord], None],
        gather: timedelta = timedelta(),
    ) -> None:
        super().__init__(log, topic, 0, clock, health)
        self._gather = gather
        self._on_key = on_key
        self._offsets: dict[str, int] = {}

    async def _async_step(self) -> StoreError | None:
        if not self.loaded.is_set():
            return await self._async_load()
        read, as_of = await self._async_poll()
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

    async def _async_reload(self, gone: StoreError) -> StoreError | None:
        """Load again; a topic that is no further then is asked again only after a pause."""
        before = self.offset
        lost = await self._async_load()
        return lost or (None if self.offset > before else gone)

    async def _async_load(self) -> StoreError | None:
        asked = self._moment()
        loaded = await self._log.async_newest(self.topic, _SNAPSHOT_TIMEOUT)
        if isinstance(loaded, Err):
            return loaded.unwrap_err()
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


class PartitionTail(_Tail):
    """Follow every record of a partition, from the oldest that is kept.

    Tails of one node may share `first_reads`.
    """

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        part: int,
        clock: Clock,
        health: StoreHealth,
        on_record: Callable[[int, bytes], None],
        on_batch: Callable[[], None] = lambda: None,
        on_gap: Callable[[], None] = lambda: None,
        first_reads: ReadTurns | None = None,
    ) -> None:
        super().__init__(log, topic, part, clock, health)
        self._first_reads = first_reads
        self._on_record = on_record
        self._on_batch = on_batch
        self._on_gap = on_gap

    async def async_page(self) -> StoreError | None:
        """Read the next page without waiting for records; return why it brought nothing."""
        as_of = self._moment()
        return await self._async_taken(await self._async_next_page(), as_of)

    async def async_read_to_end(self) -> StoreError | None:
        """Read up to the partition's end without following it; return why that failed."""
        self.at_end = False
        while not self.at_end:
            error = await self.async_page()
            if error is not None:
                return error
        return None

    async def _async_step(self) -> StoreError | None:
        as_of = self._moment()
        if self.loaded.is_set():
            read, as_of = await self._async_poll()
        else:
            read = await self._async_next_page()
        if isinstance(read, Ok) and read.unwrap().end < self.offset and not self.loaded.is_set():
            self._health.unsound("offset_past_end", topic=self.topic, part=self.part)
            self.offset = 0
            return None
        return await self._async_taken(read, as_of)

    async def _async_next_page(self) -> Result[LogRead, StoreError]:
        if self._first_reads is None:
            return await self._async_first_read(_SNAPSHOT_TIMEOUT)
        return await self._first_reads.async_run(self._async_first_read)

    async def _async_first_read(self, timeout: timedelta) -> Result[LogRead, StoreError]:
        return await self._log.async_read(self.topic, self.part, self.offset, timedelta(), timeout)

    async def _async_taken(
        self, read: Result[LogRead, StoreError], as_of: _Moment
    ) -> StoreError | None:
        if isinstance(read, Err):
            error = read.unwrap_err()
            if error.problem is not StoreProblem.GONE or error.position <= self.offset:
                # A position that leads nowhere, asked for again at once, would be a loop without a pause.
                return error
            if self.offset > 0:
                self._hand_on(self._on_gap)
            self.offset = error.position
            self.at_end = False
            return None
        if await self._async_take(read.unwrap(), as_of):
            self.loaded.set()
        if read.unwrap().records:
            self._hand_on(self._on_batch)
        return None

    def _fold(self, offset: int, record: bytes) -> None:
        self._on_record(offset, record)

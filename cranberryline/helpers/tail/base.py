"""What all ways to follow a topic of the store share: the loop, its pauses, and how current it is."""

import abc
import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import TypeVarTuple

import attrs
from result import Err, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.store_health import StoreHealth, source_name
from cranberryline.ports.store import LogRead, SharedLog, StoreError

__all__ = ["Moment", "POLL_SLACK", "POLL_WAIT", "SNAPSHOT_TIMEOUT", "Tail"]

_Args = TypeVarTuple("_Args")

# A connection that went silent for good looks like a poll with nothing to tell. Polls are short, so
# that a change is seen within `POLL_WAIT` + `POLL_SLACK` of such a loss; two polls a second and
# topic cost a hundredth of what the store takes from one node.
POLL_WAIT = timedelta(seconds=1)
POLL_SLACK = timedelta(milliseconds=1500)
SNAPSHOT_TIMEOUT = timedelta(seconds=3)
_FIRST_BACKOFF = timedelta(milliseconds=100)
_MAX_BACKOFF = timedelta(milliseconds=400)
# How long a page is folded in one go. A megabyte of records takes a slow VM a tenth of a second, in which
# callers and the balancer's questions would wait.
_FOLD_TURN = timedelta(milliseconds=5)
# Characters of an error in a log line; the error may quote the record.
_MAX_ERROR = 200


@attrs.frozen
class Moment:
    """A moment on the monotonic clock, and on the one that counts suspensions of the VM."""

    monotonic: timedelta
    elapsed: timedelta

    def later(self, span: timedelta) -> "Moment":
        """Return the moment after a span in which nothing was suspended."""
        return Moment(self.monotonic + span, self.elapsed + span)


class Tail(abc.ABC):
    """Follows a topic until cancelled.

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
                return await self._async_sync_failed(read.unwrap_err(), give_up)
            if await self._async_take(read.unwrap(), asked):
                return True

    async def _async_sync_failed(self, error: StoreError, _give_up: timedelta) -> bool:
        """Take that a read failed; return whether this tail is at the partition's end all the same."""
        self._note_outage(error)
        return False

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

    def _moment(self) -> Moment:
        return Moment(self._clock.monotonic(), self._clock.elapsed())

    async def _async_poll(self) -> tuple[Result[LogRead, StoreError], Moment]:
        """Wait for records; return what came, and the moment up to which it tells everything.

        A poll that brought nothing was answered when its wait was over. Counted from when it was asked,
        what is known of a quiet partition would always seem more than a second old.
        """
        asked = self._moment()
        read = await self._log.async_read(
            self.topic, self.part, self.offset, POLL_WAIT, POLL_WAIT + POLL_SLACK
        )
        if isinstance(read, Err):
            self._note_outage(read.unwrap_err())
            return read, asked
        waited = not read.unwrap().records and not read.unwrap().at_once
        if waited and self._clock.monotonic() - asked.monotonic >= POLL_WAIT:
            return read, asked.later(POLL_WAIT)
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

    async def _async_take(self, read: LogRead, as_of: Moment) -> bool:
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

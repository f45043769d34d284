"""Holders over one log in virtual time: appends lost, late and doubled, reads late, nodes paused."""

import asyncio
import enum
from collections import deque
from datetime import datetime, timedelta
from typing import Any

from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.tail import StoreHealth
from cranberryline.leases import LeaseKeeper
from cranberryline.ports.store import Appended, LogRead, StoreError, StoreProblem
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import START, VirtualLoop

LEASE = timedelta(seconds=3)
NO_ANSWER = StoreError(StoreProblem.UNKNOWN, "no answer")


class Pause(enum.Enum):
    """How a node stands still."""

    SUSPENDED = "its monotonic time stands still"
    FROZEN = "its monotonic time goes on"


class Fate(enum.Enum):
    """What becomes of an append."""

    DONE = "done and told"
    NEVER = "not done, no answer"
    ANSWER_LOST = "done, no answer"
    LATE = "no answer, done later if its condition still holds"
    DOUBLED = "done, and tried again later; the first answer is told"
    SECOND_ANSWER = "done twice, the second answer is told"


class NodeClock(Clock):
    """The clock of a node that may stand still; only `elapsed` counts suspensions."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self._suspended = timedelta()
        self._paused_at: timedelta | None = None
        self._pause = Pause.FROZEN
        self._awake = asyncio.Event()
        self._awake.set()

    @property
    def paused(self) -> bool:
        """Tell whether the node stands still."""
        return self._paused_at is not None

    def pause(self, pause: Pause) -> None:
        """Stand still from now on."""
        self._paused_at, self._pause = self._time(), pause
        self._awake.clear()

    def wake(self) -> timedelta:
        """Go on; return for how long the node stood still."""
        assert self._paused_at is not None
        paused = self._time() - self._paused_at
        if self._pause is Pause.SUSPENDED:
            self._suspended += paused
        self._paused_at = None
        self._awake.set()
        return paused

    def now(self) -> datetime:
        """Return the wall-clock time."""
        return START + self._time()

    def monotonic(self) -> timedelta:
        """Return the time without suspensions."""
        if self._paused_at is not None and self._pause is Pause.SUSPENDED:
            return self._paused_at - self._suspended
        return self._time() - self._suspended

    def elapsed(self) -> timedelta:
        """Return the time with suspensions."""
        return self._time()

    async def async_sleep(self, duration: timedelta) -> None:
        """Sleep in the node's monotonic time."""
        until = self.monotonic() + duration
        await asyncio.sleep(0)
        await self.async_awake()
        while self.monotonic() < until:
            await asyncio.sleep((until - self.monotonic()).total_seconds())
            await self.async_awake()

    async def async_awake(self) -> None:
        """Return as soon as the node does not stand still."""
        while self.paused:
            await self._awake.wait()

    def _time(self) -> timedelta:
        return timedelta(seconds=self._loop.time())


class FatedLink(StoreLink):
    """A node's way to the store; the next appends meet the `fates` in their order.

    `read_lag` is how much later than it was taken what a read brings arrives. With `conditional` False the
    log ignores the condition of appends.
    """

    conditional = True

    def __init__(self, store: FakeStore, clock: NodeClock) -> None:
        super().__init__(store)
        self.clock = clock
        self.fates: deque[tuple[Fate, timedelta]] = deque()
        self.read_lag = timedelta()

    async def async_append(
        self,
        topic: str,
        part: int,
        records: list[bytes],
        timeout: timedelta,
        at: int | None = None,
    ) -> Result[Appended, StoreError]:
        """Append as the next fate says."""
        fate, later = self.fates.popleft() if self.fates else (Fate.DONE, timedelta())
        await self.clock.async_sleep(timedelta(milliseconds=4))
        if fate is Fate.NEVER:
            return await self._async_unanswered(timeout)
        if fate is Fate.LATE:
            self._later(later, topic, part, records, at)
            return await self._async_unanswered(timeout)
        told = self._append_now(topic, part, records, at)
        if fate is Fate.ANSWER_LOST:
            return await self._async_unanswered(timeout)
        if fate is Fate.DOUBLED:
            self._later(later, topic, part, records, at)
        if fate is Fate.SECOND_ANSWER:
            told = self._append_now(topic, part, records, at)
        await self.clock.async_sleep(timedelta(milliseconds=4))
        return told

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read, and bring what was read after the lag."""
        read = await super().async_read(topic, part, start, wait, timeout)
        await self.clock.async_awake()
        if self.read_lag > timeout:
            return await self._async_unanswered(timeout)
        await self.clock.async_sleep(self.read_lag)
        return read

    def _append_now(
        self, topic: str, part: int, records: list[bytes], at: int | None
    ) -> Result[Appended, StoreError]:
        end = len(self.store.records[(topic, part)])
        if self.conditional and at is not None and at != end:
            return Err(StoreError(StoreProblem.CONFLICT, position=end))
        return Ok(self.store.append(topic, part, records))

    def _later(self, later: timedelta, *call: Any) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(later.total_seconds(), self._append_now, *call)

    async def _async_unanswered(self, timeout: timedelta) -> Any:
        await self.clock.async_sleep(timeout)
        return Err(NO_ANSWER)


class Holder:
    """A VM that may hold the lease, with one process at a time."""

    def __init__(self, loop: VirtualLoop, store: FakeStore, name: str) -> None:
        self._loop = loop
        self._name = name
        self.clock = NodeClock(loop)
        self.link = FatedLink(store, self.clock)
        self.keeper: LeaseKeeper
        self.tasks: list[asyncio.Task[None]] = []
        self.start()

    def start(self) -> None:
        """Begin a new process."""
        health = StoreHealth(self.clock)
        self.keeper = LeaseKeeper(self.link, self._name, LEASE, self.clock, health)
        work = (self.keeper.tail.async_run(), self.keeper.async_run())
        self.tasks = [self._loop.create_task(part) for part in work]

    def kill(self) -> None:
        """End the process as a kill does; what it sent goes on its way."""
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    def token(self) -> int | None:
        """Return the token under which the process would act; a dead one acts on nothing."""
        return self.keeper.token() if self.tasks else None

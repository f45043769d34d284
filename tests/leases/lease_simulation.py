"""A simulation of nodes that share a log, in virtual time.

Appends can be lost, delayed or duplicated, reads can be delayed, and nodes can be paused.
"""

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

LEASE_DURATION = timedelta(seconds=3)
NO_RESPONSE = StoreError(StoreProblem.UNKNOWN, "no answer")


class Pause(enum.Enum):
    """How a node is paused."""

    SUSPENDED = "the monotonic clock stops"
    FROZEN = "the monotonic clock continues"


class AppendFault(enum.Enum):
    """What happens to an append, and which response the node receives."""

    NONE = "appended, with a response"
    NOT_APPENDED = "not appended, no response"
    RESPONSE_LOST = "appended, no response"
    DELAYED = "no response, appended later if the condition still holds"
    REPEATED_LATER = "appended, and attempted again later; returns the first response"
    REPEATED_AT_ONCE = "attempted twice in a row; returns the second response"


class NodeClock(Clock):
    """The clock of a node that can be paused; only `elapsed` counts the time of suspensions."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self._suspended = timedelta()
        self._paused_at: timedelta | None = None
        self._pause = Pause.FROZEN
        self._awake = asyncio.Event()
        self._awake.set()

    @property
    def paused(self) -> bool:
        """Return whether the node is paused."""
        return self._paused_at is not None

    def pause(self, pause: Pause) -> None:
        """Pause the node from now on."""
        self._paused_at, self._pause = self._time(), pause
        self._awake.clear()

    def wake(self) -> timedelta:
        """End the pause; return how long the node was paused."""
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
        """Return the time that excludes suspensions."""
        if self._paused_at is not None and self._pause is Pause.SUSPENDED:
            return self._paused_at - self._suspended
        return self._time() - self._suspended

    def elapsed(self) -> timedelta:
        """Return the time that includes suspensions."""
        return self._time()

    async def async_sleep(self, duration: timedelta) -> None:
        """Sleep for a duration of the node's monotonic time."""
        until = self.monotonic() + duration
        await asyncio.sleep(0)
        await self.async_awake()
        while self.monotonic() < until:
            await asyncio.sleep((until - self.monotonic()).total_seconds())
            await self.async_awake()

    async def async_awake(self) -> None:
        """Wait until the node is not paused."""
        while self.paused:
            await self._awake.wait()

    def _time(self) -> timedelta:
        return timedelta(seconds=self._loop.time())


class FaultyStoreLink(StoreLink):
    """A node's connection to the store, with faults.

    Each append takes the next fault of `append_faults` and the delay of its late effect, if any.
    `read_lag` is the time between a read at the store and the arrival of its result. If
    `conditional` is False, the log ignores the condition of appends.
    """

    conditional = True

    def __init__(self, store: FakeStore, clock: NodeClock) -> None:
        super().__init__(store)
        self.clock = clock
        self.append_faults: deque[tuple[AppendFault, timedelta]] = deque()
        self.read_lag = timedelta()

    async def async_append(
        self,
        topic: str,
        part: int,
        records: list[bytes],
        timeout: timedelta,
        at: int | None = None,
    ) -> Result[Appended, StoreError]:
        """Append with the next fault."""
        fault, delay = (
            self.append_faults.popleft() if self.append_faults else (AppendFault.NONE, timedelta())
        )
        await self.clock.async_sleep(timedelta(milliseconds=4))
        if fault is AppendFault.NOT_APPENDED:
            return await self._async_time_out(timeout)
        if fault is AppendFault.DELAYED:
            self._append_later(delay, topic, part, records, at)
            return await self._async_time_out(timeout)
        response = self._append_now(topic, part, records, at)
        if fault is AppendFault.RESPONSE_LOST:
            return await self._async_time_out(timeout)
        if fault is AppendFault.REPEATED_LATER:
            self._append_later(delay, topic, part, records, at)
        if fault is AppendFault.REPEATED_AT_ONCE:
            response = self._append_now(topic, part, records, at)
        await self.clock.async_sleep(timedelta(milliseconds=4))
        return response

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read, and return the result after `read_lag`."""
        read = await super().async_read(topic, part, start, wait, timeout)
        await self.clock.async_awake()
        if self.read_lag > timeout:
            return await self._async_time_out(timeout)
        await self.clock.async_sleep(self.read_lag)
        return read

    def _append_now(
        self, topic: str, part: int, records: list[bytes], at: int | None
    ) -> Result[Appended, StoreError]:
        end = len(self.store.records[(topic, part)])
        if self.conditional and at is not None and at != end:
            return Err(StoreError(StoreProblem.CONFLICT, position=end))
        return Ok(self.store.append(topic, part, records))

    def _append_later(self, delay: timedelta, *call: Any) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay.total_seconds(), self._append_now, *call)

    async def _async_time_out(self, timeout: timedelta) -> Any:
        await self.clock.async_sleep(timeout)
        return Err(NO_RESPONSE)


class SimulatedVm:
    """A VM that may hold the lease and runs one process at a time."""

    def __init__(self, loop: VirtualLoop, store: FakeStore, name: str) -> None:
        self._loop = loop
        self._name = name
        self.clock = NodeClock(loop)
        self.link = FaultyStoreLink(store, self.clock)
        self.keeper: LeaseKeeper
        self.tasks: list[asyncio.Task[None]] = []
        self.start()

    def start(self) -> None:
        """Start a new process."""
        health = StoreHealth(self.clock)
        self.keeper = LeaseKeeper(self.link, self._name, LEASE_DURATION, self.clock, health)
        work = (self.keeper.tail.async_run(), self.keeper.async_run())
        self.tasks = [self._loop.create_task(part) for part in work]

    def kill(self) -> None:
        """Kill the process; requests that it has sent still take effect."""
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    def token(self) -> int | None:
        """Return the token with which the process may act, or None, also for a killed process."""
        return self.keeper.token() if self.tasks else None

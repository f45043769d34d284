"""Many nodes that start at the same moment and read all jobs through one store's bandwidth."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import pytest
from result import Err, Ok, Result

from cranberryline.decisions.startup_reads import (
    INITIAL_CONCURRENCY,
    MIN_SLOT_TIME,
    PAGE_KB,
    StartupReadLimits,
)
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs.read_limiter import ReadLimiter
from cranberryline.jobs.service import JobService
from cranberryline.ports.store import StoreError, StoreProblem
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

PARTS = 16
MB_A_SECOND = 80.0
PAGE_MB = PAGE_KB / 1024
PAGES = 2


class Bandwidth:
    """What all reads share: answers leave in the order of the calls, also to those who have left."""

    def __init__(self) -> None:
        self.free_at = 0.0
        self.sent_mb = 0.0

    def send(self, size_mb: float) -> float:
        """Return after how many seconds an answer of that size is there."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + size_mb / MB_A_SECOND
        self.sent_mb += size_mb
        return self.free_at - now


class SharedReads(StoreLink):
    """A node's way to a store of bounded bandwidth; a record stands for a page."""

    def __init__(self, store: FakeStore, bandwidth: Bandwidth) -> None:
        super().__init__(store)
        self.page = 1
        self.bandwidth = bandwidth

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[Any, StoreError]:
        """Read a page once it is through, or nothing if the time is over before."""
        if len(self.store.records[topic, part]) > start:
            takes = self.bandwidth.send(PAGE_MB)
            await asyncio.sleep(min(takes, timeout.total_seconds()))
            if takes > timeout.total_seconds():
                return Err(StoreError(StoreProblem.UNKNOWN, "no answer"))
        return await super().async_read(topic, part, start, wait, timeout)


def _node(store: FakeStore, bandwidth: Bandwidth, parts: int) -> JobService:
    clock = LoopClock()
    link = SharedReads(store, bandwidth)
    return JobService(link, parts, clock, StoreHealth(clock), Metrics(), timedelta(seconds=180))


@pytest.mark.parametrize(
    ("count", "parts", "in_vain"),
    [(9, 16, 0.0), (36, 16, 0.0), (91, 16, 0.0), (300, 8, 0.0), (770, 8, 0.4)],
)
def test_nodes_that_start_together_all_read_to_the_end(
    count: int, parts: int, in_vain: float
) -> None:
    """Whatever their number, nodes are done about when the bandwidth allows, and little is sent in vain.

    36 nodes need 288 MB: at 80 MB a second that is 3.6 s. 770 nodes ask for more at first than is sent in the time that
    they wait, and learn from that.
    """
    needed_mb = count * parts * PAGES * PAGE_MB

    async def scene() -> None:
        store, bandwidth = FakeStore(), Bandwidth()
        for part in range(parts):
            store.append("jobs", part, [b"no job of ours"] * PAGES)
        nodes = [_node(store, bandwidth, parts) for _ in range(count)]
        following = [asyncio.ensure_future(t.async_run()) for node in nodes for t in node.tails]
        await asyncio.sleep(1.6 * needed_mb / MB_A_SECOND + 0.5)
        assert all(node.loaded for node in nodes)
        assert needed_mb <= bandwidth.sent_mb <= (1 + in_vain) * needed_mb
        for task in following:
            task.cancel()

    run_virtual(scene())


def test_partitions_that_answer_nothing_do_not_hold_up_the_others() -> None:
    """A store that is out in part: the other partitions are known within two turns and a half."""

    async def scene() -> None:
        clock, store = LoopClock(), FakeStore()
        link = StoreLink(store)
        read = link.async_read

        async def partly(topic: str, part: int, *args: Any) -> Any:
            if part < 2 * INITIAL_CONCURRENCY:
                await asyncio.sleep(3)
                return Err(StoreError(StoreProblem.UNKNOWN, "no answer"))
            return await read(topic, part, *args)

        link.async_read = partly  # type: ignore[method-assign]
        health, keep = StoreHealth(clock), timedelta(seconds=180)
        jobs = JobService(link, PARTS, clock, health, Metrics(), keep)
        following = [asyncio.ensure_future(tail.async_run()) for tail in jobs.tails]
        await asyncio.sleep(2.5 * MIN_SLOT_TIME.total_seconds())
        assert all(tail.loaded.is_set() for tail in jobs.tails[2 * INITIAL_CONCURRENCY :])
        for task in following:
            task.cancel()

    run_virtual(scene())


def test_a_call_that_is_cancelled_gives_its_turn_back() -> None:
    """One that waits for its turn and one that has it are cancelled: the third has it at once."""

    async def scene() -> None:
        limits, done = StartupReadLimits(), []
        limits.max_concurrent = 1
        turns = ReadLimiter(limits, LoopClock())

        def call(name: str, seconds: float) -> Callable[[timedelta], Awaitable[Any]]:
            async def read(_patience: timedelta) -> Result[None, StoreError]:
                await asyncio.sleep(seconds)
                done.append(name)
                return Ok(None)

            return read

        first = asyncio.ensure_future(turns.async_run(call("first", 60)))
        second = asyncio.ensure_future(turns.async_run(call("second", 0)))
        await asyncio.sleep(0.1)
        second.cancel()
        first.cancel()
        await asyncio.gather(first, second, return_exceptions=True)
        await turns.async_run(call("third", 0))
        await asyncio.sleep(100)
        assert done == ["third"]

    run_virtual(scene())

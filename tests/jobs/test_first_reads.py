"""Many nodes that start at the same time and read all jobs through the bandwidth of one store."""

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
    """The bandwidth that all reads share.

    Responses are sent in the order of the calls, also to callers that have given up.
    """

    def __init__(self) -> None:
        self.free_at = 0.0
        self.sent_mb = 0.0

    def send(self, size_mb: float) -> float:
        """Return the number of seconds until a response of that size has been received."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + size_mb / MB_A_SECOND
        self.sent_mb += size_mb
        return self.free_at - now


class SharedReads(StoreLink):
    """A node's connection to a store of limited bandwidth; one record stands for a page."""

    def __init__(self, store: FakeStore, bandwidth: Bandwidth) -> None:
        super().__init__(store)
        self.page = 1
        self.bandwidth = bandwidth

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[Any, StoreError]:
        """Return a page once it was transferred, or an error if that exceeds the timeout."""
        if len(self.store.records[topic, part]) > start:
            transfer_s = self.bandwidth.send(PAGE_MB)
            await asyncio.sleep(min(transfer_s, timeout.total_seconds()))
            if transfer_s > timeout.total_seconds():
                return Err(StoreError(StoreProblem.UNKNOWN, "no answer"))
        return await super().async_read(topic, part, start, wait, timeout)


def _node(store: FakeStore, bandwidth: Bandwidth, parts: int) -> JobService:
    clock = LoopClock()
    link = SharedReads(store, bandwidth)
    return JobService(link, parts, clock, StoreHealth(clock), Metrics(), timedelta(seconds=180))


@pytest.mark.parametrize(
    ("count", "parts", "wasted_share"),
    [(9, 16, 0.0), (36, 16, 0.0), (91, 16, 0.0), (300, 8, 0.0), (770, 8, 0.4)],
)
def test_nodes_that_start_together_all_read_to_the_end(
    count: int, parts: int, wasted_share: float
) -> None:
    """Any number of nodes finish about when the bandwidth allows, with few wasted responses.

    36 nodes need 288 MB, which takes 3.6 s at 80 MB/s. 770 nodes at first request more than can be
    sent within their timeouts, and adapt to that.
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
        assert needed_mb <= bandwidth.sent_mb <= (1 + wasted_share) * needed_mb
        for task in following:
            task.cancel()

    run_virtual(scene())


def test_unavailable_partitions_do_not_delay_the_others() -> None:
    """In a partial store outage the other partitions are read within 2.5 minimum slot times."""

    async def scene() -> None:
        clock, store = LoopClock(), FakeStore()
        link = StoreLink(store)
        read = link.async_read

        async def read_partly_failing(topic: str, part: int, *args: Any) -> Any:
            if part < 2 * INITIAL_CONCURRENCY:
                await asyncio.sleep(3)
                return Err(StoreError(StoreProblem.UNKNOWN, "no answer"))
            return await read(topic, part, *args)

        link.async_read = read_partly_failing  # type: ignore[method-assign]
        health, retention = StoreHealth(clock), timedelta(seconds=180)
        jobs = JobService(link, PARTS, clock, health, Metrics(), retention)
        following = [asyncio.ensure_future(tail.async_run()) for tail in jobs.tails]
        await asyncio.sleep(2.5 * MIN_SLOT_TIME.total_seconds())
        assert all(tail.loaded.is_set() for tail in jobs.tails[2 * INITIAL_CONCURRENCY :])
        for task in following:
            task.cancel()

    run_virtual(scene())


def test_a_cancelled_call_releases_its_slot() -> None:
    """A waiting and a running call are cancelled; the third call gets a slot immediately."""

    async def scene() -> None:
        limits, done = StartupReadLimits(), []
        limits.max_concurrent = 1
        limiter = ReadLimiter(limits, LoopClock())

        def call(name: str, seconds: float) -> Callable[[timedelta], Awaitable[Any]]:
            async def read(_patience: timedelta) -> Result[None, StoreError]:
                await asyncio.sleep(seconds)
                done.append(name)
                return Ok(None)

            return read

        first = asyncio.ensure_future(limiter.async_run(call("first", 60)))
        second = asyncio.ensure_future(limiter.async_run(call("second", 0)))
        await asyncio.sleep(0.1)
        second.cancel()
        first.cancel()
        await asyncio.gather(first, second, return_exceptions=True)
        await limiter.async_run(call("third", 0))
        await asyncio.sleep(100)
        assert done == ["third"]

    run_virtual(scene())

"""Polls of the store wait for this gateway's part of its limit; other calls do not."""

import asyncio
from datetime import timedelta

from cranberryline.decisions.read_budget import ReadBudget
from cranberryline.gateway.paced_log import PacedLog
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

POLL = timedelta(seconds=1)
TIMEOUT = timedelta(seconds=3)
LIMIT = 40.0
SHARERS = 30


def _log(store: FakeStore) -> PacedLog:
    clock = LoopClock()
    return PacedLog(
        StoreLink(store), ReadBudget(LIMIT), lambda: SHARERS, clock, urgent=("keyed.servers",)
    )


def test_polls_that_bring_records_are_paced() -> None:
    """Each append wakes each gateway, and their next polls are more than the store allows."""

    async def scene() -> None:
        store, polls = FakeStore(), 0
        log, loop = _log(store), asyncio.get_running_loop()
        while loop.time() < 10:
            store.append("jobs", 0, [b"x"])
            await log.async_read("jobs", 0, 0, POLL, TIMEOUT)
            polls += 1
        assert 9 <= polls <= 11

    run_virtual(scene())


def test_polls_of_urgent_topics_are_not_delayed_by_the_others() -> None:
    """Guards against reading drains late, and again since they were late, where polls are paced."""

    async def scene() -> None:
        store = FakeStore()
        store.append("jobs", 0, [b"x"])
        store.append("keyed.servers", 0, [b"x"])
        log, loop = _log(store), asyncio.get_running_loop()
        for _ in range(20):
            await log.async_read("jobs", 0, 0, timedelta(), TIMEOUT)
        began = loop.time()
        await log.async_read("keyed.servers", 0, 0, POLL, TIMEOUT)
        assert loop.time() - began < 0.1
        await log.async_read("jobs", 0, 0, POLL, TIMEOUT)
        assert loop.time() - began > 1

    run_virtual(scene())


def test_a_read_that_somebody_waits_for_is_not_delayed() -> None:
    """A request waits for seconds for the configuration or the end of a job."""

    async def scene() -> None:
        store = FakeStore()
        store.append("jobs", 0, [b"x"])
        log, loop = _log(store), asyncio.get_running_loop()
        for _ in range(5):
            await log.async_read("jobs", 0, 0, POLL, TIMEOUT)
        began = loop.time()
        await log.async_read("jobs", 0, 0, timedelta(), TIMEOUT)
        assert loop.time() - began < 0.1

    run_virtual(scene())

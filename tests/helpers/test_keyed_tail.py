"""A topic is followed in time although connections to the store go silent."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from result import Ok, Result

from cranberryline.helpers.tail import KeyedTail, StoreHealth
from cranberryline.ports.store import KeyedRecord, LogRead, StoreError
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

_TOPIC = "keyed.x"


class Polls(StoreLink):
    """A link whose open polls go silent for good, or whose answers come late, while new reads work."""

    def __init__(self, store: FakeStore) -> None:
        super().__init__(store)
        self.silent_polls = False
        self.late_s = 0.0
        self.reads = 0

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read; a poll that was asked before they went silent gets no answer."""
        self.reads += 1
        read = await super().async_read(topic, part, start, wait, timeout)
        if wait and self.silent_polls:
            return await self._async_no_answer(timeout)
        await asyncio.sleep(self.late_s)
        return read


def _tail(link: Polls, on_key: Callable[[KeyedRecord], None]) -> tuple[KeyedTail, StoreHealth]:
    clock = LoopClock()
    health = StoreHealth(clock)
    return KeyedTail(link, _TOPIC, clock, health, on_key, is_urgent=True), health


def test_a_change_is_heard_in_time_though_the_poll_for_it_went_silent() -> None:
    """Guards against hearing of a change only once a silent poll is given up, and taking it for an outage."""

    async def scene() -> None:
        heard: dict[str, float] = {}
        link, loop = Polls(FakeStore()), asyncio.get_running_loop()
        tail, health = _tail(link, lambda record: heard.setdefault(record.key, loop.time()))
        following = asyncio.ensure_future(tail.async_run())
        await asyncio.sleep(0.05)
        link.silent_polls = True
        put_at = loop.time()
        link.put(_TOPIC, "drains", b"1")
        await asyncio.sleep(2)
        assert heard["drains"] - put_at < 1.3
        assert health.last_outage(tail.source) is None
        assert tail.age() is not None and tail.age() < timedelta(seconds=1.3)
        following.cancel()

    run_virtual(scene())


def test_a_poll_that_is_only_slow_is_neither_lost_nor_heard_twice() -> None:
    """Guards against giving up the polls of a slow store, each of which would bring what it was asked for."""

    async def scene() -> None:
        heard: list[str] = []
        link = Polls(FakeStore())
        tail, health = _tail(link, lambda record: heard.append(record.key))
        following = asyncio.ensure_future(tail.async_run())
        await asyncio.sleep(0.05)
        link.late_s = 0.8
        for number in range(6):
            link.put(_TOPIC, f"k{number}", b"1")
            await asyncio.sleep(0.7)
        await asyncio.sleep(2)
        assert heard == [f"k{number}" for number in range(6)]
        assert health.last_outage(tail.source) is None
        following.cancel()

    run_virtual(scene())


def test_a_store_that_answers_no_read_either_is_an_outage() -> None:
    """Guards against missing a real outage, in which records expire that are renewed after it."""

    async def scene() -> None:
        link = Polls(FakeStore())
        tail, health = _tail(link, lambda _record: None)
        following = asyncio.ensure_future(tail.async_run())
        await asyncio.sleep(0.05)
        link.silent = True
        await asyncio.sleep(4)
        assert health.last_outage(tail.source) is not None
        assert tail.age() is not None and tail.age() > timedelta(seconds=3)
        link.silent = False
        await asyncio.sleep(3)
        outage = health.last_outage(tail.source)
        assert outage is not None and outage.returned_at is not None
        assert tail.age() is not None and tail.age() < timedelta(seconds=1.3)
        following.cancel()

    run_virtual(scene())


def test_a_calm_store_is_read_by_polls_alone() -> None:
    """Guards against paying for a further read with each poll."""

    async def scene() -> None:
        link = Polls(FakeStore())
        tail, _ = _tail(link, lambda _record: None)
        following = asyncio.ensure_future(tail.async_run())
        await asyncio.sleep(10.5)
        assert link.reads <= 11
        following.cancel()

    run_virtual(scene())


def test_a_check_loads_the_topic_where_records_were_deleted_unread() -> None:
    """Guards against serving by old records since the newer ones can't be read one by one any more."""

    async def scene() -> None:
        heard: list[tuple[str, bytes]] = []
        link = Polls(FakeStore())
        link.put(_TOPIC, "stays", b"1")
        link.put(_TOPIC, "leaves", b"1")
        tail, _ = _tail(link, lambda record: heard.append((record.key, record.value)))
        await tail._async_step()
        link.put(_TOPIC, "leaves", b"")
        link.put(_TOPIC, "new", b"1")
        link.store.first[_TOPIC, 0] = 4
        heard.clear()
        assert await tail.async_sync(timedelta(seconds=1))
        assert sorted(heard) == [("leaves", b""), ("new", b"1")]
        assert tail.age() is not None

    run_virtual(scene())


def test_a_load_that_another_read_has_overtaken_drops_nothing() -> None:
    """Guards against taking an upstream for gone that registered while an older list was on its way."""

    async def scene() -> None:
        heard: list[tuple[str, bytes]] = []
        link = Polls(FakeStore())
        link.put(_TOPIC, "a", b"1")
        tail, _ = _tail(link, lambda record: heard.append((record.key, record.value)))
        await tail._async_step()
        old = await link.async_newest(_TOPIC, timedelta(seconds=1))
        link.put(_TOPIC, "b", b"1")
        assert await tail.async_sync(timedelta(seconds=1))

        async def async_newest(*_: Any) -> Any:
            return Ok(old.unwrap())

        link.async_newest = async_newest  # type: ignore[method-assign]
        assert await tail._async_load() is None
        assert heard == [("a", b"1"), ("b", b"1")]

    run_virtual(scene())

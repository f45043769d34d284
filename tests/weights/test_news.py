"""News of loaded versions reach other nodes before the engines' registrations."""

import asyncio
from datetime import timedelta

from cranberryline.helpers.store_health import StoreHealth
from cranberryline.weights.news import TOPIC_VERSIONS, VersionNews
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

Heard = list[tuple[str, str, int]]


def _node(store: FakeStore) -> tuple[VersionNews, Heard, StoreLink]:
    heard: Heard = []
    clock, link = LoopClock(), StoreLink(store)
    news = VersionNews(link, clock, StoreHealth(clock), lambda *loaded: heard.append(loaded))
    for coroutine in (news.tail.async_run(), news.async_run()):
        asyncio.ensure_future(coroutine)
    return news, heard, link


def test_a_finished_load_is_known_everywhere_within_a_tenth_of_a_second() -> None:
    """Loads that end together are one append, and nothing is written while none ends."""

    async def scenario() -> None:
        store = FakeStore()
        (holder, own, link), (_, other, _) = _node(store), _node(store)
        await asyncio.sleep(2)
        assert not link.appends
        holder.publish("e1", "m", 3)
        holder.publish("e2", "m", 3)
        assert own == [("e1", "m", 3), ("e2", "m", 3)]
        await asyncio.sleep(0.1)
        assert other == [("e1", "m", 3), ("e2", "m", 3)]
        assert link.appends == 1

    run_virtual(scenario())


def test_news_that_the_store_does_not_take_is_dropped() -> None:
    """Registrations follow; what cannot be read is counted and does not end the reader."""

    async def scenario() -> None:
        store = FakeStore()
        (holder, _, link), (_, other, _) = _node(store), _node(store)
        link.refusing = lambda _topic, _part: True
        holder.publish("e1", "m", 3)
        await asyncio.sleep(1)
        link.refusing = lambda _topic, _part: False
        store.append(TOPIC_VERSIONS, 0, [b"\xc1", b""])
        holder.publish("e2", "m", 3)
        await asyncio.sleep(timedelta(seconds=1).total_seconds())
        assert other == [("e2", "m", 3)]

    run_virtual(scenario())

"""How much of a partition one read brings, and what is left of it after a trim."""

import asyncio
from datetime import timedelta

from cranberryline.decisions.startup_reads import PAGE_KB
from cranberryline.platform.store import HttpStore
from cranberryline.ports.store import StoreProblem
from stand_ins.platform_store import PlatformStore

LARGEST_RECORD = 256 * 1024
SECOND = timedelta(seconds=1)


def test_a_read_asks_for_a_bounded_page() -> None:
    """Three of the largest records take several reads, and each page is within its bound."""

    async def scene() -> None:
        store = PlatformStore()
        store.start()
        try:
            store.append("jobs", 0, [bytes([at]) * LARGEST_RECORD for at in range(3)])
            log = HttpStore(store.address)
            had: list[bytes] = []
            while len(had) < 3:
                read = await log.async_read("jobs", 0, len(had), timedelta(), SECOND)
                page = read.unwrap()
                assert page.end == 3 and page.records
                assert sum(map(len, page.records)) <= PAGE_KB * 1024
                had += page.records
            assert [record[0] for record in had] == [0, 1, 2]
        finally:
            store.stop()

    asyncio.run(scene())


def test_records_before_a_trim_are_gone() -> None:
    """The oldest of three records is deleted: asked for, the store tells where what is kept begins."""

    async def scene() -> None:
        store = PlatformStore()
        store.start()
        try:
            store.append("texts", 3, [b"a", b"b", b"c"])
            log = HttpStore(store.address)
            assert (await log.async_trim("texts", 3, 1, SECOND)).is_ok()
            gone = (await log.async_read("texts", 3, 0, timedelta(), SECOND)).unwrap_err()
            assert (gone.problem, gone.position) == (StoreProblem.GONE, 1)
            read = await log.async_read("texts", 3, 1, timedelta(), SECOND)
            assert read.unwrap().records == (b"b", b"c")
        finally:
            store.stop()

    asyncio.run(scene())

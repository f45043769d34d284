"""Following topics of the store."""

import asyncio
from datetime import timedelta

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import KeyedTail, StoreHealth
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual


def test_a_gathering_tail_hears_every_record_in_a_few_polls() -> None:
    """Twenty VMs write forty signs within two seconds: all are heard, in a tenth of the polls."""

    async def scene() -> None:
        heard: list[str] = []
        link, clock = StoreLink(FakeStore()), LoopClock()
        reads = 0
        read = link.async_read

        async def counted(*args: object, **more: object) -> object:
            nonlocal reads
            reads += 1
            return await read(*args, **more)  # type: ignore[arg-type]

        link.async_read = counted  # type: ignore[method-assign, assignment]
        tail = KeyedTail(
            link,
            "keyed.x",
            clock,
            StoreHealth(clock),
            lambda record: heard.append(record.key),
            Metrics(),
            timedelta(milliseconds=300),
        )
        following = asyncio.ensure_future(tail.async_run())
        for number in range(40):
            link.put("keyed.x", f"vm{number}", b"sign")
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.4)
        following.cancel()
        assert heard == [f"vm{number}" for number in range(40)]
        assert reads <= 10

    run_virtual(scene())

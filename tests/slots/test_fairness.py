"""Shares of trainers through the keeper and the real allocator."""

import asyncio

from ..virtual_time import run_virtual
from .site import Gateway, Site, engine, need


def test_a_burst_of_one_trainer_does_not_hold_up_another() -> None:
    """A small trainer gets the next slots that are free, however many texts the burst has."""

    async def async_run(site: Site, gateway: Gateway, trainer: str) -> float:
        loop = asyncio.get_running_loop()
        began = loop.time()
        grant = await site.async_acquire(gateway, need(trainer))
        assert grant is not None
        took = loop.time() - began
        await asyncio.sleep(0.1)
        site.release(grant)
        return took

    async def async_test() -> None:
        site = Site(["a", "b", "c"], [engine("e1", 2), engine("e2", 2)])
        first, second = site.others()
        burst = [asyncio.create_task(async_run(site, first, "big")) for _ in range(60)]
        await asyncio.sleep(0.05)
        small = [asyncio.create_task(async_run(site, second, "small")) for _ in range(2)]
        assert max(await asyncio.gather(*small)) < 0.11
        assert max(await asyncio.gather(*burst)) < 1.8
        await site.async_close()

    run_virtual(async_test())

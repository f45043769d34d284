"""Texts of a gateway while a service's engines are divided into another number of shards."""

import asyncio

import pytest

from ..virtual_time import run_virtual
from .site import SERVICE, Site, engine, need

ENGINES = [engine(f"e{number}", slots=1) for number in range(65)]


@pytest.mark.parametrize("acquire_first", [True, False])
def test_one_list_of_texts_is_told_after_a_change_of_shards(acquire_first: bool) -> None:
    """Two sessions of one shard would replace each other's lists, and free slots that are used."""

    async def async_test() -> None:
        site = Site(["a", "b"], ENGINES)
        gateway = site.gateways["a"]
        for number in range(20):
            assert await site.async_acquire(gateway, need(prompt=str(number)))
        await asyncio.sleep(0.1)
        site.engines = tuple(ENGINES[:64])
        if not acquire_first:
            await asyncio.sleep(0.4)
        assert await site.async_acquire(gateway)
        await asyncio.sleep(2)
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert _told(site) == 21
        await site.async_close()

    run_virtual(async_test())


def _told(site: Site) -> int:
    """Return how many slots the keeper of the only shard counts as used."""
    described = site.keeper().keeper.describe()[SERVICE]
    return described["trainers"]["t"]["held"]

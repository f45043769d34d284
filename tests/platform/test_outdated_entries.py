"""Entries of upstreams that are gone, whose addresses others have now: those answer at once that it is not they."""

import asyncio
from collections import Counter

import pytest

from stand_ins.platform_sampler import PlatformSampler

from .conftest import Platform, async_platform, async_until, play

_UPSTREAMS = 10


async def _async_ten(delay_s: float) -> Platform:
    """Return two gateways that know ten plain upstreams."""
    platform = await async_platform(2)
    for sampler in platform.samplers:
        platform.store.put("keyed.servers", sampler.id, None)
    platform.samplers.clear()
    for number in range(_UPSTREAMS):
        platform.add_sampler("files", id=f"old-{number}", delay_s=delay_s)
    for gateway in platform.gateways:
        await async_until(lambda g=gateway: len(g.upstreams.usable("files")) == _UPSTREAMS)
    return platform


async def _async_outdated(outdated: int) -> tuple[Platform, Counter[str]]:
    """Return two gateways before ten upstreams; so many have a second entry that names a former process.

    A connection of each gateway waits at each of them, as after a request that was turned away there.
    """
    platform = await _async_ten(0.05)
    arrivals: Counter[str] = Counter()
    for number in range(2):
        calls = (
            platform.async_call("GET", "/files/x", number, Attempt_Id=f"w{each}")
            for each in range(4 * _UPSTREAMS)
        )
        await asyncio.gather(*calls)

    def watch(sampler: PlatformSampler, request_id: str, _port: int) -> None:
        arrivals[request_id] += 1

    for number, sampler in enumerate(platform.samplers):
        sampler.delay_s, sampler.watch = 0.0, watch
        if number < outdated:
            sampler.id, sampler.born = f"new-{number}", sampler.born + 1_000
            platform.store.put("keyed.servers", sampler.id, sampler.beat())
    for gateway in platform.gateways:
        await async_until(
            lambda g=gateway: len(g.upstreams.usable("files")) == _UPSTREAMS + outdated
        )
    return platform, arrivals


@pytest.mark.parametrize("path", ["/files/x", "/once/x"])
@pytest.mark.parametrize("outdated", [1, 5, 9])
def test_entries_that_name_another_process_draw_no_requests(outdated: int, path: str) -> None:
    """They answer at once without running, so that they look like the quickest of all, and nothing is learned.

    Every request is served by a sound one, also of those that may be sent once, and few are turned away on the way.
    """

    async def scene() -> None:
        platform, arrivals = await _async_outdated(outdated)
        for number in range(40):
            answer = await platform.async_call(
                "POST", path, number % 2, b"", Attempt_Id=f"r{number}"
            )
            assert answer.code == 200, number
        assert sum(arrivals.values()) <= 40 + 2 * 2 * outdated

    play(scene())


def test_upstreams_that_crash_and_come_back_under_another_id_are_served_from_at_once() -> None:
    """They crash one after the other under work, by a cause of their own; their former entries stay in the store."""

    async def scene() -> None:
        platform = await _async_ten(0.2)
        under_way = []
        for number, former in enumerate(list(platform.samplers)):
            call = platform.async_call(
                "GET", f"/files/{number}", number % 2, Attempt_Id=f"c{number}"
            )
            under_way.append(asyncio.ensure_future(call))
            await asyncio.sleep(0.1)
            ending = asyncio.ensure_future(former.async_kill())
            await asyncio.sleep(0.4)
            platform.add_sampler("files", id=f"new-{number}", address=former.address, delay_s=0.2)
            former.ending = ending
        await asyncio.gather(*under_way)
        calls = (
            platform.async_call("GET", f"/files/again{number}", number % 2, Attempt_Id=f"r{number}")
            for number in range(10)
        )
        assert [answer.code for answer in await asyncio.gather(*calls)] == [200] * 10

    play(scene())

"""Upstreams that leave get no work later than the platform's bound, whatever becomes of connections."""

import asyncio
from datetime import timedelta

import pytest

from stand_ins.store_links import StoreLinks

from .conftest import Platform, async_until, config, play

# The bounds of the platform: work for an upstream that leaves, and the age of a configuration.
DRAIN_S = 2.0
SETTINGS = {"config_max_age": timedelta(seconds=2)}
LEAVES = {"drains": Platform.drain, "is removed": Platform.remove}
_WATCHED_S = 5.0
_PAUSE_S = 0.02
# Gateways pause for a fifth of a second after a poll that brought something.
_POLL_PAUSE_S = 0.25


async def _async_scene(gateways: int) -> Platform:
    """Return gateways that reach the store through links, and four plain upstreams."""
    platform = Platform(links=StoreLinks(), more=SETTINGS)
    platform.store.start()
    platform.store.put("keyed.op", "config", config())
    for _ in range(4):
        platform.add_sampler("files", watch=lambda made, *_: platform.drains.reached(made.id))
    for _ in range(gateways):
        await platform.async_add_gateway()
    return platform


async def _async_new_polls(platform: Platform) -> None:
    """Return when each gateway has just begun to wait for changes of the registrations."""
    platform.add_sampler("files")
    known = len(platform.samplers)
    for gateway in platform.gateways:
        await async_until(lambda g=gateway: len(g.upstreams.usable("files")) == known)
    await asyncio.sleep(_POLL_PAUSE_S)


async def _async_load(platform: Platform, number: int, seconds: float) -> list[int]:
    """Call a gateway for a while, and return the statuses of its answers."""
    loop = asyncio.get_running_loop()
    until, calls = loop.time() + seconds, []
    while loop.time() < until:
        name = f"r{number}-{len(calls)}"
        call = platform.async_call("POST", "/once/x", number, b"", Attempt_Id=name)
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(_PAUSE_S)
    return [answer.code for answer in await asyncio.gather(*calls)]


@pytest.mark.parametrize("silent_s", [0.0, 0.4])
@pytest.mark.parametrize("how", LEAVES)
def test_an_upstream_that_leaves_as_connections_to_the_store_go_silent_gets_no_late_work(
    how: str, silent_s: float
) -> None:
    """Guards against serving by registrations that nobody knows to be old, and against a false outage.

    The open connections of all gateways go silent for good some time before the leave; new ones work.
    """

    async def scene() -> None:
        platform = await _async_scene(2)
        assert platform.links is not None
        leaving = platform.samplers[0]
        load = [
            asyncio.ensure_future(_async_load(platform, number, _WATCHED_S)) for number in (0, 1)
        ]
        await _async_new_polls(platform)
        platform.links.silence()
        await asyncio.sleep(silent_s)
        LEAVES[how](platform, leaving)
        codes = [code for each in load for code in await each]
        print(platform.drains.summary(DRAIN_S))
        assert platform.drains.last_after <= DRAIN_S
        assert set(codes) == {200}

    play(scene())

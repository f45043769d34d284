"""A request that crashes each upstream that runs it, sent again and again to several gateways."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from .conftest import async_until, job, play
from .crash_scene import Scene, async_scene

# Runs that may still come once what crashed the third upstream is known at every gateway.
MAY_FOLLOW = 3
# A third of the time within which the platform wants it known.
KNOWN_AFTER_S = 1.0
# What is owed may be at no upstream for at most this long while all is calm.
OWED_WITHIN_S = 5.0


async def async_after_third(scene: Scene, again: Coroutine[Any, Any, Any]) -> int:
    """Return how many runs come later than the third crash is to be known, while `again` goes on."""
    going = asyncio.ensure_future(again)
    await async_until(lambda: len(scene.crashed) >= 3)
    await asyncio.sleep(KNOWN_AFTER_S)
    before = len(scene.runs())
    await going
    return len(scene.runs()) - before


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("GET", "/files/crash-me", None),
        ("POST", "/files/x", b"crash-me"),
        ("POST", "/once/crash-me", b""),
        ("POST", "/stream/crash-me", b""),
    ],
)
def test_a_request_that_crashed_three_upstreams_runs_no_more(
    method: str, path: str, body: Any
) -> None:
    """The same request comes for seconds at both gateways, and each time takes upstreams along."""

    async def scene() -> None:
        made = await async_scene()

        async def async_again() -> None:
            for _ in range(30):
                await made.async_send(path, body, method)
                await asyncio.sleep(0.15)

        assert await async_after_third(made, async_again()) <= MAY_FOLLOW

    play(scene())


async def async_run_on(scene: Scene, body: dict[str, Any]) -> None:
    """Submit a job of one item; expect its result soon after four upstreams crashed and all is calm."""
    await scene.platform.async_call("POST", "/jobs/j1", body=body, Attempt_Id="j1")
    await async_until(lambda: len(scene.crashed) >= 4)
    scene.mend()
    async with asyncio.timeout(OWED_WITHIN_S):
        (row,) = await scene.platform.async_results("j1", 1)
    assert (row["id"], row["state"]) == ("item0", "completed")
    assert not any(gateway.quarantine.suspected_requests() for gateway in scene.platform.gateways)


def test_an_item_under_which_engines_crashed_is_placed_again() -> None:
    """Guards against an owed item that is held as if it had crashed the engines that ran it."""

    async def scene() -> None:
        body = job(1)
        body["items"][0]["path"] = "/jobs/x/crash-me"
        await async_run_on(await async_scene(), body)

    play(scene())


def test_a_scoring_request_under_which_upstreams_crashed_is_placed_again() -> None:
    """Guards against an owed item whose text is whole and whose score is held."""

    async def scene() -> None:
        body = job(1)
        body["items"][0]["scorer"]["path"] = "/files/crash-me"
        await async_run_on(await async_scene(), body)

    play(scene())

"""A request that crashes each upstream that runs it, sent again and again to several gateways."""

import asyncio
from collections.abc import Coroutine, Iterator
from itertools import cycle
from typing import Any

import attrs
import pytest

from stand_ins.platform_sampler import PlatformSampler, Run

from .conftest import MODEL, Platform, async_platform, async_until, job, play

POISON = b"crash-me"
# Runs that may still come once what crashed the third upstream is known at every gateway.
MAY_FOLLOW = 3
# A third of the time within which the platform wants it known.
KNOWN_AFTER_S = 1.0
BACK_AFTER_S = 0.5
GONE_AFTER_S = 1.5


@attrs.define
class Scene:
    """Two gateways, and upstreams that are back under another id some time after each crash."""

    platform: Platform
    crashed: list[PlatformSampler] = attrs.field(factory=list)
    _ids: Iterator[int] = attrs.field(factory=lambda: iter(range(1_000_000)))
    _gateways: Iterator[int] = attrs.field(factory=lambda: cycle((0, 1)))

    def add(self, service: str, model: str, count: int, **fields: Any) -> None:
        """Add upstreams that the poison crashes."""
        for _ in range(count):
            self.platform.add_sampler(
                service, model, crash_on=POISON, crashed=self._on_crash, **fields
            )

    def _on_crash(self, sampler: PlatformSampler) -> None:
        self.crashed.append(sampler)
        loop = asyncio.get_running_loop()
        loop.call_later(GONE_AFTER_S, self.platform.store.put, "keyed.servers", sampler.id, None)
        loop.call_later(BACK_AFTER_S, lambda: self.add(sampler.service, sampler.model, 1))

    async def async_send(self, path: str, body: bytes = b"", method: str = "POST") -> Any:
        """Send a request to the gateways in turn, as a caller's attempt of its own."""
        return await self.platform.async_call(
            method, path, next(self._gateways), body, Attempt_Id=f"a{next(self._ids)}"
        )

    def runs(self) -> list[Run]:
        """Return every run of the poison."""
        return [
            run
            for sampler in self.platform.samplers
            for run in sampler.runs
            if POISON in run.path.encode() + b" " + run.body
        ]


async def async_scene() -> Scene:
    """Return two gateways before eight plain upstreams and eight engines."""
    scene = Scene(await async_platform(2))
    for sampler in scene.platform.samplers:
        scene.platform.store.put("keyed.servers", sampler.id, None)
    scene.platform.samplers.clear()
    scene.add("files", "", 8)
    scene.add("engines", MODEL, 8)
    for gateway in scene.platform.gateways:
        for service in ("files", "engines"):
            await async_until(lambda g=gateway, s=service: len(g.table.usable(s)) == 8)
    return scene


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


def test_an_item_that_crashed_three_engines_runs_no_more() -> None:
    """A job's item is run again by its gateway, at one engine after the other."""

    async def scene() -> None:
        made = await async_scene()
        body = job(2)
        body["items"][0]["path"] = "/jobs/x/crash-me"
        await made.platform.async_call("POST", "/jobs/j1", body=body, Attempt_Id="j1")
        assert await async_after_third(made, asyncio.sleep(4)) <= MAY_FOLLOW
        (row,) = await made.platform.async_results("j1", 1)
        assert row["id"] == "item1"

    play(scene())


def test_a_scoring_request_that_crashed_three_upstreams_runs_no_more() -> None:
    """The text is whole, and its score crashes whoever is asked for it."""

    async def scene() -> None:
        made = await async_scene()
        body = job(2)
        body["items"][0]["scorer"]["path"] = "/files/crash-me"
        await made.platform.async_call("POST", "/jobs/j1", body=body, Attempt_Id="j1")
        assert await async_after_third(made, asyncio.sleep(4)) <= MAY_FOLLOW
        (row,) = await made.platform.async_results("j1", 1)
        assert row["id"] == "item1"

    play(scene())

"""Gateways before upstreams that a request crashes, and that are back under another id some time later."""

import asyncio
from collections.abc import Iterator
from itertools import cycle
from typing import Any

import attrs

from stand_ins.platform_sampler import PlatformSampler, Run
from stand_ins.store_links import StoreLinks

from .conftest import MODEL, Platform, async_platform, async_until

__all__ = ["POISON", "Scene", "async_scene"]

POISON = b"crash-me"
_BACK_AFTER_S = 0.5
_GONE_AFTER_S = 1.5


@attrs.define
class Scene:
    """Two gateways, and upstreams that are back under another id some time after each crash."""

    platform: Platform
    crashed: list[PlatformSampler] = attrs.field(factory=list)
    mended: bool = False
    _ids: Iterator[int] = attrs.field(factory=lambda: iter(range(1_000_000)))
    _gateways: Iterator[int] = attrs.field(factory=lambda: cycle((0, 1)))

    def add(self, service: str, model: str, count: int, **fields: Any) -> None:
        """Add upstreams that the poison crashes."""
        for _ in range(count):
            self.platform.add_sampler(
                service,
                model,
                crash_on=b"" if self.mended else POISON,
                crashed=self._on_crash,
                **fields,
            )

    def mend(self) -> None:
        """Let no upstream crash any more, those that are on their way back included."""
        self.mended = True
        for sampler in self.platform.samplers:
            sampler.crash_on = b""

    def _on_crash(self, sampler: PlatformSampler) -> None:
        self.crashed.append(sampler)
        loop = asyncio.get_running_loop()
        loop.call_later(_GONE_AFTER_S, self.platform.store.put, "keyed.servers", sampler.id, None)
        loop.call_later(_BACK_AFTER_S, lambda: self.add(sampler.service, sampler.model, 1))

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


async def async_scene(links: StoreLinks | None = None) -> Scene:
    """Return two gateways before eight plain upstreams and eight engines."""
    scene = Scene(await async_platform(2, links))
    for sampler in scene.platform.samplers:
        scene.platform.store.put("keyed.servers", sampler.id, None)
    scene.platform.samplers.clear()
    scene.add("files", "", 8)
    scene.add("engines", MODEL, 8)
    for gateway in scene.platform.gateways:
        for service in ("files", "engines"):
            await async_until(lambda g=gateway, s=service: len(g.upstreams.usable(s)) == 8)
    return scene

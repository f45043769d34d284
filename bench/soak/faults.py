"""Faults drawn from a seed, each of which ends by itself."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from stand_ins.process import Process

from .model import Book, SoakPlan
from .world import World

__all__ = ["async_faults"]

_AFTER_STOP_S = 6.0
_QUIET_END_S = 6.0


class _Faults:
    """Bring one fault about at a time, or beside another that still lasts."""

    def __init__(self, world: World, rng: Random) -> None:
        self._world = world
        self._rng = rng
        self.kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self._async_kill,
            "freeze": self._async_freeze,
            "stop": self._async_stop,
            "store_down": self._async_store_down,
            "store_lost": self._async_store_lost,
            "store_slow": self._async_store_slow,
            "sampler_cut": self._async_cut,
            "sampler_silent": self._async_silent,
            "sampler_fails": self._async_fails,
            "sampler_full": self._async_full,
            "sampler_wrong": self._async_wrong,
            "sampler_leaves": self._async_leave,
            "config": self._async_config,
        }

    def _gateway(self) -> Process | None:
        running = [gateway for gateway in self._world.gateways if gateway.running]
        return self._rng.choice(running) if len(running) > 1 else None

    async def _async_kill(self) -> None:
        gateway = self._gateway()
        if gateway is not None:
            gateway.kill()
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
            gateway.start()

    async def _async_freeze(self) -> None:
        gateway = self._gateway()
        if gateway is not None:
            gateway.freeze()
            await asyncio.sleep(self._rng.uniform(0.5, 4.0))
            gateway.thaw()

    async def _async_stop(self) -> None:
        gateway = self._gateway()
        if gateway is not None:
            gateway.terminate()
            await asyncio.to_thread(gateway.wait, _AFTER_STOP_S)
            gateway.start()

    async def _async_store_down(self) -> None:
        self._world.store.down = True
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        self._world.store.down = False

    async def _async_store_lost(self) -> None:
        self._world.store.lose += self._rng.randint(1, 6)

    async def _async_store_slow(self) -> None:
        self._world.store.append_s = self._rng.uniform(0.1, 0.6)
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        self._world.store.append_s = 0.0

    async def _async_cut(self) -> None:
        sampler = self._rng.choice(self._world.samplers)
        sampler.cut_after = self._rng.randint(1, 5)
        await asyncio.sleep(2)
        sampler.cut_after = 0

    async def _async_silent(self) -> None:
        self._rng.choice(self._world.samplers).silent += self._rng.randint(1, 5)

    async def _async_fails(self) -> None:
        self._rng.choice(self._world.samplers).fail += 1

    async def _async_full(self) -> None:
        self._rng.choice(self._world.samplers).shed += self._rng.randint(1, 30)

    async def _async_wrong(self) -> None:
        self._rng.choice(self._world.samplers).spoil_id += self._rng.randint(1, 4)

    async def _async_leave(self) -> None:
        self._world.replace_sampler(self._rng.choice(self._world.samplers))

    async def _async_config(self) -> None:
        self._world.configure()


async def async_faults(world: World, plan: SoakPlan, rng: Random, book: Book) -> None:
    """Draw faults until shortly before the end; return when the last one is over."""
    made = _Faults(world, rng)
    loop = asyncio.get_running_loop()
    until = loop.time() + plan.seconds - _QUIET_END_S
    tasks = []
    while (pause := rng.expovariate(1 / plan.fault_every_s)) + loop.time() < until:
        await asyncio.sleep(pause)
        name = rng.choice(sorted(made.kinds))
        book.counts[f"fault_{name}"] += 1
        tasks.append(asyncio.ensure_future(made.kinds[name]()))
    await asyncio.gather(*tasks)

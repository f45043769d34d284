"""Measure how long after its leave was acknowledged the last request reaches an upstream, by disruption.

Gateways are processes of their own under load; in each round upstreams leave while one disruption begins.
"""

import argparse
import asyncio
import json
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import attrs
from tornado.httpclient import AsyncHTTPClient

from bench.soak.callers import Callers
from bench.soak.judge import DRAIN_BOUND_S
from bench.soak.model import ENGINES, PLAIN, Book, SoakPlan
from bench.soak.world import World
from stand_ins.drains import Leave
from stand_ins.platform_sampler import PlatformSampler

__all__ = ["main"]

_CALM_S = 2.0
_WATCHED_S = 4.5
# How long before and after the acknowledgement a disruption may begin.
_BEFORE_S, _AFTER_S = 2.6, 1.0
_CALLERS = 10
_SLOW_S = 0.8


@attrs.define
class _Round:
    """The rounds of one disruption: upstreams that left, and requests that came too late."""

    leaves: list[Leave] = attrs.field(factory=list)

    def row(self) -> dict[str, float]:
        """Return the figures of these rounds."""
        last = max((leave.last_after for leave in self.leaves), default=0.0)
        late = sum(leave.last_after > DRAIN_BOUND_S for leave in self.leaves)
        return {
            "leaves": len(self.leaves),
            "leaves_late": late,
            "last_ms": round(1000 * last),
            "margin_ms": round(1000 * (DRAIN_BOUND_S - last)),
        }


class _Disruptions:
    """Disruptions of one round each, by name."""

    def __init__(self, world: World, rng: Random) -> None:
        self._world = world
        self._rng = rng
        self.kinds: dict[str, Callable[[PlatformSampler], Awaitable[None]]] = {
            "none": self._async_none,
            "store_silent": self._async_store_silent,
            "store_lost_reads": self._async_lost_reads,
            "peer_frozen": self._async_freeze,
            "store_cut_peer_frozen": self._async_cut_and_freeze,
            "upstream_slow": self._async_slow,
            "upstream_silent": self._async_silent,
        }

    async def _async_none(self, _leaving: PlatformSampler) -> None:
        return

    async def _async_store_silent(self, _leaving: PlatformSampler) -> None:
        self._world.links.silence()

    async def _async_lost_reads(self, _leaving: PlatformSampler) -> None:
        self._world.links.silence(self._rng.randrange(len(self._world.gateways)))

    async def _async_freeze(self, _leaving: PlatformSampler) -> None:
        gateway = self._world.gateways[0]
        gateway.freeze()
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        gateway.thaw()

    async def _async_cut_and_freeze(self, leaving: PlatformSampler) -> None:
        self._world.links.refuse(1, refused=True)
        await asyncio.sleep(0.5)
        await self._async_freeze(leaving)
        self._world.links.refuse(1, refused=False)

    async def _async_slow(self, leaving: PlatformSampler) -> None:
        leaving.delay_s = _SLOW_S
        await asyncio.sleep(_WATCHED_S)

    async def _async_silent(self, leaving: PlatformSampler) -> None:
        leaving.silent += 4


async def _async_round(world: World, kinds: _Disruptions, kind: str, rng: Random) -> list[Leave]:
    """Let an upstream of each service leave beside a disruption; return their leaves."""
    leaving = {
        service: next(each for each in world.samplers if each.service == service)
        for service in (PLAIN, ENGINES)
    }
    offset = rng.uniform(-_BEFORE_S, _AFTER_S)
    began = time.monotonic()
    disruption = asyncio.ensure_future(_async_after(max(0.0, offset), kinds.kinds[kind], leaving))
    await asyncio.sleep(max(0.0, -offset))
    for sampler in leaving.values():
        (world.replace_sampler if rng.random() < 0.5 else world.unlist_sampler)(sampler)
    await asyncio.sleep(_WATCHED_S)
    await disruption
    drains = world.judge.drains
    return [leave for leave in drains.leaves if leave.at >= began]


async def _async_after(
    seconds: float,
    disrupt: Callable[[PlatformSampler], Awaitable[None]],
    leaving: dict[str, PlatformSampler],
) -> None:
    await asyncio.sleep(seconds)
    await disrupt(leaving[PLAIN])


async def _async_play(args: argparse.Namespace, folder: Path) -> dict[str, _Round]:
    AsyncHTTPClient.configure(None, max_clients=200)
    plan, book, rng = SoakPlan(seed=args.seed, gateways=args.gateways), Book(), Random(args.seed)
    world = World(plan, folder, book)
    callers, kinds = Callers(world, plan, book), _Disruptions(world, rng)
    rounds: dict[str, _Round] = {}
    try:
        await world.async_start()
        load = [asyncio.ensure_future(world.async_beat())]
        load += [asyncio.ensure_future(callers.async_plain(n)) for n in range(_CALLERS)]
        load.append(asyncio.ensure_future(callers.async_train()))
        for _ in range(args.rounds):
            for kind in args.kinds or kinds.kinds:
                await asyncio.sleep(_CALM_S)
                found = await _async_round(world, kinds, kind, rng)
                rounds.setdefault(kind, _Round()).leaves.extend(found)
                print(kind, _Round(found).row(), flush=True)
        for task in load:
            task.cancel()
    finally:
        world.stop()
    return rounds


def main(argv: list[str]) -> int:
    """Print a line of JSON for each disruption; the exit code is 1 if a request came too late."""
    parser = argparse.ArgumentParser(prog="script/bench drain", description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--kinds", type=lambda text: text.split(","), help="names, with commas")
    parser.add_argument("--logs", type=Path, help="an empty folder that keeps the gateways' logs")
    args = parser.parse_args(argv)
    with tempfile.TemporaryDirectory() as folder:
        rounds = asyncio.run(_async_play(args, args.logs or Path(folder)))
    rows = {kind: played.row() for kind, played in rounds.items()}
    for kind, row in rows.items():
        print(json.dumps({"bench": "drain", "seed": args.seed, "kind": kind, **row}))
    return 1 if any(row["leaves_late"] for row in rows.values()) else 0

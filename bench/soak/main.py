"""Play a soak and print what came of it."""

import argparse
import asyncio
import json
import tempfile
from pathlib import Path
from random import Random

from tornado.httpclient import AsyncHTTPClient

from .callers import Callers
from .faults import async_faults
from .model import Book, SoakPlan
from .world import World

__all__ = ["async_soak", "main"]

_TOLD = 5


async def async_soak(plan: SoakPlan, folder: Path) -> Book:
    """Play a soak; its logs lie in the folder afterwards."""
    AsyncHTTPClient.configure(None, max_clients=200)
    book, world = Book(), World(plan, folder)
    callers = Callers(world, plan, Random(plan.seed), book)
    try:
        await world.async_start()
        beat = asyncio.ensure_future(world.async_beat())
        load = [asyncio.ensure_future(callers.async_plain()) for _ in range(plan.callers)]
        load.append(asyncio.ensure_future(callers.async_train()))
        faults = asyncio.ensure_future(async_faults(world, plan, Random(plan.seed + 1), book))
        await asyncio.sleep(plan.seconds)
        callers.stopping = True
        await asyncio.gather(faults, *load)
        await callers.async_read_all_again()
        callers.check_runs()
        beat.cancel()
    finally:
        world.stop()
    return book


def main(argv: list[str]) -> int:
    """Run a soak; the exit code is 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="script/bench soak", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--logs", type=Path, help="an empty folder that keeps the gateways' logs")
    args = parser.parse_args(argv)
    plan = SoakPlan(args.seconds, args.seed, args.gateways)
    with tempfile.TemporaryDirectory() as folder:
        book = asyncio.run(async_soak(plan, args.logs or Path(folder)))
    line = {
        "bench": "soak",
        "seconds": plan.seconds,
        "seed": plan.seed,
        **dict(sorted(book.counts.items())),
        "broken": book.broken[:_TOLD],
    }
    print(json.dumps(line))
    return 1 if book.broken else 0

"""What the engines and the keepers of shared slots hold at most, and at the end."""

import asyncio
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError

from stand_ins.platform_sampler import PlatformSampler

from .model import ENGINES, Book, SoakPlan
from .world import World

__all__ = ["async_check_slots", "check_held", "held_or_waiting"]

_FREE_WITHIN_S = 2.0
_LOOK_S = 0.1


async def async_check_slots(world: World, plan: SoakPlan, book: Book) -> None:
    """Check the engines, and that no gateway's keeper counts a text once all are done."""
    if not plan.shares_slots:
        return
    for sampler in (*world.samplers, *world.left):
        if sampler.service == ENGINES:
            check_held(sampler, book)
    loop = asyncio.get_running_loop()
    until = loop.time() + _FREE_WITHIN_S
    for number, port in enumerate(world.ready):
        kept = await _async_kept(port)
        while kept != {} and loop.time() < until:
            await asyncio.sleep(_LOOK_S)
            kept = await _async_kept(port)
        if kept is None:
            book.break_promise("slots_unreadable", f"front-{number}")
        elif kept:
            book.break_promise("slots_not_free", f"front-{number}: {kept}")


def check_held(sampler: PlatformSampler, book: Book) -> None:
    """Check that an engine held no more texts than its slots and its queue."""
    book.counts["engine_full"] += sampler.full
    book.counts["engine_most_held"] = max(book.counts["engine_most_held"], sampler.most_held)
    if sampler.most_held > sampler.slots + (sampler.queue or 0):
        detail = f"{sampler.id}@{sampler.born}: {sampler.most_held}"
        book.break_promise("engine_overfull", detail)


def held_or_waiting(described: dict[str, Any]) -> dict[str, Any]:
    """Return what a keeper tells of texts that hold or wait for a slot."""
    return {
        f"{service}/{trainer}": row
        for service, told in described.items()
        for trainer, row in told["trainers"].items()
        if row["held"] or row["waiting"]
    }


async def _async_kept(port: int) -> dict[str, Any] | None:
    """Return what a gateway's keeper counts, None if it does not answer."""
    try:
        answer = await AsyncHTTPClient().fetch(f"http://127.0.0.1:{port}/slots")
    except (OSError, HTTPError):
        return None
    return held_or_waiting(msgspec.json.decode(answer.body))

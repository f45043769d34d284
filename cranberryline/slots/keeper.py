"""Keeper of slots: answers the exchanges of gateways for the shards that they ask it about."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from functools import partial

import attrs

from cranberryline.decisions.engine_speeds import EngineSpeeds
from cranberryline.helpers.clock import Clock

from .checks import find_problem, is_rate
from .const import FORGET_AFTER, MAX_NAME_LENGTH, MAX_ROWS, MAX_WAIT, SERVED_FOR
from .messages import SlotAnswer, SlotExchange
from .model import EngineSlots
from .shard_slots import ShardSlots
from .shards import EngineShards
from .shares import SlotShares

__all__ = ["SlotKeeper"]


@attrs.frozen(eq=False)
class _Parked:
    """An exchange whose answer is delayed until there is news, or only to the end of the turn."""

    fut: asyncio.Future[None]
    until_news: bool


class _Shard:
    """A shard with the exchanges that wait for an answer."""

    def __init__(self, slots: ShardSlots, clock: Clock) -> None:
        self.slots = slots
        self._clock = clock
        self._parked: dict[str, _Parked] = {}
        self._scheduled = False

    async def async_park(self, node: str, wait: timedelta) -> None:
        """Return when there is news for a gateway, a newer exchange of it, or after `wait`."""
        parked = _Parked(asyncio.get_running_loop().create_future(), wait > timedelta())
        self._release(node)
        self._parked[node] = parked
        self._schedule()
        try:
            async with asyncio.timeout(wait.total_seconds() if parked.until_news else None):
                await parked.fut
        except TimeoutError:
            return
        finally:
            if self._parked.get(node) is parked:
                del self._parked[node]

    def _schedule(self) -> None:
        """Allocate once for all exchanges that arrive in this turn of the loop."""
        if self._scheduled:
            return
        self._scheduled = True
        asyncio.get_running_loop().call_soon(self._allocate)

    def _allocate(self) -> None:
        self._scheduled = False
        try:
            self.slots.place(self._parked, self._clock.elapsed())
        except Exception as exc:
            self._fail(exc)
            return
        for node, parked in list(self._parked.items()):
            if not parked.until_news or self.slots.has_news(node):
                self._release(node)

    def _fail(self, exc: Exception) -> None:
        """Raise a fault in all exchanges that wait, so that gateways ask another keeper."""
        for parked in self._parked.values():
            if not parked.fut.done():
                parked.fut.set_exception(exc)
        self._parked.clear()

    def _release(self, node: str) -> None:
        """Let the parked exchange of a gateway be answered."""
        parked = self._parked.pop(node, None)
        if parked is not None and not parked.fut.done():
            parked.fut.set_result(None)


class SlotKeeper:
    """Grants the slots of engines to the texts of all gateways that ask this one.

    `engines` returns the engines of a service that accept texts now, `weights` the size of a
    trainer's share, `caps` the most slots of trainers at once, and the other two the same of
    workspaces. All state is what gateways told within the last `FORGET_AFTER`.
    """

    def __init__(
        self,
        clock: Clock,
        engines: Callable[[str], Sequence[EngineSlots]],
        weights: Callable[[str], float] = lambda trainer: 1.0,
        caps: Callable[[], Mapping[str, int]] = dict,
        workspace_weights: Callable[[str], float] = lambda workspace: 1.0,
        workspace_caps: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        self._clock = clock
        self._engines = EngineShards(engines)
        self._shares = SlotShares(weights, caps, workspace_weights, workspace_caps)
        self._speeds: dict[str, EngineSpeeds] = {}
        self._shards: dict[tuple[str, int, int], _Shard] = {}
        self._served: dict[str, timedelta] = {}
        self._swept = clock.elapsed()

    async def async_exchange(self, msg: SlotExchange) -> SlotAnswer:
        """Take an exchange in; return the grants when there are any, or after its wait."""
        problem = find_problem(msg) or self._find_mismatch(msg)
        if problem:
            return SlotAnswer(msg.number, problem)
        now = self._clock.elapsed()
        self._sweep(now)
        shard = self._shard(msg)
        problem = shard.slots.accept(msg, now)
        if problem:
            return SlotAnswer(msg.number, problem)
        self._served[msg.service] = now
        if shard.slots.is_newest(msg):
            await shard.async_park(msg.node, _wait(msg))
        return shard.slots.answer(msg)

    def served(self) -> frozenset[str]:
        """Return the services of which an exchange was accepted within the last `SERVED_FOR`."""
        oldest = self._clock.elapsed() - SERVED_FOR
        return frozenset(service for service, at in self._served.items() if at >= oldest)

    def describe(self) -> dict[str, object]:
        """Return by service what the texts of trainers hold and wait for, and what engines run."""
        now = self._clock.elapsed()
        self._sweep(now, at_once=True)
        services: dict[str, object] = {}
        for service in sorted({service for service, _, _ in self._shards}):
            shards = [each.slots for key, each in self._shards.items() if key[0] == service]
            services[service] = _describe(shards, now)
        return services

    def restore_speeds(self, service: str, rates: Mapping[str, float]) -> None:
        """Take over speeds of engines, in events per second, that were kept from before."""
        usable = {
            engine: rate
            for engine, rate in list(rates.items())[:MAX_ROWS]
            if len(engine) <= MAX_NAME_LENGTH and is_rate(rate)
        }
        self._service_speeds(service).restore(usable, self._clock.elapsed())

    def known_speeds(self, service: str) -> Mapping[str, float]:
        """Return the known speeds of a service's engines in events per second."""
        speeds = self._speeds.get(service)
        return {} if speeds is None else speeds.known(self._clock.elapsed())

    def _find_mismatch(self, msg: SlotExchange) -> str:
        """Return how the gateway's view of the engines differs from this one's."""
        if not self._engines.has_engines(msg.service):
            return "no engine of the service is known here"
        shards = self._engines.count(msg.service)
        if msg.shards != shards:
            return f"the service has {shards} shards here"
        return ""

    def _shard(self, msg: SlotExchange) -> _Shard:
        key = (msg.service, msg.shard, msg.shards)
        if key not in self._shards:
            slots = ShardSlots(
                partial(self._engines.engines, msg.service, msg.shard),
                self._service_speeds(msg.service),
                self._shares,
            )
            self._shards[key] = _Shard(slots, self._clock)
        return self._shards[key]

    def _service_speeds(self, service: str) -> EngineSpeeds:
        return self._speeds.setdefault(service, EngineSpeeds())

    def _sweep(self, now: timedelta, at_once: bool = False) -> None:
        """Forget the shards that no gateway asks about any more."""
        if now - self._swept < FORGET_AFTER and not at_once:
            return
        self._swept = now
        for key, shard in list(self._shards.items()):
            shard.slots.expire(now)
            if shard.slots.is_idle:
                del self._shards[key]


def _wait(msg: SlotExchange) -> timedelta:
    """Return for how long the answer may be delayed."""
    if not msg.waiting:
        return timedelta()
    return min(timedelta(milliseconds=min(msg.wait_ms, 1000)), MAX_WAIT)


def _describe(shards: Sequence[ShardSlots], now: timedelta) -> dict[str, object]:
    """Return the trainers and engines of a service over its shards."""
    trainers: dict[str, dict[str, int]] = {}
    engines: dict[str, dict[str, float]] = {}
    for shard in shards:
        engines |= shard.describe_engines(now)
        for trainer, row in shard.describe_trainers(now).items():
            known = trainers.setdefault(trainer, dict.fromkeys(row, 0))
            known["waiting"] += row["waiting"]
            known["held"] += row["held"]
            known["longest_wait_ms"] = max(known["longest_wait_ms"], row["longest_wait_ms"])
    return {"trainers": trainers, "engines": engines}

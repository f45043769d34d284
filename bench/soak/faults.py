"""Faults drawn from a seed, each of which ends by itself."""

import asyncio
import itertools
import signal
from collections.abc import Awaitable, Callable
from random import Random

import attrs

from stand_ins.platform_sampler import PlatformSampler

from .entries import bad_entry
from .judge import BOUND_S
from .model import Book, SoakPlan
from .world import World

__all__ = ["Drawn", "async_faults", "draw", "draw_further", "draw_links"]

_AFTER_STOP_S = 6.0
_QUIET_END_S = 6.0
_WAIT_FOR_END_S = 5.0
# Of two stops, one beside the other, the second forces the first within this.
_BETWEEN_SIGNALS_S = 0.8
_LOOK_S = 0.05
_FURTHER_PAUSES = 4.0
_AFTER_OUTAGE = 0.5
_UNLISTED = 0.5


class _Faults:
    """Bring one fault about at a time, or beside another that still lasts."""

    def __init__(self, world: World, book: Book) -> None:
        self._world = world
        self._book = book
        self._foreign = itertools.count()
        self.gateway_kinds: dict[str, Callable[[int, Random], Awaitable[None]]] = {
            "freeze": self._async_freeze,
            "kill": self._async_kill,
            "reload": self._async_reload,
            "signals": self._async_signals,
            "stop": self._async_stop,
        }
        # These have draws of their own, so that seeds draw the others as they always have.
        self.further_kinds: dict[str, Callable[[Random], Awaitable[None]]] = {
            "sampler_late": self._async_late,
            "sampler_unlisted": self._async_unlist,
        }
        self.link_kinds: dict[str, Callable[[Random], Awaitable[None]]] = {
            "leaves_unheard": self._async_leave_unheard,
            "sampler_endless": self._async_endless,
            "store_silent": self._async_store_silent,
        }
        self.kinds: dict[str, Callable[[Random], Awaitable[None]]] = {
            "at_end": self._async_at_end,
            "store_down": self._async_store_down,
            "store_lost": self._async_store_lost,
            "store_slow": self._async_store_slow,
            "bad_entry": self._async_bad_entry,
            "sampler_again": self._async_again,
            "sampler_cut": self._async_cut,
            "sampler_silent": self._async_silent,
            "sampler_slow": self._async_slow,
            "sampler_fails": self._async_fails,
            "sampler_full": self._async_full,
            "sampler_wrong": self._async_wrong,
            "sampler_leaves": self._async_leave,
            "config": self._async_config,
        }

    async def async_play(self, kind: str, rng: Random) -> None:
        """Bring a fault about and end it."""
        if kind in self.gateway_kinds:
            await self._async_at_gateway(kind, rng)
            return
        await (self.kinds | self.further_kinds | self.link_kinds)[kind](rng)

    async def _async_at_gateway(self, kind: str, rng: Random) -> None:
        number = rng.randrange(len(self._world.gateways))
        running = [gateway for gateway in self._world.gateways if gateway.running]
        if len(running) > 1 and self._world.gateways[number] in running:
            await self.gateway_kinds[kind](number, rng)

    async def _async_at_end(self, rng: Random) -> None:
        await self._world.async_next_end(_WAIT_FOR_END_S)
        await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.05))))
        kinds = rng.sample(sorted(self.gateway_kinds), 2)
        await asyncio.gather(
            *(self._async_at_gateway(kind, Random(rng.random())) for kind in kinds)
        )

    async def _async_kill(self, number: int, rng: Random) -> None:
        with self._world.stopping(number):
            self._world.gateways[number].kill()
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            self._world.start_gateway(number)

    async def _async_freeze(self, number: int, rng: Random) -> None:
        self._world.judge.frozen(number)
        self._world.gateways[number].freeze()
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        self._world.gateways[number].thaw()
        self._world.judge.calm(number)

    async def _async_reload(self, number: int, _rng: Random) -> None:
        self._world.gateways[number].signal(signal.SIGHUP)

    async def _async_stop(self, number: int, _rng: Random) -> None:
        await self._async_signal(number, [(signal.SIGTERM, 0.0)])

    async def _async_signals(self, number: int, rng: Random) -> None:
        signums = (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
        pauses = [rng.uniform(0.0, _BETWEEN_SIGNALS_S) for _ in signums]
        await self._async_signal(number, list(zip(signums, pauses, strict=True)))

    async def _async_signal(self, number: int, series: list[tuple[signal.Signals, float]]) -> None:
        """Send signals to one process and await its end; another fault may have started the next."""
        gateway = self._world.gateways[number]
        pid = gateway.pid
        with self._world.stopping(number):
            for signum, pause in series:
                if gateway.pid == pid:
                    gateway.signal(signum)
                await asyncio.sleep(pause)
            until = asyncio.get_running_loop().time() + _AFTER_STOP_S
            while gateway.running and gateway.pid == pid:
                if asyncio.get_running_loop().time() > until:
                    self._not_stopped(number)
                await asyncio.sleep(_LOOK_S)
            self._world.start_gateway(number)

    def _not_stopped(self, number: int) -> None:
        if not self._world.judge.stood_still(number, _AFTER_STOP_S):
            self._book.break_promise("not_stopped", f"front-{number}")
        self._world.gateways[number].kill()

    async def _async_store_down(self, rng: Random) -> None:
        self._world.judge.store(down=True)
        self._world.store.down = True
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        self._world.store.down = False
        self._world.judge.store(down=False)

    async def _async_store_lost(self, rng: Random) -> None:
        self._world.store.lose += rng.randint(1, 6)

    async def _async_store_slow(self, rng: Random) -> None:
        self._world.store.append_s = rng.uniform(0.1, 0.6)
        await asyncio.sleep(rng.uniform(1.0, 4.0))
        self._world.store.append_s = 0.0

    async def _async_bad_entry(self, rng: Random) -> None:
        sampler = self._sampler(rng)
        for _ in range(rng.randint(1, 4)):
            key = rng.choice((sampler.id, f"x-{next(self._foreign)}"))
            beat = sampler.beat() if key == sampler.id else self._world.trap.beat()
            self._world.store.append("keyed.servers", 0, [bad_entry(rng, key, beat)])
            await asyncio.sleep(rng.uniform(0.0, 0.5))

    async def _async_again(self, rng: Random) -> None:
        sampler, elsewhere = self._sampler(rng), rng.random() < 0.5
        killed, away_s = rng.random() < 0.5, rng.uniform(0.0, 1.5)
        unregistered_s = rng.choice((0.0, rng.uniform(0.0, 0.5)))
        if sampler in self._world.dead:
            return
        if killed:
            await self._world.async_kill_sampler(sampler)
            await asyncio.sleep(away_s)
        await self._world.async_start_again(sampler, elsewhere, unregistered_s)

    async def _async_cut(self, rng: Random) -> None:
        sampler = self._sampler(rng)
        sampler.cut_after = rng.randint(1, 5)
        await asyncio.sleep(2)
        sampler.cut_after = 0

    async def _async_silent(self, rng: Random) -> None:
        self._sampler(rng).silent += rng.randint(1, 5)

    async def _async_slow(self, rng: Random) -> None:
        sampler = self._sampler(rng)
        sampler.delay_s = rng.uniform(0.2, 1.5)
        await asyncio.sleep(rng.uniform(1.0, 4.0))
        sampler.delay_s = 0.0

    async def _async_fails(self, rng: Random) -> None:
        self._sampler(rng).fail += 1

    async def _async_full(self, rng: Random) -> None:
        self._sampler(rng).shed += rng.randint(1, 30)

    async def _async_wrong(self, rng: Random) -> None:
        self._sampler(rng).spoil_id += rng.randint(1, 4)

    async def _async_leave(self, rng: Random) -> None:
        self._world.replace_sampler(self._sampler(rng))

    async def _async_late(self, rng: Random) -> None:
        sampler = self._sampler(rng)
        sampler.shed += rng.randint(0, 10)
        sampler.late += rng.randint(1, 20)

    async def _async_unlist(self, rng: Random) -> None:
        """Let a sampler leave without a notice, perhaps after an outage of the store."""
        if rng.random() < _AFTER_OUTAGE:
            await self._async_store_down(rng)
            await asyncio.sleep(BOUND_S + rng.uniform(0.05, 1.0))
        await self._async_unlist_now(rng)

    async def _async_unlist_now(self, rng: Random) -> None:
        sampler = self._sampler(rng)
        if sampler not in self._world.dead:
            self._world.unlist_sampler(sampler)

    async def _async_store_silent(self, rng: Random) -> None:
        """Let the open connections of one gateway to the store, or of all, go silent for good."""
        numbers = range(len(self._world.gateways))
        self._world.links.silence(rng.choice((None, *numbers)))

    async def _async_leave_unheard(self, rng: Random) -> None:
        """Let samplers leave about when open connections to the store go silent."""
        await self._async_store_silent(rng)
        await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 2.5))))
        await (self._async_unlist_now if rng.random() < _UNLISTED else self._async_leave)(rng)

    async def _async_endless(self, rng: Random) -> None:
        self._sampler(rng).endless += rng.randint(1, 6)

    async def _async_config(self, _rng: Random) -> None:
        self._world.configure()

    def _sampler(self, rng: Random) -> PlatformSampler:
        return rng.choice(self._world.samplers)


@attrs.frozen
class Drawn:
    """A fault, when it begins after the one before, and the luck of its own."""

    pause_s: float
    kind: str
    luck: float


def draw(plan: SoakPlan) -> list[Drawn]:
    """Return the faults of a soak; the same for the same plan, however fast the machine is."""
    faults = _Faults(None, Book())  # type: ignore[arg-type]
    return _draw(plan, "faults", sorted((*faults.kinds, *faults.gateway_kinds)))


def draw_further(plan: SoakPlan) -> list[Drawn]:
    """Return the faults that come beside those of `draw`, seldomer."""
    faults = _Faults(None, Book())  # type: ignore[arg-type]
    return _draw(plan, "further faults", sorted(faults.further_kinds), _FURTHER_PAUSES)


def draw_links(plan: SoakPlan) -> list[Drawn]:
    """Return the faults of links that come beside the others."""
    faults = _Faults(None, Book())  # type: ignore[arg-type]
    return _draw(plan, "link faults", sorted(faults.link_kinds), _FURTHER_PAUSES)


def _draw(plan: SoakPlan, luck: str, kinds: list[str], pauses: float = 1.0) -> list[Drawn]:
    rng, drawn, at = plan.luck(luck), [], 0.0
    every_s = pauses * plan.fault_every_s
    while (at := at + (pause := rng.expovariate(1 / every_s))) < plan.seconds - _QUIET_END_S:
        drawn.append(Drawn(pause, rng.choice(kinds), rng.random()))
    return drawn


async def async_faults(world: World, plan: SoakPlan, book: Book) -> None:
    """Bring the drawn faults about; return when the last one is over."""
    made = _Faults(world, book)

    async def async_bring(faults: list[Drawn]) -> None:
        tasks = []
        for fault in faults:
            await asyncio.sleep(fault.pause_s)
            book.counts[f"fault_{fault.kind}"] += 1
            tasks.append(asyncio.ensure_future(made.async_play(fault.kind, Random(fault.luck))))
        await asyncio.gather(*tasks)

    drawn = (draw(plan), draw_further(plan), draw_links(plan))
    await asyncio.gather(*map(async_bring, drawn))

"""The slots of one shard of a service's engines, as its keeper knows and grants them."""

from collections import Counter
from collections.abc import Callable, Container, Iterable, Mapping, Sequence
from datetime import timedelta
from typing import TypeVar

import attrs

from cranberryline.decisions.engine_speeds import EngineSpeeds
from cranberryline.decisions.slot_allocation import DemandOrder, ShareOrder, SlotAllocator
from cranberryline.decisions.slot_model import (
    EngineState,
    Placement,
    RunEnd,
    RunningText,
    TextDemand,
)
from cranberryline.decisions.text_moves import MoveBudget, MovePolicy
from cranberryline.helpers.clock import in_milliseconds

from .const import MAX_GATEWAYS, MOVE_INTERVAL
from .gateway_tickets import GatewayTickets
from .messages import SlotAnswer, SlotExchange
from .model import EngineSlots
from .outages import EngineOutages
from .shares import SlotShares

__all__ = ["ShardSlots"]

T = TypeVar("T", TextDemand, RunningText)

# The versions of a model whose texts any engine may run, while an engine is out of choice for it.
ANY_VERSION = -1
MAX_TRAINERS_TOLD = 100


class ShardSlots:
    """Grants the slots of a shard's engines to the texts of all gateways.

    `engines` returns the engines that accept texts now, by id. It keeps no clock: `now` is a
    reading of the keeper's clock and never goes back.
    """

    def __init__(
        self,
        engines: Callable[[], Mapping[str, EngineSlots]],
        speeds: EngineSpeeds,
        shares: SlotShares,
        order: DemandOrder | None = None,
        policy: MovePolicy | None = None,
    ) -> None:
        self._engines = engines
        self._speeds = speeds
        self._shares = shares
        self._base = SlotAllocator(order or ShareOrder())
        self._policy = policy or MovePolicy()
        self._budget = MoveBudget()
        self._outages = EngineOutages()
        self._gateways: dict[str, GatewayTickets] = {}
        self._moves_chosen = timedelta()
        self._waits: tuple[tuple[str, int, int], ...] = ()
        self._capped: list[tuple[str, int]] = []

    @property
    def is_idle(self) -> bool:
        """Return whether no gateway holds or waits for anything."""
        return not self._gateways

    def accept(self, msg: SlotExchange, now: timedelta) -> str:
        """Take a checked exchange in; return why it counts for nothing, empty if it does.

        One that comes late counts for nothing and is no problem.
        """
        self.expire(now)
        gateway = self._gateways.get(msg.node)
        if gateway is None and len(self._gateways) >= MAX_GATEWAYS:
            return "too many gateways"
        if gateway is not None and msg.start in gateway.replaced:
            return "the gateway's process has been replaced"
        if gateway is None:
            gateway = GatewayTickets(msg)
        elif gateway.start != msg.start:
            gateway = GatewayTickets(msg, (*gateway.replaced, gateway.start))
        self._gateways[msg.node] = gateway
        if gateway.accept(msg, now, self._shares.weight):
            self._record_reports(msg, now)
        return ""

    def is_newest(self, msg: SlotExchange) -> bool:
        """Return whether an exchange is the last one that was taken in of its gateway."""
        gateway = self._gateways.get(msg.node)
        return gateway is not None and gateway.is_newest(msg)

    def expire(self, now: timedelta) -> None:
        """Forget the gateways that were silent for too long, with all their tickets."""
        for node in [node for node, each in self._gateways.items() if each.is_forgotten(now)]:
            del self._gateways[node]

    def place(self, listening: Container[str], now: timedelta) -> None:
        """Grant free slots to texts of the gateways that are `listening` for an answer."""
        self.expire(now)
        engines = self._engines()
        self._outages.forget_except(frozenset(engines))
        states = self._states(engines, now)
        allocator = self._allocator()
        placed = self._place(allocator, states, listening, now)
        for text in placed:
            node, ticket = text.key
            self._gateways[node].grant(ticket, text.engine, now)
            self._budget.earn()
        self._move(_less(states, placed), now)
        self._waits = self._count_waits()
        capped = allocator.capped(self._demands(), list(self._running()))
        self._capped = [text.key for text in capped]

    def has_news(self, node: str) -> bool:
        """Return whether a gateway should be answered at once."""
        gateway = self._gateways.get(node)
        return gateway is None or gateway.has_news()

    def answer(self, msg: SlotExchange) -> SlotAnswer:
        """Return what stands for the gateway's tickets now."""
        gateway = self._gateways.get(msg.node)
        if gateway is None or gateway.start != msg.start:
            return SlotAnswer(msg.number, waits=self._waits)
        grants, moves = gateway.tell()
        capped = tuple(ticket for node, ticket in self._capped if node == msg.node)
        return SlotAnswer(msg.number, "", grants, moves, self._waits, capped)

    def describe_trainers(self, now: timedelta) -> dict[str, dict[str, int]]:
        """Return by trainer how many texts wait and run, and the longest wait in milliseconds."""
        rows: dict[str, dict[str, int]] = {}
        for text in self._running():
            _row(rows, text.trainer)["held"] += 1
        for text in self._demands():
            row = _row(rows, text.trainer)
            row["waiting"] += 1
            waited = in_milliseconds(now - text.arrived)
            row["longest_wait_ms"] = max(row["longest_wait_ms"], waited)
        return rows

    def describe_engines(self, now: timedelta) -> dict[str, dict[str, float]]:
        """Return by engine its slots, how many are held, and its speed in events per second."""
        held = self._occupied()
        return {
            name: {
                "slots": engine.slots,
                "held": held[name],
                "speed": self._speeds.events_per_second(name, now),
            }
            for name, engine in self._engines().items()
        }

    def _record_reports(self, msg: SlotExchange, now: timedelta) -> None:
        """Record what an exchange says of engines that are listed."""
        engines = self._engines()
        for engine, rate in msg.rates:
            if engine in engines and rate > 0:
                self._speeds.record(engine, rate, now)
                self._outages.record_running(engine)
        for row in msg.rejected:
            if row.upstream not in engines:
                continue
            if row.end == RunEnd.REJECTED:
                self._outages.record_rejected(row.upstream, row.model, now)
            if row.end == RunEnd.FAILED:
                self._outages.record_failed(row.upstream, now)

    def _states(self, engines: Mapping[str, EngineSlots], now: timedelta) -> list[EngineState]:
        """Return the engines with their free slots and the models that they may be given."""
        occupied = self._occupied()
        rejected = self._outages.rejected(now)
        models = {model for _, model in rejected}
        return [
            EngineState(
                id=name,
                slots=engine.slots,
                free=self._free(engine, occupied[name], now),
                versions=_versions(engine, models, rejected),
                events_per_second=self._speeds.events_per_second(name, now),
                data_center=engine.data_center,
            )
            for name, engine in engines.items()
        ]

    def _free(self, engine: EngineSlots, occupied: int, now: timedelta) -> int:
        if self._outages.is_out(engine.id, now):
            return 0
        return max(0, engine.slots - occupied)

    def _allocator(self) -> SlotAllocator:
        """Return the allocator with the caps in force now."""
        return attrs.evolve(
            self._base, caps=self._shares.caps(), workspace_caps=self._shares.workspace_caps()
        )

    def _place(
        self,
        allocator: SlotAllocator,
        states: Sequence[EngineState],
        listening: Container[str],
        now: timedelta,
    ) -> list[Placement]:
        """Return placements on free slots."""
        gateways = [gateway for node, gateway in self._gateways.items() if node in listening]
        demands = [text for gateway in gateways for text in gateway.demands()]
        if not demands or not any(state.free for state in states):
            return []
        models = self._rejected_models(now)
        demands = [_with_version(text, models) for text in demands]
        running = [_with_version(text, models) for text in self._running()]
        idle = {gateway.node: gateway.idle() for gateway in gateways}
        return allocator.place(demands, running, states, now, idle)

    def _move(self, states: Sequence[EngineState], now: timedelta) -> None:
        """Reserve slots that no waiting text could use for texts that run faster there."""
        if now - self._moves_chosen < MOVE_INTERVAL:
            return
        self._moves_chosen = now
        models = self._rejected_models(now)
        movable = [
            _with_version(text, models)
            for gateway in self._gateways.values()
            for text in gateway.movable()
        ]
        if not movable:
            return
        waiting = {_needs(_with_version(text, models)) for text in self._demands()}
        states = [_without_wanted(state, waiting) for state in states]
        for move in self._policy.choose(movable, states, self._budget, now):
            node, ticket = move.key
            self._gateways[node].reserve(ticket, move.engine, now)

    def _rejected_models(self, now: timedelta) -> set[str]:
        return {model for _, model in self._outages.rejected(now)}

    def _running(self) -> Iterable[RunningText]:
        return (text for gateway in self._gateways.values() for text in gateway.running())

    def _demands(self) -> Iterable[TextDemand]:
        return (text for gateway in self._gateways.values() for text in gateway.demands())

    def _occupied(self) -> Counter[str]:
        return Counter(
            engine for gateway in self._gateways.values() for engine in gateway.occupied()
        )

    def _count_waits(self) -> tuple[tuple[str, int, int], ...]:
        """Return by trainer how many texts wait and run, the trainers with most texts first."""
        waiting = Counter(text.trainer for text in self._demands())
        held = Counter(text.trainer for text in self._running())
        trainers = (waiting + held).most_common(MAX_TRAINERS_TOLD)
        return tuple((trainer, waiting[trainer], held[trainer]) for trainer, _ in trainers)


def _row(rows: dict[str, dict[str, int]], trainer: str) -> dict[str, int]:
    return rows.setdefault(trainer, {"waiting": 0, "held": 0, "longest_wait_ms": 0})


def _versions(
    engine: EngineSlots, models: set[str], rejected: set[tuple[str, str]]
) -> Mapping[str, int]:
    """Return what an engine serves by model, without the models that it rejected texts of."""
    if not models:
        return engine.versions
    versions = dict.fromkeys(models, ANY_VERSION) | dict(engine.versions)
    return {
        model: number for model, number in versions.items() if (engine.id, model) not in rejected
    }


def _with_version(text: T, models: set[str]) -> T:
    """Return a text that any engine may run so that engines which reject its model are left out."""
    if text.min_version is not None or text.model not in models:
        return text
    return attrs.evolve(text, min_version=ANY_VERSION)


def _less(states: Sequence[EngineState], placed: Sequence[Placement]) -> list[EngineState]:
    """Return the engines without the slots that were just granted."""
    taken = Counter(text.engine for text in placed)
    return [
        attrs.evolve(state, free=state.free - taken[state.id]) if taken[state.id] else state
        for state in states
    ]


def _needs(text: TextDemand) -> tuple[str, int | None]:
    return text.model, text.min_version


def _without_wanted(state: EngineState, waiting: set[tuple[str, int | None]]) -> EngineState:
    """Return an engine without free slots if a waiting text could use them."""
    if state.free and any(state.serves(model, version) for model, version in waiting):
        return attrs.evolve(state, free=0)
    return state

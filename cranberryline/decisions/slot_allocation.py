"""Decide which waiting texts get the free slots of engines that several gateways share.

Answers trainers whose steps arrive as groups of texts at once and ask for more slots than there
are.
"""

import abc
import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from datetime import timedelta

import attrs

from .slot_model import EngineState, Placement, RunningText, TextDemand
from .slot_supply import IdleConnections, SlotSupply

__all__ = ["ArrivalOrder", "DemandOrder", "ShareOrder", "SlackOrder", "SlotAllocator"]

# Smaller weights count as this one.
MIN_WEIGHT = 0.001


class DemandOrder(abc.ABC):
    """The order in which waiting texts get slots."""

    @abc.abstractmethod
    def sort(
        self,
        demands: Sequence[TextDemand],
        running: Sequence[RunningText],
        now: timedelta,
        supply: SlotSupply | None = None,
    ) -> Iterable[TextDemand]:
        """Return the demands, the next one first.

        `supply` tells the speeds, and which demands there is room for when the next one is asked
        for; without it all speeds are unknown and there is room for all.
        """


class ArrivalOrder(DemandOrder):
    """First come, first served."""

    def sort(
        self,
        demands: Sequence[TextDemand],
        running: Sequence[RunningText],
        now: timedelta,
        supply: SlotSupply | None = None,
    ) -> list[TextDemand]:
        """Return the demands by their arrival."""
        return sorted(demands, key=lambda demand: demand.arrived)


class SlackOrder(DemandOrder):
    """Lower ranks first, then the texts with the least time to spare."""

    def sort(
        self,
        demands: Sequence[TextDemand],
        running: Sequence[RunningText],
        now: timedelta,
        supply: SlotSupply | None = None,
    ) -> list[TextDemand]:
        """Return the demands by rank and slack, the longest first of those with equal slack."""
        urgency = _urgency(supply)
        return sorted(demands, key=lambda demand: (demand.rank, urgency(demand)))


class ShareOrder(DemandOrder):
    """Lower ranks first, then weighted max-min shares of trainers, then the least time to spare.

    The next slot goes to the trainer that uses the fewest by its weight, so that slots that one
    trainer does not ask for go to the others at once.
    """

    def sort(
        self,
        demands: Sequence[TextDemand],
        running: Sequence[RunningText],
        now: timedelta,
        supply: SlotSupply | None = None,
    ) -> Iterator[TextDemand]:
        """Yield demands that there is room for; each counts to its trainer's share."""
        used = Counter(text.trainer for text in running)
        ranks: dict[int, dict[str, list[TextDemand]]] = {}
        for demand in demands:
            ranks.setdefault(demand.rank, {}).setdefault(demand.trainer, []).append(demand)
        for _, trainers in sorted(ranks.items()):
            yield from _by_share(trainers, used, supply)


def _by_share(
    trainers: Mapping[str, list[TextDemand]], used: Counter[str], supply: SlotSupply | None
) -> Iterator[TextDemand]:
    urgency = _urgency(supply)
    for waiting in trainers.values():
        waiting.sort(key=urgency, reverse=True)
    turns = [_turn(name, waiting[-1], used, urgency) for name, waiting in trainers.items()]
    heapq.heapify(turns)
    while turns:
        *_, name = heapq.heappop(turns)
        waiting = trainers[name]
        demand = waiting.pop()
        if supply is None or supply.has_room(demand):
            yield demand
            used[name] += 1
        if waiting:
            heapq.heappush(turns, _turn(name, waiting[-1], used, urgency))


def _turn(
    name: str,
    demand: TextDemand,
    used: Mapping[str, int],
    urgency: Callable[[TextDemand], tuple[float, float]],
) -> tuple[float, tuple[float, float], str]:
    return used[name] / max(demand.weight, MIN_WEIGHT), urgency(demand), name


def _urgency(supply: SlotSupply | None) -> Callable[[TextDemand], tuple[float, float]]:
    """Return the sort key by slack in seconds, at the fastest engine, then by length."""

    def key(demand: TextDemand) -> tuple[float, float]:
        speed = supply.fastest(demand) if supply else 0.0
        needed = demand.events_left / speed if speed else 0.0
        return demand.due.total_seconds() - needed, -demand.events_left

    return key


@attrs.frozen
class SlotAllocator:
    """Places waiting texts on free slots.

    `caps` is the most slots of a trainer at once, `workspace_caps` that of a workspace; who is not
    named has no limit.
    """

    order: DemandOrder = attrs.field(factory=ShareOrder)
    caps: Mapping[str, int] = attrs.field(factory=dict)
    workspace_caps: Mapping[str, int] = attrs.field(factory=dict)

    def place(
        self,
        demands: Sequence[TextDemand],
        running: Sequence[RunningText],
        engines: Sequence[EngineState],
        now: timedelta,
        idle: IdleConnections | None = None,
    ) -> list[Placement]:
        """Return placements of as many demands as free slots can serve.

        `engines` are all that accept texts, also those without a free slot. `idle` counts the idle
        connections by gateway and engine; each serves one placement. For a gateway that it does not
        name, those that a demand tells are not counted.
        """
        supply = SlotSupply(engines, running, self.caps, idle, self.workspace_caps)
        if supply.empty:
            return []
        placements = []
        wanted = [demand for demand in demands if supply.has_room(demand)]
        for demand in self.order.sort(wanted, running, now, supply):
            if not supply.has_room(demand):
                continue
            placements.append(Placement(demand.key, supply.take(demand)))
            if supply.empty:
                break
        return placements

    def capped(
        self, demands: Iterable[TextDemand], running: Sequence[RunningText]
    ) -> list[TextDemand]:
        """Return the demands that wait because of the cap of their trainer or workspace."""
        if not self.caps and not self.workspace_caps:
            return []
        supply = SlotSupply([], running, self.caps, workspace_caps=self.workspace_caps)
        return [demand for demand in demands if supply.is_capped(demand)]

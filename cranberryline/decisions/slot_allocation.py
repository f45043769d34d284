"""Decide which waiting texts get the free slots of engines that several gateways share."""

import abc
from collections.abc import Sequence
from datetime import timedelta

import attrs

from .slot_model import EngineState, Placement, RunningText, TextDemand

__all__ = ["ArrivalOrder", "DemandOrder", "SlotAllocator"]


class DemandOrder(abc.ABC):
    """The order in which waiting texts get slots."""

    @abc.abstractmethod
    def sort(
        self, demands: Sequence[TextDemand], running: Sequence[RunningText], now: timedelta
    ) -> list[TextDemand]:
        """Return the demands, the next one first."""


class ArrivalOrder(DemandOrder):
    """First come, first served."""

    def sort(
        self, demands: Sequence[TextDemand], running: Sequence[RunningText], now: timedelta
    ) -> list[TextDemand]:
        """Return the demands by their arrival."""
        return sorted(demands, key=lambda demand: demand.arrived)


@attrs.frozen
class SlotAllocator:
    """Places waiting texts on free slots."""

    order: DemandOrder = attrs.field(factory=ArrivalOrder)

    def place(
        self,
        demands: Sequence[TextDemand],
        running: Sequence[RunningText],
        engines: Sequence[EngineState],
        now: timedelta,
    ) -> list[Placement]:
        """Return placements of as many demands as free slots can serve.

        `engines` are all that accept texts, also those without a free slot.
        """
        free = {engine.id: engine.free for engine in engines if engine.free > 0}
        by_id = {engine.id: engine for engine in engines}
        placements = []
        for demand in self.order.sort(demands, running, now):
            eligible = [
                name for name in free if by_id[name].serves(demand.model, demand.min_version)
            ]
            if not eligible:
                continue
            chosen = max(eligible, key=lambda name: (name not in demand.avoid, free[name]))
            placements.append(Placement(demand.key, chosen))
            free[chosen] -= 1
            if not free[chosen]:
                del free[chosen]
        return placements

"""Free slots of shared engines while waiting texts are placed on them.

Answers engines of unequal speeds before groups of texts of unequal lengths.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from statistics import median_low

import attrs

from .slot_model import EngineState, RunningText, TextDemand

__all__ = ["IdleConnections", "SlotSupply"]

# Idle connections by gateway and engine.
IdleConnections = Mapping[str, Mapping[str, int]]

# Engines whose speeds differ by less count as equal.
EQUAL_SPEED_RATIO = 1.15
# A text may be twice as long as estimated, and the longest of its group half as long.
ESTIMATE_MARGIN = 2.0
# Share of the fastest engines' slots that is left to texts which decide when their group ends. A
# text whose length is estimated far too short would end its group late on a slower engine, so the
# others use those engines only while these slots are scarce.
FAST_RESERVE = 0.4


@attrs.define
class _Kind:
    """The engines that may run the texts of a model and a version; slowest first.

    `fast_slots` is the number of slots of the fastest ones, in use and free.
    """

    fastest: float
    fast_slots: int
    engines: list[EngineState]


class SlotSupply:
    """The free slots of engines, and how many slots are used, during one call.

    `caps` is the most slots that a trainer may use, `workspace_caps` those of all texts of a
    workspace; who is not named has no limit. `idle` counts the idle connections by gateway and
    engine; a slot that is taken uses up one.
    """

    def __init__(
        self,
        engines: Sequence[EngineState],
        running: Sequence[RunningText],
        caps: Mapping[str, int],
        idle: IdleConnections | None = None,
        workspace_caps: Mapping[str, int] | None = None,
    ) -> None:
        self._engines = engines
        self._free = {engine.id: engine.free for engine in engines if engine.free > 0}
        self._speeds = _speeds(engines)
        self._kinds: dict[tuple[str, int | None], _Kind] = {}
        self._caps = caps
        self._used = Counter(text.trainer for text in running)
        self._idle = idle or {}
        self._connections_used: Counter[tuple[str, str]] = Counter()
        self._workspace_caps = workspace_caps or {}
        self._used_by_workspace = Counter(text.workspace for text in running)

    @property
    def empty(self) -> bool:
        """Return whether no engine has a free slot."""
        return not self._free

    def fastest(self, demand: TextDemand) -> float:
        """Return the events per second of the fastest engine for a text, 0 if unknown."""
        return self._kind(demand).fastest

    def has_room(self, demand: TextDemand) -> bool:
        """Return whether a text may get a slot."""
        return not self.is_capped(demand) and bool(self._kind(demand).engines)

    def is_capped(self, demand: TextDemand) -> bool:
        """Return whether the trainer or the workspace of a text uses as many slots as it may."""
        cap = self._caps.get(demand.trainer)
        if cap is not None and self._used[demand.trainer] >= cap:
            return True
        cap = self._workspace_caps.get(demand.workspace)
        return cap is not None and self._used_by_workspace[demand.workspace] >= cap

    def take(self, demand: TextDemand) -> str:
        """Take a free slot for a text that there is room for, and return its engine."""
        kind = self._kind(demand)
        chosen = self._choose(demand, kind)
        self._used[demand.trainer] += 1
        self._connections_used[demand.gateway, chosen] += 1
        self._used_by_workspace[demand.workspace] += 1
        self._free[chosen] -= 1
        if not self._free[chosen]:
            self._remove(chosen)
        return chosen

    def _remove(self, name: str) -> None:
        del self._free[name]
        for kind in self._kinds.values():
            kind.engines = [engine for engine in kind.engines if engine.id != name]

    def _kind(self, demand: TextDemand) -> _Kind:
        key = (demand.model, demand.min_version)
        kind = self._kinds.get(key)
        if kind is None:
            serving = [engine for engine in self._engines if engine.serves(*key)]
            fastest = max((self._speeds[engine.id] for engine in serving), default=0.0)
            free = [engine for engine in serving if engine.id in self._free]
            free.sort(key=lambda engine: self._speeds[engine.id])
            fast_slots = sum(engine.slots for engine in serving if self._is_fast(engine, fastest))
            kind = self._kinds[key] = _Kind(fastest, fast_slots, free)
        return kind

    def _is_fast(self, engine: EngineState, fastest: float) -> bool:
        return self._speeds[engine.id] * EQUAL_SPEED_RATIO >= fastest

    def _has_fast_slots_to_spare(self, kind: _Kind) -> bool:
        free = sum(
            self._free[engine.id] for engine in kind.engines if self._is_fast(engine, kind.fastest)
        )
        return free > FAST_RESERVE * kind.fast_slots

    def _choose(self, demand: TextDemand, kind: _Kind) -> str:
        names = [engine.id for engine in kind.engines]
        if demand.avoid:
            names = [name for name in names if name not in demand.avoid] or names
        if self._has_fast_slots_to_spare(kind):
            speed = self._speeds[names[-1]]
        else:
            speed = self._slowest_in_time(demand, names, kind.fastest)
        low, high = speed / EQUAL_SPEED_RATIO, speed * EQUAL_SPEED_RATIO
        equal = [name for name in names if low <= self._speeds[name] <= high]
        return max(equal, key=lambda name: (self._is_connected(demand, name), self._free[name]))

    def _is_connected(self, demand: TextDemand, name: str) -> bool:
        """Return whether an idle connection of the gateway that asks is left for a text."""
        idle = self._idle.get(demand.gateway)
        if idle is None:
            return name in demand.connected
        return idle.get(name, 0) > self._connections_used[demand.gateway, name]

    def _slowest_in_time(
        self, demand: TextDemand, names: Sequence[str], fastest_usable: float
    ) -> float:
        """Return the least speed at which a text ends well before its group, else the highest."""
        highest = self._speeds[names[-1]]
        if demand.events_left >= demand.group_events_left:
            return highest
        least = demand.events_left * ESTIMATE_MARGIN * fastest_usable / demand.group_events_left
        return next((self._speeds[name] for name in names if self._speeds[name] >= least), highest)


def _speeds(engines: Sequence[EngineState]) -> dict[str, float]:
    """Return the speeds by engine; an unknown one counts as the typical one."""
    known = [engine.events_per_second for engine in engines if engine.events_per_second > 0]
    typical = median_low(known) if known else 0.0
    return {engine.id: engine.events_per_second or typical for engine in engines}

"""Decide which engines of a service load which version of which model, and which wait for the next.

Load answered: several trainers share a service's engines, and each names a version every few
seconds, just when it asks for its next step. Loading every version everywhere takes every engine
away for a second at the start of every step, and what is loaded and thrown away unused is paid
for: with three models on five engines two thirds of all loads.

Each version is loaded on an equal part of the engines for each model, rounded up: `part`. A trainer
that allows samples of `lag` versions before the named one leaves a choice of which. Its model is
served by twice as many engines, or by all: one half loads a version, and the other, with the one
before, serves the step meanwhile; at the next version they change parts. So an engine loads every
second version only, and half as many orders and loads are paid for as with all engines in step. Engines
too old to serve anything always load, the oldest first. A trainer that allows no lag needs all its
engines moved, and its model then gets one part of them. Engines with the fewest models so far are taken first, among those the
model's own order by rendezvous hash, so a lost engine moves few models.

Few loads run at full speed beside each other, so several models wait for their turn. A model that no engine
can serve goes first, then one that no engine could serve if its next version were named now: a trainer
that is behind names two within a second, and its step then waited for whole loads of others. Among equals
the one that fewest engines can serve, then the one most versions behind, then the one whose version was
named first. Taken in the order of their names, the last of three models got no load for six seconds while
the first got three versions, and its trainer's step ran into its time limit.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta

import attrs

from . import rendezvous

__all__ = ["ModelNeed", "engines_to_load", "loads_at_once", "next_load", "part_of", "place_models"]

LOADING_SHARE = 0.4
MIN_LOADS = 2


@attrs.frozen
class ModelNeed:
    """A model's wanted version, and what its engines serve or load.

    `lag` is how many versions before the wanted one its trainer allows, `named_at` when the wanted one was
    named.
    """

    model: str
    wanted: int
    lag: int
    named_at: timedelta
    versions: Mapping[str, int]

    @property
    def serving(self) -> int:
        """Count the engines that serve, or are about to serve, what the trainer allows."""
        return sum(version >= self.wanted - self.lag for version in self.versions.values())

    @property
    def ready_for_next(self) -> bool:
        """Tell whether some engine will serve a step also once the next version is named."""
        return any(version >= self.wanted for version in self.versions.values())

    @property
    def behind(self) -> int:
        """Return how many versions the model's newest engine is behind."""
        return self.wanted - max(self.versions.values(), default=0)

    @property
    def urgency(self) -> tuple[bool, bool, int, int, timedelta, str]:
        """Return what sorts the most urgent need first."""
        unserved = self.serving == 0
        return (
            not unserved,
            self.ready_for_next,
            self.serving,
            -self.behind,
            self.named_at,
            self.model,
        )


def loads_at_once(engines: int) -> int:
    """Return how many engines may load beside each other.

    Four of ten: with less, a version of several models is late on most engines of a large service; with
    more, the others do not carry the steps meanwhile.
    """
    return max(MIN_LOADS, int(engines * LOADING_SHARE))


def part_of(models: int, engines: int) -> int:
    """Return on how many engines each version of a model is loaded."""
    return -(-engines // max(models, 1))


def place_models(lags: Mapping[str, int], engines: Collection[str]) -> dict[str, list[str]]:
    """Return for each model the engines that are to serve it; `lags` are in versions."""
    if not lags or not engines:
        return {name: [] for name in lags}
    part = part_of(len(lags), len(engines))
    taken: Counter[str] = Counter()
    placed: dict[str, list[str]] = {}
    for name in sorted(lags):
        order = {engine: at for at, engine in enumerate(rendezvous.rank(name, engines))}
        count = min(len(engines), part if lags[name] == 0 else 2 * part)
        chosen = sorted(engines, key=lambda engine: (taken[engine], order[engine]))[:count]
        taken.update(chosen)
        placed[name] = chosen
    return placed


def engines_to_load(versions: Mapping[str, int], wanted: int, lag: int, part: int) -> list[str]:
    """Return the engines to bring to the wanted version, the oldest first.

    `versions` is what each of the model's engines serves, `part` how many are to serve the newest; half
    of the engines at most where the trainer allows the version before.
    """
    if lag > 0:
        part = min(part, -(-len(versions) // 2))
    oldest_first = sorted(versions, key=lambda engine: (versions[engine], engine))
    behind = [engine for engine in oldest_first if versions[engine] < wanted]
    useless = [engine for engine in behind if versions[engine] < wanted - lag]
    fresh = len(versions) - len(behind)
    return behind[: max(len(useless), part - fresh)]


def next_load(
    needs: Sequence[ModelNeed], part: int, busy: Collection[str]
) -> tuple[ModelNeed, str] | None:
    """Return the model and the engine to load next, None if nothing is due on an engine at rest."""
    for need in sorted(needs, key=lambda need: need.urgency):
        for engine in engines_to_load(need.versions, need.wanted, need.lag, part):
            if engine not in busy:
                return need, engine
    return None

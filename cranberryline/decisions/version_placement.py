"""Decide which engines of a service load which version of which model, and which wait for the next.

Load answered: several trainers share a service's engines, and each names a version every few
seconds, just when it asks for its next step. Loading every version everywhere takes every engine
away for a second at the start of every step, and what is loaded and thrown away unused is paid
for: with three models on five engines two thirds of all loads.

Each version is loaded on an equal part of the engines for each model, rounded up: `part`. A trainer
that allows samples of `lag` versions before the named one leaves a choice of which. Its model is
served by twice as many engines, or by all: one half loads a version, and the other, with the one
before, serves the step meanwhile; at the next version they change parts. So an engine loads every
second version only, and half as many orders and loads are paid for as with all engines in step. Engines too
old to serve anything always load, the oldest first. A trainer that allows no lag needs all its
engines moved, and its model then gets one part of them. Engines with the fewest models so far are taken first, among those the
model's own order by rendezvous hash, so a lost engine moves few models.
"""

from collections import Counter
from collections.abc import Collection, Mapping

from . import rendezvous

__all__ = ["engines_to_load", "part_of", "place_models"]


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

"""Decide which engines of a service load which version of which model, and which wait for the next.

Load answered: several trainers share a service's engines, and each names a version every few
seconds, just when it asks for its next step. Loading every version everywhere takes every engine
away for a second at the start of every step, and what is loaded and thrown away unused is paid
for: with three models on five engines two thirds of all loads.

A trainer that allows samples of `lag` versions before the named one leaves a choice. Half of a
model's engines load a version, and the other half, with the one before, serve the step meanwhile;
at the next version they change parts. So each version is loaded on half of the engines, and
never on those that the step needs at once. Engines too old to serve anything always load. A
trainer that allows no lag needs all engines moved, and each model then gets half as many.

Each model gets an equal part of the engines, rounded up, and twice that where halves take turns:
the same number of loads. Engines with the fewest models so far are taken first, among those the
model's own order by rendezvous hash, so a lost engine moves few models.
"""

from collections import Counter
from collections.abc import Collection, Mapping

from . import rendezvous

__all__ = ["engines_to_load", "place_models"]


def place_models(lags: Mapping[str, int], engines: Collection[str]) -> dict[str, list[str]]:
    """Return for each model the engines that are to serve it; `lags` are in versions."""
    if not lags or not engines:
        return {name: [] for name in lags}
    part = -(-len(engines) // len(lags))
    taken: Counter[str] = Counter()
    placed: dict[str, list[str]] = {}
    for name in sorted(lags):
        order = {engine: at for at, engine in enumerate(rendezvous.rank(name, engines))}
        count = min(len(engines), part if lags[name] == 0 else 2 * part)
        chosen = sorted(engines, key=lambda engine: (taken[engine], order[engine]))[:count]
        taken.update(chosen)
        placed[name] = chosen
    return placed


def engines_to_load(versions: Mapping[str, int], wanted: int, lag: int) -> list[str]:
    """Return the engines to bring to the wanted version, the oldest first."""
    oldest_first = sorted(versions, key=lambda engine: (versions[engine], engine))
    behind = [engine for engine in oldest_first if versions[engine] < wanted]
    useless = [engine for engine in behind if versions[engine] < wanted - lag]
    half = -(-len(versions) // 2)
    fresh = len(versions) - len(behind)
    return behind[: max(len(useless), half - fresh)]

"""Decide which engines of a service hold the newest weights of which model.

Load answered: several trainers share a service's engines and each names a version every few
seconds. Loading every version everywhere takes each engine away for a second for every trainer's
step, and what is loaded and thrown away unused is paid for: with three models on five engines two
thirds of all loads.

Each model gets an equal part of the engines, rounded up, so that one engine's crash leaves a model
its others. Engines with the fewest models so far are taken first, among those the model's own order
by rendezvous hash, so a lost engine moves few models. An engine that comes or goes changes the
parts at once; until the newcomer has loaded, the others of the model go on.
"""

from collections import Counter
from collections.abc import Collection, Iterable

from . import rendezvous

__all__ = ["place_models"]


def place_models(models: Iterable[str], engines: Collection[str]) -> dict[str, list[str]]:
    """Return for each model the engines that are to hold its newest weights."""
    names = sorted(models)
    if not names or not engines:
        return {name: [] for name in names}
    each = -(-len(engines) // len(names))
    taken: Counter[str] = Counter()
    placed: dict[str, list[str]] = {}
    for name in names:
        order = {engine: at for at, engine in enumerate(rendezvous.rank(name, engines))}
        chosen = sorted(engines, key=lambda engine: (taken[engine], order[engine]))[:each]
        taken.update(chosen)
        placed[name] = chosen
    return placed

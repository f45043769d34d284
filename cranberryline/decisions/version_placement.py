"""Decide which engines load which model versions, and in which order.

Several trainers share a service's engines, and each requests a new version every few seconds, just
when it asks for its next step.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta

import attrs

from . import rendezvous

__all__ = [
    "ModelNeed",
    "engines_to_load",
    "max_concurrent_loads",
    "next_load",
    "count_engines_per_version",
    "place_models",
]

# Fraction of a service's engines that may load at once. With less, a version of several models is
# late on most engines of a large service; with more, too few engines are left to run the steps.
MAX_LOADING_FRACTION = 0.4
# Engines that may load at once in a service too small for `MAX_LOADING_FRACTION`.
MIN_CONCURRENT_LOADS = 2


@attrs.frozen
class ModelNeed:
    """A model's wanted version, and the versions that its engines serve or load.

    `allowed_lag` is the number of versions before the wanted one that its trainer allows.
    `requested_at` is when the trainer requested the wanted version. `versions` is by engine.
    """

    model: str
    wanted: int
    allowed_lag: int
    requested_at: timedelta
    versions: Mapping[str, int]

    @property
    def serving_engines(self) -> int:
        """Return the number of engines that serve, or are loading, a version the trainer allows."""
        return sum(version >= self.wanted - self.allowed_lag for version in self.versions.values())

    @property
    def versions_behind(self) -> int:
        """Return how many versions the model's most recent engine is behind."""
        return self.wanted - max(self.versions.values(), default=0)

    @property
    def sort_key(self) -> tuple[int, int, timedelta, str]:
        """Return a sort key that puts the model to load next first.

        Models with the fewest engines that can serve them come first, then those furthest behind,
        then those whose version was requested first. Ordered by name, the last of three models got
        no load for six seconds while the first got three versions, and its trainer's step timed
        out.
        """
        return (self.serving_engines, -self.versions_behind, self.requested_at, self.model)


def max_concurrent_loads(engines: int) -> int:
    """Return how many of a service's engines may load at once."""
    return max(MIN_CONCURRENT_LOADS, int(engines * MAX_LOADING_FRACTION))


def count_engines_per_version(models: int, engines: int) -> int:
    """Return the number of engines that load each version of a model: an equal share, rounded up.

    Loading every version on every engine would stop all engines for a second at the start of each
    step, and with three models on five engines two thirds of the loads would be unused but charged.
    """
    return -(-engines // max(models, 1))


def place_models(lags: Mapping[str, int], engines: Collection[str]) -> dict[str, list[str]]:
    """Return the engines assigned to each model.

    `lags` is the number of versions by which each model's trainer allows samples to be behind. A
    model whose trainer allows any gets twice as many engines as load each version, or all: one half
    loads a version while the other serves the step with the previous one, and at the next version
    they swap. So an engine loads every second version only, and half as many loads are ordered and
    charged. A model whose trainer allows no lag gets one share, since all its engines have to load.

    Engines with the fewest models are assigned first, and among these the first by rendezvous
    hashing for the model, so the loss of an engine reassigns few models.
    """
    if not lags or not engines:
        return {name: [] for name in lags}
    engines_per_version = count_engines_per_version(len(lags), len(engines))
    model_counts: Counter[str] = Counter()
    placed: dict[str, list[str]] = {}
    for name in sorted(lags):
        order = {engine: at for at, engine in enumerate(rendezvous.rank(name, engines))}
        count = min(
            len(engines), engines_per_version if lags[name] == 0 else 2 * engines_per_version
        )
        chosen = sorted(engines, key=lambda engine: (model_counts[engine], order[engine]))[:count]
        model_counts.update(chosen)
        placed[name] = chosen
    return placed


def engines_to_load(
    versions: Mapping[str, int], wanted: int, lag: int, engines_per_version: int
) -> list[str]:
    """Return the engines to load the wanted version on, those with the oldest version first.

    `versions` is what each of the model's engines serves, and `engines_per_version` how many are to
    serve the wanted one; at most half of the engines if the trainer allows the previous version.
    Engines whose version is too old for the trainer always load.
    """
    if lag > 0:
        engines_per_version = min(engines_per_version, -(-len(versions) // 2))
    oldest_first = sorted(versions, key=lambda engine: (versions[engine], engine))
    behind = [engine for engine in oldest_first if versions[engine] < wanted]
    too_old = [engine for engine in behind if versions[engine] < wanted - lag]
    up_to_date = len(versions) - len(behind)
    return behind[: max(len(too_old), engines_per_version - up_to_date)]


def next_load(
    needs: Sequence[ModelNeed], engines_per_version: int, busy: Collection[str]
) -> tuple[ModelNeed, str] | None:
    """Return the model and the engine to load next, or None if no idle engine has to load.

    Only a few loads run at full speed in parallel, so models load in the order of
    `ModelNeed.sort_key`.
    """
    for need in sorted(needs, key=lambda need: need.sort_key):
        for engine in engines_to_load(
            need.versions, need.wanted, need.allowed_lag, engines_per_version
        ):
            if engine not in busy:
                return need, engine
    return None

"""Division of a service's engines into shards, each with a keeper of its own."""

from collections.abc import Callable, Mapping, Sequence
from functools import lru_cache

from cranberryline.decisions.rendezvous import hash_text

from .const import ENGINES_PER_SHARD
from .model import EngineSlots

__all__ = ["EngineShards", "shard_count", "shard_of"]


def shard_count(engine_count: int) -> int:
    """Return into how many shards a service with so many engines is divided, at least one."""
    return max(1, -(-engine_count // ENGINES_PER_SHARD))


@lru_cache(maxsize=16384)
def shard_of(key: str, shards: int) -> int:
    """Return the shard of an engine's id or of a text's key, the same on every gateway."""
    if shards == 1:
        return 0
    return hash_text(key) % shards


class EngineShards:
    """The engines of each service by shard."""

    def __init__(self, engines: Callable[[str], Sequence[EngineSlots]]) -> None:
        self._engines = engines
        self._known: dict[str, tuple[Sequence[EngineSlots], list[dict[str, EngineSlots]]]] = {}

    def count(self, service: str) -> int:
        """Return the number of shards of a service."""
        return shard_count(len(self._engines(service)))

    def has_engines(self, service: str) -> bool:
        """Return whether any engine of a service accepts texts."""
        return bool(self._engines(service))

    def engines(self, service: str, shard: int) -> Mapping[str, EngineSlots]:
        """Return the engines of a shard by id; none if there is no such shard."""
        shards = self._divide(service)
        return shards[shard] if shard < len(shards) else {}

    def _divide(self, service: str) -> list[dict[str, EngineSlots]]:
        """Return the engines by shard; a tuple that is passed again is not divided again."""
        engines = self._engines(service)
        if not engines:
            self._known.pop(service, None)
            return []
        known = self._known.get(service)
        if known is not None and known[0] is engines:
            return known[1]
        shards: list[dict[str, EngineSlots]] = [{} for _ in range(shard_count(len(engines)))]
        for engine in engines:
            shards[shard_of(engine.id, len(shards))][engine.id] = engine
        if isinstance(engines, tuple):
            self._known[service] = (engines, shards)
        return shards

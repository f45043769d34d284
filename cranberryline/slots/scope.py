"""The shard of a service's engines that a gateway's exchanges are about."""

from collections.abc import Callable, Mapping

import attrs

from .model import EngineSlots

__all__ = ["SessionScope"]


@attrs.frozen
class SessionScope:
    """The shard that a session is about.

    `engines` returns the engines of the shard by id, `is_current` whether the service is still
    divided into as many shards, and `take_number` the next number of an exchange.
    """

    service: str
    shard: int
    shards: int
    engines: Callable[[], Mapping[str, EngineSlots]]
    is_current: Callable[[], bool]
    take_number: Callable[[], int]

    @property
    def name(self) -> str:
        """Return the name by which all gateways rank the keepers of the shard."""
        return f"slots/{self.service}/{self.shard}"

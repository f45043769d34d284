"""What a gateway provides to the client of slots."""

from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from cranberryline.helpers.clock import Clock

from .keeper import SlotKeeper
from .model import EngineSlots
from .ports import SlotTransport

__all__ = ["SlotClientParts"]


def _count_nothing(event: str) -> None:
    return


@attrs.frozen
class SlotClientParts:
    """Parts of the gateway that the client uses.

    `node` is the id of this gateway's VM and `start` identifies this run of its process. `keeper`
    is used directly where this gateway is the keeper. `peers` returns the peer address of each live
    gateway that is not stopping by VM id, this one included. `is_shared` returns whether the slots
    of a service are shared. `rates` returns the events per second of single texts that this gateway
    measured lately, by upstream, and `connected` the upstreams of a service, each as often as it
    has idle connections. `count` counts an event for the metrics: "granted", "keeper_silent", "moved",
    and for a text that this gateway has to choose an engine for, "unshared_silent",
    "unshared_no_grant" or "unshared_off".
    """

    node: str
    start: str
    clock: Clock
    keeper: SlotKeeper
    transport: SlotTransport
    peers: Callable[[], Mapping[str, str]]
    engines: Callable[[str], Sequence[EngineSlots]]
    is_shared: Callable[[str], bool]
    rates: Callable[[], Mapping[str, float]]
    connected: Callable[[str], Iterable[str]]
    count: Callable[[str], None] = _count_nothing

"""The links between gateways and the store, whose open connections can go silent while new ones work."""

from .process import free_ports
from .relay import RelayControls, RelayStandIn

__all__ = ["StoreLinks"]


class StoreLinks:
    """Relays the store to each gateway at an address of its own."""

    def __init__(self) -> None:
        self._relays: list[RelayStandIn] = []

    async def async_add(self, store: str) -> str:
        """Return the address at which the next gateway reaches the store."""
        (port,) = free_ports(1)
        target = store.rpartition(":")[2]
        relay = RelayStandIn(RelayControls(), f"store:{port}:{target}")
        await relay.async_start()
        self._relays.append(relay)
        return f"127.0.0.1:{port}"

    def silence(self, number: int | None = None) -> None:
        """Let the open connections of one gateway, or of all, carry nothing any more."""
        for relay in self._relays if number is None else [self._relays[number]]:
            relay.controls.silence = ["*"]
            relay.changed()

    def refuse(self, number: int, refused: bool) -> None:
        """Cut a gateway from the store, or no longer: its connections end and new ones end at once."""
        self._relays[number].controls.refused = refused
        self._relays[number].changed()

    def stop(self) -> None:
        """Stop listening."""
        for relay in self._relays:
            relay.stop()

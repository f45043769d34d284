"""Speeds of engines, from the event rates that several gateways measure."""

from collections.abc import Mapping
from datetime import timedelta

__all__ = ["EngineSpeeds"]


class EngineSpeeds:
    """The events per second of a single text on each engine."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def record(self, engine: str, events_per_second: float, now: timedelta) -> None:
        """Record the rate that a gateway measured lately; 0 and less are ignored."""
        if events_per_second > 0:
            self._rates[engine] = events_per_second

    def events_per_second(self, engine: str, now: timedelta) -> float:
        """Return the speed of an engine, or 0 if it is unknown."""
        return self._rates.get(engine, 0.0)

    def known(self, now: timedelta) -> Mapping[str, float]:
        """Return all known speeds by engine."""
        return dict(self._rates)

    def restore(self, rates: Mapping[str, float], now: timedelta) -> None:
        """Take over speeds that were kept from before; a newer measurement replaces them."""
        for engine, rate in rates.items():
            self._rates.setdefault(engine, rate)

"""The route table in force, and what the lanes ask of services."""

from collections.abc import Callable

import attrs

from cranberryline.configs import CallerSpec, ServiceSpec, ServiceType

from .model import RouteTable

__all__ = ["RouteBook"]

_DEFAULT_CONCURRENCY = 8
_QUEUE_SECONDS = 5.0


class RouteBook:
    """Hold the newest route table; an older one never takes its place.

    It answers what `dispatch.ServiceBook` asks of a configuration, so that the lanes work on
    either.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._slots: dict[str, int] = {}
        self._listeners: list[Callable[[RouteTable], None]] = []
        self._specs: dict[str, ServiceSpec] = {}
        self._shares: dict[str, float] = {}

    def listen(self, listener: Callable[[RouteTable], None]) -> None:
        """Call back after each newer table."""
        self._listeners.append(listener)

    def apply(self, table: RouteTable) -> bool:
        """Take a newer table; return False for one that is not.

        A read that was answered late may bring an older version than one already in force; callers
        would then be sent by routes that the operator has withdrawn.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._specs.clear()
        for listener in self._listeners:
            listener(table)
        return True

    def set_slots(self, service: str, slots: int) -> bool:
        """Take how many requests one upstream of a service works on at once; True if that is new."""
        if slots <= 0 or self._slots.get(service) == slots:
            return False
        self._slots[service] = slots
        self._specs.pop(service, None)
        return True

    def knows(self, service: str) -> bool:
        """Tell whether any table named the service or an upstream serves it."""
        return service in self._slots or (self.table is not None and service in self.table.services)

    def spec(self, service: str) -> ServiceSpec:
        """Return a service as the lanes see it."""
        found = self._specs.get(service)
        if found is None:
            found = self._specs[service] = self._make(service)
        return found

    def caller(self, name: str) -> CallerSpec | None:
        """Return nothing: this configuration says nothing of callers."""
        return None

    def shares(self) -> dict[str, float]:
        """Return no shares, for the same reason."""
        return self._shares

    def _make(self, service: str) -> ServiceSpec:
        engine = None if self.table is None else self.table.services.get(service)
        kind = ServiceType.PLAIN if engine is None else ServiceType.ENGINE
        slots = self._slots.get(service) or (0 if engine is None else engine.slots)
        spec = ServiceSpec(type=kind, queue_seconds=_QUEUE_SECONDS)
        return attrs.evolve(spec, concurrency=slots or _DEFAULT_CONCURRENCY)

"""The active route table, and the service settings that follow from it."""

from collections.abc import Callable

import attrs

from cranberryline.configs import CallerSpec, ServiceSpec, ServiceType

from .model import Route, RouteTable

__all__ = ["ActiveRoutes"]

# Applies until the route table or an upstream states how many requests an upstream runs at once.
_DEFAULT_CONCURRENCY = 8
_MAX_QUEUE_SECONDS = 5.0


class ActiveRoutes:
    """Hold the newest route table that has been read.

    It has the methods by which request dispatch reads the service settings of a configuration, so
    that dispatch works with either.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._slots: dict[str, int] = {}
        self._listeners: list[Callable[[RouteTable], None]] = []
        self._specs: dict[str, ServiceSpec] = {}
        self._shares: dict[str, float] = {}

    def listen(self, listener: Callable[[RouteTable], None]) -> None:
        """Register a callback that is called after each newer table."""
        self._listeners.append(listener)

    def apply(self, table: RouteTable) -> bool:
        """Activate a newer table; return False if the table is not newer than the active one.

        A delayed read can return an older version than the active one. Activating it would route
        requests by routes that the operator has removed.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._specs.clear()
        for listener in self._listeners:
            listener(table)
        return True

    def set_slots(self, service: str, slots: int) -> bool:
        """Set how many requests one upstream of a service runs at once; return whether it changed.

        Values of 0 and less are ignored.
        """
        if slots <= 0 or self._slots.get(service) == slots:
            return False
        self._slots[service] = slots
        self._specs.pop(service, None)
        return True

    def has_service(self, service: str) -> bool:
        """Return whether the active table lists the service or `set_slots` was called for it."""
        return service in self._slots or (self.table is not None and service in self.table.services)

    def spec(self, service: str) -> ServiceSpec:
        """Return the settings of a service for request dispatch."""
        found = self._specs.get(service)
        if found is None:
            found = self._specs[service] = self._make_spec(service)
        return found

    def rank(self, route: Route, workspace: str) -> int:
        """Return the rank of a workspace's requests on a route; 0 is the most urgent.

        The workspace's own priority, if it has one, replaces that of the route.
        """
        workspaces = None if self.table is None else self.table.workspaces
        found = None if workspaces is None else workspaces.get(workspace)
        if found is None or found.priority is None:
            return route.priority
        return found.priority

    def caller(self, name: str) -> CallerSpec | None:
        """Return None, because route tables contain no settings of callers."""
        return None

    def shares(self) -> dict[str, float]:
        """Return no caller shares, because route tables contain no settings of callers."""
        return self._shares

    def _make_spec(self, service: str) -> ServiceSpec:
        engine = None if self.table is None else self.table.services.get(service)
        service_type = ServiceType.PLAIN if engine is None else ServiceType.ENGINE
        slots = self._slots.get(service) or (0 if engine is None else engine.slots)
        spec = ServiceSpec(type=service_type, queue_seconds=_MAX_QUEUE_SECONDS)
        return attrs.evolve(spec, concurrency=slots or _DEFAULT_CONCURRENCY)

"""Routes as the operator publishes them: one whole table with a version."""

import enum
from collections.abc import Mapping
from datetime import timedelta
from random import Random

import attrs

__all__ = ["EngineService", "Limits", "Route", "RouteKind", "RouteTable", "ServiceShare"]


class RouteKind(enum.StrEnum):
    """What may be done with a route's requests."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    JOB = "job"


@attrs.frozen
class ServiceShare:
    """A service and its weight among those that share a route."""

    service: str
    weight: int = 1


@attrs.frozen
class Route:
    """Requests of one host under one path prefix, and how they are to be served."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    timeout: timedelta
    goal: timedelta
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    max_wait: timedelta | None = None

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have run may be sent again."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.JOB)

    def choose_service(self, rng: Random) -> str:
        """Draw one of the route's services by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [share.weight for share in self.services]
        return rng.choices(self.services, weights)[0].service


@attrs.frozen
class EngineService:
    """What is known of a service's engines, besides that they are engines."""

    slots: int = 0
    models: tuple[str, ...] = ()


@attrs.frozen
class Limits:
    """What a caller may send, and how long it may take or rest."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@attrs.frozen
class RouteTable:
    """All routes of one version, the services behind them, and the limits."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, EngineService | None] = attrs.field(factory=dict)
    limits: Limits = Limits()

    def names(self, service: str) -> bool:
        """Tell whether the configuration names a service."""
        if service in self.services:
            return True
        return any(share.service == service for route in self.routes for share in route.services)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix that begins the path."""
        found: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if found is None or len(route.prefix) > len(found.prefix):
                found = route
        return found

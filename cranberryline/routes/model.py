"""The versioned route table that the operator publishes."""

import enum
from collections.abc import Mapping
from datetime import timedelta
from random import Random

import attrs

from cranberryline.workspaces import WorkspaceTable

__all__ = ["EngineService", "Limits", "Route", "RouteKind", "RouteTable", "ServiceShare"]


class RouteKind(enum.StrEnum):
    """How the requests of a route are handled."""

    IDEMPOTENT = "idempotent"  # may be repeated and hedged
    ONCE = "once"  # never sent again once it may have run
    STREAM = "stream"  # the response is a stream of events
    JOB = "job"  # accepted now and run in the background; may be repeated


@attrs.frozen
class ServiceShare:
    """A service of a route and its weight in the random choice among them."""

    service: str
    weight: int = 1


@attrs.frozen
class Route:
    """The requests of one host under one path prefix, and how they are handled.

    `goal` is the latency goal, from which the hedge delay follows. `resumable` allows an
    interrupted stream to be continued at another upstream. `single_version` requires that one model
    version generates all of a text. Requests of a `public` route need no key. Items of a job that
    was submitted more than `max_wait` ago expire.
    """

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
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.JOB)

    def choose_service(self, rng: Random) -> str:
        """Choose one of the route's services at random, by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [share.weight for share in self.services]
        return rng.choices(self.services, weights)[0].service


@attrs.frozen
class EngineService:
    """Settings of a service whose upstreams are model engines.

    `slots` is how many requests one engine runs at once, or 0 if unknown.
    """

    slots: int = 0
    models: tuple[str, ...] = ()


@attrs.frozen
class Limits:
    """Limits on what a caller may send, and on how slowly."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@attrs.frozen
class RouteTable:
    """The routes of one version, their services and workspaces, and the limits for callers.

    `services` maps a service to its engine settings, or to None if its upstreams are plain HTTP
    services. `workspaces` is None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, EngineService | None] = attrs.field(factory=dict)
    limits: Limits = Limits()
    workspaces: WorkspaceTable | None = None

    def names_service(self, service: str) -> bool:
        """Return whether the table lists a service or a route uses it."""
        if service in self.services:
            return True
        return any(share.service == service for route in self.routes for share in route.services)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path."""
        found: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if found is None or len(route.prefix) > len(found.prefix):
                found = route
        return found

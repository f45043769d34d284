"""Typed specifications of configuration records."""

import enum
from typing import Any

import attrs

from .const import (
    DEFAULT_CONCURRENCY,
    DEFAULT_FETCHES_PER_SECOND,
    DEFAULT_FRESHNESS,
    DEFAULT_LEAVE_SECONDS,
    DEFAULT_MAX_IN_FLIGHT,
    DEFAULT_QUEUE_SECONDS,
    DEFAULT_SHARE,
    DEFAULT_STALENESS_BOUND,
    DEFAULT_SWAP_FRACTION,
    DEFAULT_TIMEOUT_SECONDS,
)

__all__ = [
    "CallerClass",
    "CallerSpec",
    "Kind",
    "Revision",
    "ServiceSpec",
    "ServiceType",
    "Spec",
    "TrainerSpec",
    "WeightsSpec",
]


class Kind(enum.StrEnum):
    """What a record configures; `checkpoint` is written by the system itself."""

    SERVICE = "service"
    TRAINER = "trainer"
    WEIGHTS = "weights"
    CALLER = "caller"
    CHECKPOINT = "checkpoint"


class ServiceType(enum.StrEnum):
    """What stands behind a service's side processes."""

    ENGINE = "engine"
    PLAIN = "plain"


class CallerClass(enum.StrEnum):
    """Class of a caller's requests, the most urgent first."""

    APPLICATION = "application"
    TRAINER = "trainer"
    BACKGROUND = "background"


@attrs.frozen
class ServiceSpec:
    """A service: its type, its limits, and how its weights are shifted."""

    type: ServiceType
    model: str = ""
    concurrency: int = DEFAULT_CONCURRENCY
    queue_seconds: float = DEFAULT_QUEUE_SECONDS
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    leave_seconds: float = DEFAULT_LEAVE_SECONDS
    fetches_per_second: float = DEFAULT_FETCHES_PER_SECOND
    swap_fraction: float = DEFAULT_SWAP_FRACTION


@attrs.frozen
class TrainerSpec:
    """A trainer; `freshness` trades idle time (0) for fresh samples (1)."""

    service: str
    staleness_bound: int = DEFAULT_STALENESS_BOUND
    freshness: float = DEFAULT_FRESHNESS
    max_in_flight: int = DEFAULT_MAX_IN_FLIGHT


@attrs.frozen
class WeightsSpec:
    """The weight version that a service has to serve; the record's name is the service's."""

    version: int


@attrs.frozen
class CallerSpec:
    """A caller's share of a contended service, and the class of its requests."""

    share: float = DEFAULT_SHARE
    caller_class: CallerClass = CallerClass.APPLICATION


Spec = ServiceSpec | TrainerSpec | WeightsSpec | CallerSpec


@attrs.frozen
class Revision:
    """One accepted record: as it was written, and its specification in today's schema.

    `offset` is the revision number. `spec` is None for a record that was deleted.
    """

    offset: int
    time: str
    id: str
    kind: Kind
    name: str
    schema: int
    amends: int
    raw: dict[str, Any] | None
    spec: Spec | None
    author: str = ""

    def as_dict(self) -> dict[str, Any]:
        """Return the revision as JSON data, with the specification as written."""
        return {
            "kind": self.kind.value,
            "name": self.name,
            "revision": self.offset,
            "schema": self.schema,
            "amends": self.amends,
            "spec": self.raw,
            "id": self.id,
            "time": self.time,
            "author": self.author,
        }

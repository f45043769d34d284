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
    """The kind of object that a record configures; only the service itself writes checkpoints."""

    SERVICE = "service"
    TRAINER = "trainer"
    WEIGHTS = "weights"
    CALLER = "caller"
    CHECKPOINT = "checkpoint"


class ServiceType(enum.StrEnum):
    """The type of upstream behind a service's side processes."""

    ENGINE = "engine"  # a model engine
    PLAIN = "plain"  # a plain HTTP service


class CallerClass(enum.StrEnum):
    """Priority class of a caller's requests, highest priority first."""

    APPLICATION = "application"
    TRAINER = "trainer"
    BACKGROUND = "background"


@attrs.frozen
class ServiceSpec:
    """A service: its type, its limits, and how its replicas are moved to new weights.

    `model` is required for the type engine. `concurrency` is the number of requests that run at
    once on each upstream. `swap_fraction` is the largest fraction of replicas that load new weights
    at once, and `fetches_per_second` the rate at which the store of the weights can be read.
    """

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
    """A trainer: its service and the limits on its samples.

    `freshness` is the balance between little idle time (0) and fresh samples (1).
    """

    service: str
    staleness_bound: int = DEFAULT_STALENESS_BOUND
    freshness: float = DEFAULT_FRESHNESS
    max_in_flight: int = DEFAULT_MAX_IN_FLIGHT


@attrs.frozen
class WeightsSpec:
    """The weight version that a service must serve; the record has the name of the service."""

    version: int


@attrs.frozen
class CallerSpec:
    """A caller's share of an overloaded service, and the priority class of its requests."""

    share: float = DEFAULT_SHARE
    caller_class: CallerClass = CallerClass.APPLICATION


Spec = ServiceSpec | TrainerSpec | WeightsSpec | CallerSpec


@attrs.frozen
class Revision:
    """An accepted record: its spec as written (`raw`) and converted to the current type (`spec`).

    `offset` is the revision number. `raw` and `spec` are None if the record deletes the name.
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
        """Return the revision as JSON data, with the spec as written."""
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

"""What the operator and the trainers write to the store, as the product's types."""

from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from cranberryline.routes import EngineService, Limits, Route, RouteKind, RouteTable, ServiceShare

__all__ = ["read_config", "read_version"]

_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.ONCE,
    "stream": RouteKind.STREAM,
    "rollout": RouteKind.JOB,
}


class _Split(msgspec.Struct):
    service: str
    weight: int = 1


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 30_000
    goal_ms: float = 1000
    priority: int = 0
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1
    can_resume: bool = False
    single_version: bool = False
    max_wait_s: float | None = None


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: int = 0
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Version(msgspec.Struct):
    model: str
    version: int


def read_config(value: bytes) -> Result[RouteTable, str]:
    """Read the whole configuration; the error says what is wrong with it."""
    try:
        raw = msgspec.json.decode(value, type=_Config)
    except msgspec.DecodeError as exc:
        return Err(str(exc))
    routes = tuple(_route_of(route) for route in raw.routes if route.kind in _KINDS)
    services = {service.name: _service_of(service) for service in raw.services}
    limits = Limits(
        raw.limits.header_bytes,
        raw.limits.body_bytes,
        _ms(raw.limits.header_timeout_ms),
        _ms(raw.limits.idle_timeout_ms),
    )
    return Ok(RouteTable(raw.version, routes, services, limits))


def read_version(value: bytes) -> Result[tuple[str, int], str]:
    """Read a model and the version that its trainer named."""
    try:
        raw = msgspec.json.decode(value, type=_Version)
    except msgspec.DecodeError as exc:
        return Err(str(exc))
    return Ok((raw.model, raw.version))


def _route_of(raw: _Route) -> Route:
    shares = [ServiceShare(share.service, share.weight) for share in raw.split]
    return Route(
        name=raw.name,
        host=raw.host,
        prefix=raw.path_prefix,
        kind=_KINDS[raw.kind],
        services=tuple(shares) or (ServiceShare(raw.service),),
        timeout=_ms(raw.timeout_ms),
        goal=_ms(raw.goal_ms),
        priority=raw.priority,
        max_attempts=raw.max_attempts,
        resumable=raw.can_resume,
        single_version=raw.single_version,
        max_wait=None if raw.max_wait_s is None else timedelta(seconds=raw.max_wait_s),
    )


def _service_of(raw: _Service) -> EngineService | None:
    if raw.engine is None:
        return None
    return EngineService(raw.engine.slots, tuple(model.name for model in raw.engine.models))


def _ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)

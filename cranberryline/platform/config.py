"""What the operator and the trainers write to the store, as the product's types."""

from datetime import timedelta
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from cranberryline.helpers.decode import decode_json
from cranberryline.routes import EngineService, Limits, Route, RouteKind, RouteTable, ServiceShare
from cranberryline.workspaces import Workspace, WorkspaceTable, key_digest

__all__ = ["check_config", "read_config", "read_version", "without_keys"]

_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.ONCE,
    "stream": RouteKind.STREAM,
    "rollout": RouteKind.JOB,
}


# Bounds of what a number may be and still be one that somebody meant: three hundred years, and numbers
# that every writer of JSON keeps exactly. Beyond them spans overflow, and a version that nobody can pass
# would stand for good.
_Span = Annotated[float, msgspec.Meta(ge=0, le=1e13)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]


class _Split(msgspec.Struct):
    service: str
    weight: _Count = 1


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Span = 30_000
    goal_ms: _Span = 1000
    priority: int = 0
    service: str = ""
    split: list[_Split] = []
    max_attempts: _Count = 1
    can_resume: bool = False
    single_version: bool = False
    max_wait_s: Annotated[float, msgspec.Meta(ge=0, le=1e10)] | None = None
    public: bool = False


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: _Count = 0
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    header_bytes: _Count = 16 * 1024
    body_bytes: _Count = 32 * 1024 * 1024
    header_timeout_ms: _Span = 3000
    idle_timeout_ms: _Span = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    # Hexadecimal digests, which other gateways send in place of the keys.
    api_key_digests: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: _Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _TenantsOnly(msgspec.Struct):
    tenants: list[_Tenant] | None = None


class _Version(msgspec.Struct):
    model: str
    version: _Count


def read_config(value: bytes) -> Result[RouteTable, str]:
    """Read the whole configuration; the error says what is wrong with it."""
    return check_config(value).map_err("; ".join)


def check_config(value: bytes) -> Result[RouteTable, list[str]]:
    """Read the whole configuration; the error has one line for each mistake."""
    read = decode_json(value, _Config)
    if isinstance(read, Err):
        return Err([read.unwrap_err()])
    raw = read.unwrap()
    mistakes = [
        f"route {route.name} is shared by services of no weight"
        for route in raw.routes
        if route.split and not any(share.weight for share in route.split)
    ]
    checked: Result[WorkspaceTable | None, list[str]]
    checked = Ok(None) if raw.tenants is None else _workspaces_of(raw.tenants)
    if isinstance(checked, Err) or mistakes:
        return Err(mistakes + (checked.err() or []))
    routes = tuple(_route_of(route) for route in raw.routes if route.kind in _KINDS)
    services = {service.name: _service_of(service) for service in raw.services}
    limits = Limits(
        raw.limits.header_bytes,
        raw.limits.body_bytes,
        _ms(raw.limits.header_timeout_ms),
        _ms(raw.limits.idle_timeout_ms),
    )
    return Ok(RouteTable(raw.version, routes, services, limits, checked.unwrap()))


def without_keys(value: bytes) -> bytes:
    """Return a configuration with digests in place of keys, for messages between gateways.

    A configuration that cannot be read is replaced by an empty record, as it may contain keys.
    """
    read = decode_json(value, _TenantsOnly)
    whole = decode_json(value, dict)
    if isinstance(read, Err) or isinstance(whole, Err):
        return b"{}"
    tenants = read.unwrap().tenants
    if tenants is None:
        return value
    for tenant in tenants:
        tenant.api_key_digests += [key_digest(key.encode()).hex() for key in tenant.api_keys]
        tenant.api_keys = []
    return msgspec.json.encode({**whole.unwrap(), "tenants": tenants})


def read_version(model: str, value: bytes) -> Result[tuple[str, int], str]:
    """Read the version that a trainer named for the model whose key this is.

    A record that names another model is none: it would move that model past its own trainer's versions.
    """
    read = decode_json(value, _Version)
    if isinstance(read, Err):
        return read
    raw = read.unwrap()
    return Ok((raw.model, raw.version)) if raw.model == model else Err("names another model")


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
        public=raw.public,
    )


def _workspaces_of(tenants: list[_Tenant]) -> Result[WorkspaceTable, list[str]]:
    workspaces = []
    for tenant in tenants:
        try:
            digests = [bytes.fromhex(digest) for digest in tenant.api_key_digests]
        except ValueError:
            return Err([f"workspace {tenant.name}: a digest is not hexadecimal"])
        digests += [key_digest(key.encode()) for key in tenant.api_keys]
        workspaces.append(Workspace(tenant.name, frozenset(digests), tenant.priority))
    return WorkspaceTable.checked(workspaces)


def _service_of(raw: _Service) -> EngineService | None:
    if raw.engine is None:
        return None
    return EngineService(raw.engine.slots, tuple(model.name for model in raw.engine.models))


def _ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)

"""Ports to the platform: what the system asks of it, and in which typed answers."""

import abc
import enum
from collections.abc import AsyncIterator, Callable
from datetime import datetime, timedelta
from typing import Any

import attrs
from result import Result

from .const import MAX_JSON_BYTES
from .errors import PlatformError, UpstreamCut

__all__ = [
    "EngineLoad",
    "EnginePort",
    "LogPage",
    "LogPort",
    "LogRecord",
    "PlainServicePort",
    "ScorePort",
    "UpstreamBody",
    "UpstreamHead",
    "UpstreamRequest",
    "VmEntry",
    "VmList",
    "VmListPort",
    "VmRole",
    "VmState",
]


@attrs.frozen
class LogRecord:
    """One record of the platform's log, with the offset that the log gave it."""

    offset: int
    time: datetime
    id: str
    data: dict[str, Any]


@attrs.frozen
class LogPage:
    """A run of records; `first` is the oldest offset kept, `next` the one to read from next."""

    first: int
    next: int
    records: tuple[LogRecord, ...] = ()


class LogPort(abc.ABC):
    """The append-only log service."""

    @abc.abstractmethod
    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Append (id, data) pairs in one call; an Err may hide an append that took effect."""

    @abc.abstractmethod
    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Read from an offset; with `wait`, hold the call open until there is something."""


class VmRole(enum.StrEnum):
    """What runs on a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class VmEntry:
    """One row of the platform's VM list.

    `peer` is the address of our process on it ("tcp://127.0.0.1:7001"), empty for an upstream
    without a side process; `address` that of the upstream itself ("http://127.0.0.1:9001"), empty
    for an entry. `name` is what an upstream itself goes by, where `id` tells its starts apart.
    """

    id: str
    role: VmRole
    state: VmState
    data_center: str
    peer: str
    address: str = ""
    service: str = ""
    name: str = ""


@attrs.frozen
class VmList:
    """The list as last seen, with the version that the platform gave it."""

    version: int
    vms: tuple[VmEntry, ...]


class VmListPort(abc.ABC):
    """The platform's list of live and leaving VMs, which lags."""

    @abc.abstractmethod
    async def async_list(
        self, known_version: int = 0, wait: timedelta = timedelta()
    ) -> Result[VmList | None, PlatformError]:
        """Return the list, or None when it has not changed since `known_version`."""


@attrs.frozen
class UpstreamRequest:
    """What goes to an upstream; `path` keeps its query, an empty `host` names the upstream's own.

    `may_send` is asked once a connection is there, directly before the first byte is written; where it
    returns False nothing is sent.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    host: str = ""
    may_send: Callable[[], bool] | None = None


@attrs.frozen
class UpstreamHead:
    """Status line and headers of an upstream's answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


class UpstreamBody(abc.ABC):
    """An answer that is being received."""

    @property
    @abc.abstractmethod
    def head(self) -> UpstreamHead:
        """Return the status and headers."""

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise UpstreamCut when it ends before its own declared end."""

    async def async_whole(self, max_bytes: int = MAX_JSON_BYTES) -> bytes:
        """Return the whole body; raise UpstreamCut when it ends early or is longer than `max_bytes`."""
        parts: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > max_bytes:
                await self.async_close()
                raise UpstreamCut("the answer is too long")
            parts.append(chunk)
        return b"".join(parts)

    @abc.abstractmethod
    async def async_close(self) -> None:
        """Stop receiving and let go of the connection."""


class PlainServicePort(abc.ABC):
    """An HTTP service behind a side process."""

    @abc.abstractmethod
    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Send a request; the error says through `may_have_run` whether a byte was sent."""

    def connected(self) -> bool:
        """Tell whether a kept connection waits for the next request."""
        return False

    def idle_connections(self) -> int:
        """Return how many kept connections wait for a request."""
        return int(self.connected())


@attrs.frozen
class EngineLoad:
    """An engine's own report of its load, which lags.

    `queued_tokens` counts prompt and output tokens still to do; `weight_version` is None when the
    engine cannot say which one it serves (a swap failed half way).
    """

    running: int
    waiting: int
    queued_tokens: int
    slots: int
    weight_version: int | None
    fence: int = 0


class EnginePort(PlainServicePort):
    """A model engine: an HTTP service that also takes orders."""

    @abc.abstractmethod
    async def async_cancel(self, request_id: str) -> Result[bool, PlatformError]:
        """Stop a stream; True when the engine had it."""

    @abc.abstractmethod
    async def async_load_weights(
        self, model: str, version: int, fence: int, timeout: timedelta
    ) -> Result[int, PlatformError]:
        """Order a version with a fencing number; return the version that the engine now serves."""

    @abc.abstractmethod
    async def async_load(self) -> Result[EngineLoad, PlatformError]:
        """Ask for the load report."""

    @abc.abstractmethod
    async def async_cache_events(
        self, after: int, wait: timedelta
    ) -> Result[list[dict[str, Any]], PlatformError]:
        """Read cache events with a sequence number above `after`; there may be gaps."""


class ScorePort(abc.ABC):
    """A service that scores samples."""

    @abc.abstractmethod
    async def async_score(self, sample: dict[str, Any]) -> Result[float, PlatformError]:
        """Return the score of one sample."""

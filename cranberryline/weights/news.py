"""Tell all nodes at once which engine has loaded a version."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
from result import Err

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.decode import decode_msgpack
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.helpers.tail import PartitionTail
from cranberryline.ports.store import SharedLog

__all__ = ["VersionNews"]

TOPIC_VERSIONS = "versions"
_APPEND_TIMEOUT = timedelta(milliseconds=900)
# Loads that end at nearly the same time are appended together.
_BATCH_DELAY = timedelta(milliseconds=20)


class _Loaded(msgspec.Struct, array_like=True, frozen=True):
    engine: str
    model: str
    version: int


_DECODER = msgspec.msgpack.Decoder(_Loaded)


class VersionNews:
    """Appends finished loads to the log, and passes those of other nodes on.

    Only the node that ordered a load asks the engine whether it has ended. The engine's own
    registration says so up to a heartbeat later; until then the other nodes would send nothing that
    needs the new version to it. News that is lost does no harm, since the registration follows.
    `record` is called with the start's key, the model and the version.
    """

    def __init__(
        self,
        log: SharedLog,
        clock: Clock,
        health: StoreHealth,
        record: Callable[[str, str, int], None],
    ) -> None:
        self.tail = PartitionTail(log, TOPIC_VERSIONS, 0, clock, health, self._on_record)
        self._log = log
        self._clock = clock
        self._health = health
        self._record = record
        self._unsent: list[bytes] = []
        self._changed = asyncio.Event()

    def publish(self, engine: str, model: str, version: int) -> None:
        """Record a finished load here, and tell the other nodes soon."""
        self._record(engine, model, version)
        self._unsent.append(msgspec.msgpack.encode(_Loaded(engine, model, version)))
        self._changed.set()

    async def async_run(self) -> None:
        """Append news until cancelled."""
        while True:
            await self._changed.wait()
            await self._clock.async_sleep(_BATCH_DELAY)
            self._changed.clear()
            records, self._unsent = self._unsent, []
            await self._log.async_append(TOPIC_VERSIONS, 0, records, _APPEND_TIMEOUT)

    def _on_record(self, offset: int, data: bytes) -> None:
        decoded = decode_msgpack(data, _DECODER)
        if isinstance(decoded, Err):
            self._health.unsound("version_news_unreadable", offset=offset)
            return
        loaded = decoded.unwrap()
        self._record(loaded.engine, loaded.model, loaded.version)

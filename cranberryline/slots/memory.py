"""Keeps what was learned of a service's engines and texts in the store, for gateways that start."""

import math
from collections.abc import Callable, Mapping
from datetime import timedelta

import attrs
import msgspec
from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.decode import decode_msgpack
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.ports.store import KeyedRecord, SharedLog

__all__ = ["Learned", "SlotMemory"]

_LOGGER = get_logger(__name__)

_WRITE_INTERVAL = timedelta(seconds=5)
# A record is written again before it is too old to be restored.
_REFRESH_INTERVAL = timedelta(minutes=2)
# Older engine speeds say little; engines are replaced several times an hour.
_MAX_AGE = timedelta(minutes=10)
# Relative change of a value from which it is worth a write.
_CHANGE = 0.1
_READ_TIMEOUT = timedelta(seconds=1)
_READ_RETRY_DELAY = timedelta(milliseconds=500)
# By then a gateway has measured more than an old record tells.
_READ_PERIOD = timedelta(seconds=15)
_WRITE_TIMEOUT = timedelta(seconds=1)
# Engines that one gateway keeps the slots of, and as many that have just been replaced.
_MAX_ENGINES = 256


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """The value of a key; `written` is the Unix time in seconds."""

    written: float
    rates: dict[str, float]
    tokens_per_event: float = 0.0


_DECODER = msgspec.msgpack.Decoder(_Record)


@attrs.frozen
class Learned:
    """What is known of a service's engines and texts.

    `rates` are the events per second of a single text by upstream, and `tokens_per_event` is 0 if
    it is unknown.
    """

    rates: Mapping[str, float]
    tokens_per_event: float = 0.0

    def differs(self, other: "Learned | None") -> bool:
        """Return whether a value is new or has changed by more than a tenth."""
        if other is None or _has_changed(self.tokens_per_event, other.tokens_per_event):
            return True
        return any(
            _has_changed(rate, other.rates.get(name, 0.0)) for name, rate in self.rates.items()
        )


def _has_changed(value: float, before: float) -> bool:
    return abs(value - before) > _CHANGE * max(value, before)


class SlotMemory:
    """Writes what this gateway learns as a keeper, and restores what others wrote at its start.

    After a stop of all gateways nothing is known of the engines, and long texts start on the
    slowest of them, in the very steps that are late already. `learned` returns what is worth keeping by
    service, which is empty at a gateway that keeps no slots; `restore` is called once a service.
    """

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        clock: Clock,
        health: StoreHealth,
        learned: Callable[[], Mapping[str, Learned]],
        restore: Callable[[str, Learned], None],
    ) -> None:
        self._log = log
        self._topic = topic
        self._clock = clock
        self._health = health
        self._learned = learned
        self._restore = restore
        self._written: dict[str, tuple[Learned, timedelta]] = {}

    async def async_run(self) -> None:
        """Restore what is stored, then write what changes until cancelled."""
        await self._async_load()
        while True:
            await self._clock.async_sleep(_WRITE_INTERVAL)
            await self._async_write()

    async def _async_load(self) -> None:
        """Read the records once; a store that does not answer soon is left alone."""
        give_up_at = self._clock.monotonic() + _READ_PERIOD
        while self._clock.monotonic() < give_up_at:
            snapshot = await self._log.async_newest(self._topic, _READ_TIMEOUT)
            if isinstance(snapshot, Ok):
                self._apply(snapshot.unwrap().records)
                return
            await self._clock.async_sleep(_READ_RETRY_DELAY)

    def _apply(self, records: tuple[KeyedRecord, ...]) -> None:
        restored = []
        for record in records:
            read = self._read(record)
            if isinstance(read, Err):
                self._health.unsound(
                    "slot_memory_unreadable", key=record.key, detail=read.unwrap_err()
                )
            elif read.unwrap() is not None:
                self._restore(record.key, read.unwrap())
                restored.append(record.key)
        if restored:
            _LOGGER.info("slot_memory_restored", services=restored)

    def _read(self, record: KeyedRecord) -> Result[Learned | None, str]:
        """Read a record; None if it is too old."""
        decoded = decode_msgpack(record.value, _DECODER)
        if isinstance(decoded, Err):
            return decoded
        raw = decoded.unwrap()
        values = (raw.written, raw.tokens_per_event, *raw.rates.values())
        if not all(math.isfinite(value) and value >= 0 for value in values):
            return Err("a value is negative or not finite")
        if len(raw.rates) > _MAX_ENGINES:
            return Err(f"more than {_MAX_ENGINES} engines")
        if self._clock.now().timestamp() - raw.written > _MAX_AGE.total_seconds():
            return Ok(None)
        return Ok(Learned(raw.rates, raw.tokens_per_event))

    async def _async_write(self) -> None:
        now = self._clock.monotonic()
        changed = {
            service: learned
            for service, learned in self._learned().items()
            if learned.rates and self._is_due(service, learned, now)
        }
        if not changed:
            return
        written = self._clock.now().timestamp()
        records = []
        for service, learned in changed.items():
            rates = dict(sorted(learned.rates.items())[:_MAX_ENGINES])
            value = msgspec.msgpack.encode(_Record(written, rates, learned.tokens_per_event))
            records.append(self._log.pack_keyed(service, value))
        appended = await self._log.async_append(self._topic, 0, records, _WRITE_TIMEOUT)
        if isinstance(appended, Ok):
            self._written.update((service, (each, now)) for service, each in changed.items())

    def _is_due(self, service: str, learned: Learned, now: timedelta) -> bool:
        before, at = self._written.get(service, (None, now))
        return learned.differs(before) or now - at >= _REFRESH_INTERVAL

"""Writes controls to the store, once each."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.helpers.logging import get_logger
from cranberryline.ports.store import SharedLog, StoreError

from .records import ControlKind, ControlRecord, control_key, encode_control

__all__ = ["ControlWriter"]

_LOGGER = get_logger(__name__)

_APPEND_TIMEOUT = timedelta(seconds=2)


class ControlWriter:
    """Appends a record a change; `async_sync` reads the topic and returns whether to its end.

    A failed append is not repeated: a late copy would replace what another operator set in between.
    """

    def __init__(
        self, log: SharedLog, topic: str, async_sync: Callable[[], Awaitable[bool]]
    ) -> None:
        self._log = log
        self._topic = topic
        self.async_sync = async_sync

    async def async_set(
        self, kind: ControlKind, name: str, record: ControlRecord
    ) -> Result[None, StoreError]:
        """Set a control; on an error it may have been set, or be set later."""
        written = await self._async_append(control_key(kind, name), encode_control(record))
        if written.is_ok():
            _LOGGER.info(
                "control_set",
                kind=kind,
                name=name,
                by=record.by,
                weight=record.weight,
                cap=record.cap,
                until=record.until,
                reason=record.reason,
            )
        return written

    async def async_clear(self, kind: ControlKind, name: str, by: str) -> Result[None, StoreError]:
        """Take a control back; on an error it may have been taken back, or be later."""
        written = await self._async_append(control_key(kind, name), b"")
        if written.is_ok():
            _LOGGER.info("control_cleared", kind=kind, name=name, by=by)
        return written

    async def _async_append(self, key: str, value: bytes) -> Result[None, StoreError]:
        records = [self._log.pack_keyed(key, value)]
        written = await self._log.async_append(self._topic, 0, records, _APPEND_TIMEOUT)
        if isinstance(written, Err):
            _LOGGER.warning("control_unconfirmed", key=key, problem=written.unwrap_err().problem)
            return written
        await self.async_sync()
        return Ok(None)

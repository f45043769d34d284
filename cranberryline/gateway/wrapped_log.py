"""Base class of logs that change some calls to the store and pass on the others."""

from datetime import timedelta

from result import Result

from cranberryline.ports.store import Appended, KeyedRecord, KeyedSnapshot, SharedLog, StoreError

__all__ = ["WrappedLog"]


class WrappedLog(SharedLog):
    """Passes every call but `async_read` on to the log that it wraps."""

    def __init__(self, direct: SharedLog) -> None:
        self.direct = direct

    async def async_append(
        self,
        topic: str,
        part: int,
        records: list[bytes],
        timeout: timedelta,
        at: int | None = None,
    ) -> Result[Appended, StoreError]:
        """Append."""
        return await self.direct.async_append(topic, part, records, timeout, at)

    async def async_newest(
        self, topic: str, timeout: timedelta
    ) -> Result[KeyedSnapshot, StoreError]:
        """Read the newest record of each key."""
        return await self.direct.async_newest(topic, timeout)

    async def async_trim(
        self, topic: str, part: int, before: int, timeout: timedelta
    ) -> Result[None, StoreError]:
        """Delete a partition's records before an offset."""
        return await self.direct.async_trim(topic, part, before, timeout)

    def pack_keyed(self, key: str, value: bytes) -> bytes:
        """Return the record that sets a key of a keyed topic."""
        return self.direct.pack_keyed(key, value)

    def unpack_keyed(self, record: bytes) -> KeyedRecord | None:
        """Return the key and value of a record of a keyed topic, or None if it has none."""
        return self.direct.unpack_keyed(record)

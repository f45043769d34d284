"""The platform's store over HTTP, as the product's port `SharedLog`."""

import base64
import struct
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from cranberryline.decisions.startup_reads import PAGE_KB
from cranberryline.helpers.clock import in_milliseconds
from cranberryline.helpers.decode import decode_json
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.http import HttpOrigin
from cranberryline.ports.short_call import ShortCalls
from cranberryline.ports.store import (
    Appended,
    KeyedRecord,
    KeyedSnapshot,
    LogRead,
    SharedLog,
    StoreError,
    StoreProblem,
    problem_of_call,
)

from .const import (
    PATH_APPEND,
    PATH_NEWEST,
    PATH_READ,
    PATH_TRIM,
    STATUS_AT_OTHER_END,
    STATUS_GONE,
    STATUS_OK,
    STATUS_TOO_FULL,
    STATUS_TOO_MANY,
    STATUS_UNAVAILABLE,
)

__all__ = ["HttpStore"]

_T = TypeVar("_T")
_LENGTH = struct.Struct(">I")
_POSITIONS = struct.Struct(">QQ")
_NOTHING_DONE = (STATUS_UNAVAILABLE, STATUS_TOO_MANY, STATUS_TOO_FULL)


class _AppendAnswer(msgspec.Struct):
    offset: int = 0
    end: int = 0


class _GoneAnswer(msgspec.Struct):
    first: int = 0


class _NewestItem(msgspec.Struct):
    key: str
    value: str = ""
    offset: int = 0


class _NewestAnswer(msgspec.Struct):
    items: list[msgspec.Raw]
    end: int
    has_more: bool = False


class HttpStore(SharedLog):
    """Call the store, with a connection of its own for each call but for polls.

    A kept connection on which an answer was lost stays silent for good; a new one costs a round
    trip and never leaves that doubt. Polls stand on theirs all the time, kept or new.
    """

    def __init__(self, address: str) -> None:
        self._calls = ShortCalls(HttpOrigin(f"http://{address}"))

    async def async_append(
        self,
        topic: str,
        part: int,
        records: list[bytes],
        timeout: timedelta,
        at: int | None = None,
    ) -> Result[Appended, StoreError]:
        """Append records; an answer that does not come leaves UNKNOWN."""
        path = f"{PATH_APPEND}?topic={quote(topic)}&part={part}"
        if at is not None:
            path += f"&at={at}"
        body = b"".join(_LENGTH.pack(len(record)) + record for record in records)
        match await self._async_call("POST", path, body, timeout):
            case Err(error):
                return Err(error)
            case Ok((status, answer)):
                pass
        if status == STATUS_OK:
            taken = _decode(answer, _AppendAnswer)
            if taken is None:
                return Err(StoreError(StoreProblem.UNKNOWN, "append answer unreadable"))
            return Ok(Appended(taken.offset, taken.end))
        if status == STATUS_AT_OTHER_END:
            ended = _decode(answer, _AppendAnswer) or _AppendAnswer()
            return Err(StoreError(StoreProblem.CONFLICT, position=ended.end))
        return Err(_problem(status))

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read records from an offset."""
        path = f"{PATH_READ}?topic={quote(topic)}&part={part}&from={start}"
        path += f"&max_kb={PAGE_KB}"
        if wait:
            path += f"&wait_ms={in_milliseconds(wait)}"
        poll = f"{topic}/{part}" if wait else ""
        match await self._async_call("GET", path, b"", timeout, poll):
            case Err(error):
                return Err(error)
            case Ok((status, answer)):
                pass
        if status == STATUS_GONE:
            gone = _decode(answer, _GoneAnswer) or _GoneAnswer()
            return Err(StoreError(StoreProblem.GONE, position=gone.first))
        if status != STATUS_OK:
            return Err(_problem(status))
        return _parse_read(start, answer)

    async def async_newest(
        self, topic: str, timeout: timedelta
    ) -> Result[KeyedSnapshot, StoreError]:
        """Read all pages; what changes between pages is told again from the first page's end."""
        records: list[KeyedRecord] = []
        after, end, unreadable = "", None, 0
        while True:
            path = f"{PATH_NEWEST}?topic={quote(topic)}&part=0"
            if after:
                path += f"&after={quote(after, safe='')}"
            match await self._async_call("GET", path, b"", timeout):
                case Err(error):
                    return Err(error)
                case Ok((status, answer)):
                    pass
            page = _decode(answer, _NewestAnswer) if status == STATUS_OK else None
            if page is None:
                return Err(_problem(status))
            end = page.end if end is None else end
            rows = [row for row in map(_keyed_of, page.items) if row is not None]
            records += rows
            unreadable += len(page.items) - len(rows)
            if not page.has_more or not page.items:
                return Ok(KeyedSnapshot(tuple(records), end, unreadable))
            if not rows or rows[-1].key == after:
                return Err(StoreError(StoreProblem.UNKNOWN, "pages that lead no further"))
            after = rows[-1].key

    async def async_trim(
        self, topic: str, part: int, before: int, timeout: timedelta
    ) -> Result[None, StoreError]:
        """Delete a partition's records before an offset."""
        body = msgspec.json.encode({"topic": topic, "part": part, "before": before})
        match await self._async_call("POST", PATH_TRIM, body, timeout):
            case Err(error):
                return Err(error)
            case Ok((status, _)):
                return Ok(None) if status == STATUS_OK else Err(_problem(status))

    def pack_keyed(self, key: str, value: bytes) -> bytes:
        """Put the key's length and the key before the value."""
        name = key.encode()
        return bytes([len(name)]) + name + value

    def unpack_keyed(self, record: bytes) -> KeyedRecord | None:
        """Take key and value apart."""
        if not record or len(record) < 1 + record[0]:
            return None
        size = record[0]
        try:
            return KeyedRecord(record[1 : 1 + size].decode(), record[1 + size :])
        except UnicodeDecodeError:
            return None

    async def _async_call(
        self, method: str, path: str, body: bytes, timeout: timedelta, poll: str = ""
    ) -> Result[tuple[int, bytes], StoreError]:
        """Make one call; an error before the first byte was sent is a refusal, later unknown."""
        sent = await self._calls.async_call(method, path, body, timeout, poll)
        return Err(_unsent(sent.unwrap_err())) if isinstance(sent, Err) else Ok(sent.unwrap())


def _decode(data: bytes | msgspec.Raw, kind: type[_T]) -> _T | None:
    return decode_json(data, kind).ok()


def _keyed_of(row: msgspec.Raw) -> KeyedRecord | None:
    """Read one row; one that is none of the platform's says nothing of the others."""
    item = _decode(row, _NewestItem)
    if item is None:
        return None
    try:
        return KeyedRecord(item.key, base64.b64decode(item.value, validate=True), item.offset)
    except ValueError:
        return None


def _unsent(error: PlatformError) -> StoreError:
    return StoreError(problem_of_call(error), error.detail or error.reason.value)


def _problem(status: int) -> StoreError:
    done = StoreProblem.REFUSED if status in _NOTHING_DONE else StoreProblem.UNKNOWN
    return StoreError(done, f"status {status}")


def _parse_read(start: int, data: bytes) -> Result[LogRead, StoreError]:
    if len(data) < _POSITIONS.size:
        return Err(StoreError(StoreProblem.UNKNOWN, "read answer too short"))
    end, _first = _POSITIONS.unpack_from(data)
    records: list[bytes] = []
    at = _POSITIONS.size
    while at + _LENGTH.size <= len(data):
        (size,) = _LENGTH.unpack_from(data, at)
        at += _LENGTH.size
        if at + size > len(data):
            return Err(StoreError(StoreProblem.UNKNOWN, "read answer ends within a record"))
        records.append(data[at : at + size])
        at += size
    return Ok(LogRead(start, end, tuple(records)))

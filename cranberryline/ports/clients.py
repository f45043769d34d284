"""HTTP clients of the platform's services; each implements one port of `model`."""

from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum
from typing import Any, TypeVar
from urllib.parse import quote

import attrs
import msgspec
from result import Err, Ok, Result

from .const import (
    DEFAULT_CALL_TIMEOUT,
    ERROR_STALE_FENCE,
    HEADER_RETRY_AFTER,
    MAX_JSON_BYTES,
    STATUS_CONFLICT,
    STATUS_NOT_MODIFIED,
    STATUS_OK,
    STATUS_TOO_MANY,
)
from .errors import PlatformError, PlatformReason, UpstreamCut
from .http import HttpOrigin, async_exchange
from .model import (
    EngineLoad,
    EnginePort,
    LogPage,
    LogPort,
    LogRecord,
    PlainServicePort,
    ScorePort,
    UpstreamBody,
    UpstreamRequest,
    VmEntry,
    VmList,
    VmListPort,
    VmRole,
    VmState,
)

__all__ = ["HttpEngine", "HttpLog", "HttpPlainService", "HttpScorer", "HttpVmList"]

T = TypeVar("T")

_JSON_HEADERS = (("Content-Type", "application/json"), ("Accept", "application/json"))


@attrs.frozen
class _Answer:
    """A whole JSON answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def retry_after_s(self) -> float | None:
        """Return the Retry-After header in seconds, if there is a usable one."""
        try:
            return float(self.headers[HEADER_RETRY_AFTER.lower()])
        except (KeyError, ValueError):
            return None


class _JsonClient:
    """Call a JSON service and type its failures."""

    def __init__(self, url: str) -> None:
        self._origin = HttpOrigin(url)

    async def async_call(
        self, method: str, path: str, payload: Any, timeout: timedelta
    ) -> Result[_Answer, PlatformError]:
        """Return a whole answer of any status."""
        body = b"" if payload is None else msgspec.json.encode(payload)
        req = UpstreamRequest(method, path, _JSON_HEADERS, body)
        match await async_exchange(self._origin, req, timeout):
            case Err() as err:
                return err
            case Ok(answer):
                return await _async_read(answer)

    async def async_json(
        self,
        method: str,
        path: str,
        payload: Any,
        decode: Callable[[Any], T],
        timeout: timedelta = DEFAULT_CALL_TIMEOUT,
    ) -> Result[T, PlatformError]:
        """Return the decoded body of a 200."""
        match await self.async_call(method, path, payload, timeout):
            case Err() as err:
                return err
            case Ok(answer):
                return _decode(answer, decode)


async def _async_read(answer: UpstreamBody) -> Result[_Answer, PlatformError]:
    """Read a whole body within the size that a JSON answer may have."""
    parts: list[bytes] = []
    size = 0
    try:
        async for chunk in answer.chunks():
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_JSON_BYTES:
                await answer.async_close()
                return Err(PlatformError(PlatformReason.BAD_ANSWER, "the answer is too large"))
    except UpstreamCut as exc:
        return Err(PlatformError(PlatformReason.CUT, str(exc)))
    headers = {name.lower(): value for name, value in answer.head.headers}
    return Ok(_Answer(answer.head.status, headers, b"".join(parts)))


def _decode(answer: _Answer, decode: Callable[[Any], T]) -> Result[T, PlatformError]:
    """Decode a 200; turn any other status into the error that it stands for."""
    if answer.status != STATUS_OK:
        return Err(_refusal(answer))
    try:
        return Ok(decode(msgspec.json.decode(answer.body)))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError) as exc:
        detail = f"{type(exc).__name__}: {exc}"
        return Err(PlatformError(PlatformReason.BAD_ANSWER, detail, answer.status))


def _refusal(answer: _Answer) -> PlatformError:
    """Return the typed error of an answer that is not a 200."""
    detail = answer.body[:200].decode(errors="replace")
    reason = PlatformReason.REFUSED
    if answer.status == STATUS_TOO_MANY:
        reason = PlatformReason.RATE_LIMITED
    if answer.status == STATUS_CONFLICT and ERROR_STALE_FENCE in detail:
        reason = PlatformReason.STALE_FENCE
    return PlatformError(reason, detail, answer.status, retry_after_s=answer.retry_after_s)


class HttpLog(LogPort):
    """The log service over HTTP."""

    def __init__(self, url: str, timeout: timedelta = DEFAULT_CALL_TIMEOUT) -> None:
        self._client = _JsonClient(url)
        self._timeout = timeout

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Append (id, data) pairs in one call; an Err may hide an append that took effect."""
        payload = {"records": [{"id": id_, "data": data} for id_, data in records]}
        path = f"/streams/{quote(stream, safe='')}/records"
        return await self._client.async_json("POST", path, payload, _offsets, self._timeout)

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Read from an offset; with `wait`, hold the call open until there is something."""
        query = f"from={start}&limit={limit}&wait={wait.total_seconds()}"
        path = f"/streams/{quote(stream, safe='')}/records?{query}"
        return await self._client.async_json("GET", path, None, _page, self._timeout + wait)


def _offsets(data: Any) -> list[int]:
    """Decode the answer to an append."""
    return [int(offset) for offset in data["offsets"]]


def _page(data: Any) -> LogPage:
    """Decode a page of the log."""
    records = tuple(
        LogRecord(rec["offset"], datetime.fromisoformat(rec["time"]), rec["id"], rec["data"])
        for rec in data["records"]
    )
    return LogPage(int(data["first"]), int(data["next"]), records)


class HttpVmList(VmListPort):
    """The VM list over HTTP."""

    def __init__(self, url: str, timeout: timedelta = DEFAULT_CALL_TIMEOUT) -> None:
        self._client = _JsonClient(url)
        self._timeout = timeout

    async def async_list(
        self, known_version: int = 0, wait: timedelta = timedelta()
    ) -> Result[VmList | None, PlatformError]:
        """Return the list, or None when it has not changed since `known_version`."""
        path = f"/vms?known={known_version}&wait={wait.total_seconds()}"
        match await self._client.async_call("GET", path, None, self._timeout + wait):
            case Err() as err:
                return err
            case Ok(answer) if answer.status == STATUS_NOT_MODIFIED:
                return Ok(None)
            case Ok(answer):
                return _decode(answer, _vm_list)


def _vm_list(data: Any) -> VmList:
    """Decode the VM list; what cannot be a row is handed on, for the membership to refuse."""
    return VmList(int(data["version"]), tuple(_vm_entry(row) for row in data["vms"]))


def _vm_entry(row: Any) -> Any:
    """Decode one row of the VM list, as far as it can be read.

    A platform that adds a role or a state would otherwise cut every process off from all further
    lists. The membership refuses the one row and names it: a missing field stays None, an unknown
    word stays as it is, and neither passes there.
    """
    if not isinstance(row, dict):
        return row
    return VmEntry(
        id=row.get("id"),
        role=_word(VmRole, row.get("role")),
        state=_word(VmState, row.get("state")),
        data_center=row.get("data_center"),
        peer=row.get("peer"),
        address=row.get("address", ""),
        service=row.get("service", ""),
    )


def _word(words: type[Enum], value: Any) -> Any:
    """Return the word that is meant, or the value itself where none is."""
    try:
        return words(value)
    except ValueError:
        return value


class HttpPlainService(PlainServicePort):
    """A plain service over HTTP."""

    def __init__(self, url: str) -> None:
        self._origin = HttpOrigin(url)

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Send a request; the error says through `may_have_run` whether a byte was sent."""
        return await async_exchange(self._origin, req, timeout)


class HttpEngine(HttpPlainService, EnginePort):
    """A model engine over HTTP."""

    def __init__(self, url: str, timeout: timedelta = DEFAULT_CALL_TIMEOUT) -> None:
        super().__init__(url)
        self._client = _JsonClient(url)
        self._timeout = timeout

    async def async_cancel(self, request_id: str) -> Result[bool, PlatformError]:
        """Stop a stream; True when the engine had it."""
        payload = {"request_id": request_id}
        return await self._client.async_json(
            "POST", "/cancel", payload, lambda data: bool(data["cancelled"]), self._timeout
        )

    async def async_load_weights(
        self, model: str, version: int, fence: int, timeout: timedelta
    ) -> Result[int, PlatformError]:
        """Order a version with a fencing number; return the version that the engine now serves."""
        payload = {"model": model, "version": version, "fence": fence}
        return await self._client.async_json(
            "POST", "/orders/weights", payload, lambda data: int(data["weight_version"]), timeout
        )

    async def async_load(self) -> Result[EngineLoad, PlatformError]:
        """Ask for the load report."""
        return await self._client.async_json("GET", "/load", None, _engine_load, self._timeout)

    async def async_cache_events(
        self, after: int, wait: timedelta
    ) -> Result[list[dict[str, Any]], PlatformError]:
        """Read cache events with a sequence number above `after`; there may be gaps."""
        path = f"/cache_events?after={after}&wait={wait.total_seconds()}"
        return await self._client.async_json(
            "GET", path, None, lambda data: list(data["events"]), self._timeout + wait
        )


def _engine_load(data: Any) -> EngineLoad:
    """Decode an engine's load report."""
    return EngineLoad(
        running=data["running"],
        waiting=data["waiting"],
        queued_tokens=data["queued_tokens"],
        slots=data["slots"],
        weight_version=data["weight_version"],
        fence=data.get("fence", 0),
    )


class HttpScorer(ScorePort):
    """A scoring service over HTTP."""

    def __init__(self, url: str, timeout: timedelta = DEFAULT_CALL_TIMEOUT) -> None:
        self._client = _JsonClient(url)
        self._timeout = timeout

    async def async_score(self, sample: dict[str, Any]) -> Result[float, PlatformError]:
        """Return the score of one sample."""
        return await self._client.async_json(
            "POST", "/score", sample, lambda data: float(data["score"]), self._timeout
        )

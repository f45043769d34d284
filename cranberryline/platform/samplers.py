"""The platform's upstreams: their registrations, requests to them, orders to engines."""

from collections.abc import Callable
from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from cranberryline.helpers.clock import in_milliseconds
from cranberryline.ports.errors import PlatformError, PlatformReason, UpstreamCut
from cranberryline.ports.http import HttpOrigin, KeptStreams, async_exchange
from cranberryline.ports.model import PlainServicePort, UpstreamBody, UpstreamRequest, VmEntry
from cranberryline.ports.orders import EngineReport, OrderOutcome, OrderPort, VersionOrder
from cranberryline.upstreams.directory import Registration

from .const import (
    HEADER_HOST,
    HEADER_INSTANCE,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
    HEADER_SIGNATURE,
    HEADER_TIME_LEFT,
    PATH_ORDER,
    PATH_REPORT,
    STATUS_ACCEPTED,
    STATUS_AT_OTHER_END,
    STATUS_CONFLICT,
    STATUS_MISDIRECTED,
    STATUS_OK,
)

__all__ = ["SamplerClient", "SamplerOrders", "read_registration"]

_CALL_TIMEOUT = timedelta(milliseconds=1200)
_SUCCESS = range(200, 300)


class _Model(msgspec.Struct):
    name: str
    version: int = 0


class _Beat(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    slots: int = 0
    state: str = "ready"
    models: list[_Model] = []


class _Report(msgspec.Struct):
    busy: bool = False
    seq: int = 0
    running: int = 0
    models: list[_Model] = []


def read_registration(key: str, value: bytes) -> Result[Registration, str]:
    """Read what an upstream wrote of itself."""
    try:
        raw = msgspec.json.decode(value, type=_Beat)
    except msgspec.DecodeError as exc:
        return Err(str(exc))
    versions = {model.name: model.version for model in raw.models}
    draining = raw.state != "ready"
    return Ok(Registration(key, raw.service, raw.address, raw.zone, raw.slots, draining, versions))


class SamplerClient(PlainServicePort):
    """Send requests to one upstream over kept connections, for this incarnation only."""

    def __init__(self, row: VmEntry) -> None:
        self._id = row.id
        self._origin = HttpOrigin(row.address)
        self._pool = KeptStreams()

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Send a request; an answer that says so, and only that, means that it was not run."""
        left = str(max(1, in_milliseconds(timeout)))
        own = {HEADER_INSTANCE.lower(), HEADER_TIME_LEFT.lower(), HEADER_HOST.lower()}
        headers = [pair for pair in req.headers if pair[0].lower() not in own]
        headers += [(HEADER_INSTANCE, self._id), (HEADER_TIME_LEFT, left)]
        host = _find(req.headers, HEADER_HOST) or ""
        sent = await async_exchange(
            self._origin,
            UpstreamRequest(req.method, req.path, tuple(headers), req.body, host),
            timeout,
            self._pool,
        )
        if isinstance(sent, Err):
            return sent
        body = sent.unwrap()
        problem = _check(body, _find(req.headers, HEADER_REQUEST_ID))
        if problem is None:
            return Ok(body)
        if problem.may_have_run:
            await body.async_close()
        else:
            await _async_read_out(body)
        return Err(problem)


class SamplerOrders(OrderPort):
    """Reports of and orders to engines.

    An order is framed by reports, and the three share a kept connection; new ones are paid for, and
    these were a third of all on a calm day. An order whose answer is lost on a kept connection is
    settled by the next report, as any other.
    """

    def __init__(self, address_of: Callable[[str], str | None]) -> None:
        self._address_of = address_of
        self._pools: dict[str, KeptStreams] = {}

    async def async_report(self, upstream: str) -> Result[EngineReport, PlatformError]:
        """Ask an engine what it serves."""
        called = await self._async_call(upstream, "GET", PATH_REPORT, b"")
        if isinstance(called, Err):
            return Err(called.unwrap_err())
        status, data = called.unwrap()
        try:
            raw = msgspec.json.decode(data, type=_Report)
        except msgspec.DecodeError as exc:
            return Err(PlatformError(PlatformReason.BAD_ANSWER, str(exc), status))
        versions = {model.name: model.version for model in raw.models}
        return Ok(EngineReport(raw.seq, raw.busy, raw.running, versions))

    async def async_order(self, upstream: str, order: VersionOrder) -> OrderOutcome:
        """Send an order."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": "block" if order.finish_runs else "retain",
            "holder": order.holder,
            "fencing_token": order.token,
            "precondition": order.sequence,
        }
        called = await self._async_call(upstream, "POST", PATH_ORDER, msgspec.json.encode(body))
        if isinstance(called, Err):
            lost = called.unwrap_err().may_have_run
            return OrderOutcome.UNKNOWN if lost else OrderOutcome.REFUSED
        return {
            STATUS_ACCEPTED: OrderOutcome.TAKEN,
            STATUS_OK: OrderOutcome.HOLDS,
            STATUS_CONFLICT: OrderOutcome.BUSY,
            STATUS_AT_OTHER_END: OrderOutcome.FENCED,
        }.get(called.unwrap()[0], OrderOutcome.REFUSED)

    async def _async_call(
        self, upstream: str, method: str, path: str, body: bytes
    ) -> Result[tuple[int, bytes], PlatformError]:
        address = self._address_of(upstream)
        if address is None:
            self._forget_gone()
            return Err(PlatformError(PlatformReason.UNREACHABLE, "gone", may_have_run=False))
        if upstream not in self._pools:
            self._forget_gone()
        pool = self._pools.setdefault(upstream, KeptStreams(most=1))
        headers: list[tuple[str, str]] = [(HEADER_INSTANCE, upstream)]
        if body:
            headers.append(("Content-Type", "application/json"))
        req = UpstreamRequest(method, path, tuple(headers), body)
        sent = await async_exchange(HttpOrigin(f"http://{address}"), req, _CALL_TIMEOUT, pool)
        if isinstance(sent, Err):
            return Err(sent.unwrap_err())
        answer = sent.unwrap()
        try:
            data = await answer.async_whole()
        except UpstreamCut as exc:
            return Err(PlatformError(PlatformReason.CUT, str(exc)))
        return Ok((answer.head.status, data))

    def _forget_gone(self) -> None:
        """Close what is kept to upstreams that are gone: nobody asks for them by name again."""
        for upstream in [name for name in self._pools if self._address_of(name) is None]:
            self._pools.pop(upstream).close()


def _check(body: UpstreamBody, request_id: str | None) -> PlatformError | None:
    """Tell what is wrong with an answer's head, if anything."""
    head = body.head
    if _find(head.headers, HEADER_NOT_RUN) is not None or head.status == STATUS_MISDIRECTED:
        return PlatformError(PlatformReason.REFUSED, "not run", head.status, may_have_run=False)
    echoed = _find(head.headers, HEADER_REQUEST_ID)
    if request_id is not None and echoed != request_id:
        return PlatformError(PlatformReason.BAD_ANSWER, "answer to another request", head.status)
    if head.status in _SUCCESS and not _find(head.headers, HEADER_SIGNATURE):
        return PlatformError(PlatformReason.BAD_ANSWER, "success without signature", head.status)
    return None


async def _async_read_out(body: UpstreamBody) -> None:
    """Read a refusal to its end, so that its connection can be used again."""
    try:
        async for _ in body.chunks():
            pass
    except UpstreamCut:
        return


def _find(headers: tuple[tuple[str, str], ...], name: str) -> str | None:
    lower = name.lower()
    return next((value for key, value in headers if key.lower() == lower), None)

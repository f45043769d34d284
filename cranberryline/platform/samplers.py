"""The platform's upstreams: their registrations, requests to them, orders to engines."""

import asyncio
import re
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from ipaddress import IPv6Address
from typing import Annotated, Any

import attrs
import msgspec
from result import Err, Ok, Result

from cranberryline.helpers.clock import in_milliseconds
from cranberryline.ports.const import MAX_REPORT_BYTES
from cranberryline.ports.errors import PlatformError, PlatformReason, UpstreamCut
from cranberryline.ports.http import AnswerTo, HttpOrigin, KeptStreams, async_exchange
from cranberryline.ports.model import (
    PlainServicePort,
    UpstreamBody,
    UpstreamHead,
    UpstreamRequest,
    VmEntry,
)
from cranberryline.ports.orders import EngineReport, OrderOutcome, OrderPort, VersionOrder
from cranberryline.ports.response_memory import ResponseMemory
from cranberryline.upstreams.const import MAX_TEXT_LENGTH
from cranberryline.upstreams.directory import Registration
from cranberryline.upstreams.errors import RegistrationProblem

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
# A refusal has some bytes at most and comes with its head; one that goes on costs its connection.
_READ_OUT_TIMEOUT = timedelta(milliseconds=100)
_MAX_REFUSAL_BYTES = 64 * 1024
_SUCCESS = range(200, 300)
_STATE_READY = "ready"
_STATE_DRAINING = "draining"
# What goes into a header, leaves room for the start in a row's id, and cannot be taken for a row's id itself.
_ID = re.compile(r"(?!.*@[0-9]+$)[!-~]{1,160}")
_ADDRESS = re.compile(
    r"(?:\[(?P<v6>[0-9A-Fa-f:.]{2,45})\]|[A-Za-z0-9._-]{1,190}):(?P<port>[0-9]{1,5})"
)
_MAX_PORT = 65_535
# A count or version beyond it is no sound one, and past 64 bits it could not be written back into an order.
_MAX_COUNT = 10**15
# Far beyond any upstream: what is meant to keep a slip of another writer from opening a service wide.
_MAX_SLOTS = 10_000
# Milliseconds; the year 5138. A start beyond it would stand above every true one.
_MAX_START = 10**14


_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Zone = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]


class _Model(msgspec.Struct):
    name: _Text
    version: _Count = 0


class _Beat(msgspec.Struct):
    service: _Text
    address: str
    zone: _Zone
    version: Any
    slots: int
    state: str
    cold_left_ms: int | float
    seq: _Count
    models: list[_Model] = []
    born: int | msgspec.UnsetType = msgspec.UNSET


class _Report(msgspec.Struct):
    born: int | msgspec.UnsetType = msgspec.UNSET
    busy: bool = False
    seq: _Count = 0
    running: _Count = 0
    models: list[_Model] = []


_BEATS = msgspec.json.Decoder(_Beat)


def read_registration(key: str, value: bytes) -> Result[Registration, RegistrationProblem]:
    """Read what stands for an upstream, written by itself or by another; never raises."""
    if not _ID.fullmatch(key):
        return Err(RegistrationProblem.BAD_ID)
    try:
        raw = _BEATS.decode(value)
    except msgspec.ValidationError:
        return Err(RegistrationProblem.BAD_FIELD)
    except (msgspec.DecodeError, ValueError, RecursionError):
        # Text that nests deeper than the interpreter goes raises no error of the decoder. Passed on, it
        # would end the reader of all upstreams, and the gateway would hear of none any more.
        return Err(RegistrationProblem.UNREADABLE)
    problem = _out_of_range(raw)
    if problem is not None:
        return Err(problem)
    return Ok(
        Registration(
            key,
            raw.service,
            raw.address,
            raw.zone,
            raw.slots,
            raw.state == _STATE_DRAINING,
            {model.name: model.version for model in raw.models},
            _start(raw),
        )
    )


def _out_of_range(raw: _Beat) -> RegistrationProblem | None:
    if raw.state not in (_STATE_READY, _STATE_DRAINING):
        return RegistrationProblem.BAD_STATE
    if not 0 < raw.slots <= _MAX_SLOTS:
        return RegistrationProblem.BAD_SLOTS
    if raw.born is not msgspec.UNSET and not 0 < raw.born < _MAX_START:
        return RegistrationProblem.BAD_START
    return None if _is_address(raw.address) else RegistrationProblem.BAD_ADDRESS


def _is_address(address: str) -> bool:
    """Tell whether this is HOST:PORT; a host in brackets must be an address of IPv6."""
    found = _ADDRESS.fullmatch(address)
    if found is None or not 0 < int(found["port"]) <= _MAX_PORT:
        return False
    try:
        return found["v6"] is None or bool(IPv6Address(found["v6"]))
    except ValueError:
        return False


def _start(raw: _Beat | _Report) -> int:
    return 0 if raw.born is msgspec.UNSET else raw.born


class SamplerClient(PlainServicePort):
    """Send requests to one upstream over kept connections, for this incarnation only.

    `memory` bounds the responses that this process receives.
    """

    def __init__(self, row: VmEntry, memory: ResponseMemory | None = None) -> None:
        self._memory = memory
        self._id = row.name or row.id
        self._origin = HttpOrigin(row.address)
        self._pool = KeptStreams()

    def connected(self) -> bool:
        """Tell whether a kept connection waits for the next request."""
        return self._pool.ready()

    def idle_connections(self) -> int:
        """Return how many kept connections wait for a request."""
        return self._pool.count()

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Send a request; an answer that says so, and only that, means that it was not run."""
        left = str(max(1, in_milliseconds(timeout)))
        own = {HEADER_INSTANCE.lower(), HEADER_TIME_LEFT.lower(), HEADER_HOST.lower()}
        request_id = _find(req.headers, HEADER_REQUEST_ID)
        headers = [pair for pair in req.headers if pair[0].lower() not in own]
        headers += [(HEADER_INSTANCE, self._id), (HEADER_TIME_LEFT, left)]
        host = _find(req.headers, HEADER_HOST) or ""
        sent = await async_exchange(
            self._origin,
            attrs.evolve(req, headers=tuple(headers), host=host),
            timeout,
            self._pool,
            match=partial(_match, request_id),
            request_id=request_id or "",
            memory=self._memory,
        )
        if isinstance(sent, Err):
            return sent
        body = sent.unwrap()
        problem = _check(body)
        if problem is None:
            return Ok(body)
        if problem.may_have_run:
            await body.async_close()
        else:
            await _async_read_out(body)
        return Err(problem)


class SamplerOrders(OrderPort):
    """Reports of and orders to engines, each to the start that it is meant for.

    An order is framed by reports, and the three share a kept connection; new ones are paid for, and
    these were a third of all on a calm day. An order whose answer is lost on a kept connection is
    settled by the next report, as any other.

    An order carries the engine's id and a sequence number, and both fit the next start as well, which
    counts from 0 again. Only its connection tells one start from another: an order goes out on the one on
    which a report told the start, or, where that has closed, on a new one after a report on that.
    """

    def __init__(self, find: Callable[[str], Registration | None]) -> None:
        self._find = find
        self._pools: dict[str, KeptStreams] = {}

    async def async_report(self, upstream: str) -> Result[EngineReport, PlatformError]:
        """Ask an engine what it serves."""
        called = await self._async_call(upstream, "GET", PATH_REPORT, b"")
        if isinstance(called, Err):
            return Err(called.unwrap_err())
        status, data = called.unwrap()
        try:
            raw = msgspec.json.decode(data, type=_Report)
        except (msgspec.DecodeError, ValueError, RecursionError) as exc:
            return Err(PlatformError(PlatformReason.BAD_ANSWER, str(exc), status))
        row = self._find(upstream)
        if row is None or (row.born and _start(raw) not in (0, row.born)):
            # The engine is further than its entry, or what it said came after its end.
            return Err(
                PlatformError(PlatformReason.START_OVER, "another start", may_have_run=False)
            )
        versions = {model.name: model.version for model in raw.models}
        return Ok(EngineReport(raw.seq, raw.busy, raw.running, versions))

    async def async_order(self, upstream: str, order: VersionOrder) -> OrderOutcome:
        """Send an order, unless the start is over that it was decided for."""
        pool = self._pools.get(upstream)
        if pool is None or not pool.ready():
            reported = await self.async_report(upstream)
            if isinstance(reported, Err) or reported.unwrap().sequence != order.sequence:
                return OrderOutcome.REFUSED
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
        row = self._find(upstream)
        if row is None:
            self._forget_gone()
            return Err(PlatformError(PlatformReason.START_OVER, "gone", may_have_run=False))
        if upstream not in self._pools:
            self._forget_gone()
        pool = self._pools.setdefault(upstream, KeptStreams(most=1))
        headers: list[tuple[str, str]] = [(HEADER_INSTANCE, row.id)]
        if body:
            headers.append(("Content-Type", "application/json"))
        req = UpstreamRequest(method, path, tuple(headers), body)
        sent = await async_exchange(HttpOrigin(f"http://{row.address}"), req, _CALL_TIMEOUT, pool)
        if isinstance(sent, Err):
            return Err(sent.unwrap_err())
        answer = sent.unwrap()
        try:
            data = await answer.async_whole(MAX_REPORT_BYTES)
        except UpstreamCut as exc:
            return Err(PlatformError(PlatformReason.CUT, str(exc)))
        return Ok((answer.head.status, data))

    def _forget_gone(self) -> None:
        """Close what is kept to starts that are over: nobody asks for them again."""
        for upstream in [key for key in self._pools if self._find(key) is None]:
            self._pools.pop(upstream).close()


def _match(request_id: str | None, head: UpstreamHead) -> AnswerTo:
    """Tell whether an answer is to this request.

    A late copy of an earlier answer on the connection may say anything, also that its request was
    not run, which says nothing of this one.
    """
    echoed = _find(head.headers, HEADER_REQUEST_ID)
    if request_id is None or echoed == request_id:
        return AnswerTo.THIS
    return AnswerTo.UNKNOWN if echoed is None else AnswerTo.ANOTHER


def _check(body: UpstreamBody) -> PlatformError | None:
    """Tell what is wrong with an answer's head, if anything."""
    head = body.head
    if head.status == STATUS_MISDIRECTED:
        return PlatformError(
            PlatformReason.START_OVER, "another process", head.status, may_have_run=False
        )
    if _find(head.headers, HEADER_NOT_RUN) is not None:
        return PlatformError(PlatformReason.REFUSED, "not run", head.status, may_have_run=False)
    if head.status in _SUCCESS and not _find(head.headers, HEADER_SIGNATURE):
        return PlatformError(PlatformReason.BAD_ANSWER, "success without signature", head.status)
    return None


async def _async_read_out(body: UpstreamBody) -> None:
    """Read a refusal to its end, so that its connection can be used again, unless that takes long."""
    try:
        async with asyncio.timeout(_READ_OUT_TIMEOUT.total_seconds()):
            await body.async_whole(_MAX_REFUSAL_BYTES)
    except (UpstreamCut, TimeoutError):
        await body.async_close()


def _find(headers: tuple[tuple[str, str], ...], name: str) -> str | None:
    lower = name.lower()
    return next((value for key, value in headers if key.lower() == lower), None)

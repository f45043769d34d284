"""Upstreams and stores whose bytes are no answer and never end: time, memory and connections stay bounded."""

import asyncio
import os
import threading
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import attrs
import pytest
from result import Ok

from cranberryline.platform.adapter import UsersPlatform
from cranberryline.platform.samplers import SamplerOrders
from cranberryline.platform.store import HttpStore
from cranberryline.ports import HttpEngine, UpstreamCut
from cranberryline.ports.const import MAX_KEPT
from cranberryline.ports.model import PlainServicePort, UpstreamRequest, VmEntry, VmRole, VmState
from cranberryline.ports.orders import OrderOutcome, VersionOrder
from cranberryline.upstreams.directory import Registration
from stand_ins.endless import FORMS, EndlessServer

_TIMEOUT = timedelta(seconds=2)
# A slow machine may take this much longer than a call's own time limit.
_LATE_S = 1.0
_LONGEST_STALL_S = 0.5
MOST_GROWTH_BYTES = 96 * 1024 * 1024
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# A connection that looked sound is kept for so long, and closed by then.
_CLOSED_WITHIN_S = MAX_KEPT.total_seconds() + 1


@attrs.define
class Watch:
    """How much this process grew, and how long its loop stood still, while it was watched."""

    growth_bytes: int = 0
    stall_s: float = 0.0
    _ended: threading.Event = attrs.field(factory=threading.Event)

    async def async_run(self, work: Awaitable[Any]) -> Any:
        """Watch while something runs, and return its result."""
        ticking = asyncio.ensure_future(self._async_tick())
        watching = threading.Thread(target=self._weigh)
        watching.start()
        try:
            return await work
        finally:
            self._ended.set()
            ticking.cancel()
            watching.join()

    async def _async_tick(self) -> None:
        while True:
            ticked_at = time.monotonic()
            await asyncio.sleep(0.01)
            self.stall_s = max(self.stall_s, time.monotonic() - ticked_at)

    def _weigh(self) -> None:
        before = _resident_bytes()
        while not self._ended.wait(0.005):
            self.growth_bytes = max(self.growth_bytes, _resident_bytes() - before)


def _resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * _PAGE_BYTES


def _request(method: str = "GET") -> UpstreamRequest:
    return UpstreamRequest(method, "/x", (("Attempt-Id", "r1"),))


def _client(address: str) -> PlainServicePort:
    row = VmEntry("i-1", VmRole.UPSTREAM, VmState.LIVE, "q1", "", f"http://{address}", "x", "i-1")
    return UsersPlatform("127.0.0.1:1").connect(row)


async def _async_request(address: str) -> bool:
    """Send a request and read its whole answer; return whether there was one."""
    sent = await _client(address).async_send(_request(), _TIMEOUT)
    if not isinstance(sent, Ok):
        return False
    try:
        async for _ in sent.unwrap().chunks():
            pass
    except UpstreamCut:
        return False
    return True


async def _async_unsafe_request(address: str) -> bool:
    """Send requests that may run once at the same time, as one upstream gets them from many callers."""
    answers = await asyncio.gather(*(_async_request(address) for _ in range(8)))
    return any(answers)


def _orders(address: str) -> SamplerOrders:
    row = Registration("i-1", "engines", address, "q1", 4, False, {"m": 1}, 100)
    return SamplerOrders(lambda _key: row)


async def _async_report(address: str) -> bool:
    return isinstance(await _orders(address).async_report("i-1@100"), Ok)


async def _async_order(address: str) -> bool:
    outcome = await _orders(address).async_order("i-1@100", VersionOrder("m", 2, "front-1", 7, 0))
    return outcome not in (OrderOutcome.REFUSED, OrderOutcome.UNKNOWN)


async def _async_store_read(address: str) -> bool:
    wait = timedelta(seconds=1)
    return isinstance(await HttpStore(address).async_read("jobs", 0, 0, wait, _TIMEOUT), Ok)


async def _async_store_append(address: str) -> bool:
    return isinstance(await HttpStore(address).async_append("jobs", 0, [b"a"], _TIMEOUT), Ok)


async def _async_engine_load(address: str) -> bool:
    return isinstance(await HttpEngine(f"http://{address}", _TIMEOUT).async_load(), Ok)


WAYS: dict[str, Callable[[str], Awaitable[bool]]] = {
    "request": _async_request,
    "requests at once": _async_unsafe_request,
    "report": _async_report,
    "order": _async_order,
    "store read": _async_store_read,
    "store append": _async_store_append,
    "engine load": _async_engine_load,
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("way", WAYS)
def test_endless_bytes_end_in_time_with_bounded_memory_and_no_connection_left(
    way: str, form: str
) -> None:
    """Guards against a gateway that stands still, grows or keeps connections by an upstream in trouble."""

    async def scene() -> None:
        server, watch = EndlessServer(form), Watch()
        began = time.monotonic()
        answered = await watch.async_run(WAYS[way](server.address))
        took = time.monotonic() - began
        closed_by = time.monotonic() + _CLOSED_WITHIN_S
        while server.open_connections and time.monotonic() < closed_by:  # noqa: ASYNC110 - threads
            await asyncio.sleep(0.01)
        server.stop()
        print(f"{took:.2f} s, stall {watch.stall_s:.2f} s, {watch.growth_bytes >> 20} MiB")
        assert not answered
        assert took < _TIMEOUT.total_seconds() + _LATE_S
        assert watch.stall_s < _LONGEST_STALL_S
        assert watch.growth_bytes < MOST_GROWTH_BYTES
        assert server.opened and not server.open_connections

    asyncio.run(scene())

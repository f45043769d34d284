"""Memory of a request that waits, of one on its connection, and of the member list."""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from random import Random

import zmq
from result import Ok

from cranberryline.configs.model import ServiceSpec, ServiceType
from cranberryline.dispatch.model import CallerRequest
from cranberryline.dispatch.scheduler import ServiceScheduler
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.helpers.clock import SystemClock
from cranberryline.ports.model import VmList
from cranberryline.transport import Dialer, DialerEvents, Exchange
from cranberryline.transport.model import Hello
from cranberryline.upstreams import Membership

from .members import rows_of
from .report import print_fits, print_line
from .target import ENTRIES, SAMPLERS

__all__ = ["measure"]

_PART = "memory"
_REQUESTS = (100, 400, 1600)
_SHARES = (0.25, 0.5, 1.0)
_BODY = 4_000


def _held(make: Callable[[], object]) -> tuple[int, object]:
    """Return the bytes that what is made holds, with what was made."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held, made


def _waiting(count: int) -> dict[str, float]:
    """Return what requests hold while they wait in an entry's lane."""

    async def async_case() -> int:
        spec = ServiceSpec(ServiceType.ENGINE, model="m")
        clock, rng = SystemClock(), Random(1)
        lane = ServiceScheduler("s", clock, rng, UpstreamTable(), lambda: spec, {})
        start_by = clock.monotonic() + timedelta(minutes=10)
        gc.collect()
        tracemalloc.start()
        tasks = [
            asyncio.ensure_future(lane.async_reserve_slot(_request(n), start_by, frozenset()))
            for n in range(count)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return held

    held = asyncio.run(async_case())
    return {"requests": count, "waiting_kib": round(held / 1024, 1)}


def _request(number: int) -> CallerRequest:
    body = str(number).encode().ljust(_BODY, b".")
    headers = (("Content-Type", "application/json"), ("X-Number", str(number)))
    deadline = timedelta(seconds=time.monotonic() + 600)
    return CallerRequest("s", "POST", "/v1/completions", headers, body, deadline, f"c{number}")


def _outstanding(count: int) -> dict[str, float]:
    """Return what requests hold at the connection while their answers come."""
    ctx = zmq.Context()
    ids = iter(range(count))
    hello = Hello("e", "i", "entry", "dc", 0)
    peer = Dialer(
        ctx,
        SystemClock(),
        "s",
        "tcp://127.0.0.1:1",
        lambda: hello,
        DialerEvents(),
        lambda: next(ids),
    )
    held, _ = _held(lambda: [Exchange(peer, n, 323) for n in range(count)])
    ctx.term()
    return {"requests": count, "exchange_kib": round(held / 1024, 1)}


def _members(entries: int, upstreams: int) -> dict[str, float]:
    """Return what the member list holds."""

    def make() -> Membership:
        membership = Membership()
        assert isinstance(membership.apply_list(VmList(1, rows_of(entries, upstreams))), Ok)
        return membership

    held, _ = _held(make)
    return {"entries": entries, "upstreams": upstreams, "list_kib": round(held / 1024)}


def measure(quick: bool) -> None:
    """Measure each size in turn."""
    waiting = [_waiting(count) for count in _REQUESTS]
    outstanding = [_outstanding(count) for count in _REQUESTS]
    members = [_members(int(ENTRIES * share), int(SAMPLERS * share)) for share in _SHARES]
    for row in [*waiting, *outstanding, *members]:
        print_line(_PART, **row)
    print_fits(_PART, waiting, "requests", ["waiting_kib"], _REQUESTS[-1])
    print_fits(_PART, outstanding, "requests", ["exchange_kib"], _REQUESTS[-1])
    print_fits(_PART, members, "upstreams", ["list_kib"], SAMPLERS)

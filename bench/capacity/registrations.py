"""Cost of registrations at a gateway: a whole list, beats that change nothing, a burst of restarts."""

import asyncio
import gc
import itertools
import time
import tracemalloc
from typing import Any, cast

import msgspec

from cranberryline.dispatch.direct import DirectUpstreams
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.gateway.links import DirectLinks
from cranberryline.gateway.registrations import Registrations
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.logging import Level, set_level
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.platform.adapter import UsersPlatform
from cranberryline.ports.store import KeyedRecord
from cranberryline.routes import ActiveRoutes, RouteTable
from cranberryline.upstreams.directory import Directory

from .report import print_fits, print_line
from .target import DATA_CENTERS, SAMPLERS

__all__ = ["measure"]

_PART = "registrations"
_SHARES = (0.125, 0.25, 0.5, 1.0)
_QUICK_SHARES = (0.02, 0.04, 0.08)
_RESTARTS = 1_000
# A second's restarts come in as many reads: a gateway gathers records for 200 ms.
_READS = 5
_SERVICES = 8
_BORN = 1_764_000_000_000


def _record(number: int, start: int, seq: int) -> KeyedRecord:
    entry = {
        "service": f"engines-{number % _SERVICES}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:{9000 + start}",
        "zone": f"dc-{number % DATA_CENTERS}",
        "version": "1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "models": [{"name": f"model-{number % _SERVICES}", "version": 3, "adapters": []}],
        "seq": seq,
        "born": _BORN + start,
    }
    return KeyedRecord(f"i-{number:05}", msgspec.json.encode(entry), seq)


class _Gateway:
    """The parts of a gateway that a registration goes through."""

    def __init__(self) -> None:
        clock, metrics, table = SystemClock(), Metrics(), UpstreamTable()
        loop = asyncio.get_running_loop()
        platform, routes = UsersPlatform("127.0.0.1:9"), ActiveRoutes()
        self.directory = Directory(clock, StoreHealth(clock), loop.call_soon)
        directs = DirectUpstreams(
            clock,
            metrics,
            cast(Any, None),
            "life-1",
            itertools.count(1).__next__,
            lambda _service: None,
            lambda: None,
            platform.connect,
        )
        self.links = DirectLinks(table, directs)
        self.registrations = Registrations(platform, self.directory, routes, metrics)
        routes.apply(RouteTable(1, services={f"engines-{n}": None for n in range(_SERVICES)}))
        self.directory.listen_superseded(directs.abort_requests)
        self.directory.membership.listen(
            lambda changed: self.links.apply(self.directory.membership, changed)
        )

    async def async_read(self, records: list[KeyedRecord]) -> float:
        """Take what one read brought, and all that follows; return the processor time in ms."""
        began = time.process_time()
        for record in records:
            self.registrations.apply_record(record)
        await asyncio.sleep(0)
        return 1000 * (time.process_time() - began)


async def _async_measure(upstreams: int) -> dict[str, float]:
    gateway = _Gateway()
    listed = [_record(number, 0, 1) for number in range(upstreams)]
    beats = [_record(number, 0, 2) for number in range(upstreams)]
    restarted = min(_RESTARTS, upstreams)
    again = [_record(number, 1, 3) for number in range(restarted)]
    share = -(-restarted // _READS)
    gc.collect()
    list_ms = await gateway.async_read(listed)
    version = gateway.directory.membership.version
    beats_ms = await gateway.async_read(beats)
    published = gateway.directory.membership.version - version
    reads = [again[at : at + share] for at in range(0, restarted, share)]
    restarts_ms = sum([await gateway.async_read(part) for part in reads])
    assert len(gateway.directory.membership.upstreams()) == upstreams
    return {
        "upstreams": upstreams,
        "list_ms": round(list_ms, 2),
        "beats_ms": round(beats_ms, 2),
        "published_by_beats": published,
        "restarts": restarted,
        "restarts_ms": round(restarts_ms, 2),
    }


async def _async_memory(upstreams: int) -> int:
    """Return the bytes that a gateway holds for a list."""
    records = [_record(number, 0, 1) for number in range(upstreams)]
    gc.collect()
    tracemalloc.start()
    gateway = _Gateway()
    before = tracemalloc.get_traced_memory()[0]
    await gateway.async_read(records)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held


def measure(quick: bool) -> None:
    """Measure each size in turn."""
    set_level(Level.WARNING)
    rows = []
    for share in _QUICK_SHARES if quick else _SHARES:
        upstreams = int(SAMPLERS * share)
        row = asyncio.run(_async_measure(upstreams))
        row["held_bytes"] = asyncio.run(_async_memory(upstreams))
        rows.append(row)
        print_line(_PART, **row)
    names = ("list_ms", "beats_ms", "restarts_ms", "held_bytes")
    print_fits(_PART, rows, "upstreams", names, SAMPLERS)

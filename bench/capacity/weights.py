"""Time for a weight version to be on all samplers, under the store's rate limit."""

import asyncio
import time
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryline.configs.fold import ConfigFold
from cranberryline.configs.relay import ConfigRelay, RelayPort
from cranberryline.decisions import SwapSettings
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import (
    EngineLoad,
    EnginePort,
    LogRecord,
    UpstreamBody,
    UpstreamRequest,
)
from cranberryline.side.config_sync import SideConfigSync
from cranberryline.side.weights import StaggeredSwapDelay, WeightsController
from cranberryline.transport.model import ConfigDelta, ConfigRequest, Message

from .report import print_fits, print_line
from .target import SAMPLERS

__all__ = ["measure"]

_PART = "weights"
# No size is below the rate, so that it and not the share that may swap is the bound.
_SIZES_BY_RATE = {25.0: (50, 100, 200), 100.0: (100, 200, 400)}
_QUICK_SIZES_BY_RATE = {25.0: (20, 30, 40)}
_SWAP = timedelta(milliseconds=500)
_SERVICE = "redacteurs"
_NEW_VERSION = 2
_WANTED = timedelta(seconds=6)


@attrs.define
class _Store:
    """Refuse fetches over a rate, in windows of a second as a token bucket of that size would."""

    rate: float
    tokens: float = 1.0
    at: float = attrs.field(factory=time.monotonic)
    refused: int = 0

    def take(self) -> bool:
        """Take one fetch, or refuse it."""
        now = time.monotonic()
        self.tokens = min(self.rate / 4, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        return True


class _Engine(EnginePort):
    """Swap in half a second once the store has given the weights."""

    def __init__(self, store: _Store) -> None:
        self.version, self.fence = 1, 0
        self.swapped_at = 0.0
        self.swapped = asyncio.Event()
        self._store = store

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Refuse: nobody samples here."""
        return Err(PlatformError(PlatformReason.REFUSED, "not here"))

    async def async_cancel(self, request_id: str) -> Result[bool, PlatformError]:
        """Have no stream."""
        return Ok(False)

    async def async_load_weights(
        self, model: str, version: int, fence: int, timeout: timedelta
    ) -> Result[int, PlatformError]:
        """Fetch and swap."""
        if not self._store.take():
            return Err(PlatformError(PlatformReason.REFUSED, "busy", status=503, retry_after_s=1.0))
        await asyncio.sleep(_SWAP.total_seconds())
        self.version, self.fence, self.swapped_at = version, fence, time.monotonic()
        if version == _NEW_VERSION:
            self.swapped.set()
        return Ok(version)

    async def async_load(self) -> Result[EngineLoad, PlatformError]:
        """Report the version served."""
        return Ok(EngineLoad(0, 0, 0, 8, self.version, self.fence))

    async def async_cache_events(
        self, after: int, wait: timedelta
    ) -> Result[list[dict[str, Any]], PlatformError]:
        """Have no events."""
        return Ok([])


class _Entry(RelayPort):
    """Answer one side process's requests from the entry's fold, in the loop's next turn."""

    def __init__(self, relay: ConfigRelay) -> None:
        self.relay = relay
        self.sync: SideConfigSync | None = None

    def entry_peers(self) -> Iterable[str]:
        """Return the one entry."""
        return ["entry-1"]

    def side_peers(self) -> Iterable[str]:
        """Return nobody."""
        return []

    def send(self, peer: str, message: Message) -> None:
        """Answer a request."""
        if isinstance(message, ConfigRequest) and self.sync is not None:
            answer = self.relay.delta_since(message.start)
            asyncio.get_running_loop().call_soon(self.sync.on_message, "entry-1", answer)

    def push(self, delta: ConfigDelta) -> None:
        """Send what is new."""
        if self.sync is not None:
            self.sync.on_message("entry-1", delta)


def _record(offset: int, kind: str, spec: dict[str, Any], amends: int = 0) -> LogRecord:
    schema = 2 if kind == "service" else 1
    data = {"kind": kind, "name": _SERVICE, "schema": schema, "amends": amends, "spec": spec}
    return LogRecord(offset, datetime.now(UTC), f"r{offset}", data)


async def _async_size(samplers: int, rate: float) -> dict[str, float]:
    relay, store = ConfigRelay(ConfigFold()), _Store(rate)
    shift = {"fetches_per_second": rate, "swap_fraction": 1.0}
    relay.fold_record(_record(1, "service", {"type": "engine", "model": "m", "weights": shift}))
    relay.fold_record(_record(2, "weights", {"version": 1}))
    names = tuple(f"sampler-{n}" for n in range(samplers))
    tasks, entries, engines = [], [], []
    for name in names:
        entry, clock, metrics = _Entry(relay), SystemClock(), Metrics()
        sync = entry.sync = SideConfigSync(entry, clock, metrics)
        engine = _Engine(store)
        slots = StaggeredSwapDelay(name, lambda: names)
        controller = WeightsController(_SERVICE, sync, engine, slots, clock, metrics)
        tasks += [asyncio.ensure_future(sync.async_run())]
        tasks += [asyncio.ensure_future(controller.async_run())]
        entries.append(entry)
        engines.append(engine)
    await asyncio.sleep(1.5)
    refused = store.refused
    began, cpu = time.monotonic(), time.process_time()
    relay.fold_record(_record(3, "weights", {"version": _NEW_VERSION}, 2))
    for entry in entries:
        entry.push(relay.delta_since(3))
    await asyncio.gather(*(engine.swapped.wait() for engine in engines))
    last = max(engine.swapped_at for engine in engines) - began
    cpu_s = time.process_time() - cpu
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {
        "samplers": samplers,
        "store_rate": rate,
        "seconds_to_all": round(last, 2),
        "refused_fetches": store.refused - refused,
        "cpu_ms_each": round(1000 * cpu_s / samplers, 2),
    }


def measure(quick: bool) -> None:
    """Measure each rate over the sizes, and tell what the wanted time needs."""
    for rate, sizes in (_QUICK_SIZES_BY_RATE if quick else _SIZES_BY_RATE).items():
        rows = []
        for size in sizes:
            row = asyncio.run(_async_size(size, rate))
            rows.append(row)
            print_line(_PART, **row)
        print_fits(f"{_PART} at {rate:g}/s", rows, "samplers", ["seconds_to_all"], SAMPLERS)
    swap = SwapSettings().swap_time
    print_line(
        _PART,
        wanted_s=_WANTED.total_seconds(),
        swap_s=swap.total_seconds(),
        fetches_per_s_needed=round(SAMPLERS / (_WANTED - swap).total_seconds()),
    )

"""Samples a second through ledger, runner and cursor, and what an undelivered one holds."""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from result import Ok, Result

from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import ScorePort
from cranberryline.samples.hedging import SlowestFirst
from cranberryline.samples.ledger import StepLedger
from cranberryline.samples.model import Completion, GroupDeclaration, Pull, Segment, StepDeclaration
from cranberryline.samples.ports import (
    DispatchError,
    RolloutConfig,
    RolloutLimits,
    SampleDispatch,
    SampleRequest,
)
from cranberryline.samples.runner import RunnerPorts
from cranberryline.samples.table import StepTable

from .report import print_fits, print_line
from .target import SAMPLES_PER_STEP

__all__ = ["measure"]

_PART = "samples"
_SIZES = (512, 1024, 2048, 4096, 8192)
_QUICK_SIZES = (64, 128, 256)
_GROUP = 8
_BATCH = 64
_IN_FLIGHT = 256
# One completion after the other, so that each is looked at by itself as in a running system.
_PACE = 800.0
_UNPACED = 1e6
_TEXT_BYTES = 2_000
_TOKENS = 323  # 9.4 million tokens a second over 29,000 requests


class _Dispatch(SampleDispatch):
    """Answer one completion after the other, at an even pace."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._next_at = 0.0

    async def async_complete(
        self, req: SampleRequest, on_dispatched: Callable[[str], None]
    ) -> Result[Completion, DispatchError]:
        """Return a completion with a text of its own."""
        on_dispatched("sampler-1")
        self._next_at = max(self._next_at, time.monotonic()) + self._interval_s
        await asyncio.sleep(self._next_at - time.monotonic())
        return Ok(_completion(req.attempt))


class _Scorer(ScorePort):
    """Score everything alike."""

    async def async_score(self, sample: dict[str, Any]) -> Result[float, PlatformError]:
        """Return one score."""
        return Ok(1.0)


class _Config(RolloutConfig):
    """One trainer's limits."""

    def limits(self, trainer: str, service: str) -> RolloutLimits | None:
        """Return the limits."""
        return RolloutLimits(1, 1, _IN_FLIGHT)


def _completion(name: str) -> Completion:
    return Completion(name.ljust(_TEXT_BYTES, "."), (Segment(1, _TOKENS),), "sampler-1")


def _declaration(samples: int) -> StepDeclaration:
    groups = tuple(GroupDeclaration(f"prompt {n}", _GROUP, 512) for n in range(samples // _GROUP))
    return StepDeclaration("trainer-1", 1, "redacteurs", groups)


async def _async_step(samples: int, pace: float, late: bool) -> dict[str, float]:
    """Make and pull a whole step; a trainer that is late finds undelivered samples."""
    ports = RunnerPorts(_Dispatch(1 / pace), _Scorer(), SlowestFirst(), Metrics(), SystemClock())
    table = StepTable(ports, _Config())
    began, wall = time.process_time(), time.monotonic()
    runner = table.declare(_declaration(samples), owner=True).unwrap()
    await asyncio.sleep(samples / pace if late else 0.0)
    cursor, received, pulls = "", set(), 0
    while True:
        pull = Pull(cursor, 1, _BATCH, timedelta(seconds=5))
        batch = (await runner.async_pull(pull)).unwrap()
        pulls += 1
        received |= {sample.id for sample in batch.samples}
        cursor = batch.next_cursor
        if batch.done:
            break
    cpu_s, wall_s = time.process_time() - began, time.monotonic() - wall
    await table.async_close()
    assert len(received) == samples
    return {
        "samples": samples,
        "pace": pace,
        "late": late,
        "pulls": pulls,
        "cpu_s": round(cpu_s, 4),
        "samples_per_s": round(samples / wall_s),
        "cpu_us_each": round(1e6 * cpu_s / samples, 1),
        "cursor_bytes": len(cursor),
        "log_appends": 0,
    }


def _undelivered(samples: int) -> dict[str, float]:
    """Return what finished samples hold beyond their text."""
    declaration = _declaration(samples)
    gc.collect()
    tracemalloc.start()
    ledger = StepLedger(declaration)
    empty = tracemalloc.get_traced_memory()[0]
    for number, sample_id in enumerate(ledger.startable(samples)):
        ledger.start(sample_id, str(number))
        ledger.finish(sample_id, str(number), _completion(str(number)), 1.0)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "samples": samples,
        "text_bytes": _TEXT_BYTES,
        "declared_kib": round(empty / 1024, 1),
        "undelivered_kib": round((held - empty) / 1024, 1),
        "bytes_each": round((held - empty) / samples),
    }


def measure(quick: bool) -> None:
    """Measure each size in turn."""
    sizes = _QUICK_SIZES if quick else _SIZES
    whole = [asyncio.run(_async_step(size, _UNPACED, late=False)) for size in sizes]
    rows = [asyncio.run(_async_step(size, _PACE, late=False)) for size in sizes]
    late = [asyncio.run(_async_step(size, _PACE, late=True)) for size in sizes]
    held = [_undelivered(size) for size in sizes]
    for row in [*whole, *rows, *late, *held]:
        print_line(_PART, **row)
    print_fits(_PART, rows, "samples", ["cpu_s"], SAMPLES_PER_STEP)
    print_fits(f"{_PART} late", late, "samples", ["cpu_s"], SAMPLES_PER_STEP)
    print_fits(_PART, held, "samples", ["undelivered_kib", "declared_kib"], SAMPLES_PER_STEP)

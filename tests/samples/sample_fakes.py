"""Fakes of the dependencies of a step runner."""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import ScorePort
from cranberryline.samples import Completion, DiscardReason, Segment
from cranberryline.samples.ports import (
    DispatchError,
    RolloutConfig,
    RolloutLimits,
    SampleDispatch,
    SampleRequest,
)

__all__ = ["FakeConfig", "FakeDispatch", "FakeScorer", "OrderedEngines"]


class FakeDispatch(SampleDispatch):
    """Engines that serve `version`; first attempts at samples in `blocked` wait for their event."""

    def __init__(self) -> None:
        self.version = 5
        self.failing: DiscardReason | None = None
        self.retry_after: timedelta | None = None
        self.blocked: dict[str, asyncio.Event] = {}
        self.started: Counter[str] = Counter()
        self.avoided: list[frozenset[str]] = []
        self.pause_s = 0.0
        self.running = 0
        self.max_running = 0

    async def async_complete(
        self, req: SampleRequest, on_dispatched: Callable[[str], None]
    ) -> Result[Completion, DispatchError]:
        """Generate one sample."""
        self.started[req.sample_id] += 1
        self.avoided.append(req.avoid)
        upstream = f"u{self.started[req.sample_id]}"
        on_dispatched(upstream)
        self.running += 1
        self.max_running = max(self.running, self.max_running)
        try:
            version = self.version
            if self.started[req.sample_id] == 1 and req.sample_id in self.blocked:
                await self.blocked[req.sample_id].wait()
            await asyncio.sleep(self.pause_s)
        finally:
            self.running -= 1
        if self.failing is not None:
            return Err(DispatchError(self.failing, retry_after=self.retry_after))
        text = f"{req.sample_id}@{upstream}"
        return Ok(Completion(text, (Segment(version, 3),), upstream))


class OrderedEngines(SampleDispatch):
    """Engines selected in a fixed order, as with prefix affinity; `broken` ones omit the version.

    As in an entry's dispatch queue, the first one is selected if every engine is to be avoided.
    """

    def __init__(self, engines: list[str]) -> None:
        self.engines = engines
        self.broken: set[str] = set()
        self.tried: dict[str, list[str]] = {}

    async def async_complete(
        self, req: SampleRequest, on_dispatched: Callable[[str], None]
    ) -> Result[Completion, DispatchError]:
        """Generate one sample in half a second."""
        allowed = [engine for engine in self.engines if engine not in req.avoid]
        upstream = (allowed or self.engines)[0]
        self.tried.setdefault(req.sample_id, []).append(upstream)
        on_dispatched(upstream)
        await asyncio.sleep(0.5)
        if upstream in self.broken:
            return Err(DispatchError(DiscardReason.VERSION_MISSING))
        return Ok(Completion(req.sample_id, (Segment(5, 3),), upstream))


class FakeScorer(ScorePort):
    """Returns a score of 1; fails `failures` times first, or returns NaN if that is negative."""

    def __init__(self) -> None:
        self.failures = 0
        self.score = 1.0
        self.calls = 0

    async def async_score(self, sample: dict[str, Any]) -> Result[float, PlatformError]:
        """Score one sample."""
        self.calls += 1
        if self.failures > 0:
            self.failures -= 1
            return Err(PlatformError(PlatformReason.TIMEOUT))
        if self.failures < 0:
            self.failures += 1
            return Ok(float("nan"))
        return Ok(self.score)


class FakeConfig(RolloutConfig):
    """Configuration with one trainer `t` and one service `s`."""

    def __init__(self) -> None:
        self.current_limits = RolloutLimits(5, staleness_bound=1, max_in_flight=4, freshness=0.0)

    def limits(self, trainer: str, service: str) -> RolloutLimits | None:
        """Return the current limits."""
        return self.current_limits if (trainer, service) == ("t", "s") else None

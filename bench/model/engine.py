"""A model of an engine: continuous batching as processor sharing, with a prefix cache.

Each running request makes `sequence_rate` tokens a second until the batch as a whole reaches
`total_rate`, which its requests then share. A prompt costs its tokens at `PREFILL_SPEEDUP` times
that speed, a tenth of it when its prefix is cached.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from itertools import count

import attrs

from .simulation import Event, Simulation

__all__ = ["Engine", "EngineSettings", "Job"]

PREFILL_SPEEDUP = 20.0
CACHED_SHARE = 0.1
CACHE_PREFIXES = 24


@attrs.frozen
class EngineSettings:
    """How fast an engine is."""

    slots: int = 16
    sequence_rate: float = 50.0
    total_rate: float = 600.0


@attrs.define(eq=False)
class Job:
    """A request that runs on an engine."""

    prompt_tokens: int
    output_tokens: int
    prefix: str
    done: Callable[["Job"], None]
    start_work: float = 0.0
    end_work: float = 0.0
    prefill_work: float = 0.0
    running: bool = False


class Engine:
    """Run jobs; `speed` 1 is healthy and 0 stands still."""

    def __init__(self, sim: Simulation, settings: EngineSettings) -> None:
        self.settings = settings
        self.failing = False
        self.work_done = 0.0
        self.prefill_work = 0.0
        self.request_seconds = 0.0
        self._sim = sim
        self._speed = 1.0
        self._paused = False
        self._work = 0.0
        self._since = 0.0
        self._running = 0
        self._ends: list[tuple[float, int, Job]] = []
        self._order = count()
        self._next: Event | None = None
        self._cache: OrderedDict[str, None] = OrderedDict()

    @property
    def running(self) -> int:
        """Return how many jobs run."""
        return self._running

    def set_speed(self, speed: float) -> None:
        """Make the engine faster or slower from now on."""
        self._advance()
        self._speed = speed
        self._reschedule()

    def pause(self) -> None:
        """Stand still until resumed, as during a swap of weights."""
        self._advance()
        self._paused = True
        self._reschedule()

    def resume(self) -> None:
        """Go on after a pause."""
        self._advance()
        self._paused = False
        self._reschedule()

    def start(self, job: Job) -> None:
        """Run a job; its `done` is called at its end."""
        self._advance()
        share = CACHED_SHARE if self._cached(job.prefix) else 1.0
        job.prefill_work = job.prompt_tokens * share / PREFILL_SPEEDUP
        job.start_work = self._work
        job.end_work = self._work + job.prefill_work + job.output_tokens
        job.running = True
        self._running += 1
        self.prefill_work += job.prefill_work
        heapq.heappush(self._ends, (job.end_work, next(self._order), job))
        self._reschedule()

    def cancel(self, job: Job) -> None:
        """Stop a job."""
        if not job.running:
            return
        self._advance()
        job.end_work = self._work
        job.running = False
        self._running -= 1
        self._reschedule()

    def tokens_made(self, job: Job) -> int:
        """Return how many output tokens a job has."""
        self._advance()
        work = (self._work if job.running else job.end_work) - job.start_work
        return int(min(max(0.0, work - job.prefill_work), job.output_tokens))

    def measure(self) -> tuple[float, float]:
        """Return the work done so far and the seconds spent on it, summed over requests."""
        self._advance()
        return self.work_done, self.request_seconds

    def _cached(self, prefix: str) -> bool:
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > CACHE_PREFIXES:
            self._cache.popitem(last=False)
        return hit

    def _rate(self) -> float:
        if not self._running or self._paused:
            return 0.0
        shared = self.settings.total_rate / self._running
        return self._speed * min(self.settings.sequence_rate, shared)

    def _advance(self) -> None:
        elapsed = self._sim.seconds - self._since
        self._since = self._sim.seconds
        made = elapsed * self._rate()
        self._work += made
        self.work_done += made * self._running
        self.request_seconds += elapsed * self._running

    def _reschedule(self) -> None:
        if self._next is not None:
            self._next.cancel()
            self._next = None
        while self._ends and not self._ends[0][2].running:
            heapq.heappop(self._ends)
        rate = self._rate()
        if self._ends and rate > 0:
            self._next = self._sim.after((self._ends[0][0] - self._work) / rate, self._finish)

    def _finish(self) -> None:
        self._advance()
        _, _, job = heapq.heappop(self._ends)
        self._work = max(self._work, job.end_work)
        job.running = False
        self._running -= 1
        self._next = None
        self._reschedule()
        job.done(job)

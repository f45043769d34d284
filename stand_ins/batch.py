"""An engine's continuous batch: limited slots, and steps that grow longer with the batch."""

import asyncio
import bisect
import time
from typing import Any

import attrs

from .cache import PrefixCache
from .http import Controls
from .journal import Journal
from .text import token_at, tokens_wanted

__all__ = ["Batch", "BatchControls", "Run"]

CHARS_PER_TOKEN = 4


@attrs.define
class BatchControls(Controls):
    """The times of the simulated hardware.

    A step takes `step_s`, longer by `step_growth` of it for each run beyond the first, and by
    `prefill_s` for each prompt token that the cache lacks; it makes `step_tokens` for each run.
    """

    slots: int = 16
    step_s: float = 0.02
    step_growth: float = 0.03
    step_tokens: int = 4
    prefill_s: float = 0.0001
    stragglers: float = 0.05


@attrs.define(eq=False)
class Run:
    """One request being answered."""

    tag: str
    request_id: str
    prompt: str
    count: int
    priority: int
    arrived: int
    made: int = 0
    segments: list[list[Any]] = attrs.field(factory=list)
    pieces: list[dict[str, Any]] = attrs.field(factory=list)
    state: str = "waiting"
    resumed: bool = False
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def over(self) -> bool:
        """Say whether there will be no more tokens."""
        return self.state in ("finished", "cancelled")

    def make(self, version: int | None, tokens: int) -> None:
        """Make tokens under a weight version."""
        upto = min(self.count, self.made + tokens)
        text = "".join(
            token_at(self.prompt, self.tag, i, self.count) for i in range(self.made, upto)
        )
        piece = {"text": text, "weight_version": version, "tokens": upto - self.made}
        self.pieces.append(piece)
        if self.segments and self.segments[-1][0] == version:
            self.segments[-1][1] += piece["tokens"]
        else:
            self.segments.append([version, piece["tokens"]])
        self.made = upto
        if upto == self.count:
            self.state = "finished"
        self.grown.set()

    def row(self) -> dict[str, Any]:
        """Return the journal's row of this run."""
        segments = [{"weight_version": v, "tokens": n} for v, n in self.segments]
        return {
            "kind": "run",
            "run": self.tag,
            "request_id": self.request_id,
            "state": self.state,
            "priority": self.priority,
            "segments": segments,
        }


class Batch:
    """Run requests side by side."""

    def __init__(
        self, name: str, controls: BatchControls, cache: PrefixCache, book: Journal
    ) -> None:
        self.name = name if book.boot == 1 else f"{name}.{book.boot}"
        self.controls = controls
        self.cache = cache
        self.version: int | None = 1
        self.paused = False
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self.by_id: dict[str, Run] = {}
        self.book = book
        self.tokens_made = 0
        self.busy_s = 0.0
        self._count = 0
        self._work = asyncio.Event()

    def submit(self, request_id: str, prompt: str, max_tokens: int, priority: int) -> Run:
        """Queue a request, by priority (lower goes first) and then by arrival."""
        self._count += 1
        tag = f"{self.name}#{self._count}"
        count = tokens_wanted(prompt, tag, max_tokens, self.controls.stragglers)
        run = Run(tag, request_id or tag, prompt, count, priority, self._count)
        bisect.insort(self.waiting, run, key=lambda r: (r.priority, r.arrived))
        self.by_id[run.request_id] = run
        self._work.set()
        return run

    def cancel(self, run: Run) -> bool:
        """Stop a run; False when it was over."""
        if run.over:
            return False
        run.state = "cancelled"
        if run in self.running:
            self.running.remove(run)
        else:
            self.waiting.remove(run)
        self._close(run)
        run.grown.set()
        return True

    def load(self) -> dict[str, Any]:
        """Return the true load at this moment."""
        queued = sum(r.count - r.made for r in self.running)
        queued += sum(r.count + len(r.prompt) // CHARS_PER_TOKEN for r in self.waiting)
        return {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "queued_tokens": queued,
            "slots": self.controls.slots,
            "weight_version": self.version,
        }

    async def async_loop(self) -> None:
        """Step for as long as the process lives."""
        while True:
            if self.paused or not (self.running or self.waiting):
                self._work.clear()
                await self._work.wait()
                continue
            began = time.monotonic()
            await asyncio.sleep(self._admit())
            if not self.paused:
                self._step()
            self.busy_s += time.monotonic() - began

    def resume(self) -> None:
        """Go on after a pause."""
        self.paused = False
        self._work.set()

    def _admit(self) -> float:
        """Fill the free slots; return how long the step takes."""
        prefill = 0
        while self.waiting and len(self.running) < self.controls.slots:
            run = self.waiting.pop(0)
            run.state = "running"
            self.running.append(run)
            prefill += max(0, len(run.prompt) - self.cache.use(run.prompt)) // CHARS_PER_TOKEN
        growth = 1.0 + self.controls.step_growth * (len(self.running) - 1)
        return self.controls.step_s * growth + prefill * self.controls.prefill_s

    def _step(self) -> None:
        """Make tokens for each running request."""
        for run in list(self.running):
            before = run.made
            run.make(self.version, self.controls.step_tokens)
            self.tokens_made += run.made - before
            if run.over:
                self.running.remove(run)
                self._close(run)

    def _close(self, run: Run) -> None:
        self.book.append(run.row())
        if self.by_id.get(run.request_id) is run:
            del self.by_id[run.request_id]

"""Engines that make events at a pace that changes, first in first out."""

from collections import deque
from collections.abc import Callable

import attrs

from bench.model.simulation import Event, Simulation

from .model import Text

__all__ = ["Engine", "Run"]


@attrs.define(eq=False)
class Run:
    """A text at an engine; `began` is None while it waits for its place."""

    text: Text
    ended: Callable[[], None]
    sent: float
    began: float | None = None
    since: float = 0.0
    end: Event | None = None


class Engine:
    """One engine; its runs go on beside each other at the same pace."""

    def __init__(self, name: str, pace: float, slots: int, sim: Simulation) -> None:
        self.name = name
        self.loading: dict[int, float] = {}
        self._pace = pace
        self._times = 1.0
        self.slots = slots
        self._sim = sim
        self._runs: list[Run] = []
        self._queue: deque[Run] = deque()

    def slow(self, times: float) -> None:
        """Be that many times as slow from now on."""
        for run in self._runs:
            self.settle(run)
        self._times = times
        for run in self._runs:
            self._plan(run)

    def takes(self, model: int) -> bool:
        """Tell whether runs of a model begin here, or are turned away while it loads."""
        return self._sim.seconds >= self.loading.get(model, 0.0)

    def start(self, text: Text, ended: Callable[[], None]) -> Run:
        """Take a text; `ended` is called when it is whole."""
        run = Run(text, ended, self._sim.seconds)
        self._queue.append(run)
        self._fill()
        return run

    def stop(self, run: Run) -> None:
        """Let go of a run, with the whole events that it made."""
        if run in self._queue:
            self._queue.remove(run)
            return
        self.settle(run)
        run.text.made = float(int(run.text.made))
        if run.end is not None:
            run.end.cancel()
        self._runs.remove(run)
        self._fill()

    def settle(self, run: Run) -> None:
        """Count what a run has made up to now."""
        if run.began is not None:
            now = self._sim.seconds
            run.text.made += (now - run.since) / (self._pace * self._times)
            run.since = now

    def _fill(self) -> None:
        while self._queue and len(self._runs) < self.slots:
            run = self._queue.popleft()
            run.began = run.since = self._sim.seconds
            self._runs.append(run)
            self._plan(run)

    def _plan(self, run: Run) -> None:
        if run.end is not None:
            run.end.cancel()
        left = max(run.text.length - run.text.made, 0.0)
        run.end = self._sim.after(left * self._pace * self._times, self._finish, run)

    def _finish(self, run: Run) -> None:
        run.text.made = float(run.text.length)
        self._runs.remove(run)
        self._fill()
        run.ended()

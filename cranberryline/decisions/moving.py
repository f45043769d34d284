"""Decide when a text leaves an engine that makes it more slowly than others would.

Load answered: engines of unlike speed, and some that turn several times slower for seconds without
failing. Such an engine answers, so no time limit and no health tells of it; a text that it holds goes on at
its pace to the end, and a step waits for it: a text of 176 events took 12.7 s on an engine that made an
event in 185 ms where others took 38, in a step due in 7.5 s.

A text can go on elsewhere behind its last whole event. That costs `MOVE_COST`: the connection's end, a new
request, and the prompt and all that was made read again (some 20 ms for 10,000 tokens) and a share of waiting for
a place. It is worth it when what is left would be made sooner by more than that and `MARGIN`, so short
texts and small differences stay, and texts that are over soon stay whatever the engine does.

The pace elsewhere counts only where it was heard within `HEARD_WITHIN`, and only of engines with a free
place: where all engines are slow because all are full there is none, and nothing moves. A text moves
`MOST_MOVES` times at most, and only to an engine `FASTER` times as fast, which together keep two engines
from passing a text to and fro.

What it buys where engines are of unlike speed and one turns several times slower for seconds: more groups in
time, and a shorter slowest step of a hundred; `script/bench steps` tells how much.
"""

from collections.abc import Iterable
from datetime import timedelta

from .rate_meter import RateMeter

__all__ = ["MOST_MOVES", "EnginePaces", "faster_elsewhere"]

# Some twenty events of one run: long enough that the reading of another text's prompt between two events
# does not count as slowness, short enough that a slow engine is known within a second.
HALF_LIFE = timedelta(milliseconds=800)
# Two steps of a trainer that asks each four seconds: what an engine was before that says little.
HEARD_WITHIN = timedelta(seconds=8)
MOVE_COST = timedelta(milliseconds=100)
MARGIN = timedelta(milliseconds=300)
FASTER = 1.15
MOST_MOVES = 3


class EnginePaces:
    """How fast engines make events of a single run, as far as this node heard."""

    def __init__(self) -> None:
        self._meters: dict[str, RateMeter] = {}
        self._heard: dict[str, timedelta] = {}

    def heard(self, upstream: str, events: int, spent: timedelta, now: timedelta) -> None:
        """Take `events` of a run that came `spent` after the ones before them."""
        meter = self._meters.get(upstream)
        if meter is None:
            self._forget(now)
            meter = self._meters[upstream] = RateMeter(HALF_LIFE, HEARD_WITHIN)
        meter.record(events, spent, now)
        self._heard[upstream] = now

    def _forget(self, now: timedelta) -> None:
        """Let go of engines that are gone; a new one is the moment at which the table grows."""
        for name in [name for name, at in self._heard.items() if now - at > HEARD_WITHIN]:
            del self._heard[name], self._meters[name]

    def events_per_second(self, upstream: str, now: timedelta) -> float:
        """Return the pace of one run there, 0 if nothing was heard lately."""
        meter = self._meters.get(upstream)
        return 0.0 if meter is None else meter.tokens_per_second(now)


def faster_elsewhere(events_left: float, here: float, elsewhere: Iterable[float]) -> bool:
    """Tell whether a text should leave its engine.

    `here` is the pace at its engine and `elsewhere` are those of engines with a free place, in events a
    second, 0 where it is not known.
    """
    best = max(elsewhere, default=0.0)
    if here <= 0 or best < here * FASTER:
        return False
    saved = timedelta(seconds=events_left / here - events_left / best)
    return saved > MOVE_COST + MARGIN

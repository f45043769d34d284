"""Decide when a text moves from its engine to a faster one.

An engine that slows down still answers, so neither timeouts nor health checks detect it, and a step
waits for its slowest text.
"""

import math
from collections.abc import Iterable
from datetime import timedelta

from .rate_meter import RateMeter

__all__ = ["MAX_MOVES", "EngineRates", "may_pay_to_move", "should_move"]

# Half-life of an engine's event rate: about twenty events of one run. Long enough that the prefill
# of another prompt between two events does not count as a slow engine, short enough to detect a
# slow engine within a second.
EVENT_RATE_HALF_LIFE = timedelta(milliseconds=800)
# Age at which an engine's event rate is discarded: two steps of a trainer that requests one every
# four seconds. An older rate says little about the engine now.
MAX_EVENT_RATE_AGE = timedelta(seconds=8)
# Time over which a rate must be measured. Two events that arrive in one packet show no rate.
MIN_MEASURED_TIME = timedelta(milliseconds=200)
# Time that a move costs: closing the connection, a new request, prefill of the prompt and of the
# text so far (some 20 ms for 10,000 tokens), and the average wait for a slot.
MOVE_COST = timedelta(milliseconds=100)
# Time that a move must save on top of its cost, so that short texts, texts that are nearly complete
# and texts on engines of nearly equal speed stay where they are.
MIN_NET_SAVING = timedelta(milliseconds=300)
# Least ratio of the other engine's rate to the current one's. With `MAX_MOVES` it keeps two
# engines from sending a text back and forth.
MIN_SPEEDUP = 1.15
# Most moves of one text.
MAX_MOVES = 3


class EngineRates:
    """Recent event rates of single runs on each engine, as observed by this node."""

    def __init__(self) -> None:
        self._meters: dict[str, RateMeter] = {}
        self._recorded_at: dict[str, timedelta] = {}

    def record(self, upstream: str, events: int, spent: timedelta, now: timedelta) -> None:
        """Record `events` of one run that arrived `spent` after the run's previous events."""
        meter = self._meters.get(upstream)
        if meter is None:
            self._evict_stale(now)
            meter = self._meters[upstream] = RateMeter(EVENT_RATE_HALF_LIFE, MAX_EVENT_RATE_AGE)
        meter.record(events, spent, now)
        self._recorded_at[upstream] = now

    def _evict_stale(self, now: timedelta) -> None:
        """Evict engines without a recent rate; called only when the table is about to grow."""
        for name in [
            name for name, at in self._recorded_at.items() if now - at > MAX_EVENT_RATE_AGE
        ]:
            del self._recorded_at[name], self._meters[name]

    def events_per_second(self, upstream: str, now: timedelta) -> float:
        """Return the event rate of a single run on an engine, or 0 if it is unknown.

        It is unknown if it was not measured recently, or only for a very short time.
        """
        meter = self._meters.get(upstream)
        if meter is None or meter.measured_seconds < MIN_MEASURED_TIME.total_seconds():
            return 0.0
        return meter.tokens_per_second(now)

    def faster_than(self, rate: float, now: timedelta) -> list[tuple[str, float]]:
        """Return the engines with a higher rate than the given one, and their rates."""
        rates = ((upstream, self.events_per_second(upstream, now)) for upstream in self._meters)
        return [(upstream, found) for upstream, found in rates if found > rate]


def may_pay_to_move(events_left: float, here: float) -> bool:
    """Return whether a move would save enough time if the other engine took none at all."""
    return should_move(events_left, here, (math.inf,))


def should_move(events_left: float, here: float, elsewhere: Iterable[float]) -> bool:
    """Return whether a text should move to another engine, after the last complete event.

    `here` is the rate of the text's own engine and `elsewhere` are those of engines with a free
    slot, in events per second; 0 means unknown. Where every engine is slow because all are full, no
    engine has a free slot and nothing moves.

    Staying can be costly: a text of 176 events took 12.7 s on an engine with an event every 185 ms,
    where others took 38 ms, in a step due in 7.5 s.
    """
    best = max(elsewhere, default=0.0)
    if here <= 0 or best < here * MIN_SPEEDUP:
        return False
    saved = timedelta(seconds=events_left / here - events_left / best)
    return saved > MOVE_COST + MIN_NET_SAVING

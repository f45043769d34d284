"""Speeds of engines, from the event rates that several gateways measure.

Answers engines of unequal but steady speeds, of which some turn slower for some seconds.
"""

import math
from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from statistics import median_low

import attrs

__all__ = ["EngineSpeeds"]

# Reports that count together. With a longer time a slow engine would be found too late.
MERGE_TIME = timedelta(seconds=1)
MAX_MERGED = 16
# Age up to which the latest reports count. An engine that gets no texts would stay slow otherwise.
MAX_REPORT_AGE = timedelta(seconds=5)
# The long-term speed is the median of one sample a second. Fewer than half of the samples are of an
# engine that is slow for eight seconds.
SAMPLE_INTERVAL = timedelta(seconds=1)
MAX_SAMPLES = 31
RESTORED_SAMPLES = 15
MAX_ENGINES = 4096
# Engines not heard of for this long are evicted when a new one is added.
FORGET_AFTER = timedelta(minutes=10)


@attrs.define
class _Engine:
    heard: timedelta
    reports: deque[tuple[timedelta, float]] = attrs.field(factory=lambda: deque(maxlen=MAX_MERGED))
    samples: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_SAMPLES))
    sampled: timedelta | None = None
    recent: float = 0.0

    def record(self, rate: float, now: timedelta) -> None:
        self.heard = now
        self.reports.append((now, rate))
        self.recent = median_low([each for at, each in self.reports if now - at <= MERGE_TIME])
        if self.sampled is None or now - self.sampled >= SAMPLE_INTERVAL:
            self.samples.append(self.recent)
            self.sampled = now

    def speed(self, now: timedelta) -> float:
        if self.reports and now - self.reports[-1][0] <= MAX_REPORT_AGE:
            return self.recent
        return median_low(self.samples)


class EngineSpeeds:
    """The events per second of a single text on each engine.

    The low median of the reports of a second is used: a single gateway that took two events in one
    packet for a rate does not change it, and a lower speed shows as soon as half of them tell it.
    """

    def __init__(self) -> None:
        self._engines: dict[str, _Engine] = {}  # the one heard of longest ago is the first

    def record(self, engine: str, events_per_second: float, now: timedelta) -> None:
        """Record the rate that a gateway measured lately; 0 and less are ignored."""
        if not 0 < events_per_second < math.inf:
            return
        self._hear(engine, now).record(events_per_second, now)

    def events_per_second(self, engine: str, now: timedelta) -> float:
        """Return the speed of an engine, or 0 if it is unknown."""
        found = self._engines.get(engine)
        return found.speed(now) if found else 0.0

    def known(self, now: timedelta) -> Mapping[str, float]:
        """Return the long-term speeds of all known engines."""
        return {name: median_low(engine.samples) for name, engine in self._engines.items()}

    def restore(self, rates: Mapping[str, float], now: timedelta) -> None:
        """Take over speeds that were kept from before; a newer measurement replaces them."""
        for name, rate in rates.items():
            if name in self._engines or not 0 < rate < math.inf:
                continue
            self._hear(name, now).samples.extend([rate] * RESTORED_SAMPLES)

    def _hear(self, name: str, now: timedelta) -> _Engine:
        engine = self._engines.pop(name, None)
        if engine is None:
            self._evict(now)
            engine = _Engine(now)
        self._engines[name] = engine
        return engine

    def _evict(self, now: timedelta) -> None:
        while self._engines:
            name, oldest = next(iter(self._engines.items()))
            if len(self._engines) < MAX_ENGINES and now - oldest.heard <= FORGET_AFTER:
                return
            del self._engines[name]

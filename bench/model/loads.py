"""The seeded loads that the decisions are measured on."""

import enum

import attrs

from .engine import EngineSettings
from .trainer import TrainerSettings

__all__ = ["DEPLOYMENTS", "LOADS", "CallerSettings", "Deployment", "Fault", "Load", "Window"]


@attrs.frozen
class Window:
    """A part of a run, in seconds."""

    start: float
    end: float

    def covers(self, now: float) -> bool:
        """Return whether a time lies in it."""
        return self.start <= now < self.end


class Fault(enum.StrEnum):
    """What goes wrong on upstreams."""

    NONE = "none"
    SLOW = "slow"  # the first engine works at a tenth of its speed
    STALLS = "stalls"  # each engine now and then almost stands still
    OUTAGE = "outage"  # every engine fails every request


@attrs.frozen
class CallerSettings:
    """The callers of one class: calls a second for each engine, and what they ask."""

    rate: float
    callers: int = 8
    prompt_tokens: int = 600
    median_tokens: float = 90.0
    spread: float = 0.5
    deadline: float = 10.0
    prefixes: int = 0


@attrs.frozen
class Load:
    """One pattern of load; `window` is when it differs from the ordinary."""

    name: str
    window: Window
    applications: CallerSettings
    background: CallerSettings = CallerSettings(0.1, 2, 600, 200.0, 0.5, 120.0)
    burst: float = 1.0
    heavy: float = 1.0
    long_calls: float = 0.0
    trainers: int = 2
    trainer: TrainerSettings = TrainerSettings()
    fault: Fault = Fault.NONE
    stall_every: float = 240.0
    seconds: float = 300.0


@attrs.frozen
class Deployment:
    """One operator's engines, and the setting that its measures ask for."""

    name: str
    engines: int
    entries: int
    freshness: float
    staleness_bound: int = 2
    engine: EngineSettings = EngineSettings()
    store_rate: float = 4.0


DEPLOYMENTS = (
    Deployment("beaulieu", engines=6, entries=3, freshness=0.6),
    Deployment("giat-sach-nhanh", engines=5, entries=4, freshness=0.2),
)

ORDINARY = CallerSettings(rate=1.0)
MIDDLE = Window(100.0, 200.0)
NONE = Window(0.0, 0.0)
LONG_TAIL = TrainerSettings(group_spread=0.8, sample_spread=0.6)

UNKNOWN = attrs.evolve(LONG_TAIL, known_lengths=False)

LOADS = (
    Load("steady", NONE, ORDINARY, seconds=400.0),
    Load("burst", Window(100.0, 120.0), ORDINARY, burst=8.0),
    Load("even callers", NONE, CallerSettings(rate=3.5), trainers=0),
    Load("heavy caller", MIDDLE, CallerSettings(rate=3.5), heavy=10.0, trainers=0),
    Load(
        "many prefixes",
        NONE,
        CallerSettings(rate=2.5, prompt_tokens=2000, prefixes=120),
        trainers=0,
    ),
    Load("long among short", MIDDLE, CallerSettings(rate=1.5), long_calls=0.2, trainers=0),
    Load("saturation", NONE, CallerSettings(rate=5.4), trainers=0, seconds=120.0),
    Load("twice saturation", NONE, CallerSettings(rate=10.8), trainers=0, seconds=120.0),
    Load("outage", Window(100.0, 160.0), ORDINARY, fault=Fault.OUTAGE),
    Load("slow upstream", Window(100.0, 500.0), ORDINARY, fault=Fault.SLOW, seconds=500.0),
    Load("stragglers", NONE, ORDINARY, trainer=LONG_TAIL, fault=Fault.STALLS, seconds=500.0),
    Load("unknown lengths", NONE, ORDINARY, trainer=UNKNOWN, fault=Fault.STALLS, seconds=500.0),
    Load("many stalls", NONE, ORDINARY, fault=Fault.STALLS, stall_every=90.0, seconds=400.0),
)

"""What is played: loads, policies, and the figures of a run."""

import math
from random import Random

import attrs

__all__ = ["FIGURES", "LOADS", "POLICIES", "Figures", "Policy", "Row", "StepLoad", "Text"]

TOKENS_AN_EVENT = 52
# The length that a caller tells is off by this, as the logarithm's deviation.
TOLD_SPREAD = 0.5


@attrs.frozen
class StepLoad:
    """Trainers before engines; times in seconds.

    `paces` are seconds an event of each engine; `slow_share` of the engines turn `slow_times` slower
    for `slow_for` seconds, `slow_spells` times a run.
    """

    name: str
    paces: tuple[float, ...]
    slots: int
    nodes: int
    trainers: int
    groups: int
    size: int
    mean_events: float
    slow_share: float = 0.2
    slow_times: float = 3.6
    slow_for: float = 8.0
    slow_spells: int = 2
    every: float = 4.0
    train: float = 1.0
    due: float = 8.2
    limit: float = 12.0
    wanted: float = 0.9
    load_time: float = 0.9
    seconds: float = 40.0

    def length(self, rng: Random) -> int:
        """Draw the events of a text: one in twelve is five times as long, the longest are cut."""
        length = self.mean_events / 1.32 * math.exp(rng.gauss(-0.3, 0.75))
        if rng.random() < 1 / 12:
            length *= 5
        return max(1, min(round(length), round(self.mean_events * 7.2)))


@attrs.frozen
class Policy:
    """Which of the decisions are in force.

    `crowd` counts the work of other nodes as if it were spread like a node's own; the product does not.
    """

    name: str
    told: bool = True
    paces: bool = True
    leave: bool = True
    longest_first: bool = True
    crowd: bool = False


@attrs.define(eq=False)
class Text:
    """One text of a step, and where it is."""

    group: int
    length: int
    told: int
    made: float = 0.0
    moves: int = 0
    avoid: frozenset[str] = frozenset()


@attrs.define
class Figures:
    """What came of a run: `in_time` groups of `owed`, the steps' seconds, engine seconds spent in vain.

    `unfinished` counts the texts of open steps while the run goes on, as every node hears of them.
    """

    owed: int = 0
    in_time: int = 0
    steps: list[float] = attrs.field(factory=list)
    moves: int = 0
    in_vain: float = 0.0
    unfinished: int = 0

    def value(self, name: str) -> float:
        """Return one of `FIGURES`."""
        ordered = sorted(self.steps) or [0.0]
        return {
            "in time": self.in_time / max(self.owed, 1),
            "p50 s": ordered[len(ordered) // 2],
            "p99 s": ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))],
            "moves": float(self.moves),
            "in vain s": self.in_vain,
        }[name]


@attrs.frozen
class Row:
    """A figure of one policy under one load: its mean, and the paired difference with its error."""

    load: str
    policy: str
    figure: str
    mean: float
    difference: float
    error: float


FIGURES = ("in time", "p50 s", "p99 s", "moves", "in vain s")
_FAST, _SLOWER = 0.038, 0.05
_UNLIKE = (_FAST, _FAST, _SLOWER)
LOADS = (
    StepLoad("unlike engines", _UNLIKE * 2, 12, 9, 3, 7, 5, 26),
    StepLoad("unlike engines, calm", _UNLIKE * 2, 12, 9, 3, 5, 5, 26, slow_spells=1),
    StepLoad("like engines", (0.032,) * 5, 16, 9, 3, 10, 4, 24, slow_spells=1),
    StepLoad("short texts", (0.036,) * 6, 12, 8, 1, 26, 4, 5, slow_spells=1),
    StepLoad("nearly full", _UNLIKE * 2, 5, 9, 3, 7, 5, 26),
)
POLICIES = (
    Policy("as before", told=False, paces=False, leave=False, longest_first=False),
    Policy("all"),
    Policy("without lengths told", told=False),
    Policy("without paces", paces=False),
    Policy("without leaving", leave=False),
    Policy("without longest first", longest_first=False),
    Policy("with others' work", crowd=True),
)

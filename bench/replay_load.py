"""The seeded loads of the replay: each arrival is fixed before anything is played."""

from random import Random

import attrs

from cranberryline.decisions import Priority

from .model.loads import Window

__all__ = ["ENGINES", "ENTRIES", "LOADS", "QUEUE_SECONDS", "Arrival", "EngineShape", "Load"]

ENGINES = 3
ENTRIES = 2
QUEUE_SECONDS = 2.0
APPLICATION_DEADLINE = 4.0
BACKGROUND_DEADLINE = 8.0
MEDIAN_TOKENS = 90
SPREAD = 0.5
LEAST_TOKENS = 4
# The mean of a lognormal variable over its median, at the spread above.
MEAN_OVER_MEDIAN = 1.133
BACKGROUND_SHARE = 0.05


@attrs.frozen
class EngineShape:
    """An engine's slots and step times, as the stand-in takes them."""

    slots: int = 8
    step_s: float = 0.02
    step_growth: float = 0.03
    step_tokens: int = 4
    # Every answer is as long as it may be, so that real and modelled lengths are the same.
    stragglers: float = 1.0

    def rate(self, running: int) -> float:
        """Return the tokens a second of one request when that many run."""
        return self.step_tokens / (self.step_s * (1 + self.step_growth * (running - 1)))

    @property
    def tokens_per_second(self) -> float:
        """Return the tokens a second with every slot taken."""
        return self.slots * self.rate(self.slots)


@attrs.frozen
class Arrival:
    """One call: when, by whom, through which entry, and how much it asks for."""

    id: str
    at: float
    caller: str
    priority: Priority
    entry: int
    tokens: int
    deadline: float


@attrs.frozen
class Load:
    """Shares of the engines' capacity, outside of the window and in it."""

    name: str
    share: float = 0.6
    factor: float = 1.0
    heavy: float = 1.0
    callers: int = 8
    # Whether a bare forwarder is played too without being asked for.
    bare: bool = False
    window: Window = Window(4.0, 12.0)
    seconds: float = 19.0
    engine: EngineShape = EngineShape()

    @property
    def heavy_caller(self) -> str:
        """Return the caller that sends more than its share in the window."""
        return "applications-0" if self.heavy > 1 else ""

    @property
    def capacity(self) -> float:
        """Return how many calls a second the engines can answer."""
        mean = MEDIAN_TOKENS * MEAN_OVER_MEDIAN
        return ENGINES * self.engine.tokens_per_second / mean

    def arrivals(self, seed: int) -> list[Arrival]:
        """Return all calls in the order of their times; the same seed gives the same ones."""
        rng = Random(f"{seed}/{self.name}")
        calls: list[Arrival] = []
        rate = self.share * self.capacity
        for i in range(self.callers):
            calls += self._of_caller(
                f"applications-{i}", Priority.APPLICATION, rate / self.callers, rng
            )
        background = BACKGROUND_SHARE * self.capacity
        calls += self._of_caller("background-0", Priority.BACKGROUND, background, rng)
        return sorted(calls, key=lambda call: call.at)

    def _of_caller(
        self, caller: str, priority: Priority, rate: float, rng: Random
    ) -> list[Arrival]:
        calls: list[Arrival] = []
        now = 0.0
        while (now := now + rng.expovariate(rate * self._factor(caller, now))) < self.seconds:
            tokens = max(LEAST_TOKENS, int(MEDIAN_TOKENS * rng.lognormvariate(0, SPREAD)))
            application = priority is Priority.APPLICATION
            calls.append(
                Arrival(
                    id=f"{caller}-{len(calls)}",
                    at=now,
                    caller=caller,
                    priority=priority,
                    entry=rng.randrange(ENTRIES),
                    tokens=tokens,
                    deadline=APPLICATION_DEADLINE if application else BACKGROUND_DEADLINE,
                )
            )
        return calls

    def _factor(self, caller: str, now: float) -> float:
        if not self.window.covers(now) or not caller.startswith("applications"):
            return 1.0
        return self.factor * (self.heavy if caller == self.heavy_caller else 1.0)


LOADS = (
    Load("heavy caller", heavy=10.0),
    # A share of 0.6 times this factor is twice what the engines can do.
    Load("twice saturation", factor=2.0 / 0.6, bare=True),
)

"""What one run of the model measured."""

from collections import Counter
from collections.abc import Callable

import attrs

from cranberryline.decisions import Priority

__all__ = ["CallRecord", "Metrics", "percentile"]


@attrs.frozen
class CallRecord:
    """One call that ended."""

    caller: str
    priority: Priority
    arrived: float
    ended: float
    how: str
    reason: str
    tokens: int

    @property
    def latency(self) -> float:
        """Return how long the caller waited."""
        return self.ended - self.arrived


@attrs.define
class Metrics:
    """Counts and records of one run."""

    attempts: list[float] = attrs.field(factory=list)
    requests: list[float] = attrs.field(factory=list)
    calls: list[CallRecord] = attrs.field(factory=list)
    tokens_wasted: int = 0
    sample_tokens: int = 0
    staleness: list[int] = attrs.field(factory=list)
    idle_seconds: float = 0.0
    trainer_seconds: float = 0.0
    steps: int = 0
    actions: Counter[str] = attrs.field(factory=Counter)
    swaps: list[float] = attrs.field(factory=list)

    def select(self, wanted: Callable[[CallRecord], bool]) -> list[CallRecord]:
        """Return the calls that meet a condition."""
        return [call for call in self.calls if wanted(call)]

    def latencies(self, priority: Priority, start: float = 0.0, end: float = 1e9) -> list[float]:
        """Return the latencies of the answered calls of a class that arrived in a window."""
        return [
            call.latency
            for call in self.calls
            if call.how == "done" and call.priority is priority and start <= call.arrived < end
        ]

    def good_tokens(self, start: float = 0.0, end: float = 1e9) -> int:
        """Return the tokens of answers that came in time, within a window."""
        return sum(
            call.tokens for call in self.calls if call.how == "done" and start <= call.ended < end
        )

    def refusals(self) -> Counter[str]:
        """Return the refusals by reason."""
        return Counter(call.reason for call in self.calls if call.how == "refused")

    @property
    def idle_share(self) -> float:
        """Return the share of time that trainers waited for samples."""
        return self.idle_seconds / self.trainer_seconds if self.trainer_seconds else 0.0

    @property
    def mean_staleness(self) -> float:
        """Return the mean staleness at receipt, in versions."""
        return sum(self.staleness) / len(self.staleness) if self.staleness else 0.0


def percentile(values: list[float], share: float) -> float:
    """Return the value below which the given share of the values lies, or 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

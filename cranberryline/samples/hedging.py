"""Hedging policy that selects the slowest samples of a step."""

from collections.abc import Sequence
from datetime import timedelta
from statistics import median

import attrs

from .model import SampleId
from .ports import HedgePolicy, RunningSample

__all__ = ["SlowestFirst"]

# With fewer finished samples, the median duration is not representative.
MIN_FINISHED = 3


@attrs.frozen
class SlowestFirst(HedgePolicy):
    """Hedges samples that have run for `factor` times the median duration of finished samples.

    Each call selects at most `max_fraction` of the running samples (but at least one), since a
    slowdown of all engines would otherwise double their load.
    """

    factor: float = 2.0
    max_fraction: float = 0.1
    min_elapsed: timedelta = timedelta(seconds=1)

    def pick(
        self, running: Sequence[RunningSample], finished: Sequence[timedelta], free_slots: int
    ) -> list[SampleId]:
        """Return the samples to hedge, slowest first."""
        if len(finished) < MIN_FINISHED:
            return []
        threshold = max(median(finished) * self.factor, self.min_elapsed)
        slow = [sample for sample in running if sample.elapsed > threshold]
        slow.sort(key=lambda sample: (-sample.elapsed, sample.id))
        max_hedges = max(1, int(len(running) * self.max_fraction))
        return [sample.id for sample in slow[: min(max_hedges, max(free_slots, 0))]]

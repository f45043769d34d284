"""A simple hedging policy: the slowest samples of a step, once the rest of it has started."""

from collections.abc import Sequence
from datetime import timedelta
from statistics import median

import attrs

from .model import SampleId
from .ports import HedgePolicy, RunningSample

__all__ = ["SlowestFirst"]

# Below three finished samples there is no typical duration to compare with.
MIN_FINISHED = 3


@attrs.frozen
class SlowestFirst(HedgePolicy):
    """Hedge what has run for `factor` times the median of the finished, a share at a time.

    Without the share a slowdown of all engines would double their load.
    """

    factor: float = 2.0
    share: float = 0.1
    min_elapsed: timedelta = timedelta(seconds=1)

    def pick(
        self, running: Sequence[RunningSample], finished: Sequence[timedelta], room: int
    ) -> list[SampleId]:
        """Return the samples to hedge, the slowest first."""
        if len(finished) < MIN_FINISHED:
            return []
        bound = max(median(finished) * self.factor, self.min_elapsed)
        slow = [sample for sample in running if sample.elapsed > bound]
        slow.sort(key=lambda sample: (-sample.elapsed, sample.id))
        most = max(1, int(len(running) * self.share))
        return [sample.id for sample in slow[: min(most, max(room, 0))]]

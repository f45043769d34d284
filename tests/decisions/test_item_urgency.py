"""A burst of items before fewer slots: the longest texts of a step go first."""

import heapq
import itertools
from datetime import timedelta
from random import Random

from cranberryline.decisions.item_urgency import DEFAULT_URGENCY, item_urgency

SLOTS = 48
ITEMS = 160
NEW, OLD = timedelta(), timedelta(seconds=4)


def test_longer_texts_and_older_jobs_are_more_urgent() -> None:
    """Without an expected length an item has the engine's default."""
    lengths = list(range(1, 101))
    found = [item_urgency(length, lengths, NEW) for length in (1, 40, 55, 80, 95)]
    assert found == [5, 5, 4, 3, 2]
    assert item_urgency(0, lengths, NEW) == item_urgency(5, [], NEW) == DEFAULT_URGENCY
    assert item_urgency(95, lengths, OLD) == 1 and item_urgency(0, [], OLD) == 4
    assert [item_urgency(7, [7] * 9, NEW)] == [DEFAULT_URGENCY]


def _step_seconds(lengths: list[float], order: list[int]) -> float:
    """Return when the last text ends if they start in this order on `SLOTS` slots."""
    free = [0.0] * SLOTS
    for index in order:
        start = heapq.heappop(free)
        heapq.heappush(free, start + lengths[index])
    return max(free)


def test_a_step_ends_earlier_when_its_longest_texts_go_first() -> None:
    """A tenth of the texts is five times as long; the hints are off by a factor of up to two."""
    gain = []
    for seed in range(20):
        rng = Random(seed)
        lengths = [rng.expovariate(1.0) * (5 if rng.random() < 0.1 else 1) for _ in range(ITEMS)]
        hints = [max(1, int(100 * length * 2 ** rng.uniform(-1, 1))) for length in lengths]
        arrival = list(range(ITEMS))
        urgency = [item_urgency(hint, sorted(hints), NEW) for hint in hints]
        by_urgency = sorted(arrival, key=lambda index: urgency[index])
        gain.append(_step_seconds(lengths, arrival) - _step_seconds(lengths, by_urgency))
    better = sum(itertools.chain(value > 0 for value in gain))
    assert better >= 15 and sum(gain) > 0

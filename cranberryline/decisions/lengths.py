"""Estimate how much of a generated text is still missing.

The samples of a step start together, and the step ends with its longest text. One text in twelve is
five times as long as the others, so routing has to keep long texts off slow engines.
"""

from bisect import bisect_right
from collections import deque
from itertools import accumulate
from statistics import median

__all__ = ["MeanExcess", "TextLengthEstimator"]

# Number of completed texts in the median of tokens per event.
RATIO_WINDOW = 65
# Expected remainder of a text that is longer than estimated, as a fraction of the length so far.
# It is the mean excess where one estimate in three is off by half to double.
OVERRUN_FRACTION = 0.35
# Completed texts in the mean excess over a length, and the fewest that a mean is taken of.
EXCESS_WINDOW = 256
MIN_EXCESS_SAMPLES = 8
# Fewest events left that are estimated. A text this short is never worth moving to another engine.
_MIN_EVENTS_LEFT = 4.0


class TextLengthEstimator:
    """Estimates remaining lengths from the callers' estimates and the lengths of completed texts.

    A caller may state how many tokens it expects. Such an estimate is right at the median, and off
    by half to double for one text in three; without it a third of the long texts start on the
    slowest engines. Engines stream events rather than tokens, so the number of tokens per event is
    learned as the median ratio of expected tokens to events over the last `RATIO_WINDOW` completed
    texts, which a single wrong estimate does not change.
    """

    def __init__(self) -> None:
        self._ratios: deque[float] = deque(maxlen=RATIO_WINDOW)
        self._tokens_per_event: float | None = None

    @property
    def tokens_per_event(self) -> float | None:
        """Return the tokens per event, or None before any text with an estimate has completed."""
        return self._tokens_per_event

    def restore(self, tokens_per_event: float) -> None:
        """Use a ratio from before, until a text has completed here; 0 and less are ignored."""
        if not self._ratios and tokens_per_event > 0:
            self._tokens_per_event = tokens_per_event

    def is_overrun(self, expected_tokens: int, events: int) -> bool:
        """Return whether a text has reached its estimated length, or has no estimate."""
        if expected_tokens <= 0 or not self._tokens_per_event:
            return True
        return events >= expected_tokens / self._tokens_per_event

    def record_completed(self, expected_tokens: int, events: int) -> None:
        """Record a completed text of `events` events.

        `expected_tokens` is the caller's estimate, or 0 without one.
        """
        if expected_tokens > 0 and events > 0:
            self._ratios.append(expected_tokens / events)
            self._tokens_per_event = median(self._ratios)

    def events_left(self, expected_tokens: int, events: int) -> float:
        """Return how many more events to expect of a text that has `events` so far.

        A text that is longer than its estimate, or has none, is expected to go on for
        `OVERRUN_FRACTION` of its length so far: where lengths are off by a factor, the remainder
        grows with the length.
        """
        expected = (
            expected_tokens / self._tokens_per_event
            if expected_tokens > 0 and self._tokens_per_event
            else 0.0
        )
        return max(expected - events, events * OVERRUN_FRACTION, _MIN_EVENTS_LEFT)

    def tokens_left(self, expected_tokens: int, events: int) -> int:
        """Return how many more tokens to expect of a text, or 0 if it has no estimate."""
        if expected_tokens <= 0:
            return 0
        if self._tokens_per_event is None:
            return expected_tokens
        return max(1, round(self.events_left(expected_tokens, events) * self._tokens_per_event))


class MeanExcess:
    """How much longer texts of a length became than that, on average over completed texts.

    Lengths have a heavy tail: a text that passes three times the median is more likely to be one of
    the longest than to end soon, and waits for nothing more than for a faster engine.
    """

    def __init__(self) -> None:
        self._lengths: deque[int] = deque(maxlen=EXCESS_WINDOW)
        self._sorted: list[int] = []
        self._sums: list[int] = [0]
        self._is_sorted = True

    def record_completed(self, events: int) -> None:
        """Record the length of a completed text in events."""
        self._lengths.append(events)
        self._is_sorted = False

    def events_left(self, events: int) -> float:
        """Return how many more events texts longer than `events` had, 0 if too few were."""
        if not self._is_sorted:
            self._sorted = sorted(self._lengths)
            self._sums = [0, *accumulate(self._sorted)]
            self._is_sorted = True
        first = bisect_right(self._sorted, events)
        longer = len(self._sorted) - first
        if longer < MIN_EXCESS_SAMPLES:
            return 0.0
        return (self._sums[-1] - self._sums[first]) / longer - events

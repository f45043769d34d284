"""Estimate how much of a text is still to be made.

Load answered: texts of very unlike length that start together and are waited for together. One text in
twelve is five times as long as the others, and a step is over when its longest text is: which engine that
one gets decides when the trainer goes on, and which engine the short ones get decides nothing. Treated
alike, a third of the long texts start on the slowest engines.

A caller may tell how many tokens it expects. That is right at the median and off by half to double for
one text in three. Engines tell events and not tokens, so the tokens of an event are learned from texts
that ended: the median of what was told for each event that came, of the last `KEPT` texts, which a single
wild guess does not move.

A text that has outgrown what was told is not nearly over: of lengths that are off by a factor, those that
remain grow with what has been made, by `OUTGROWN` of it (the mean excess where one in three is off by half
to double). The same holds where nothing was told.

What told lengths buy: more groups in time, and a shorter slowest step of a hundred; `script/bench steps` tells
how much.
"""

from collections import deque
from statistics import median

__all__ = ["TextLengths"]

KEPT = 65
OUTGROWN = 0.35
# Events of a text of which nothing is known; a text that short is never worth a move.
_LEAST = 4.0


class TextLengths:
    """What is known of the tokens of an event."""

    def __init__(self) -> None:
        self._ratios: deque[float] = deque(maxlen=KEPT)
        self._tokens: float | None = None

    @property
    def tokens_an_event(self) -> float | None:
        """Return the tokens of an event, None before a text that was told of has ended."""
        return self._tokens

    def learn(self, told_tokens: int, events: int) -> None:
        """Take a whole text of `events` events for which `told_tokens` were expected, 0 if nothing was."""
        if told_tokens > 0 and events > 0:
            self._ratios.append(told_tokens / events)
            self._tokens = median(self._ratios)

    def events_left(self, told_tokens: int, made: int) -> float:
        """Return how many events a text with `made` events is expected to need still."""
        told = told_tokens / self._tokens if told_tokens > 0 and self._tokens else 0.0
        return max(told - made, made * OUTGROWN, _LEAST)

    def tokens_left(self, told_tokens: int, made: int) -> int:
        """Return the tokens that a text is expected to need still, 0 if nothing was told."""
        if told_tokens <= 0:
            return 0
        if self._tokens is None:
            return told_tokens
        return max(1, round(self.events_left(told_tokens, made) * self._tokens))

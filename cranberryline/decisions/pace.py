"""Measure how fast an upstream works.

Load answered: an upstream that becomes slow, or that is faster than its peers. Without a measured
rate an estimated wait is a guess, and admission lets in what cannot be served in time.

A side process keeps two meters and records into them once a tick (half a second is enough):

- *pace*, of one request: the tokens made, over the seconds that requests ran, summed over them.
  Tokens over wall-clock time would call an upstream slow that is merely asked little, and routing
  would then ask it less still.
- *capacity*, of the whole: the tokens made, over the seconds in which all slots were taken.

The half-life of 5 s is a few ticks and about one short request: a shorter one follows the jitter of
single tokens, a longer one keeps sending to an upstream that has stalled. What was last measured
`FORGET_AFTER` ago says nothing about now, and an upstream that was slow then is tried again.
"""

from datetime import timedelta

from .const import ZERO

__all__ = ["DEFAULT_HALF_LIFE", "FORGET_AFTER", "RateMeter"]

DEFAULT_HALF_LIFE = timedelta(seconds=5)
FORGET_AFTER = timedelta(seconds=30)
STALLED_TOKENS_PER_SECOND = 0.01


class RateMeter:
    """Tokens a second, recent measurements weighing more."""

    def __init__(
        self, half_life: timedelta = DEFAULT_HALF_LIFE, forget_after: timedelta = FORGET_AFTER
    ) -> None:
        self._half_life = half_life
        self._forget_after = forget_after
        self._tokens = 0.0
        self._seconds = 0.0
        self._last: timedelta | None = None

    def record(self, tokens: float, spent: timedelta, now: timedelta) -> None:
        """Count tokens and the time spent on them; time without a token counts too."""
        if spent <= ZERO:
            return
        kept = 0.0 if self._last is None else 0.5 ** ((now - self._last) / self._half_life)
        self._tokens = self._tokens * kept + tokens
        self._seconds = self._seconds * kept + spent.total_seconds()
        self._last = now

    def tokens_per_second(self, now: timedelta) -> float:
        """Return the rate, or 0 when there is no recent measurement.

        A stalled upstream has a very low rate and not 0, so that it is not taken for unknown.
        """
        if self._last is None or now - self._last > self._forget_after:
            return 0.0
        return max(self._tokens / self._seconds, STALLED_TOKENS_PER_SECOND)

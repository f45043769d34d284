"""Measure how fast an upstream works, in tokens a second of busy time.

Load answered: an upstream that becomes slow, or that is much faster than its peers. Without a
measured rate an estimated wait is a guess, and admission lets in what cannot be served in time.
Idle time is left out, since an upstream that nobody asks is not slow.

The half-life of 5 s of busy time is a handful of request durations: a shorter one follows the
jitter of single requests, a longer one keeps admitting at the old rate while an upstream stalls.
"""

from datetime import timedelta

from .const import ZERO

__all__ = ["DEFAULT_HALF_LIFE", "RateMeter"]

DEFAULT_HALF_LIFE = timedelta(seconds=5)


class RateMeter:
    """Tokens a second over recent busy time, by exponential decay."""

    def __init__(
        self, half_life: timedelta = DEFAULT_HALF_LIFE, initial_tokens_per_second: float = 0.0
    ) -> None:
        self._half_life = half_life.total_seconds()
        self._busy_seconds = self._half_life if initial_tokens_per_second else 0.0
        self._tokens = initial_tokens_per_second * self._busy_seconds
        self._since = ZERO
        self._busy = False

    def set_busy(self, busy: bool, now: timedelta) -> None:
        """Tell whether the upstream has work from now on."""
        self._advance(now)
        self._busy = busy

    def record(self, tokens: int, now: timedelta) -> None:
        """Count tokens that the upstream finished."""
        self._advance(now)
        self._tokens += tokens

    def tokens_per_second(self, now: timedelta) -> float:
        """Return the rate, or 0 when there is no measurement yet."""
        self._advance(now)
        if not self._busy_seconds:
            return 0.0
        return self._tokens / self._busy_seconds

    def _advance(self, now: timedelta) -> None:
        elapsed = (now - self._since).total_seconds()
        self._since = now
        if not self._busy or elapsed <= 0:
            return
        kept = 0.5 ** (elapsed / self._half_life)
        self._tokens *= kept
        self._busy_seconds = self._busy_seconds * kept + elapsed

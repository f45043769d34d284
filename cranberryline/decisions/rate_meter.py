"""Measured processing rate of an upstream in tokens per second."""

from datetime import timedelta

from .const import ZERO

__all__ = ["DEFAULT_HALF_LIFE", "MEASUREMENT_TTL", "RateMeter"]

# A few recording intervals and about one short request: a shorter half-life follows the jitter of
# single tokens, a longer one keeps sending requests to an upstream that has stalled.
DEFAULT_HALF_LIFE = timedelta(seconds=5)
# An older measurement says nothing about the current rate, so that an upstream that was slow gets
# requests again.
MEASUREMENT_TTL = timedelta(seconds=30)
STALLED_TOKENS_PER_SECOND = 0.01
# Time without any token that shows a stall. A first request that is turned away at once shows none.
MIN_STALL_TIME = timedelta(seconds=1)


class RateMeter:
    """Exponentially weighted average of tokens per second.

    A side process keeps two meters per upstream and records into them about twice a second. The
    per-request rate divides the generated tokens by the running time summed over all requests;
    tokens per wall-clock time would make an upstream with few requests appear slow, and routing
    would send it even fewer. The capacity divides the generated tokens by the time in which all
    slots were in use.
    """

    def __init__(
        self, half_life: timedelta = DEFAULT_HALF_LIFE, measurement_ttl: timedelta = MEASUREMENT_TTL
    ) -> None:
        self._half_life = half_life
        self._measurement_ttl = measurement_ttl
        self._tokens = 0.0
        self._seconds = 0.0
        self._recorded_at: timedelta | None = None

    @property
    def measured_tokens(self) -> float:
        """Return how many tokens the rate is measured over, weighted by age."""
        return self._tokens

    @property
    def measured_seconds(self) -> float:
        """Return how much time the rate is measured over, weighted by age."""
        return self._seconds

    def record(self, tokens: float, spent: timedelta, now: timedelta) -> None:
        """Record tokens and the time spent on them; time without any token counts as well."""
        if spent <= ZERO:
            return
        decay = (
            0.0
            if self._recorded_at is None
            else 0.5 ** ((now - self._recorded_at) / self._half_life)
        )
        self._tokens = self._tokens * decay + tokens
        self._seconds = self._seconds * decay + spent.total_seconds()
        self._recorded_at = now

    def tokens_per_second(self, now: timedelta) -> float:
        """Return the rate, or 0 if it is unknown: not measured recently, or for too short a time.

        The rate of a stalled upstream is very low but not 0, because 0 means unknown.
        """
        if self._recorded_at is None or now - self._recorded_at > self._measurement_ttl:
            return 0.0
        if not self._tokens and self._seconds < MIN_STALL_TIME.total_seconds():
            return 0.0
        return max(self._tokens / self._seconds, STALLED_TOKENS_PER_SECOND)

"""Retry policy for requests that returned no answer, limited by a retry budget."""

import enum
from datetime import timedelta
from random import Random

import attrs

from .const import MAX_RETRY_AFTER, ZERO
from .model import AttemptOutcome

__all__ = ["GiveUp", "RetryBudget", "RetryElsewhere", "RetryPolicy", "RetryRequest", "GiveUpReason"]


# Normally retries add at most a tenth to the load, which is enough for 50 of 7,300 upstreams that
# fail in a day.
BUDGET_TOKENS_PER_SUCCESS = 0.1
# The number of retries after which they stop in an outage, in which no request succeeds.
MAX_BUDGET_TOKENS = 10.0
MAX_ATTEMPTS = 3
BASE_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=2)
OUTAGE_RETRY_AFTER = timedelta(seconds=2)


class GiveUpReason(enum.StrEnum):
    """Reason why a request is not retried."""

    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"


@attrs.frozen
class RetryRequest:
    """A request whose last attempt returned no answer.

    `attempts` includes that attempt, `remaining` is the time until the deadline and `service_time`
    the expected processing time.
    """

    outcome: AttemptOutcome
    idempotent: bool
    attempts: int
    remaining: timedelta
    service_time: timedelta = ZERO


@attrs.frozen
class RetryElsewhere:
    """Retry after a delay, preferably on another upstream."""

    after: timedelta


@attrs.frozen
class GiveUp:
    """Return the failure to the caller.

    `retry_after` is None if the caller must not resend the request unchanged.
    """

    reason: GiveUpReason
    retry_after: timedelta | None


class RetryBudget:
    """Token bucket that limits retries: each success adds `share` tokens, each retry costs one.

    Three retries for each request of an outage would multiply the load on the failing upstreams by
    four and prolong the overload.
    """

    def __init__(
        self, share: float = BUDGET_TOKENS_PER_SUCCESS, cap: float = MAX_BUDGET_TOKENS
    ) -> None:
        self._share = share
        self._cap = cap
        self._tokens = cap

    @property
    def available(self) -> bool:
        """Return whether the budget covers a retry."""
        return self._tokens >= 1

    def earn(self) -> None:
        """Record a successful request."""
        self._tokens = min(self._cap, self._tokens + self._share)

    def spend(self) -> None:
        """Deduct a retry that is about to be sent."""
        self._tokens -= 1


@attrs.frozen
class RetryPolicy:
    """Retries requests that have not run or are idempotent, with exponential back-off.

    A retry of a request that may have run could execute a non-idempotent operation twice. The
    back-off has full jitter, so that the callers of a failed upstream do not retry at the same
    moment. A rejection by a full queue counts as not run and its retry costs the same, so that the
    budget also ends retries while most upstreams are full.
    """

    max_attempts: int = MAX_ATTEMPTS
    base_backoff: timedelta = BASE_BACKOFF
    max_backoff: timedelta = MAX_BACKOFF

    def decide(
        self, req: RetryRequest, budget: RetryBudget, rng: Random
    ) -> RetryElsewhere | GiveUp:
        """Decide whether to retry; the caller deducts the retry with `RetryBudget.spend`."""
        if req.outcome is not AttemptOutcome.NOT_RUN and not req.idempotent:
            return GiveUp(GiveUpReason.MAY_HAVE_RUN, None)
        hint = self._retry_hint(req.attempts, rng)
        if req.attempts >= self.max_attempts:
            return GiveUp(GiveUpReason.ATTEMPTS, hint)
        if not budget.available:
            return GiveUp(GiveUpReason.BUDGET, hint)
        after = self._backoff(req.attempts, rng)
        if after + req.service_time > req.remaining:
            return GiveUp(GiveUpReason.DEADLINE, hint)
        return RetryElsewhere(after)

    def _backoff(self, attempts: int, rng: Random) -> timedelta:
        longest = min(self.base_backoff * 2 ** (attempts - 1), self.max_backoff)
        return longest * rng.random()

    def _retry_hint(self, attempts: int, rng: Random) -> timedelta:
        return min(OUTAGE_RETRY_AFTER * attempts * (1 + rng.random()), MAX_RETRY_AFTER)

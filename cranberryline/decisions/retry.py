"""Decide whether a request that brought no answer is sent again elsewhere.

Load answered: failing upstreams and outages. Retrying each request three times at once sends four
times the load to what is already failing, and the overload outlives its cause. Retrying work that
may have run makes a caller's act happen twice.

Only what is proved not run, or is idempotent, is sent again. A retry spends one token of the
`RetryBudget`; each success earns `BUDGET_SHARE` of one, up to `BUDGET_CAP`. So in an outage, when
nothing succeeds, retries stop after the cap, and in ordinary times they add at most a tenth to the
load: enough for the 50 upstreams of 7,300 that fail a day. Backoff is exponential with full
jitter from `BASE_BACKOFF`, so that the callers of a failed upstream do not arrive together.
A refusal by a full queue counts as not run and is tried once elsewhere without waiting, at the
same price: if most upstreams are full, the budget ends it.
"""

import enum
from datetime import timedelta
from random import Random

import attrs

from .const import MAX_RETRY_AFTER, ZERO
from .model import AttemptOutcome

__all__ = ["GiveUp", "RetryBudget", "RetryElsewhere", "RetryPolicy", "RetryRequest", "GiveUpReason"]


BUDGET_SHARE = 0.1
BUDGET_CAP = 10.0
MAX_ATTEMPTS = 3
BASE_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=2)
OUTAGE_RETRY_AFTER = timedelta(seconds=2)


class GiveUpReason(enum.StrEnum):
    """Why a request is not sent again."""

    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"


@attrs.frozen
class RetryRequest:
    """A request after an attempt that brought no answer; `attempts` counts that one."""

    outcome: AttemptOutcome
    idempotent: bool
    attempts: int
    remaining: timedelta
    service_time: timedelta = ZERO


@attrs.frozen
class RetryElsewhere:
    """Send it again after a wait, preferably to another upstream."""

    after: timedelta


@attrs.frozen
class GiveUp:
    """Tell the caller; `retry_after` is None where it must not simply send the request again."""

    reason: GiveUpReason
    retry_after: timedelta | None


class RetryBudget:
    """Retries earned by recent successes."""

    def __init__(self, share: float = BUDGET_SHARE, cap: float = BUDGET_CAP) -> None:
        self._share = share
        self._cap = cap
        self._tokens = cap

    @property
    def available(self) -> bool:
        """Return whether a retry can be paid for."""
        return self._tokens >= 1

    def earn(self) -> None:
        """Count a success."""
        self._tokens = min(self._cap, self._tokens + self._share)

    def spend(self) -> None:
        """Pay for a retry that is about to be sent."""
        self._tokens -= 1


@attrs.frozen
class RetryPolicy:
    """Retry by proof, budget and remaining time."""

    max_attempts: int = MAX_ATTEMPTS
    base_backoff: timedelta = BASE_BACKOFF
    max_backoff: timedelta = MAX_BACKOFF

    def decide(
        self, req: RetryRequest, budget: RetryBudget, rng: Random
    ) -> RetryElsewhere | GiveUp:
        """Decide and leave the budget as it is; who retries calls `budget.spend`."""
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

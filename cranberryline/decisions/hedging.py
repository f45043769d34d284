"""Decide when an idempotent request is also sent to a second upstream (a hedged request).

Hedging covers a single slow upstream and a lost answer: routing learns of a slow upstream only from
its answers and never learns of a lost answer, so the caller would wait for its whole timeout.
"""

from datetime import timedelta

__all__ = ["HedgeBudget", "hedge_delay", "scoring_hedge_delay"]

# Fraction of the latency goal after which a request is hedged. A request that takes this long is
# already slower than the usual time of a healthy upstream, and a hedge sent now still meets the
# goal.
HEDGE_GOAL_FRACTION = 0.4
# Fraction of the latency goal after which a scoring request is hedged. No caller waits for a single
# score, only for a step that is due in seconds. At `HEDGE_GOAL_FRACTION` one scoring request in
# five was hedged, and each cancelled hedge closes its connection.
SCORING_HEDGE_GOAL_FRACTION = 1.0
# Hedge tokens earned per answer: hedges add at most a fifth to the load of a healthy service.
HEDGE_TOKENS_PER_ANSWER = 0.2
# Most hedge tokens saved up: hedging stops after this many where the whole service is slow.
HEDGE_BUDGET_CAPACITY = 8.0
# Shortest time before any hedge.
MIN_HEDGE_DELAY = timedelta(milliseconds=30)


class HedgeBudget:
    """Token bucket that limits hedged requests: answers refill it, each hedge takes one token.

    The bucket starts full.
    """

    def __init__(
        self,
        tokens_per_answer: float = HEDGE_TOKENS_PER_ANSWER,
        capacity: float = HEDGE_BUDGET_CAPACITY,
    ) -> None:
        self._tokens_per_answer = tokens_per_answer
        self._capacity = capacity
        self._tokens = capacity

    def earn(self) -> None:
        """Add the tokens of one answer."""
        self._tokens = min(self._capacity, self._tokens + self._tokens_per_answer)

    def spend(self) -> bool:
        """Take one token for a hedge; return False if less than one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def hedge_delay(goal: timedelta) -> timedelta:
    """Return the time without an answer after which a request is hedged.

    `goal` is the latency up to which an answer has its full value to the caller.
    """
    return max(goal * HEDGE_GOAL_FRACTION, MIN_HEDGE_DELAY)


def scoring_hedge_delay(goal: timedelta) -> timedelta:
    """Return the time without an answer after which a scoring request is hedged.

    `goal` is the latency up to which an answer has its full value.
    """
    return max(goal * SCORING_HEDGE_GOAL_FRACTION, MIN_HEDGE_DELAY)

"""Decide when a caller's idempotent request is sent to a second upstream as well.

Load answered: an upstream that crawls, or whose answer is lost on the way, in a service whose others
are well. The caller would wait for its whole time limit: routing learns of a slow upstream only from
answers, and of a lost answer never.

A second copy goes out after `HEDGE_AFTER` of the time in which an answer is still worth its whole;
an answer that takes as long is late already at a healthy upstream's usual time, and a copy sent
then still arrives in time. Scoring has nobody who waits for the single answer, only a step that is due
in seconds: its copy goes out after `SCORING_HEDGE_AFTER` of that time, when the answer is lost or its
upstream crawls. At the callers' share one scoring request in five had a copy, and each cancelled copy
costs its connection. A copy spends one token of `HedgeBudget`; each answer earns `HEDGE_SHARE`
of one, up to `HEDGE_CAP`. So where the whole service is slow, copies stop after the cap, and in
ordinary times they add at most a fifth to its load.
"""

from datetime import timedelta

__all__ = ["HedgeBudget", "hedge_delay", "scoring_hedge_delay"]

HEDGE_AFTER = 0.4
SCORING_HEDGE_AFTER = 1.0
HEDGE_SHARE = 0.2
HEDGE_CAP = 8.0
MIN_DELAY = timedelta(milliseconds=30)


class HedgeBudget:
    """Copies earned by answers."""

    def __init__(self, share: float = HEDGE_SHARE, cap: float = HEDGE_CAP) -> None:
        self._share = share
        self._cap = cap
        self._tokens = cap

    def earn(self) -> None:
        """Count an answer."""
        self._tokens = min(self._cap, self._tokens + self._share)

    def spend(self) -> bool:
        """Pay for a copy if it can be paid for."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def hedge_delay(goal: timedelta) -> timedelta:
    """Return after how long without an answer a copy goes out."""
    return max(goal * HEDGE_AFTER, MIN_DELAY)


def scoring_hedge_delay(goal: timedelta) -> timedelta:
    """Return after how long without an answer a copy of a scoring request goes out."""
    return max(goal * SCORING_HEDGE_AFTER, MIN_DELAY)

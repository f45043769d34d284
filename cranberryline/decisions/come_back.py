"""Decide when a caller whose job the store did not take should come back.

Load answered: the store is out for seconds, and every trainer submits its step meanwhile. Callers go on
asking for half of their time limit, some six seconds, and a wait that reaches over the end of that loses
the step: with waits of two seconds a step was given up a second after the store's return. Told to
come back at once, all callers' tries would meet in the first moment of a store that has just come back.

The wait is `SHARE` of the outage's age, within `SOONEST` and `LATEST`: never more than an eighth of the time
for which callers ask, and over a long outage half as many tries as at its start. It is no promise that the
store is back.
"""

from datetime import timedelta

__all__ = ["LATEST", "SOONEST", "come_back_after"]

SHARE = 0.1
SOONEST = timedelta(milliseconds=300)
LATEST = timedelta(milliseconds=700)


def come_back_after(outage: timedelta) -> timedelta:
    """Return how long a refused caller should wait, by the age of the outage."""
    return min(max(outage * SHARE, SOONEST), LATEST)

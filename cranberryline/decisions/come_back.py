"""Decide when a caller whose job the store did not take should come back.

Load answered: the store is out for seconds, and every trainer submits its step meanwhile. A caller has a
few tries within its time limit. Told to come back after 0.3 s it spent five of them within five
seconds of an outage of twelve, and its step was never asked for again although the store was back with four
seconds left. Told to come back after the longest outage known, it would lose steps to the short ones.

An outage that has lasted for a while lasts about as long again, so the wait is `SHARE` of its age, within
`SOONEST` and `LATEST`: tries come close together while the outage is young, and five of them reach past
nine seconds. The wait is no promise that the store is back.
"""

from datetime import timedelta

__all__ = ["LATEST", "SOONEST", "come_back_after"]

SHARE = 0.5
SOONEST = timedelta(milliseconds=500)
LATEST = timedelta(seconds=2)


def come_back_after(outage: timedelta) -> timedelta:
    """Return how long a refused caller should wait, by the age of the outage."""
    return min(max(outage * SHARE, SOONEST), LATEST)

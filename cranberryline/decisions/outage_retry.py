"""Retry delay for callers whose job could not be stored during an outage of the store."""

from datetime import timedelta

__all__ = ["MAX_OUTAGE_RETRY_DELAY", "MIN_OUTAGE_RETRY_DELAY", "outage_retry_delay"]

RETRY_DELAY_SHARE = 0.1
# Spreads the retries of all callers, which would otherwise arrive together in the first moment
# after the store has recovered.
MIN_OUTAGE_RETRY_DELAY = timedelta(milliseconds=300)
# Callers retry for half of their timeout, about 6 s, and lose the training step if a delay exceeds
# the rest of that time. With delays of 2 s, callers gave up 1 s after the store had recovered. This
# limit is at most an eighth of that time.
MAX_OUTAGE_RETRY_DELAY = timedelta(milliseconds=700)


def outage_retry_delay(outage_age: timedelta) -> timedelta:
    """Return the retry delay for an outage of this age.

    The delay grows with the age, so callers retry half as often in a long outage as at its start.
    It does not guarantee that the store has recovered by then.
    """
    return min(max(outage_age * RETRY_DELAY_SHARE, MIN_OUTAGE_RETRY_DELAY), MAX_OUTAGE_RETRY_DELAY)

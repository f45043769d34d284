"""Retry delay of callers during an outage of the store."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.outage_retry import (
    MAX_OUTAGE_RETRY_DELAY,
    MIN_OUTAGE_RETRY_DELAY,
    outage_retry_delay,
)

ATTEMPT_TIMEOUT = timedelta(milliseconds=950)
RETRY_PERIOD = timedelta(seconds=6)


@given(st.integers(0, 60_000), st.integers(0, 60_000))
def test_delay_does_not_shrink_in_a_longer_outage(one: int, two: int) -> None:
    """The delay was shorter for a longer outage, or out of range."""
    younger, older = sorted((one, two))
    delays = [outage_retry_delay(timedelta(milliseconds=age)) for age in (younger, older)]
    assert MIN_OUTAGE_RETRY_DELAY <= delays[0] <= delays[1] <= MAX_OUTAGE_RETRY_DELAY


def test_caller_still_retries_in_the_last_second_before_it_gives_up() -> None:
    """A caller retries for six seconds, each attempt times out after 950 ms.

    If the delay exceeds the remaining time, the caller gives up early and misses the recovery of
    the store. The last attempt ends in the sixth second, whatever the age of the outage was at the
    first one.
    """
    for outage_ms in range(0, 20_000, 100):
        now = timedelta()
        while True:
            failed = now + ATTEMPT_TIMEOUT
            retry_at = failed + outage_retry_delay(timedelta(milliseconds=outage_ms) + failed)
            if retry_at > RETRY_PERIOD:
                break
            now = retry_at
        assert now + ATTEMPT_TIMEOUT > RETRY_PERIOD - timedelta(seconds=1)

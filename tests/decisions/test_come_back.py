"""When refused callers come back."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.come_back import LATEST, SOONEST, come_back_after

PATIENCE = timedelta(milliseconds=950)
ASKS_FOR = timedelta(seconds=6)


@given(st.integers(0, 60_000), st.integers(0, 60_000))
def test_a_longer_outage_never_shortens_the_wait(one: int, two: int) -> None:
    """The wait grows with the outage and stays within its bounds."""
    younger, older = sorted((one, two))
    waits = [come_back_after(timedelta(milliseconds=age)) for age in (younger, older)]
    assert SOONEST <= waits[0] <= waits[1] <= LATEST


def test_a_caller_that_asks_for_six_seconds_is_there_when_the_store_is_back() -> None:
    """Whatever the age of the outage at the first try, the last one comes in the sixth second."""
    for began in range(0, 20_000, 100):
        now = timedelta()
        while True:
            refused = now + PATIENCE
            again = refused + come_back_after(timedelta(milliseconds=began) + refused)
            if again > ASKS_FOR:
                break
            now = again
        assert now + PATIENCE > ASKS_FOR - timedelta(seconds=1)

"""When refused callers come back."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.come_back import LATEST, SOONEST, come_back_after

PATIENCE = timedelta(milliseconds=950)
TRIES = 5


@given(st.integers(0, 60_000), st.integers(0, 60_000))
def test_a_longer_outage_never_shortens_the_wait(one: int, two: int) -> None:
    """The wait grows with the outage and stays within its bounds."""
    younger, older = sorted((one, two))
    waits = [come_back_after(timedelta(milliseconds=age)) for age in (younger, older)]
    assert SOONEST <= waits[0] <= waits[1] <= LATEST


def test_five_tries_from_the_start_of_an_outage_reach_past_nine_seconds() -> None:
    """A caller that asks just as the store goes is still there when it is back after nine."""
    age = timedelta()
    for _ in range(TRIES - 1):
        age += PATIENCE
        age += come_back_after(age)
    assert age + PATIENCE > timedelta(seconds=9)

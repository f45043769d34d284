"""Shared fixtures and the hypothesis profile: fixed seeds, no time limits inside tests."""

import pytest
from hypothesis import HealthCheck, settings

from cranberryline.helpers.clock import FakeClock

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
# For a run by hand: new seeds each time, thirty times as many examples of twice the steps.
settings.register_profile(
    "deep",
    max_examples=3000,
    stateful_step_count=100,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("fixed")


@pytest.fixture
def clock() -> FakeClock:
    """Return a clock that stands still until advanced."""
    return FakeClock()

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
settings.load_profile("fixed")


@pytest.fixture
def clock() -> FakeClock:
    """Return a clock that stands still until advanced."""
    return FakeClock()

"""Admission at two entries that share a service while processes stall."""

import pytest

from tests.virtual_time import run_virtual

from .shared_service import SharedService

CALLERS = 60
SECONDS = 4.0


@pytest.mark.parametrize("seed", [1, 2, 3, 29, 91, 156])
def test_callers_that_fit_are_not_refused_beside_stalls(seed: int) -> None:
    """Callers are refused for a wait that a stall of 0.1 to 0.6 s makes seem far too long.

    60 callers share 48 slots of 0.3 s with 1 s of queue allowed, so none waits that long.
    """
    service = SharedService(seed)
    run_virtual(service.async_play(CALLERS, SECONDS, stalls=2))
    assert set(service.results) == {"ok"}

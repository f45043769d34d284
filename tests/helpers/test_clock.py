"""The clock interface."""

from datetime import timedelta

from cranberryline.helpers.clock import FakeClock


def test_fake_clock_moves_only_when_told(clock: FakeClock) -> None:
    """Both readings move by exactly what was advanced."""
    before = clock.now()
    clock.advance(timedelta(seconds=3))
    assert clock.monotonic() == timedelta(seconds=3)
    assert clock.now() - before == timedelta(seconds=3)

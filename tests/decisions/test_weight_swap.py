"""When each sampler swaps to new weights."""

from collections import Counter
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import SwapSettings, hashed_swap_delay, swap_delay

MEMBERS = [f"sampler-{i}" for i in range(60)]


def swap_delays(members: list[str], version: int, settings: SwapSettings) -> list[timedelta]:
    """Return every member's swap delay."""
    return [swap_delay(name, members, "m", version, settings).delay for name in members]


@given(st.integers(1, 60), st.integers(1, 99), st.floats(0.5, 500), st.floats(0.05, 1))
def test_store_rate_and_swapping_fraction_are_never_exceeded(
    count: int, version: int, rate: float, share: float
) -> None:
    """Members swap one by one, at intervals of at least 1/rate."""
    settings = SwapSettings(rate, share, timedelta(seconds=1))
    delays = sorted(swap_delays(MEMBERS[:count], version, settings))
    gap = 1 / settings.swaps_per_second(count)
    for position, delay in enumerate(delays):
        assert delay.total_seconds() == pytest.approx(position * gap, abs=1e-5)
    assert gap >= 1 / rate - 1e-9
    at_once = max(
        sum(start <= other < start + settings.swap_time for other in delays) for start in delays
    )
    assert at_once <= max(1, share * count) + 1
    assert settings.time_to_swap_all(count) >= delays[-1] + settings.swap_time - timedelta(
        seconds=1e-3
    )


def test_order_changes_with_the_version() -> None:
    """No sampler is the last to swap at every version."""
    settings = SwapSettings(store_rate=10.0)
    last = Counter(
        max(MEMBERS, key=lambda name: swap_delay(name, MEMBERS, "m", version, settings).position)
        for version in range(40)
    )
    assert max(last.values()) <= 5


def test_member_list_that_differs_by_one_shifts_positions_by_at_most_one() -> None:
    """While two side processes have different lists, their positions differ by at most one."""
    settings = SwapSettings(store_rate=10.0)
    for name in MEMBERS[1:]:
        full = swap_delay(name, MEMBERS, "m", 3, settings).position
        assert full - swap_delay(name, MEMBERS[1:], "m", 3, settings).position in (0, 1)


def test_planned_size_swaps_within_the_time_at_the_documented_store_rate() -> None:
    """7,300 samplers in 6 s need about 1,460 fetches per second; at 100 they take over a minute."""
    assert SwapSettings(store_rate=1460).time_to_swap_all(7300) <= timedelta(seconds=6)
    assert SwapSettings(store_rate=100).time_to_swap_all(7300) > timedelta(seconds=60)


def test_hashed_positions_keep_the_rate_on_average_with_small_bursts() -> None:
    """In a large service only the member count is known, and starts spread over the same time."""
    settings = SwapSettings(store_rate=100.0, max_swapping_fraction=1.0)
    names = [f"sampler-{i}" for i in range(2000)]
    starts = [hashed_swap_delay(name, 2000, "m", 7, settings) for name in names]
    assert all(0 <= plan.position < 2000 for plan in starts)
    assert max(plan.delay for plan in starts) < timedelta(seconds=20)
    seconds = Counter(int(plan.delay.total_seconds()) for plan in starts)
    assert len(seconds) == 20
    # Five standard deviations of the number of random starts in a second, 100 on average.
    assert 50 <= min(seconds.values()) <= max(seconds.values()) <= 150


def test_hashed_position_hardly_changes_with_the_count() -> None:
    """Side processes whose member counts differ by one differ by at most one position."""
    settings = SwapSettings(store_rate=100.0)
    for name in MEMBERS:
        positions = [hashed_swap_delay(name, n, "m", 3, settings).position for n in (999, 1000)]
        assert positions[1] - positions[0] in (0, 1)

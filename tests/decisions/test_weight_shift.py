"""How samplers take turns with new weights."""

from collections import Counter
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import ShiftSettings, hashed_swap_delay, swap_delay

MEMBERS = [f"sampler-{i}" for i in range(60)]


def turns(members: list[str], version: int, settings: ShiftSettings) -> list[timedelta]:
    """Return every member's delay."""
    return [swap_delay(name, members, "m", version, settings).delay for name in members]


@given(st.integers(1, 60), st.integers(1, 99), st.floats(0.5, 500), st.floats(0.05, 1))
def test_the_store_rate_and_the_share_swapping_are_never_exceeded(
    count: int, version: int, rate: float, share: float
) -> None:
    """Each member has a turn of its own, and turns are at least 1/pace apart."""
    settings = ShiftSettings(rate, share, timedelta(seconds=1))
    delays = sorted(turns(MEMBERS[:count], version, settings))
    gap = 1 / settings.pace(count)
    for place, delay in enumerate(delays):
        assert delay.total_seconds() == pytest.approx(place * gap, abs=1e-5)
    assert gap >= 1 / rate - 1e-9
    at_once = max(
        sum(start <= other < start + settings.swap_time for other in delays) for start in delays
    )
    assert at_once <= max(1, share * count) + 1
    assert settings.time_to_all(count) >= delays[-1] + settings.swap_time - timedelta(seconds=1e-3)


def test_the_order_changes_with_the_version() -> None:
    """No sampler is always the last to get new weights."""
    settings = ShiftSettings(store_rate=10.0)
    last = Counter(
        max(MEMBERS, key=lambda name: swap_delay(name, MEMBERS, "m", version, settings).place)
        for version in range(40)
    )
    assert max(last.values()) <= 5


def test_a_member_list_that_differs_by_one_shifts_turns_by_one() -> None:
    """Two side processes see different lists for a while; their turns hardly differ."""
    settings = ShiftSettings(store_rate=10.0)
    for name in MEMBERS[1:]:
        full = swap_delay(name, MEMBERS, "m", 3, settings).place
        assert full - swap_delay(name, MEMBERS[1:], "m", 3, settings).place in (0, 1)


def test_the_planned_size_needs_a_store_rate_that_is_said() -> None:
    """7,300 samplers within 6 s need about 1,460 fetches a second; at 100 it takes over a minute."""
    assert ShiftSettings(store_rate=1460).time_to_all(7300) <= timedelta(seconds=6)
    assert ShiftSettings(store_rate=100).time_to_all(7300) > timedelta(seconds=60)


def test_turns_by_hash_keep_the_pace_on_average_and_within_small_bursts() -> None:
    """A large service: nobody knows all members, and starts are spread over the same time."""
    settings = ShiftSettings(store_rate=100.0, max_swapping=1.0)
    names = [f"sampler-{i}" for i in range(2000)]
    starts = [hashed_swap_delay(name, 2000, "m", 7, settings) for name in names]
    assert all(0 <= plan.place < 2000 for plan in starts)
    assert max(plan.delay for plan in starts) < timedelta(seconds=20)
    seconds = Counter(int(plan.delay.total_seconds()) for plan in starts)
    assert len(seconds) == 20
    # Five standard deviations of a hundred starts that fall by chance.
    assert 50 <= min(seconds.values()) <= max(seconds.values()) <= 150


def test_a_turn_by_hash_moves_little_with_the_count() -> None:
    """Two side processes that differ by one in the count differ by at most one place."""
    settings = ShiftSettings(store_rate=100.0)
    for name in MEMBERS:
        places = [hashed_swap_delay(name, n, "m", 3, settings).place for n in (999, 1000)]
        assert places[1] - places[0] in (0, 1)

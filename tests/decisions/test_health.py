"""Health: reduction of the routing weight after failures, probes and recovery."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import HealthPolicy, HealthState

POLICY = HealthPolicy()
SECOND = timedelta(seconds=1)


def test_upstream_is_excluded_after_four_failures() -> None:
    """An upstream fails every request immediately; after the fourth it gets only probes."""
    state = HealthState()
    for _ in range(4):
        state = POLICY.failed(state, SECOND)
    assert POLICY.view(state, SECOND).weight == 0
    assert not POLICY.view(state, SECOND).usable


def test_single_failure_does_not_exclude_an_upstream() -> None:
    """After a single failure the upstream keeps half of its weight."""
    assert POLICY.view(POLICY.failed(HealthState(), SECOND), SECOND).weight == 0.5


def test_probes_of_a_dead_upstream_back_off_to_30_seconds() -> None:
    """All probes fail for ten minutes: the interval grows to 30 s, with one probe at a time."""
    state = HealthState()
    probes = 0
    for second in range(600):
        now = second * SECOND
        if second < 4:
            state = POLICY.failed(state, now)
        elif POLICY.view(state, now).probe_due:
            probes += 1
            state = POLICY.probed(state, now)
            assert not POLICY.view(state, now).probe_due
            state = POLICY.failed(state, now)
    assert 20 <= probes <= 26


def test_weight_of_a_recovered_upstream_returns_gradually() -> None:
    """After a successful probe the weight is restored over a dozen answers and not at once."""
    state = HealthState()
    for _ in range(6):
        state = POLICY.failed(state, SECOND)
    weights = []
    for _ in range(14):
        state = POLICY.succeeded(state)
        weights.append(POLICY.view(state, SECOND).weight)
    assert weights[0] < 0.2
    assert weights == sorted(weights)
    assert weights[-1] == 1.0


@given(st.lists(st.booleans(), max_size=60))
def test_every_upstream_is_usable_within_the_longest_probe_interval(outcomes: list[bool]) -> None:
    """After some sequence of outcomes the weight left 0 to 1, or no probe became due."""
    state = HealthState()
    now = timedelta()
    for success in outcomes:
        now += SECOND
        state = POLICY.succeeded(state) if success else POLICY.failed(state, now)
        assert 0 <= POLICY.view(state, now).weight <= 1
    assert POLICY.view(state, now + POLICY.max_probe_interval).usable

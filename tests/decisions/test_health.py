"""How an upstream is drawn down and comes back."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import HealthPolicy, HealthState

POLICY = HealthPolicy()
SECOND = timedelta(seconds=1)


def test_failures_draw_an_upstream_down_within_four() -> None:
    """An upstream fails every request at once; after the fourth nothing but probes goes there."""
    state = HealthState()
    for _ in range(4):
        state = POLICY.failed(state, SECOND)
    assert POLICY.view(state, SECOND).weight == 0
    assert not POLICY.view(state, SECOND).usable


def test_one_failure_does_not_take_an_upstream_out() -> None:
    """Single failures happen; the upstream keeps half of its weight."""
    assert POLICY.view(POLICY.failed(HealthState(), SECOND), SECOND).weight == 0.5


def test_a_dead_upstream_costs_a_probe_in_half_a_minute() -> None:
    """Every probe fails for ten minutes: the interval grows to 30 s, and one goes at a time."""
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


def test_a_recovered_upstream_comes_back_step_by_step() -> None:
    """The probe succeeds; the weight returns over a dozen answers and not at once."""
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
def test_an_upstream_can_always_come_back(outcomes: list[bool]) -> None:
    """Whatever happened, the weight lies between 0 and 1, and a probe is due within its bound."""
    state = HealthState()
    now = timedelta()
    for good in outcomes:
        now += SECOND
        state = POLICY.succeeded(state) if good else POLICY.failed(state, now)
        assert 0 <= POLICY.view(state, now).weight <= 1
    assert POLICY.view(state, now + POLICY.max_probe_interval).usable

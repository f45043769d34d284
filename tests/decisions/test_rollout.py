"""Which samples are started, and what happens to stragglers."""

from datetime import timedelta

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import (
    GroupView,
    RolloutPolicy,
    RolloutSettings,
    RolloutView,
    SampleView,
    StepView,
    StragglerAction,
)

STEP = timedelta(seconds=60)


def view(**fields: object) -> RolloutView:
    """Return the view of a trainer that trains on step 4 at version 4.

    It pulls step 5 in half a minute.
    """
    groups = [
        GroupView(f"{step}/{i}", step, 8, 100 + 200 * i) for step in (5, 6, 7) for i in range(4)
    ]
    defaults = {
        "next_step": 5,
        "version_at_pull": 5,
        "until_pull": timedelta(seconds=30),
        "step_time": STEP,
        "sampler_version": 4,
        "free_slots": 1000,
        "sample_tokens_per_second": 50.0,
        "time_to_first_token": timedelta(seconds=0.5),
        "steps": {step: StepView(32, 0) for step in (5, 6, 7)},
        "waiting": groups,
        "in_flight": (),
    }
    return RolloutView(**{**defaults, **fields})  # type: ignore[arg-type]


def sample(**fields: object) -> SampleView:
    """Return a sample of step 5 with half of its 1,000 tokens, at 50 tokens per second."""
    defaults = {
        "id": "s",
        "step": 5,
        "version": 4,
        "expected_tokens": 1000,
        "tokens_done": 500,
        "running": timedelta(seconds=10),
        "since_progress": timedelta(),
        "tokens_per_second": 50.0,
    }
    return SampleView(**{**defaults, **fields})  # type: ignore[arg-type]


def policy(freshness: float, bound: int = 2) -> RolloutPolicy:
    """Return a policy with the given settings."""
    return RolloutPolicy(RolloutSettings(freshness, bound))


def started(rollout_policy: RolloutPolicy, current: RolloutView) -> list[str]:
    """Return the ids of the started groups, in order."""
    return [start.group for start in rollout_policy.plan(current).start]


def test_full_freshness_starts_nothing_before_the_weights_of_the_step() -> None:
    """Nothing starts while the trainer trains; the step starts when its new weights are served."""
    assert started(policy(1.0), view()) == []
    ready = view(until_pull=timedelta(), sampler_version=5)
    assert sorted(started(policy(1.0), ready)) == ["5/0", "5/1", "5/2", "5/3"]


def test_zero_freshness_starts_everything_within_the_bound() -> None:
    """Steps 5 and 6 would be one and two versions old; step 7 would be three and has to wait."""
    groups = started(policy(0.0), view())
    assert {group[0] for group in groups} == {"5", "6"}
    assert len(groups) == 8


def test_early_start_allowance_goes_to_the_longest_groups() -> None:
    """An allowance of half a version per sample starts the longest groups of step 5 early."""
    groups = started(policy(0.75), view())
    assert "5/3" in groups
    assert "5/0" not in groups


def test_allowance_is_used_if_lengths_are_unknown() -> None:
    """All groups are expected to take equally long, so no common wait separates them.

    An allowance of one version per sample starts all of step 5, and one of half a version half of
    it. Otherwise all groups would wait for the new weights, and the trainer would be idle.
    """
    equal = [GroupView(f"5/{i}", 5, 8, 300) for i in range(4)]
    current = view(waiting=equal)
    for freshness, samples in ((0.5, 32), (0.75, 16), (1.0, 0)):
        plan = policy(freshness).plan(current)
        assert sum(start.samples for start in plan.start) == samples


def test_earlier_starts_count_against_the_allowance() -> None:
    """The step has used up its allowance, so its other samples wait for new weights."""
    used = {5: StepView(32, 32), 6: StepView(32, 32), 7: StepView(32, 0)}
    assert started(policy(0.5), view(steps=used)) == []


def test_no_more_samples_are_started_than_slots_are_free() -> None:
    """A sample queued at a sampler starts no earlier and occupies the queue.

    A step that the trainer waits for gets all free slots; early starts leave 15% of them for moves.
    """
    ready = view(
        free_slots=10, until_pull=timedelta(), sampler_version=5, steps={5: StepView(32, 0)}
    )
    ready = attrs.evolve(ready, waiting=[group for group in ready.waiting if group.step == 5])
    assert sum(start.samples for start in policy(0.0).plan(ready).start) == 10
    assert sum(start.samples for start in policy(0.0).plan(view(free_slots=10)).start) == 9


def test_stalled_sample_is_resumed_elsewhere() -> None:
    """Its upstream has sent no token for ten seconds while the trainer waits for the step."""
    stalled = sample(since_progress=timedelta(seconds=10))
    plan = policy(0.5).plan(view(until_pull=timedelta(), in_flight=(stalled,)))
    assert [decision.action for decision in plan.stragglers] == [StragglerAction.RESUME]


def test_stalled_sample_without_tokens_is_hedged_once() -> None:
    """It may only be queued, so the first copy is kept; there is never a third copy."""
    without_tokens = sample(
        tokens_done=0, since_progress=timedelta(seconds=30), tokens_per_second=0.0
    )
    with_first_copy = view(until_pull=timedelta(), in_flight=(without_tokens,))
    assert policy(0.5).plan(with_first_copy).stragglers[0].action is StragglerAction.HEDGE
    with_second_copy = view(
        until_pull=timedelta(), in_flight=(attrs.evolve(without_tokens, copies=2),)
    )
    assert policy(0.5).plan(with_second_copy).stragglers == ()


def test_slow_sample_that_is_not_due_stays() -> None:
    """Its step is pulled in over two minutes, and its upstream may recover by then."""
    slow = sample(step=7, version=5, tokens_per_second=1.0)
    assert policy(0.5).plan(view(in_flight=(slow,))).stragglers == ()


def test_general_slowdown_moves_few_samples() -> None:
    """No upstream is better if every sample is slow; at most a tenth is moved in one round."""
    slow_samples = tuple(sample(id=f"s{i}", tokens_per_second=1.0) for i in range(50))
    current = view(until_pull=timedelta(), in_flight=slow_samples, waiting=())
    assert policy(0.5).plan(attrs.evolve(current, sample_tokens_per_second=1.0)).stragglers == ()
    assert len(policy(0.5).plan(current).stragglers) == 5


def test_nothing_is_moved_without_a_free_slot() -> None:
    """A sample moved into a queue would stall again."""
    stalled = sample(since_progress=timedelta(seconds=10))
    current = view(until_pull=timedelta(), in_flight=(stalled,), free_slots=0)
    assert policy(0.5).plan(current).stragglers == ()


def test_sample_that_will_be_too_stale_is_given_up() -> None:
    """Its oldest tokens are of version 2; at version 5 that exceeds the bound of two."""
    old = sample(version=2)
    plan = policy(0.5).plan(view(in_flight=(old,)))
    assert [decision.action for decision in plan.stragglers] == [StragglerAction.GIVE_UP]


WAITING = st.lists(
    st.builds(
        GroupView,
        id=st.uuids().map(str),
        step=st.integers(5, 8),
        samples=st.integers(1, 8),
        expected_tokens=st.integers(1, 4096),
    ),
    max_size=30,
    unique_by=lambda group: group.id,
)


@given(WAITING, st.floats(0, 1), st.integers(0, 3), st.integers(0, 100), st.integers(3, 5))
def test_no_sample_is_started_that_would_exceed_the_bound(
    waiting: list[GroupView], freshness: float, bound: int, free_slots: int, served: int
) -> None:
    """Starts stay within free slots, bound and allowance, and are a function of the view."""
    steps = {
        step: StepView(sum(group.samples for group in waiting if group.step == step), 0)
        for step in range(5, 9)
    }
    current = view(waiting=waiting, steps=steps, free_slots=free_slots, sampler_version=served)
    plan = policy(freshness, bound).plan(current)
    assert plan == policy(freshness, bound).plan(current)
    groups = {group.id: group for group in waiting}
    assert sum(start.samples for start in plan.start) <= free_slots
    early = dict.fromkeys(steps, 0)
    for start in plan.start:
        group = groups[start.group]
        assert start.samples <= group.samples
        staleness = 5 + group.step - 5 - start.min_version
        assert staleness <= bound
        early[group.step] += max(0, staleness) * start.samples
    for step, spent in early.items():
        assert spent <= (1 - freshness) * bound * steps[step].samples + 1e-6


@pytest.mark.parametrize("freshness", [0.0, 0.5, 1.0])
def test_step_of_a_waiting_trainer_starts_completely(freshness: float) -> None:
    """While the trainer waits and the samplers serve its version, the whole step is started."""
    current = view(until_pull=timedelta(), sampler_version=5)
    groups = [group for group in started(policy(freshness), current) if group.startswith("5/")]
    assert len(groups) == 4

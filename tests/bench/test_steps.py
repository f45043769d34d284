"""The model of a step's texts: repeatable, fair between policies, and true to what it says."""

from random import Random

import attrs
import pytest

from bench.model.simulation import Simulation
from bench.steps.engines import Engine
from bench.steps.main import play
from bench.steps.model import FIGURES, LOADS, POLICIES, Figures, Policy, StepLoad, Text

SMALL = attrs.evolve(LOADS[0], seconds=12.0, nodes=4, slow_spells=1)
ALL = POLICIES[1]


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
def test_a_seed_gives_the_same_figures_again(policy: Policy) -> None:
    """Every run is decided by its seed alone."""
    assert play(SMALL, policy, 3) == play(SMALL, policy, 3)


def test_policies_play_the_same_steps() -> None:
    """What is owed differs only where a trainer ran so late that it asked for fewer steps."""
    owed = {play(SMALL, policy, 5).owed for policy in POLICIES}
    most = max(owed)
    assert all(most - count <= most / 4 for count in owed)


def test_nothing_is_left_over_and_no_group_counts_twice() -> None:
    """All steps end, whole or given up."""
    out = play(SMALL, ALL, 7)
    assert out.unfinished == 0
    assert 0 < out.in_time <= out.owed
    assert len(out.steps) >= 6 and max(out.steps) <= SMALL.limit


def test_an_engine_that_turns_slow_makes_less_of_its_texts() -> None:
    """100 events at 40 ms; four times as slow from the second second on: 25 events, then 75 at 160 ms."""
    sim, ended = Simulation(), []
    engine = Engine("e", 0.04, 1, sim)
    engine.start(Text(0, 100, 0), lambda: ended.append(sim.seconds))
    sim.at(1.0, engine.slow, 4.0)
    sim.run(60)
    assert ended == [pytest.approx(1 + 75 * 0.16)]


def test_engines_are_first_in_first_out_with_so_many_places() -> None:
    """Two places, three texts of a second each: the third one waits."""
    sim, ended = Simulation(), []
    engine = Engine("e", 0.04, 2, sim)
    for _ in range(3):
        engine.start(Text(0, 25, 0), lambda: ended.append(round(sim.seconds, 3)))
    sim.run(60)
    assert ended == [1.0, 1.0, 2.0]


def test_texts_have_the_lengths_that_the_load_tells() -> None:
    """One in twelve is five times as long, and none over the cut."""
    load: StepLoad = LOADS[0]
    lengths = [load.length(Random(seed)) for seed in range(4000)]
    assert sum(lengths) / len(lengths) == pytest.approx(load.mean_events, rel=0.15)
    assert max(lengths) == round(load.mean_events * 7.2) and min(lengths) >= 1


def test_figures_are_told_by_name() -> None:
    """An empty run has figures, too."""
    assert [Figures().value(name) for name in FIGURES] == [0.0] * len(FIGURES)


def test_leaving_slow_engines_serves_more_groups_in_time() -> None:
    """Engines of unlike speed, one of which turns slow: the pattern that leaving answers."""
    with_it = sum(play(LOADS[0], ALL, seed).in_time for seed in range(4))
    without = sum(play(LOADS[0], POLICIES[0], seed).in_time for seed in range(4))
    assert with_it > without

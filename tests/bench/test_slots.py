"""What callers get of shared engine slots, on a virtual clock."""

import attrs
import pytest

from bench.slots import WAYS, Figures, SlotLoad, play

SMALL = SlotLoad("small", engines=3, gateways=3, disturbed=18.0, seconds=50.0)
BURST = attrs.evolve(SMALL, burst=4.0)
LOSS = attrs.evolve(SMALL, lost=1 / 3)
SHARED = ("arrival", "slack", "share")


def _play(load: SlotLoad, way: str, seed: int = 1) -> Figures:
    return play(load, WAYS[way], seed)


def test_a_seed_gives_the_same_figures_again() -> None:
    """A difference between two runs comes from something else than the change."""
    assert _play(SMALL, "share") == _play(SMALL, "share")


@pytest.mark.parametrize("way", SHARED)
def test_granted_texts_find_a_slot(way: str) -> None:
    """More slots are granted than an engine has, so that texts queue there or are rejected."""
    assert _play(LOSS, way).delayed == 0.0
    assert _play(LOSS, "alone").delayed > 0.5


def test_no_trainer_starves_beside_one_that_bursts() -> None:
    """One trainer sends four times as many texts, and the others' steps wait for them."""
    alone, shared = _play(BURST, "alone"), _play(BURST, "share")
    assert shared.late < 1.0
    assert shared.late < alone.late


@pytest.mark.parametrize("load", [1.2, 2.0])
def test_steps_are_shorter_than_without_shares(load: float) -> None:
    """Long texts start last or meet slow engines, and their steps wait for them."""
    asked = attrs.evolve(SMALL, load=load)
    shared = _play(asked, "share")
    for way in ("alone", "arrival"):
        other = _play(asked, way)
        assert shared.step < other.step
        assert shared.late < other.late


@pytest.mark.parametrize("load", [BURST, LOSS], ids=["burst", "loss"])
def test_returns_to_normal(load: SlotLoad) -> None:
    """The backlog of a disturbance makes each later step late, too."""
    assert _play(load, "share").normal_after < 15.0

"""Which node runs a group, and when another steps in."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.job_placement import ITEMS_A_NODE, TAKEOVER, JobPlacement

ZERO = timedelta()
NODES = [f"front-{number}" for number in range(9)]


def _first(trainer: str, items: int, group: str, live: list[str]) -> list[str]:
    placed = {node: JobPlacement(trainer, items, node, live) for node in live}
    return [node for node in live if placed[node].start_delay(group) == ZERO]


@given(st.text(min_size=1), st.text(min_size=1), st.integers(1, 500))
def test_exactly_one_live_node_starts_a_group_at_once(trainer: str, group: str, items: int) -> None:
    """All nodes agree who that is without asking each other."""
    assert len(_first(trainer, items, group, NODES)) == 1


@given(st.text(min_size=1), st.integers(0, 40))
def test_a_dead_node_is_followed_at_once_once_it_is_known(trainer: str, number: int) -> None:
    """The first node is gone from the live ones: another one is first, and only one."""
    (first,) = _first(trainer, 100, f"g{number}", NODES)
    left = [node for node in NODES if node != first]
    assert len(_first(trainer, 100, f"g{number}", left)) == 1


def test_others_step_in_one_after_the_other() -> None:
    """A live first node that does nothing is doubled after one takeover by one node, not by all."""
    delays = sorted(
        delay
        for node in NODES
        if (delay := JobPlacement("m", 100, node, NODES).start_delay("g")) is not None
    )
    assert delays == [number * TAKEOVER for number in range(len(delays))]
    assert len(delays) > 2


def test_a_trainers_jobs_stay_with_its_team() -> None:
    """Step after step the same nodes run, so their connections are used again."""
    team = {node for node in NODES if JobPlacement("m", 104, node, NODES).in_team}
    assert len(team) == -(-104 // ITEMS_A_NODE)
    firsts = {_first("m", 104, f"g{number}", NODES)[0] for number in range(40)}
    assert firsts == team


def test_a_node_that_nobody_lists_counts_itself() -> None:
    """Before its own sign was read, or without any, a lone node does the work."""
    assert JobPlacement("m", 4, "front-1", []).start_delay("g") == ZERO

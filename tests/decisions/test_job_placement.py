"""Which node starts a job's group, and when another node takes over."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.job_placement import ITEMS_PER_NODE, TAKEOVER_DELAY, JobPlacement

ZERO = timedelta()
NODES = [f"front-{number}" for number in range(9)]


def _starting_at_once(trainer: str, items: int, group: str, live: list[str]) -> list[str]:
    placed = {node: JobPlacement(trainer, items, node, live) for node in live}
    return [node for node in live if placed[node].start_delay(group) == ZERO]


@given(st.text(min_size=1), st.text(min_size=1), st.integers(1, 500))
def test_exactly_one_live_node_starts_a_group_at_once(trainer: str, group: str, items: int) -> None:
    """All nodes compute the same first node; with two the group would run twice, with none late."""
    assert len(_starting_at_once(trainer, items, group, NODES)) == 1


@given(st.text(min_size=1), st.integers(0, 40))
def test_dead_first_node_is_replaced_by_exactly_one(trainer: str, number: int) -> None:
    """When the first node is no longer live, exactly one other node becomes the first."""
    (first,) = _starting_at_once(trainer, 100, f"g{number}", NODES)
    remaining = [node for node in NODES if node != first]
    assert len(_starting_at_once(trainer, 100, f"g{number}", remaining)) == 1


def test_nodes_take_over_one_at_a_time() -> None:
    """If the first node is live but does nothing, one node starts the group per takeover delay."""
    delays = sorted(
        delay
        for node in NODES
        if (delay := JobPlacement("m", 100, node, NODES).start_delay("g")) is not None
    )
    assert delays == [number * TAKEOVER_DELAY for number in range(len(delays))]
    assert len(delays) > 2


def test_jobs_of_a_trainer_are_assigned_to_the_same_nodes() -> None:
    """The same nodes run each step of a trainer, so that their connections are reused."""
    assigned = {node for node in NODES if JobPlacement("m", 104, node, NODES).is_assigned}
    assert len(assigned) == -(-104 // ITEMS_PER_NODE)
    firsts = {_starting_at_once("m", 104, f"g{number}", NODES)[0] for number in range(40)}
    assert firsts == assigned


def test_node_missing_from_the_live_list_counts_itself() -> None:
    """A node that has not yet read its own heartbeat, or sees none, starts the groups itself."""
    assert JobPlacement("m", 4, "front-1", []).start_delay("g") == ZERO

"""One workspace sends most of the requests; ranks go before fair shares."""

from collections.abc import Callable
from datetime import timedelta

import pytest

from bench.fairness import HEAVY, ORDERS, FairnessLoad, served_shares
from cranberryline.decisions import (
    AdmissionPolicy,
    AdmissionRequest,
    AdmissionView,
    Admit,
    Outstanding,
    Priority,
    WorkItem,
    WorkQueue,
)
from cranberryline.decisions.const import ZERO

LOAD = FairnessLoad(seconds=45.0)
MIN_SHARE = 0.9


@pytest.mark.parametrize(
    ("order", "fair"), [("start-time fair", True), ("deficit round robin", True), ("fifo", False)]
)
def test_a_workspace_that_sends_twenty_times_its_share_does_not_displace_the_others(
    order: str, fair: bool
) -> None:
    """None of 79 workspaces is served under 0.9 of what it is without the heavy one."""
    alone = served_shares(ORDERS[order], LOAD, 1, with_heavy=False)
    beside = served_shares(ORDERS[order], LOAD, 1)
    worst = min(share / alone[name] for name, share in beside.items() if name != HEAVY)
    assert (worst >= MIN_SHARE) is fair


def _ranked(item: WorkItem, rank: int) -> WorkItem:
    return WorkItem(
        item.id, item.caller, item.priority, item.tokens, item.arrived, item.start_by, rank
    )


def test_the_most_urgent_rank_starts_first(make_item: Callable[..., WorkItem]) -> None:
    """Arrival order and shares count only within a rank."""
    queue = WorkQueue(1)
    for caller, rank in (("a", 2), ("a", 2), ("b", 1), ("c", 0), ("b", 2)):
        queue.push(_ranked(make_item(caller), rank))
    started = []
    while (item := queue.pop(ZERO)) is not None:
        queue.finish(item.id)
        started.append((item.rank, item.caller))
    assert started == [(0, "c"), (1, "b"), (2, "a"), (2, "b"), (2, "a")]


def test_the_estimated_wait_counts_only_what_starts_before(
    make_item: Callable[..., WorkItem],
) -> None:
    """A long queue of a less urgent rank refuses nobody; one of a more urgent rank does."""
    queued, running = Outstanding(), Outstanding()
    for _ in range(100):
        queued.add(_ranked(make_item("other"), 1))
    running.add(make_item("other"))
    view = AdmissionView(queued, running, 1, 500.0)

    def admits(rank: int) -> bool:
        req = AdmissionRequest("own", Priority.APPLICATION, 100, timedelta(seconds=2), rank=rank)
        return isinstance(AdmissionPolicy().decide(view, req), Admit)

    assert admits(0) and not admits(2)
    for item in list(queued):
        queued.remove(item.id)
    assert queued.tokens_before_rank(Priority.APPLICATION, 9) == 0
    assert not queued.rank_tokens(Priority.APPLICATION, 1)

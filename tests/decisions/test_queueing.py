"""Order in which queued items start, reserved slots, expiry and starvation."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import DuplicateItemError, Priority, QueueSettings, WorkItem, WorkQueue
from cranberryline.decisions.const import ZERO

LONG = 5000


def serve(queue: WorkQueue, requests: int, now: timedelta = ZERO) -> list[WorkItem]:
    """Start and finish up to `requests` items, one after the other."""
    served = []
    for _ in range(requests):
        item = queue.pop(now)
        if item is None:
            break
        queue.finish(item.id)
        served.append(item)
    return served


def test_burst_of_one_caller_does_not_delay_the_others(make_item: Callable[..., WorkItem]) -> None:
    """One caller queues a hundred requests; then two others queue five each.

    The three callers are served in turn, so the other two are done after fifteen requests instead
    of after a hundred and ten.
    """
    queue = WorkQueue(1)
    for _ in range(100):
        queue.push(make_item("heavy"))
    for caller in ("b", "c"):
        for _ in range(5):
            queue.push(make_item(caller))
    served = Counter(item.caller for item in serve(queue, 16))
    assert served["b"] == served["c"] == 5


def test_callers_share_tokens_in_proportion_to_their_weights(
    make_item: Callable[..., WorkItem],
) -> None:
    """Requests of caller b are four times as large as those of a, and b has twice the weight.

    With a long backlog, b gets twice as many tokens as a, and so half as many requests.
    """
    queue = WorkQueue(1, QueueSettings(caller_weights={"b": 2.0}))
    for _ in range(200):
        queue.push(make_item("a", tokens=100))
        queue.push(make_item("b", tokens=400))
    tokens: Counter[str] = Counter()
    for item in serve(queue, 90):
        tokens[item.caller] += item.tokens
    assert tokens["b"] / tokens["a"] == pytest.approx(2.0, rel=0.1)


def test_application_calls_are_served_first_and_no_class_starves(
    make_item: Callable[..., WorkItem],
) -> None:
    """All three classes have a permanent backlog.

    Application calls get most of the tokens, the other classes their minimum shares of a fifth and
    a twentieth.
    """
    queue = WorkQueue(1)
    for priority in Priority:
        for _ in range(500):
            queue.push(make_item(priority.name, priority))
    served = Counter(item.priority for item in serve(queue, 400))
    assert served[Priority.APPLICATION] > 280
    assert served[Priority.TRAINER] == pytest.approx(80, abs=8)
    assert served[Priority.BACKGROUND] == pytest.approx(20, abs=4)


def test_long_items_leave_slots_for_short_items(make_item: Callable[..., WorkItem]) -> None:
    """One caller sends long generations and short calls to an upstream with sixteen slots.

    The long ones use at most fourteen slots, so a later short call starts immediately.
    """
    queue = WorkQueue(16)
    queue.push(make_item(tokens=10))
    serve(queue, 1)
    for _ in range(30):
        queue.push(make_item(tokens=LONG))
    running = [item for _ in range(30) if (item := queue.pop(ZERO)) is not None]
    assert len(running) == 14
    short = make_item(tokens=10, arrived=1.0)
    queue.push(short)
    assert queue.pop(timedelta(seconds=1)) == short


def test_long_items_use_all_slots_without_short_items(
    make_item: Callable[..., WorkItem],
) -> None:
    """An upstream that receives only long generations must not keep slots unused."""
    queue = WorkQueue(16)
    for _ in range(30):
        queue.push(make_item(tokens=LONG))
    assert sum(queue.pop(ZERO) is not None for _ in range(30)) == 16


def test_burst_of_samples_leaves_slots_for_application_calls(
    make_item: Callable[..., WorkItem],
) -> None:
    """Samples of a training step arrive while applications call occasionally: a slot stays free."""
    queue = WorkQueue(8)
    queue.push(make_item())
    serve(queue, 1)
    for _ in range(20):
        queue.push(make_item("t", Priority.TRAINER))
    while queue.pop(ZERO) is not None:
        pass
    assert len(queue.running) == 7
    queue.push(make_item())
    assert queue.pop(ZERO) is not None


def test_expired_item_is_returned_and_never_started(
    make_item: Callable[..., WorkItem],
) -> None:
    """The latest start of an item passed while all slots were in use.

    `expire` returns it so that it can be rejected as not run; the next item starts.
    """
    queue = WorkQueue(1)
    expired, valid = make_item(start_by=1.0), make_item(start_by=9.0)
    queue.push(expired)
    queue.push(valid)
    assert queue.next_expiry() == timedelta(seconds=1)
    now = timedelta(seconds=2)
    assert queue.pop(now) == valid
    assert queue.expire(now) == [expired]
    assert queue.expire(now) == []


def test_cancelled_item_does_not_start(make_item: Callable[..., WorkItem]) -> None:
    """`cancel` tells whether the item was still queued, which proves that it has not run."""
    queue = WorkQueue(1)
    item = make_item()
    queue.push(item)
    assert queue.cancel(item.id) == item
    assert queue.pop(ZERO) is None
    assert queue.cancel(item.id) is None
    started = make_item()
    queue.push(started)
    assert queue.pop(ZERO) == started
    assert queue.cancel(started.id) is None


def test_pushing_an_item_twice_is_an_error(make_item: Callable[..., WorkItem]) -> None:
    """An item that is queued or running was accepted a second time."""
    queue = WorkQueue(1)
    item = make_item()
    queue.push(item)
    with pytest.raises(DuplicateItemError):
        queue.push(item)
    queue.pop(ZERO)
    with pytest.raises(DuplicateItemError):
        queue.push(item)


def test_reduced_slots_take_effect_as_items_finish(make_item: Callable[..., WorkItem]) -> None:
    """An operator halves the slots of an upstream while all are in use."""
    queue = WorkQueue(4)
    items = [make_item() for _ in range(6)]
    for item in items:
        queue.push(item)
    running = [queue.pop(ZERO) for _ in range(4)]
    queue.slots = 2
    for item in running[:2]:
        assert item is not None
        queue.finish(item.id)
    assert queue.pop(ZERO) is None


ARRIVALS = st.lists(
    st.tuples(
        st.sampled_from("abc"), st.sampled_from(list(Priority)), st.sampled_from([10, 100, LONG])
    ),
    min_size=1,
    max_size=60,
)


def filled_queue(arrivals: list[tuple[str, Priority, int]], slots: int) -> WorkQueue:
    """Return a queue that contains an item for each arrival."""
    queue = WorkQueue(slots)
    for i, (caller, priority, tokens) in enumerate(arrivals):
        queue.push(WorkItem(i, caller, priority, tokens, ZERO, timedelta(days=1)))
    return queue


@given(ARRIVALS, st.integers(1, 8))
def test_every_item_starts_once_within_the_slots(
    arrivals: list[tuple[str, Priority, int]], slots: int
) -> None:
    """An item never started, started twice, or more items ran than there are slots."""
    queue = filled_queue(arrivals, slots)
    started: list[int | str] = []
    while len(started) < len(arrivals):
        item = queue.pop(ZERO)
        if item is None:
            assert (
                len(queue.running) > 0
            ), "no item runs and none may start: the queue is deadlocked"
            queue.finish(next(iter(queue.running)).id)
            continue
        started.append(item.id)
        assert len(queue.running) <= slots
    assert sorted(started) == list(range(len(arrivals)))


@given(ARRIVALS)
def test_no_caller_or_class_starves_during_a_flood(
    arrivals: list[tuple[str, Priority, int]],
) -> None:
    """One caller sends requests of the most urgent class without end.

    All items that were queued before must start. The bound on the tokens served until then is the
    queued tokens, plus one item for each caller and the flood, divided by the smallest minimum
    share (0.05), so the wait is finite for any flood.
    """
    queue = filled_queue(arrivals, 1)
    waiting = set(range(len(arrivals)))
    tokens = sum(item.tokens for item in queue.queued)
    served, flood = 0, 0
    bound = (tokens + 4 * LONG) / 0.05
    while waiting:
        item_id = f"flood{flood}"
        flood += 1
        queue.push(WorkItem(item_id, "flood", Priority.APPLICATION, 1000, ZERO, timedelta(days=1)))
        item = queue.pop(ZERO)
        assert item is not None
        queue.finish(item.id)
        served += item.tokens
        waiting.discard(item.id if isinstance(item.id, int) else -1)
        assert served <= bound


@given(ARRIVALS, st.integers(1, 4))
def test_order_depends_only_on_the_pushed_items(
    arrivals: list[tuple[str, Priority, int]], slots: int
) -> None:
    """Two queues with the same items started them in different orders."""
    orders = []
    for _ in range(2):
        queue = filled_queue(arrivals, slots)
        orders.append([item.id for item in serve(queue, len(arrivals))])
    assert orders[0] == orders[1]


@given(st.lists(st.tuples(st.floats(0, 10), st.floats(0, 10)), max_size=40))
def test_items_start_only_before_and_expire_only_after_their_latest_start(
    times: list[tuple[float, float]],
) -> None:
    """`pop` returned an item past its latest start, or `expire` one that could still start."""
    queue = WorkQueue(100)
    now = ZERO
    for i, (start_by, step) in enumerate(times):
        latest = now + timedelta(seconds=start_by)
        queue.push(WorkItem(i, "a", Priority.TRAINER, 10, now, latest))
        now += timedelta(seconds=step)
        assert all(item.start_by < now for item in queue.expire(now))
        item = queue.pop(now)
        assert item is None or item.start_by >= now


def test_caller_above_its_share_leaves_the_last_slots_to_others(
    make_item: Callable[..., WorkItem],
) -> None:
    """One caller fills an upstream with sixteen slots while another one calls occasionally.

    The first one gets fourteen slots, so the other's call starts at once instead of waiting.
    """
    queue = WorkQueue(16)
    queue.push(make_item("light"))
    serve(queue, 1)
    for _ in range(30):
        queue.push(make_item("heavy"))
    while queue.pop(ZERO) is not None:
        pass
    assert len(queue.running) == 14
    light = make_item("light")
    queue.push(light)
    assert queue.pop(ZERO) == light

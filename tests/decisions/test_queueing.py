"""In what order waiting work starts, and that none waits for ever."""

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
    """Start and finish one item after the other."""
    served = []
    for _ in range(requests):
        item = queue.pop(now)
        if item is None:
            break
        queue.finish(item.id)
        served.append(item)
    return served


def test_a_heavy_caller_does_not_hold_up_the_others(make_item: Callable[..., WorkItem]) -> None:
    """One caller queues a hundred requests; then two others queue five each.

    The others are served in turn with it, and are done after fifteen requests instead of after a
    hundred and ten.
    """
    queue = WorkQueue(1)
    for _ in range(100):
        queue.push(make_item("heavy"))
    for caller in ("b", "c"):
        for _ in range(5):
            queue.push(make_item(caller))
    served = Counter(item.caller for item in serve(queue, 16))
    assert served["b"] == served["c"] == 5


def test_callers_share_by_tokens_and_weight(make_item: Callable[..., WorkItem]) -> None:
    """Caller b sends requests four times as large as a's, and has twice a's weight.

    Over a long backlog b gets twice a's tokens, so half as many requests.
    """
    queue = WorkQueue(1, QueueSettings(caller_weights={"b": 2.0}))
    for _ in range(200):
        queue.push(make_item("a", tokens=100))
        queue.push(make_item("b", tokens=400))
    tokens: Counter[str] = Counter()
    for item in serve(queue, 90):
        tokens[item.caller] += item.tokens
    assert tokens["b"] / tokens["a"] == pytest.approx(2.0, rel=0.1)


def test_application_calls_go_first_and_no_class_starves(
    make_item: Callable[..., WorkItem],
) -> None:
    """All three classes have a backlog that never ends.

    Application calls get most of the tokens, the others their floors of a fifth and a twentieth.
    """
    queue = WorkQueue(1)
    for priority in Priority:
        for _ in range(500):
            queue.push(make_item(priority.name, priority))
    served = Counter(item.priority for item in serve(queue, 400))
    assert served[Priority.APPLICATION] > 280
    assert served[Priority.TRAINER] == pytest.approx(80, abs=8)
    assert served[Priority.BACKGROUND] == pytest.approx(20, abs=4)


def test_long_work_leaves_slots_for_short_work(make_item: Callable[..., WorkItem]) -> None:
    """Long generations and short calls of one caller come to an upstream of sixteen slots.

    The long ones take fourteen slots at most, so a short call that comes later starts at once.
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


def test_long_work_takes_all_slots_when_no_short_work_comes(
    make_item: Callable[..., WorkItem],
) -> None:
    """An upstream that sees only long generations is used in full."""
    queue = WorkQueue(16)
    for _ in range(30):
        queue.push(make_item(tokens=LONG))
    assert sum(queue.pop(ZERO) is not None for _ in range(30)) == 16


def test_a_burst_of_samples_leaves_slots_for_application_calls(
    make_item: Callable[..., WorkItem],
) -> None:
    """A step of samples comes while applications call now and then: they find a slot at once."""
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


def test_what_cannot_start_in_time_is_handed_over_and_never_started(
    make_item: Callable[..., WorkItem],
) -> None:
    """An item's latest start has passed while all slots were taken.

    It is refused as not run; the one behind it is started.
    """
    queue = WorkQueue(1)
    late, fine = make_item(start_by=1.0), make_item(start_by=9.0)
    queue.push(late)
    queue.push(fine)
    assert queue.next_expiry() == timedelta(seconds=1)
    now = timedelta(seconds=2)
    assert queue.pop(now) == fine
    assert queue.expire(now) == [late]
    assert queue.expire(now) == []


def test_a_withdrawn_item_does_not_start(make_item: Callable[..., WorkItem]) -> None:
    """Cancelling says whether the item still waited, which is what makes `not run` true."""
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


def test_an_item_is_held_once(make_item: Callable[..., WorkItem]) -> None:
    """A second push of what waits or runs is a fault of the caller."""
    queue = WorkQueue(1)
    item = make_item()
    queue.push(item)
    with pytest.raises(DuplicateItemError):
        queue.push(item)
    queue.pop(ZERO)
    with pytest.raises(DuplicateItemError):
        queue.push(item)


def test_fewer_slots_take_effect_as_work_ends(make_item: Callable[..., WorkItem]) -> None:
    """An operator halves an upstream's slots while it is full."""
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


def filled(arrivals: list[tuple[str, Priority, int]], slots: int) -> WorkQueue:
    """Return a queue with everything pushed."""
    queue = WorkQueue(slots)
    for i, (caller, priority, tokens) in enumerate(arrivals):
        queue.push(WorkItem(i, caller, priority, tokens, ZERO, timedelta(days=1)))
    return queue


@given(ARRIVALS, st.integers(1, 8))
def test_everything_is_started_once_and_slots_are_kept(
    arrivals: list[tuple[str, Priority, int]], slots: int
) -> None:
    """Work that is finished in any case is all started, each item once, within the slots."""
    queue = filled(arrivals, slots)
    started: list[int | str] = []
    while len(started) < len(arrivals):
        item = queue.pop(ZERO)
        if item is None:
            assert len(queue.running) > 0, "nothing runs and nothing may start: it would starve"
            queue.finish(next(iter(queue.running)).id)
            continue
        started.append(item.id)
        assert len(queue.running) <= slots
    assert sorted(started) == list(range(len(arrivals)))


@given(ARRIVALS)
def test_no_caller_or_class_starves_under_a_flood(
    arrivals: list[tuple[str, Priority, int]],
) -> None:
    """A caller floods the most urgent class for ever; what waited before is all started.

    The bound is the tokens that waited over the smallest floor, and one head item of each caller
    of the flood, so a wait is finite whatever the flood.
    """
    queue = filled(arrivals, 1)
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
def test_the_order_is_a_function_of_what_was_pushed(
    arrivals: list[tuple[str, Priority, int]], slots: int
) -> None:
    """Two queues with the same pushes start the same items in the same order."""
    orders = []
    for _ in range(2):
        queue = filled(arrivals, slots)
        orders.append([item.id for item in serve(queue, len(arrivals))])
    assert orders[0] == orders[1]


@given(st.lists(st.tuples(st.floats(0, 10), st.floats(0, 10)), max_size=40))
def test_the_wait_is_bounded(times: list[tuple[float, float]]) -> None:
    """At any time, what was popped could still start and what expired could not."""
    queue = WorkQueue(100)
    now = ZERO
    for i, (start_by, step) in enumerate(times):
        latest = now + timedelta(seconds=start_by)
        queue.push(WorkItem(i, "a", Priority.TRAINER, 10, now, latest))
        now += timedelta(seconds=step)
        assert all(item.start_by < now for item in queue.expire(now))
        item = queue.pop(now)
        assert item is None or item.start_by >= now


def test_a_caller_over_its_share_leaves_the_last_slots_to_others(
    make_item: Callable[..., WorkItem],
) -> None:
    """A heavy caller fills an upstream of sixteen slots while another calls now and then.

    It takes fourteen; the other's call finds a slot at once instead of waiting for one to be freed.
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

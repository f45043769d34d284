"""Totals of outstanding work match the items after any sequence of changes."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import DuplicateItemError, Outstanding, Priority, WorkItem
from cranberryline.decisions.const import ZERO

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "remove", "done"]),
        st.integers(0, 9),
        st.sampled_from(["a", "b"]),
        st.sampled_from(list(Priority)),
        st.integers(0, 500),
    ),
    max_size=60,
)


@given(STEPS)
def test_totals_match_the_items(steps: list[tuple[str, int, str, Priority, int]]) -> None:
    """The totals differ from those of a simple model, or are not all zero without any item."""
    outstanding = Outstanding()
    model: dict[int, tuple[WorkItem, int]] = {}
    for action, item_id, caller, priority, tokens in steps:
        if action == "add" and item_id not in model:
            item = WorkItem(item_id, caller, priority, tokens, ZERO, ZERO)
            outstanding.add(item)
            model[item_id] = (item, tokens)
        elif action == "remove":
            assert (outstanding.remove(item_id) is None) == (model.pop(item_id, None) is None)
        elif action == "done":
            outstanding.set_done(item_id, tokens)
            if item_id in model:
                item = model[item_id][0]
                model[item_id] = (item, max(0, item.tokens - tokens))
    assert len(outstanding) == len(model)
    assert outstanding.tokens == sum(remaining for _, remaining in model.values())
    for caller in ("a", "b"):
        own = [(item, remaining) for item, remaining in model.values() if item.caller == caller]
        assert outstanding.caller_requests(caller) == len(own)
        for priority in Priority:
            expected = sum(remaining for item, remaining in own if item.priority is priority)
            assert outstanding.caller_tokens(priority).get(caller, 0) == expected
    if not model:
        assert not any(outstanding.caller_tokens(priority) for priority in Priority)


def test_adding_an_item_twice_is_an_error(make_item: Callable[..., WorkItem]) -> None:
    """An item that was added twice would be counted twice."""
    outstanding = Outstanding()
    item = make_item()
    outstanding.add(item)
    with pytest.raises(DuplicateItemError):
        outstanding.add(item)

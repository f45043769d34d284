"""The ledger's sums are those of the items that it holds, whatever happened before."""

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
def test_sums_follow_the_items(steps: list[tuple[str, int, str, Priority, int]]) -> None:
    """Sums equal those of a plain model, and an empty ledger is all zero."""
    held = Outstanding()
    model: dict[int, tuple[WorkItem, int]] = {}
    for action, item_id, caller, priority, tokens in steps:
        if action == "add" and item_id not in model:
            item = WorkItem(item_id, caller, priority, tokens, ZERO, ZERO)
            held.add(item)
            model[item_id] = (item, tokens)
        elif action == "remove":
            assert (held.remove(item_id) is None) == (model.pop(item_id, None) is None)
        elif action == "done":
            held.set_done(item_id, tokens)
            if item_id in model:
                item = model[item_id][0]
                model[item_id] = (item, max(0, item.tokens - tokens))
    assert len(held) == len(model)
    assert held.tokens == sum(left for _, left in model.values())
    for caller in ("a", "b"):
        own = [(item, left) for item, left in model.values() if item.caller == caller]
        assert held.caller_requests(caller) == len(own)
        for priority in Priority:
            expected = sum(left for item, left in own if item.priority is priority)
            assert held.caller_tokens(priority).get(caller, 0) == expected
    if not model:
        assert not any(held.caller_tokens(priority) for priority in Priority)


def test_an_id_is_held_once(make_item: Callable[..., WorkItem]) -> None:
    """Holding an item twice would count it twice."""
    held = Outstanding()
    item = make_item()
    held.add(item)
    with pytest.raises(DuplicateItemError):
        held.add(item)

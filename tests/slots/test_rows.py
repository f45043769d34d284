"""Rows of texts whose names and numbers callers chose."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.slots import SlotNeed
from cranberryline.slots.checks import find_problem
from cranberryline.slots.rows import held_row, rejected_row, waiting_row

from .exchanges import exchange
from .site import SERVICE

names = st.sampled_from(("", "m", 300 * "m"))
numbers = st.sampled_from((-(2**63), -1, 0, 7, 2**63))
events = st.sampled_from((lambda: -1.0, lambda: float("inf"), lambda: float("nan")))
needs = st.builds(
    SlotNeed,
    service=st.just(SERVICE),
    trainer=names,
    due=st.sampled_from((timedelta.min, timedelta(), timedelta.max)),
    events_left=events,
    group_events_left=events,
    model=names,
    min_version=st.none() | numbers,
    rank=numbers,
    avoid=st.just(frozenset(map(str, range(300)))),
)


@given(needs)
def test_no_text_lets_a_keeper_reject_those_of_others(need: SlotNeed) -> None:
    """A job with an odd name or number ends the sharing of all texts of its gateway."""
    msg = exchange(
        1,
        waiting=(waiting_row(1, need, timedelta()),),
        held=(held_row(2, "e1", need, timedelta()),),
        rejected=(rejected_row("e1", need, RunEnd.FAILED),),
    )
    assert not find_problem(msg)

"""Exclusion of upstreams that failed when work is retried."""

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.excluded_upstreams import next_excluded


@given(st.permutations(["u1", "u2", "u3", "u4"]), st.integers(5, 20))
def test_no_upstream_is_tried_twice_before_all_were_tried(order: list[str], tries: int) -> None:
    """Work fails on every upstream, and prefix affinity prefers the same upstreams each time."""
    excluded: frozenset[str] = frozenset()
    tried: list[str] = []
    for _ in range(tries):
        candidates = [upstream for upstream in order if upstream not in excluded] or order
        tried.append(candidates[0])
        excluded = next_excluded(excluded, candidates[0])
    assert all(len(set(tried[start : start + 4])) == 4 for start in range(0, tries - 4, 4))

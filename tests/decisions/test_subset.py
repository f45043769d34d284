"""The subsets of upstreams that entries dial."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import subset
from cranberryline.decisions.subset import MIN_SUBSET

ENTRIES = [f"entry-{i}" for i in range(40)]
UPSTREAMS = [f"sampler-{i}" for i in range(380)]


def subsets(entries: list[str], upstreams: list[str]) -> dict[str, frozenset[str]]:
    """Return every entry's subset."""
    return {entry: subset(entry, entries, upstreams) for entry in entries}


def test_few_upstreams_are_all_dialled() -> None:
    """Today's deployments: every entry reaches every upstream."""
    assert subset("entry-0", ENTRIES, UPSTREAMS[:6]) == frozenset(UPSTREAMS[:6])


def test_every_upstream_is_reached_evenly_by_bounded_subsets() -> None:
    """Forty entries before 380 upstreams: each upstream has at least three entries."""
    chosen = subsets(ENTRIES, UPSTREAMS)
    entries_of = Counter(upstream for own in chosen.values() for upstream in own)
    assert len(entries_of) == len(UPSTREAMS)
    assert min(entries_of.values()) >= 3
    assert max(entries_of.values()) <= 6
    sizes = [len(own) for own in chosen.values()]
    assert min(sizes) >= MIN_SUBSET
    assert max(sizes) <= 2 * 3 * len(UPSTREAMS) / len(ENTRIES)


def test_an_upstream_that_leaves_changes_nothing_else() -> None:
    """Entries with more than the minimum lose that upstream and no other."""
    before = subsets(ENTRIES, UPSTREAMS)
    after = subsets(ENTRIES, UPSTREAMS[1:])
    for entry in ENTRIES:
        if len(after[entry]) > MIN_SUBSET:
            assert before[entry] - {UPSTREAMS[0]} == after[entry]


def test_an_entry_that_leaves_moves_only_its_own_upstreams() -> None:
    """The others take over about three upstreams each and drop none."""
    before = subsets(ENTRIES, UPSTREAMS)
    after = subsets(ENTRIES[1:], UPSTREAMS)
    moved = 0
    for entry in ENTRIES[1:]:
        gained = after[entry] - before[entry]
        assert gained <= before[ENTRIES[0]]
        moved += len(gained)
        if len(after[entry]) > MIN_SUBSET:
            assert before[entry] <= after[entry]
    assert moved <= len(before[ENTRIES[0]])


@given(st.integers(1, 12), st.integers(0, 60))
def test_no_upstream_is_left_out(entries: int, upstreams: int) -> None:
    """Together the entries reach every upstream."""
    chosen = subsets(ENTRIES[:entries], UPSTREAMS[:upstreams])
    assert frozenset().union(*chosen.values()) == frozenset(UPSTREAMS[:upstreams])

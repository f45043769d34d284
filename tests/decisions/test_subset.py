"""The subsets of upstreams that entries connect to."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import rendezvous, subset
from cranberryline.decisions.subset import MIN_SUBSET, SubsetChooser

ENTRIES = [f"entry-{i}" for i in range(40)]
UPSTREAMS = [f"sampler-{i}" for i in range(380)]


def subsets(entries: list[str], upstreams: list[str]) -> dict[str, frozenset[str]]:
    """Return every entry's subset."""
    return {entry: subset(entry, entries, upstreams) for entry in entries}


def test_few_upstreams_are_all_in_the_subset() -> None:
    """In a small deployment every entry connects to every upstream."""
    assert subset("entry-0", ENTRIES, UPSTREAMS[:6]) == frozenset(UPSTREAMS[:6])


def test_subsets_are_bounded_and_cover_upstreams_evenly() -> None:
    """Forty entries and 380 upstreams: each upstream has at least three entries."""
    chosen = subsets(ENTRIES, UPSTREAMS)
    entries_of = Counter(upstream for own in chosen.values() for upstream in own)
    assert len(entries_of) == len(UPSTREAMS)
    assert min(entries_of.values()) >= 3
    assert max(entries_of.values()) <= 6
    sizes = [len(own) for own in chosen.values()]
    assert min(sizes) >= MIN_SUBSET
    assert max(sizes) <= 2 * 3 * len(UPSTREAMS) / len(ENTRIES)


def test_upstream_that_leaves_closes_no_other_connection() -> None:
    """Entries with more than the minimum subset lose that upstream and no other."""
    before = subsets(ENTRIES, UPSTREAMS)
    after = subsets(ENTRIES, UPSTREAMS[1:])
    for entry in ENTRIES:
        if len(after[entry]) > MIN_SUBSET:
            assert before[entry] - {UPSTREAMS[0]} == after[entry]


def test_entry_that_leaves_reassigns_only_its_own_upstreams() -> None:
    """The others gain only upstreams of the entry that left, and drop none."""
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
def test_every_upstream_is_in_a_subset(entries: int, upstreams: int) -> None:
    """Together the entries connect to every upstream."""
    chosen = subsets(ENTRIES[:entries], UPSTREAMS[:upstreams])
    assert frozenset().union(*chosen.values()) == frozenset(UPSTREAMS[:upstreams])


changes = st.lists(
    st.tuples(st.sampled_from(["entries", "upstreams"]), st.integers(0, 39)), max_size=12
)


@given(changes)
def test_incremental_subset_equals_one_computed_from_scratch(
    steps: list[tuple[str, int]],
) -> None:
    """As members join and leave, the subset equals one computed from scratch elsewhere."""
    entries, upstreams = set(ENTRIES[:30]), set(UPSTREAMS[:60])
    chooser = SubsetChooser(ENTRIES[3], per_upstream=2, min_subset=2)
    for kind, number in steps:
        if kind == "entries" and number != 3:
            entries ^= {ENTRIES[number]}
        elif kind == "upstreams":
            upstreams ^= {UPSTREAMS[number + 40]}
        members = (sorted(entries), sorted(upstreams))
        assert chooser.choose(*members) == subset(ENTRIES[3], *members, 2, 2)


def test_single_change_does_not_recompute_the_whole_subset(monkeypatch: pytest.MonkeyPatch) -> None:
    """Adding or removing one member takes a small part of the hash calls of the first choice."""
    chooser, hashed = SubsetChooser("entry-3"), count_hashes(monkeypatch)
    chooser.choose(ENTRIES, UPSTREAMS)
    first, hashed[0] = hashed[0], 0
    chooser.choose(ENTRIES, UPSTREAMS[1:])
    assert hashed[0] == 0
    chooser.choose(ENTRIES, UPSTREAMS)
    assert hashed[0] <= len(ENTRIES) + 1
    hashed[0] = 0
    for gone in (6, 18, 39):
        chooser.choose([name for name in ENTRIES if name != f"entry-{gone}"], UPSTREAMS)
        chooser.choose(ENTRIES, UPSTREAMS)
    assert hashed[0] / 6 < first / 4


def count_hashes(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return a list whose single item counts the calls of the hash function."""
    counted, score = [0], rendezvous.score

    def counting(key: str, member: str) -> int:
        counted[0] += 1
        return score(key, member)

    monkeypatch.setattr(rendezvous, "score", counting)
    return counted

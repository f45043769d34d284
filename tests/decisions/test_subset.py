"""The subsets of upstreams that entries dial."""

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


changes = st.lists(
    st.tuples(st.sampled_from(["entries", "upstreams"]), st.integers(0, 39)), max_size=12
)


@given(changes)
def test_a_chooser_that_remembers_agrees_with_one_that_does_not(
    steps: list[tuple[str, int]],
) -> None:
    """Whatever joins and leaves, the subset is the one that another process works out anew."""
    entries, upstreams = set(ENTRIES[:30]), set(UPSTREAMS[:60])
    chooser = SubsetChooser(ENTRIES[3], per_upstream=2, min_subset=2)
    for kind, number in steps:
        if kind == "entries" and number != 3:
            entries ^= {ENTRIES[number]}
        elif kind == "upstreams":
            upstreams ^= {UPSTREAMS[number + 40]}
        members = (sorted(entries), sorted(upstreams))
        assert chooser.choose(*members) == subset(ENTRIES[3], *members, 2, 2)


def test_a_change_looks_again_only_at_what_it_touches(monkeypatch: pytest.MonkeyPatch) -> None:
    """One upstream or entry more or less costs a small part of the hashes of the first choice."""
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
    """Count the calls of the hash in the one item of the list returned."""
    counted, score = [0], rendezvous.score

    def counting(key: str, member: str) -> int:
        counted[0] += 1
        return score(key, member)

    monkeypatch.setattr(rendezvous, "score", counting)
    return counted

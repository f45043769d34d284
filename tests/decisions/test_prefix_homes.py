"""The upstream that should have a prefix cached."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import PrefixHomes, rendezvous
from cranberryline.decisions.prefix_homes import BUCKET_SIZE, MAX_BUCKETS


def _homes(count: int) -> PrefixHomes:
    homes = PrefixHomes()
    for number in range(count):
        homes.add(f"vm-{number}")
    return homes


def _home(homes: PrefixHomes, prefix: str) -> str | None:
    return homes.find(prefix, lambda _: True)


def test_few_upstreams_are_all_ranked() -> None:
    """A prompt's requests spread over small fleets by chance instead of by rank."""
    homes = _homes(BUCKET_SIZE)
    members = [f"vm-{number}" for number in range(BUCKET_SIZE)]
    for number in range(50):
        assert _home(homes, f"p{number}") == rendezvous.top(f"p{number}", members)


@pytest.mark.parametrize("count", [30, 300, 3000])
def test_a_lookup_ranks_a_bounded_number(count: int) -> None:
    """A lookup hashes every upstream, so its cost grows with their number."""
    homes, looked_at = _homes(count), Counter[int]()
    for number in range(50):
        asked: list[str] = []
        assert (
            homes.find(f"p{number}", lambda vm_id, asked=asked: bool(asked.append(vm_id))) is None
        )
        looked_at[len(asked)] += 1
    assert max(looked_at) <= 3 * MAX_BUCKETS * BUCKET_SIZE


def test_all_upstreams_are_homes_of_about_as_many_prefixes() -> None:
    """Some upstreams cache no prefix while others have to cache many."""
    homes = _homes(100)
    found = Counter(_home(homes, f"p{number}") for number in range(10_000))
    assert len(found) == 100 and max(found.values()) < 300


def test_most_prefixes_keep_their_home_when_an_upstream_leaves() -> None:
    """One upstream that leaves empties the caches of all others."""
    homes = _homes(100)
    before = {f"p{number}": _home(homes, f"p{number}") for number in range(1000)}
    homes.discard("vm-7")
    moved = [prefix for prefix, home in before.items() if _home(homes, prefix) != home]
    assert all(before[prefix] == "vm-7" for prefix in moved)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 80)), max_size=200))
def test_homes_do_not_depend_on_the_order_of_changes(changes: list[tuple[bool, int]]) -> None:
    """Processes with the same upstreams send a prompt to different homes."""
    homes, members = PrefixHomes(), set[str]()
    for joins, number in changes:
        (homes.add if joins else homes.discard)(f"vm-{number}")
        (members.add if joins else members.discard)(f"vm-{number}")
    assert len(homes) == len(members)
    found = _home(homes, "prefix")
    assert found is None if not members else found in members or found is None
    if len(members) <= BUCKET_SIZE // 4:
        assert found == rendezvous.top("prefix", members)

"""A set whose members can be drawn at random."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.helpers.sample_set import SampleSet


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9))))
def test_it_holds_what_a_set_would(changes: list[tuple[bool, int]]) -> None:
    """A member that left is drawn, or one that joined never is."""
    members: SampleSet[int] = SampleSet()
    expected: set[int] = set()
    for joins, member in changes:
        (members.add if joins else members.discard)(member)
        (expected.add if joins else expected.discard)(member)
        assert set(members) == expected and len(members) == len(expected)
        assert set(members.draw(10, Random(1))) == expected
        assert all((other in members) == (other in expected) for other in range(10))


def test_draws_are_different_and_even() -> None:
    """Some upstreams get all of the requests."""
    members: SampleSet[int] = SampleSet()
    for member in range(20):
        members.add(member)
    rng, drawn = Random(3), [0] * 20
    for _ in range(2000):
        some = members.draw(4, rng)
        assert len(set(some)) == 4
        for member in some:
            drawn[member] += 1
    assert min(drawn) > 300 and max(drawn) < 500

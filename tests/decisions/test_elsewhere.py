"""Where not to send spoiled work again."""

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.elsewhere import avoid_next


@given(st.permutations(["u1", "u2", "u3", "u4"]), st.integers(5, 20))
def test_every_upstream_is_asked_before_one_is_asked_again(order: list[str], tries: int) -> None:
    """Work fails wherever it goes, and routing would always have it at the same upstream first."""
    avoided: frozenset[str] = frozenset()
    asked: list[str] = []
    for _ in range(tries):
        free = [upstream for upstream in order if upstream not in avoided] or order
        asked.append(free[0])
        avoided = avoid_next(avoided, free[0])
    assert all(len(set(asked[at : at + 4])) == 4 for at in range(0, tries - 4, 4))

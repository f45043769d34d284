"""Which groups of a job a reader was given whole."""

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.jobs.groups import JobGroups
from cranberryline.jobs.model import ItemResult, ItemState

from .test_book import make_job

_DONE = ItemResult(ItemState.COMPLETED, "t")


@given(st.permutations(range(8)), st.lists(st.tuples(st.integers(0, 8), st.integers(0, 8))))
def test_each_group_is_named_once_and_only_when_it_is_whole(
    order: list[int], reads: list[tuple[int, int]]
) -> None:
    """Readers ask from any position while results come; a page that ends a group names it, once."""
    job = make_job(items=8)
    groups, results = JobGroups(job), [(index, _DONE) for index in order]
    named: list[str] = []
    listed = 0
    for after, end in reads:
        until = max(after, end)
        listed = max(listed, until)
        found = groups.newly_read(results[:listed], after, until)
        for group in found:
            last = max(at for at, index in enumerate(order) if job.items[index].group == group)
            assert after <= last < until
        named += found
    assert len(named) == len(set(named))


def test_a_group_that_an_odd_reader_skipped_is_named_when_it_is_read() -> None:
    """One reader asks from a later position first; the groups before it are still to be named."""
    groups, results = JobGroups(make_job()), [(index, _DONE) for index in range(4)]
    assert groups.newly_read(results, 2, 4) == ["g1"]
    assert groups.newly_read(results, 0, 4) == ["g0"]
    assert groups.newly_read(results, 0, 4) == []

"""Detection of the groups of a job that a reader has received completely."""

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.jobs.groups import JobGroups
from cranberryline.jobs.model import ItemResult, ItemState

from .test_book import make_job

_DONE = ItemResult(ItemState.COMPLETED, "t")


@given(st.permutations(range(8)), st.lists(st.tuples(st.integers(0, 8), st.integers(0, 8))))
def test_each_complete_group_is_reported_exactly_once(
    order: list[int], reads: list[tuple[int, int]]
) -> None:
    """Readers request any range while results arrive.

    The page that completes a group reports it once.
    """
    job = make_job(items=8)
    groups, results = JobGroups(job), [(index, _DONE) for index in order]
    reported: list[str] = []
    listed = 0
    for after, end in reads:
        until = max(after, end)
        listed = max(listed, until)
        newly_reported = groups.newly_read(results[:listed], after, until)
        for group in newly_reported:
            last = max(
                position for position, index in enumerate(order) if job.items[index].group == group
            )
            assert after <= last < until
        reported += newly_reported
    assert len(reported) == len(set(reported))


def test_a_group_skipped_by_a_reader_is_reported_when_read() -> None:
    """A reader requests a later position first.

    The groups before that position are reported when they are read.
    """
    groups, results = JobGroups(make_job()), [(index, _DONE) for index in range(4)]
    assert groups.newly_read(results, 2, 4) == ["g1"]
    assert groups.newly_read(results, 0, 4) == ["g0"]
    assert groups.newly_read(results, 0, 4) == []

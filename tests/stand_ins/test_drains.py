"""The book of leaves, which tells the margin to the bound on work for upstreams that leave."""

from stand_ins.drains import DrainBook


def test_the_last_arrival_after_the_first_acknowledgement_counts() -> None:
    """A second report of the same leave, such as its entry's end, starts no new span."""
    now = [10.0]
    book = DrainBook(lambda: now[0])
    book.reached("i-1")
    book.left("i-1")
    for arrival in (10.25, 11.5):
        now[0] = arrival
        book.reached("i-1")
        book.left("i-1")
    now[0] = 13.0
    book.reached("i-2")
    assert book.last_after == 1.5 and book.since_left("i-1") == 3.0
    assert book.summary(2.0) == (
        "1 upstreams left, the last request reached one 1.500 s after the acknowledgement, "
        "margin +0.500 s to 2.0 s"
    )


def test_another_start_under_the_id_is_not_leaving() -> None:
    """The former start's leave is kept with its own figures."""
    now = [0.0]
    book = DrainBook(lambda: now[0])
    book.left("i-1")
    now[0] = 0.5
    book.reached("i-1")
    book.back("i-1")
    now[0] = 9.0
    book.reached("i-1")
    assert book.since_left("i-1") is None and book.last_after == 0.5
    assert [leave.requests for leave in book.leaves] == [1]

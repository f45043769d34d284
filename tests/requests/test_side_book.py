"""The side process's book: each answer it gives about a request stays true."""

from datetime import timedelta

import pytest
from result import Err, Ok

from cranberryline.requests import (
    CancelOutcome,
    NotRunReason,
    RequestKey,
    SideBook,
    SubmitOutcome,
    WithdrawOutcome,
)
from cranberryline.requests.const import MAX_ENDED_IDS

LIFE = "life-1"
CONN = "conn-1"
KEY = RequestKey(CONN, 7)
NOW = timedelta(seconds=100)
LATER = NOW + timedelta(seconds=10)


@pytest.fixture
def book() -> SideBook:
    """Return a book with one open connection."""
    book = SideBook(LIFE)
    book.open(CONN)
    return book


def submit(book: SideBook, key: RequestKey = KEY, idempotent: bool = True) -> object:
    """Submit a request that has ten seconds."""
    return book.submit(key, LIFE, LATER, idempotent, NOW)


def test_late_submit_after_withdraw_is_refused(book: SideBook) -> None:
    """A withdrawal overtakes its Submit.

    The entry gives up and withdraws; the side has seen no Submit and answers `not_run`, on which
    the caller is told so. Then the Submit arrives: run now, it would make the refusal a lie.
    """
    assert book.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert submit(book) == Err(NotRunReason.WITHDRAWN)
    assert not book.start(KEY, NOW)


def test_withdrawn_while_queued_never_starts(book: SideBook) -> None:
    """A queued request that was withdrawn is refused at its start, also when asked twice."""
    assert submit(book) == Ok(SubmitOutcome.QUEUED)
    assert book.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert book.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert not book.start(KEY, NOW)


def test_started_and_done_are_not_vouched_for(book: SideBook) -> None:
    """After the start no answer says `not_run` any more."""
    submit(book)
    assert book.start(KEY, NOW)
    assert book.withdraw(KEY) is WithdrawOutcome.STARTED
    book.finish(KEY)
    assert book.withdraw(KEY) is WithdrawOutcome.DONE


def test_duplicate_submit_starts_once(book: SideBook) -> None:
    """A repeated Submit is neither run again nor refused as not run."""
    submit(book)
    assert submit(book) == Ok(SubmitOutcome.IGNORED)
    assert book.start(KEY, NOW)
    assert not book.start(KEY, NOW)
    assert submit(book) == Ok(SubmitOutcome.IGNORED)
    book.finish(KEY)
    assert submit(book) == Ok(SubmitOutcome.IGNORED)
    assert not book.start(KEY, NOW)


def test_submit_for_another_life_is_refused(book: SideBook) -> None:
    """A Submit meant for the process before this one is not run here."""
    assert book.submit(KEY, "life-0", LATER, True, NOW) == Err(NotRunReason.WRONG_INCARNATION)
    assert not book.start(KEY, NOW)


def test_passed_deadline_is_refused_and_never_started(book: SideBook) -> None:
    """A deadline counts at the Submit and again at the start."""
    assert book.submit(KEY, LIFE, NOW, True, NOW) == Err(NotRunReason.DEADLINE)
    other = RequestKey(CONN, 8)
    submit(book, other)
    assert not book.start(other, LATER)
    assert book.expire(LATER) == (other,)
    assert not book.start(other, NOW)


def test_lost_connection_drops_the_queued_and_stops_only_idempotent_runs(book: SideBook) -> None:
    """A run that may not be repeated goes to its end, whoever waits for it."""
    queued, repeatable, once = (RequestKey(CONN, number) for number in (1, 2, 3))
    submit(book, queued)
    submit(book, repeatable)
    submit(book, once, idempotent=False)
    assert book.start(repeatable, NOW)
    assert book.start(once, NOW)
    lost = book.lose(CONN)
    assert lost.dropped == (queued,)
    assert lost.cancel == (repeatable,)
    assert book.running == 2
    assert not book.start(queued, NOW)
    book.finish(repeatable)
    book.finish(once)
    assert (book.running, book.queued) == (0, 0)


def test_nothing_is_vouched_for_on_a_lost_connection(book: SideBook) -> None:
    """A frame that comes after its connection was given up is answered without a promise."""
    submit(book)
    book.start(KEY, NOW)
    book.lose(CONN)
    assert book.withdraw(KEY) is WithdrawOutcome.STARTED
    assert submit(book) == Ok(SubmitOutcome.IGNORED)
    book.open(CONN)
    assert submit(book) == Ok(SubmitOutcome.IGNORED)


def test_drain_refuses_queued_and_new_work_but_not_what_runs(book: SideBook) -> None:
    """A planned stop cuts nothing off."""
    running, queued = RequestKey(CONN, 1), RequestKey(CONN, 2)
    submit(book, running)
    book.start(running, NOW)
    submit(book, queued)
    assert book.drain() == (queued,)
    assert submit(book) == Err(NotRunReason.DRAINING)
    assert book.running == 1


def test_cancel_by_state(book: SideBook) -> None:
    """Cancel drops the queued, stops the idempotent and leaves the others alone."""
    assert book.cancel(KEY) is CancelOutcome.NOTHING
    submit(book)
    assert book.cancel(KEY) is CancelOutcome.DROPPED
    repeatable, once = RequestKey(CONN, 8), RequestKey(CONN, 9)
    submit(book, repeatable)
    submit(book, once, idempotent=False)
    book.start(repeatable, NOW)
    book.start(once, NOW)
    assert book.cancel(repeatable) is CancelOutcome.STOP
    assert book.cancel(once) is CancelOutcome.NOTHING


def test_forgotten_ids_are_never_vouched_for(book: SideBook) -> None:
    """Memory is bounded, and what was forgotten gets no promise and no second run."""
    for number in range(MAX_ENDED_IDS + 2):
        key = RequestKey(CONN, number)
        submit(book, key)
        book.start(key, NOW)
        book.finish(key)
    forgotten = RequestKey(CONN, 0)
    assert book.withdraw(forgotten) is WithdrawOutcome.DONE
    assert submit(book, forgotten) == Ok(SubmitOutcome.FORGOTTEN)
    assert not book.start(forgotten, NOW)


def test_connections_do_not_share_ids(book: SideBook) -> None:
    """The same id on two connections names two requests."""
    other = RequestKey("conn-2", KEY.id)
    book.open("conn-2")
    submit(book)
    submit(book, other)
    assert book.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert book.start(other, NOW)

"""Tests of the side process's request state: what it reports about a request stays true."""

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

INCARNATION = "incarnation-1"
CONN = "conn-1"
KEY = RequestKey(CONN, 7)
NOW = timedelta(seconds=100)
LATER = NOW + timedelta(seconds=10)


@pytest.fixture
def book() -> SideBook:
    """Return the request state of a side process with one open connection."""
    book = SideBook(INCARNATION)
    book.open(CONN)
    return book


def submit(book: SideBook, key: RequestKey = KEY, idempotent: bool = True) -> object:
    """Submit a request whose deadline is ten seconds away."""
    return book.submit(key, INCARNATION, LATER, idempotent, NOW)


def test_late_submit_after_withdraw_is_refused(book: SideBook) -> None:
    """A Withdraw arrives before its Submit.

    The side process has not received the Submit and answers `not_run`, which the entry reports to
    the caller. The Submit that arrives later must not run, or that report would be false.
    """
    assert book.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert submit(book) == Err(NotRunReason.WITHDRAWN)
    assert not book.start(KEY, NOW)


def test_request_withdrawn_while_queued_never_starts(book: SideBook) -> None:
    """A request that was withdrawn while queued, once or twice, can't be started."""
    assert submit(book) == Ok(SubmitOutcome.QUEUED)
    assert book.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert book.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert not book.start(KEY, NOW)


def test_started_or_done_request_is_not_reported_as_not_run(book: SideBook) -> None:
    """A Withdraw after the start must not be answered by `not_run`."""
    submit(book)
    assert book.start(KEY, NOW)
    assert book.withdraw(KEY) is WithdrawOutcome.STARTED
    book.finish(KEY)
    assert book.withdraw(KEY) is WithdrawOutcome.DONE


def test_duplicate_submit_starts_once(book: SideBook) -> None:
    """A duplicate Submit is ignored: neither run again nor reported as not run."""
    submit(book)
    assert submit(book) == Ok(SubmitOutcome.IGNORED)
    assert book.start(KEY, NOW)
    assert not book.start(KEY, NOW)
    assert submit(book) == Ok(SubmitOutcome.IGNORED)
    book.finish(KEY)
    assert submit(book) == Ok(SubmitOutcome.IGNORED)
    assert not book.start(KEY, NOW)


def test_submit_for_another_incarnation_is_refused(book: SideBook) -> None:
    """A Submit made for an earlier incarnation of the side process is not run."""
    assert book.submit(KEY, "incarnation-0", LATER, True, NOW) == Err(
        NotRunReason.WRONG_INCARNATION
    )
    assert not book.start(KEY, NOW)


def test_request_past_its_deadline_never_starts(book: SideBook) -> None:
    """The deadline is checked at the Submit and again before the start."""
    assert book.submit(KEY, INCARNATION, NOW, True, NOW) == Err(NotRunReason.DEADLINE)
    other = RequestKey(CONN, 8)
    submit(book, other)
    assert not book.start(other, LATER)
    assert book.expire(LATER) == (other,)
    assert not book.start(other, NOW)


def test_lost_connection_drops_queued_and_stops_only_idempotent_runs(book: SideBook) -> None:
    """A run that is not idempotent completes and stays tracked after its connection is lost."""
    queued, idempotent_key, other_key = (RequestKey(CONN, number) for number in (1, 2, 3))
    submit(book, queued)
    submit(book, idempotent_key)
    submit(book, other_key, idempotent=False)
    assert book.start(idempotent_key, NOW)
    assert book.start(other_key, NOW)
    lost = book.lose(CONN)
    assert lost.dropped == (queued,)
    assert lost.cancel == (idempotent_key,)
    assert book.running == 2
    assert not book.start(queued, NOW)
    book.finish(idempotent_key)
    book.finish(other_key)
    assert (book.running, book.queued) == (0, 0)


def test_lost_connection_gets_no_not_run_answer(book: SideBook) -> None:
    """A Withdraw or Submit that arrives after its connection was lost is never answered `not_run`."""
    submit(book)
    book.start(KEY, NOW)
    book.lose(CONN)
    assert book.withdraw(KEY) is WithdrawOutcome.STARTED
    assert submit(book) == Ok(SubmitOutcome.IGNORED)
    book.open(CONN)
    assert submit(book) == Ok(SubmitOutcome.IGNORED)


def test_drain_drops_queued_and_new_requests_but_no_running_ones(book: SideBook) -> None:
    """A planned shutdown does not interrupt running requests."""
    running, queued = RequestKey(CONN, 1), RequestKey(CONN, 2)
    submit(book, running)
    book.start(running, NOW)
    submit(book, queued)
    assert book.drain() == (queued,)
    assert submit(book) == Err(NotRunReason.DRAINING)
    assert book.running == 1


def test_cancel_depends_on_the_request_state(book: SideBook) -> None:
    """Cancel drops queued requests, stops idempotent runs and does not affect other runs."""
    assert book.cancel(KEY) is CancelOutcome.NOTHING
    submit(book)
    assert book.cancel(KEY) is CancelOutcome.DROPPED
    idempotent_key, other_key = RequestKey(CONN, 8), RequestKey(CONN, 9)
    submit(book, idempotent_key)
    submit(book, other_key, idempotent=False)
    book.start(idempotent_key, NOW)
    book.start(other_key, NOW)
    assert book.cancel(idempotent_key) is CancelOutcome.STOP
    assert book.cancel(other_key) is CancelOutcome.NOTHING


def test_evicted_ids_are_never_reported_as_not_run(book: SideBook) -> None:
    """Ended ids are evicted to bound memory; an evicted id is neither reported not run nor run."""
    for number in range(MAX_ENDED_IDS + 2):
        key = RequestKey(CONN, number)
        submit(book, key)
        book.start(key, NOW)
        book.finish(key)
    evicted = RequestKey(CONN, 0)
    assert book.withdraw(evicted) is WithdrawOutcome.DONE
    assert submit(book, evicted) == Ok(SubmitOutcome.FORGOTTEN)
    assert not book.start(evicted, NOW)


def test_connections_do_not_share_ids(book: SideBook) -> None:
    """The same id on two connections identifies two requests."""
    other = RequestKey("conn-2", KEY.id)
    book.open("conn-2")
    submit(book)
    submit(book, other)
    assert book.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert book.start(other, NOW)

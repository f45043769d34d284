"""Tests of the side process's request state: what it reports about a request stays true."""

from datetime import timedelta

import pytest
from result import Err, Ok

from cranberryline.requests import (
    CancelOutcome,
    NotRunReason,
    RequestKey,
    RequestRegistry,
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
def registry() -> RequestRegistry:
    """Return the request state of a side process with one open connection."""
    registry = RequestRegistry(INCARNATION)
    registry.open(CONN)
    return registry


def submit(registry: RequestRegistry, key: RequestKey = KEY, idempotent: bool = True) -> object:
    """Submit a request whose deadline is ten seconds away."""
    return registry.submit(key, INCARNATION, LATER, idempotent, NOW)


def test_late_submit_after_withdraw_is_refused(registry: RequestRegistry) -> None:
    """A Withdraw arrives before its Submit.

    The side process has not received the Submit and answers `not_run`, which the entry reports to
    the caller. The Submit that arrives later must not run, or that report would be false.
    """
    assert registry.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert submit(registry) == Err(NotRunReason.WITHDRAWN)
    assert not registry.start(KEY, NOW)


def test_request_withdrawn_while_queued_never_starts(registry: RequestRegistry) -> None:
    """A request that was withdrawn while queued, once or twice, can't be started."""
    assert submit(registry) == Ok(SubmitOutcome.QUEUED)
    assert registry.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert registry.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert not registry.start(KEY, NOW)


def test_started_or_done_request_is_not_reported_as_not_run(registry: RequestRegistry) -> None:
    """A Withdraw after the start must not be answered by `not_run`."""
    submit(registry)
    assert registry.start(KEY, NOW)
    assert registry.withdraw(KEY) is WithdrawOutcome.STARTED
    registry.finish(KEY)
    assert registry.withdraw(KEY) is WithdrawOutcome.DONE


def test_duplicate_submit_starts_once(registry: RequestRegistry) -> None:
    """A duplicate Submit is ignored: neither run again nor reported as not run."""
    submit(registry)
    assert submit(registry) == Ok(SubmitOutcome.IGNORED)
    assert registry.start(KEY, NOW)
    assert not registry.start(KEY, NOW)
    assert submit(registry) == Ok(SubmitOutcome.IGNORED)
    registry.finish(KEY)
    assert submit(registry) == Ok(SubmitOutcome.IGNORED)
    assert not registry.start(KEY, NOW)


def test_submit_for_another_incarnation_is_refused(registry: RequestRegistry) -> None:
    """A Submit made for an earlier incarnation of the side process is not run."""
    assert registry.submit(KEY, "incarnation-0", LATER, True, NOW) == Err(
        NotRunReason.WRONG_INCARNATION
    )
    assert not registry.start(KEY, NOW)


def test_request_past_its_deadline_never_starts(registry: RequestRegistry) -> None:
    """The deadline is checked at the Submit and again before the start."""
    assert registry.submit(KEY, INCARNATION, NOW, True, NOW) == Err(NotRunReason.DEADLINE)
    other = RequestKey(CONN, 8)
    submit(registry, other)
    assert not registry.start(other, LATER)
    assert registry.expire(LATER) == (other,)
    assert not registry.start(other, NOW)


def test_lost_connection_drops_queued_and_stops_only_idempotent_runs(
    registry: RequestRegistry,
) -> None:
    """A run that is not idempotent completes and stays tracked after its connection is lost."""
    queued, idempotent_key, other_key = (RequestKey(CONN, number) for number in (1, 2, 3))
    submit(registry, queued)
    submit(registry, idempotent_key)
    submit(registry, other_key, idempotent=False)
    assert registry.start(idempotent_key, NOW)
    assert registry.start(other_key, NOW)
    lost = registry.remove_connection(CONN)
    assert lost.dropped == (queued,)
    assert lost.cancel == (idempotent_key,)
    assert registry.running == 2
    assert not registry.start(queued, NOW)
    registry.finish(idempotent_key)
    registry.finish(other_key)
    assert (registry.running, registry.queued) == (0, 0)


def test_lost_connection_gets_no_not_run_answer(registry: RequestRegistry) -> None:
    """A Withdraw or Submit that arrives after its connection was lost is never answered `not_run`."""
    submit(registry)
    registry.start(KEY, NOW)
    registry.remove_connection(CONN)
    assert registry.withdraw(KEY) is WithdrawOutcome.STARTED
    assert submit(registry) == Ok(SubmitOutcome.IGNORED)
    registry.open(CONN)
    assert submit(registry) == Ok(SubmitOutcome.IGNORED)


def test_drain_drops_queued_and_new_requests_but_no_running_ones(registry: RequestRegistry) -> None:
    """A planned shutdown does not interrupt running requests."""
    running, queued = RequestKey(CONN, 1), RequestKey(CONN, 2)
    submit(registry, running)
    registry.start(running, NOW)
    submit(registry, queued)
    assert registry.drain() == (queued,)
    assert submit(registry) == Err(NotRunReason.DRAINING)
    assert registry.running == 1


def test_cancel_depends_on_the_request_state(registry: RequestRegistry) -> None:
    """Cancel drops queued requests, stops idempotent runs and does not affect other runs."""
    assert registry.cancel(KEY) is CancelOutcome.NOTHING
    submit(registry)
    assert registry.cancel(KEY) is CancelOutcome.DROPPED
    idempotent_key, other_key = RequestKey(CONN, 8), RequestKey(CONN, 9)
    submit(registry, idempotent_key)
    submit(registry, other_key, idempotent=False)
    registry.start(idempotent_key, NOW)
    registry.start(other_key, NOW)
    assert registry.cancel(idempotent_key) is CancelOutcome.STOP
    assert registry.cancel(other_key) is CancelOutcome.NOTHING


def test_evicted_ids_are_never_reported_as_not_run(registry: RequestRegistry) -> None:
    """Ended ids are evicted to bound memory; an evicted id is neither reported not run nor run."""
    for number in range(MAX_ENDED_IDS + 2):
        key = RequestKey(CONN, number)
        submit(registry, key)
        registry.start(key, NOW)
        registry.finish(key)
    evicted = RequestKey(CONN, 0)
    assert registry.withdraw(evicted) is WithdrawOutcome.DONE
    assert submit(registry, evicted) == Ok(SubmitOutcome.FORGOTTEN)
    assert not registry.start(evicted, NOW)


def test_connections_do_not_share_ids(registry: RequestRegistry) -> None:
    """The same id on two connections identifies two requests."""
    other = RequestKey("conn-2", KEY.id)
    registry.open("conn-2")
    submit(registry)
    submit(registry, other)
    assert registry.withdraw(KEY) is WithdrawOutcome.NOT_RUN
    assert registry.start(other, NOW)

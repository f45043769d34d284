"""Admission control: which requests are admitted or rejected, and the retry hints."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import (
    AdmissionLimits,
    AdmissionPolicy,
    AdmissionRequest,
    AdmissionView,
    Admit,
    Outstanding,
    Priority,
    RefusalReason,
    Refuse,
    WorkItem,
)
from cranberryline.decisions.const import MAX_RETRY_AFTER, MIN_RETRY_AFTER, ZERO

SLOTS = 4
RATE = 100.0


@pytest.fixture
def full(hold: Callable[..., Outstanding]) -> Outstanding:
    """Return running work that occupies all slots."""
    return hold(busy=(SLOTS, 100))


def view(queued: Outstanding, running: Outstanding) -> AdmissionView:
    """Return a view of an upstream with a capacity of 100 tokens per second."""
    return AdmissionView(queued, running, SLOTS, RATE)


def request(
    caller: str = "a",
    tokens: int = 100,
    remaining: float | None = None,
    priority: Priority = Priority.APPLICATION,
    service: float = 0.0,
) -> AdmissionRequest:
    """Return an admission request; `remaining` and `service` are in seconds."""
    until_deadline = None if remaining is None else timedelta(seconds=remaining)
    return AdmissionRequest(caller, priority, tokens, until_deadline, timedelta(seconds=service))


def test_request_is_admitted_while_a_slot_is_free(hold: Callable[..., Outstanding]) -> None:
    """A request was rejected or delayed although a slot was free and nothing was queued."""
    decision = AdmissionPolicy().decide(view(hold(), hold(a=(1, 100))), request())
    assert decision == Admit(ZERO, timedelta(seconds=5))


def test_request_is_rejected_if_the_backlog_exceeds_its_allowed_wait(
    hold: Callable[..., Outstanding], full: Outstanding
) -> None:
    """A burst has queued ten seconds of work.

    The next application call may wait for five seconds, so it is rejected at once with a retry hint
    of the time in which the excess drains. A trainer's request may wait for a minute and is
    admitted.
    """
    busy = view(hold(a=(10, 100)), full)
    decision = AdmissionPolicy().decide(busy, request())
    assert isinstance(decision, Refuse)
    assert decision.reason is RefusalReason.QUEUE_WAIT
    assert decision.retry_after is not None
    assert timedelta(seconds=4) < decision.retry_after < timedelta(seconds=8)
    assert isinstance(AdmissionPolicy().decide(busy, request(priority=Priority.TRAINER)), Admit)


def test_backlog_of_one_caller_does_not_reject_requests_of_others(
    hold: Callable[..., Outstanding], full: Outstanding
) -> None:
    """One caller has queued a minute of work.

    Its next request is rejected. A request of another caller is served before most of that work,
    so it waits about as long as twice its own work takes and is admitted.
    """
    busy = view(hold(heavy=(60, 100)), full)
    refused = AdmissionPolicy().decide(busy, request("heavy"))
    assert isinstance(refused, Refuse)
    admitted = AdmissionPolicy().decide(busy, request("light"))
    assert isinstance(admitted, Admit)
    assert admitted.estimated_wait < timedelta(seconds=3)


def test_request_that_cannot_meet_its_deadline_is_rejected_at_once(
    hold: Callable[..., Outstanding], full: Outstanding
) -> None:
    """The wait of three seconds is within the limit of the class but exceeds the deadline."""
    busy = view(hold(a=(2, 100)), full)
    decision = AdmissionPolicy().decide(busy, request(remaining=2.0))
    assert isinstance(decision, Refuse)
    assert decision.reason is RefusalReason.DEADLINE
    assert isinstance(AdmissionPolicy().decide(busy, request(remaining=60.0)), Admit)


def test_no_retry_hint_if_a_retry_cannot_succeed(hold: Callable[..., Outstanding]) -> None:
    """Processing takes longer than the deadline allows even on an idle upstream."""
    decision = AdmissionPolicy().decide(view(hold(), hold()), request(remaining=1.0, service=5.0))
    assert decision == Refuse(RefusalReason.DEADLINE, None)


def test_latest_start_leaves_time_for_processing(hold: Callable[..., Outstanding]) -> None:
    """An admitted request could start so late that its answer missed the deadline."""
    decision = AdmissionPolicy().decide(view(hold(), hold()), request(remaining=3.0, service=1.0))
    assert decision == Admit(ZERO, timedelta(seconds=2))


def test_minimum_share_bounds_the_wait_behind_application_calls(
    hold: Callable[..., Outstanding], make_item: Callable[..., WorkItem], full: Outstanding
) -> None:
    """Applications have queued ten minutes of work.

    The trainer class has a minimum share of a fifth, so its request waits only for the work of its
    own class, at a fifth of the rate.
    """
    queued = hold(app=(600, 100))
    queued.add(make_item("t", Priority.TRAINER, 100))
    wait = AdmissionPolicy().estimated_wait(
        view(queued, full), request("t", priority=Priority.TRAINER)
    )
    assert wait < timedelta(seconds=30)


def test_request_is_admitted_if_the_rate_is_unknown(
    hold: Callable[..., Outstanding], full: Outstanding
) -> None:
    """Without a measured rate the wait cannot be estimated; the queue bounds it instead."""
    unknown = AdmissionView(hold(a=(10, 100)), full, SLOTS, 0.0)
    assert isinstance(AdmissionPolicy().decide(unknown, request()), Admit)


COUNTS = st.dictionaries(st.sampled_from("abc"), st.integers(1, 30), max_size=3)


def outstanding(counts: dict[str, int], priority: Priority, prefix: str) -> Outstanding:
    """Return outstanding work with this number of requests of each caller."""
    work = Outstanding()
    for caller, requests in counts.items():
        for i in range(requests):
            work.add(WorkItem(f"{prefix}{caller}{i}", caller, priority, 50, ZERO, ZERO))
    return work


@given(COUNTS, COUNTS, st.sampled_from(list(Priority)), st.integers(1, 60), st.integers(1, 30))
def test_limits_are_never_exceeded(
    queued: dict[str, int], running: dict[str, int], priority: Priority, service: int, caller: int
) -> None:
    """An admitted request exceeded the limit of the service or of its caller."""
    policy = AdmissionPolicy(AdmissionLimits(service_requests=service, caller_requests=caller))
    current = view(outstanding(queued, priority, "q"), outstanding(running, priority, "r"))
    decision = policy.decide(current, request("a", priority=priority))
    if isinstance(decision, Admit):
        assert sum(queued.values()) + sum(running.values()) + 1 <= service
        assert queued.get("a", 0) + running.get("a", 0) + 1 <= caller


@given(COUNTS, st.sampled_from(list(Priority)), st.floats(0.1, 100), st.integers(0, 9))
def test_decision_depends_only_on_its_inputs(
    queued: dict[str, int], priority: Priority, remaining: float, seed: int
) -> None:
    """The same view, request and seed gave another decision, or a retry hint was out of range."""
    current = view(outstanding(queued, priority, "q"), outstanding({"a": SLOTS}, priority, "r"))
    req = request("b", remaining=remaining, priority=priority)
    first = AdmissionPolicy().decide(current, req, Random(seed))
    assert first == AdmissionPolicy().decide(current, req, Random(seed))
    if isinstance(first, Refuse) and first.retry_after is not None:
        assert MIN_RETRY_AFTER <= first.retry_after <= MAX_RETRY_AFTER


@given(COUNTS, st.integers(1, 30))
def test_wait_does_not_shrink_with_more_work_of_others(queued: dict[str, int], more: int) -> None:
    """The estimated wait was shorter although other callers had queued more work."""
    running = outstanding({"r": SLOTS}, Priority.APPLICATION, "r")
    before = outstanding(queued, Priority.APPLICATION, "q")
    after = outstanding({**queued, "z": more}, Priority.APPLICATION, "q")
    policy = AdmissionPolicy()
    assert policy.estimated_wait(view(before, running), request()) <= policy.estimated_wait(
        view(after, running), request()
    )

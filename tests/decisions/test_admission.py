"""Who is let in, who is refused, and when a refused caller is told to come back."""

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
    """Return a ledger in which all slots are taken."""
    return hold(busy=(SLOTS, 100))


def view(queued: Outstanding, running: Outstanding) -> AdmissionView:
    """Return a view of an upstream that does 100 tokens a second."""
    return AdmissionView(queued, running, SLOTS, RATE)


def ask(
    caller: str = "a",
    tokens: int = 100,
    remaining: float | None = None,
    priority: Priority = Priority.APPLICATION,
    service: float = 0.0,
) -> AdmissionRequest:
    """Return a request."""
    left = None if remaining is None else timedelta(seconds=remaining)
    return AdmissionRequest(caller, priority, tokens, left, timedelta(seconds=service))


def test_a_free_slot_admits(hold: Callable[..., Outstanding]) -> None:
    """Nobody waits, so nobody is refused."""
    verdict = AdmissionPolicy().decide(view(hold(), hold(a=(1, 100))), ask())
    assert verdict == Admit(ZERO, timedelta(seconds=5))


def test_a_backlog_beyond_the_budget_refuses(
    hold: Callable[..., Outstanding], full: Outstanding
) -> None:
    """A burst has queued ten seconds of work.

    The next application call, which bears five seconds, is refused at once and told to come back
    when the excess has drained; a trainer's, which bears a minute, is let in.
    """
    busy = view(hold(a=(10, 100)), full)
    verdict = AdmissionPolicy().decide(busy, ask())
    assert isinstance(verdict, Refuse)
    assert verdict.reason is RefusalReason.QUEUE_WAIT
    assert verdict.retry_after is not None
    assert timedelta(seconds=4) < verdict.retry_after < timedelta(seconds=8)
    assert isinstance(AdmissionPolicy().decide(busy, ask(priority=Priority.TRAINER)), Admit)


def test_a_heavy_caller_is_refused_and_the_others_are_not(
    hold: Callable[..., Outstanding], full: Outstanding
) -> None:
    """One caller has queued a minute of work.

    It is refused more. Another caller comes before most of that, so it waits about twice its own
    request and is let in.
    """
    busy = view(hold(heavy=(60, 100)), full)
    refused = AdmissionPolicy().decide(busy, ask("heavy"))
    assert isinstance(refused, Refuse)
    admitted = AdmissionPolicy().decide(busy, ask("light"))
    assert isinstance(admitted, Admit)
    assert admitted.estimated_wait < timedelta(seconds=3)


def test_a_deadline_that_cannot_be_met_is_refused_at_once(
    hold: Callable[..., Outstanding], full: Outstanding
) -> None:
    """The wait of three seconds alone fits the budget, but not before this deadline."""
    busy = view(hold(a=(2, 100)), full)
    verdict = AdmissionPolicy().decide(busy, ask(remaining=2.0))
    assert isinstance(verdict, Refuse)
    assert verdict.reason is RefusalReason.DEADLINE
    assert isinstance(AdmissionPolicy().decide(busy, ask(remaining=60.0)), Admit)


def test_coming_back_is_not_advised_where_it_cannot_help(hold: Callable[..., Outstanding]) -> None:
    """The answer takes longer than the deadline even on an idle upstream."""
    verdict = AdmissionPolicy().decide(view(hold(), hold()), ask(remaining=1.0, service=5.0))
    assert verdict == Refuse(RefusalReason.DEADLINE, None)


def test_an_admitted_request_is_told_its_latest_start(hold: Callable[..., Outstanding]) -> None:
    """The start must leave time for the answer before the deadline."""
    verdict = AdmissionPolicy().decide(view(hold(), hold()), ask(remaining=3.0, service=1.0))
    assert verdict == Admit(ZERO, timedelta(seconds=2))


def test_a_floor_bounds_the_wait_behind_application_calls(
    hold: Callable[..., Outstanding], make_item: Callable[..., WorkItem], full: Outstanding
) -> None:
    """Applications have queued ten minutes of work; a trainer has a floor of a fifth.

    The trainer's request waits for its own class's work at a fifth of the rate and is let in.
    """
    queued = hold(app=(600, 100))
    queued.add(make_item("t", Priority.TRAINER, 100))
    wait = AdmissionPolicy().estimated_wait(view(queued, full), ask("t", priority=Priority.TRAINER))
    assert wait < timedelta(seconds=30)


def test_an_unknown_rate_admits(hold: Callable[..., Outstanding], full: Outstanding) -> None:
    """A wait that cannot be estimated is no ground to refuse; the queue bounds it."""
    unknown = AdmissionView(hold(a=(10, 100)), full, SLOTS, 0.0)
    assert isinstance(AdmissionPolicy().decide(unknown, ask()), Admit)


COUNTS = st.dictionaries(st.sampled_from("abc"), st.integers(1, 30), max_size=3)


def ledger(counts: dict[str, int], priority: Priority, prefix: str) -> Outstanding:
    """Return a ledger with that many requests of each caller."""
    held = Outstanding()
    for caller, requests in counts.items():
        for i in range(requests):
            held.add(WorkItem(f"{prefix}{caller}{i}", caller, priority, 50, ZERO, ZERO))
    return held


@given(COUNTS, COUNTS, st.sampled_from(list(Priority)), st.integers(1, 60), st.integers(1, 30))
def test_limits_are_never_exceeded(
    queued: dict[str, int], running: dict[str, int], priority: Priority, service: int, caller: int
) -> None:
    """Whatever is held, an admitted request fits under both limits."""
    policy = AdmissionPolicy(AdmissionLimits(service_requests=service, caller_requests=caller))
    seen = view(ledger(queued, priority, "q"), ledger(running, priority, "r"))
    verdict = policy.decide(seen, ask("a", priority=priority))
    if isinstance(verdict, Admit):
        assert sum(queued.values()) + sum(running.values()) + 1 <= service
        assert queued.get("a", 0) + running.get("a", 0) + 1 <= caller


@given(COUNTS, st.sampled_from(list(Priority)), st.floats(0.1, 100), st.integers(0, 9))
def test_a_decision_is_a_function_of_its_inputs(
    queued: dict[str, int], priority: Priority, remaining: float, seed: int
) -> None:
    """The same view, request and random source give the same verdict, with a bounded hint."""
    seen = view(ledger(queued, priority, "q"), ledger({"a": SLOTS}, priority, "r"))
    req = ask("b", remaining=remaining, priority=priority)
    first = AdmissionPolicy().decide(seen, req, Random(seed))
    assert first == AdmissionPolicy().decide(seen, req, Random(seed))
    if isinstance(first, Refuse) and first.retry_after is not None:
        assert MIN_RETRY_AFTER <= first.retry_after <= MAX_RETRY_AFTER


@given(COUNTS, st.integers(1, 30))
def test_more_of_others_never_shortens_the_wait(queued: dict[str, int], more: int) -> None:
    """The estimate grows with what others have queued."""
    running = ledger({"r": SLOTS}, Priority.APPLICATION, "r")
    before = ledger(queued, Priority.APPLICATION, "q")
    after = ledger({**queued, "z": more}, Priority.APPLICATION, "q")
    policy = AdmissionPolicy()
    assert policy.estimated_wait(view(before, running), ask()) <= policy.estimated_wait(
        view(after, running), ask()
    )

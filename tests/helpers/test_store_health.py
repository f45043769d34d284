"""Outages of the store, by source, and when it returned."""

from datetime import timedelta

import pytest

from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.ports.store import StoreError, StoreProblem

SILENT = StoreError(StoreProblem.UNKNOWN)


@pytest.fixture
def health(clock: FakeClock) -> StoreHealth:
    """Return the health of a store that has not failed."""
    return StoreHealth(clock)


def _returned_at(health: StoreHealth, source: str) -> timedelta | None:
    outage = health.last_outage(source)
    assert outage is not None
    return outage.returned_at


def test_a_source_that_never_failed_has_no_outage(health: StoreHealth) -> None:
    """Answers without a failure before them are no return."""
    health.succeeded("a")
    assert health.last_outage("a") is None


def test_the_store_is_back_with_the_first_answer_to_any_source_that_had_failed(
    health: StoreHealth, clock: FakeClock
) -> None:
    """Guards against a return that is seen late by a source whose call was still waiting."""
    asked_at = clock.monotonic()
    health.failed(SILENT, "a", asked_at)
    health.failed(SILENT, "b", asked_at)
    assert _returned_at(health, "b") is None
    clock.advance(timedelta(seconds=1))
    back_at = clock.monotonic()
    health.succeeded("a")
    clock.advance(timedelta(seconds=1))
    health.failed(SILENT, "b", asked_at)
    health.succeeded("b")
    assert _returned_at(health, "b") == back_at


def test_a_return_before_the_call_was_made_is_none(health: StoreHealth, clock: FakeClock) -> None:
    """Guards against a new outage that is taken for the one before."""
    health.failed(SILENT, "a", clock.monotonic())
    health.succeeded("a")
    clock.advance(timedelta(seconds=5))
    asked_at = clock.monotonic()
    clock.advance(timedelta(seconds=2))
    health.failed(SILENT, "a", asked_at)
    assert _returned_at(health, "a") is None
    back_at = clock.monotonic()
    health.succeeded("a")
    assert _returned_at(health, "a") == back_at


def test_answers_to_sources_that_did_not_fail_are_no_return(
    health: StoreHealth, clock: FakeClock
) -> None:
    """Guards against an outage of one partition that seems over because others answer."""
    health.failed(SILENT, "a", clock.monotonic())
    health.succeeded("b")
    assert _returned_at(health, "a") is None

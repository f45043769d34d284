"""Fixtures of the decisions' tests."""

from collections.abc import Callable
from datetime import timedelta
from itertools import count
from random import Random

import pytest

from cranberryline.decisions import Outstanding, Priority, WorkItem


@pytest.fixture
def rng() -> Random:
    """Return a seeded random source."""
    return Random(7)


@pytest.fixture
def make_item() -> Callable[..., WorkItem]:
    """Return a maker of work items with ids that are never used twice."""
    ids = count()

    def make(
        caller: str = "a",
        priority: Priority = Priority.APPLICATION,
        tokens: int = 100,
        arrived: float = 0.0,
        start_by: float = 1000.0,
    ) -> WorkItem:
        return WorkItem(
            next(ids),
            caller,
            priority,
            tokens,
            timedelta(seconds=arrived),
            timedelta(seconds=start_by),
        )

    return make


@pytest.fixture
def hold(make_item: Callable[..., WorkItem]) -> Callable[..., Outstanding]:
    """Return a maker of ledgers; the argument `a=(3, 100)` is three requests of a of 100 tokens."""

    def make(priority: Priority = Priority.APPLICATION, **callers: tuple[int, int]) -> Outstanding:
        held = Outstanding()
        for caller, (requests, tokens) in callers.items():
            for _ in range(requests):
                held.add(make_item(caller, priority, tokens))
        return held

    return make

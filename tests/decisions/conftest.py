"""Fixtures for the tests of `cranberryline.decisions`."""

from collections.abc import Callable
from datetime import timedelta
from itertools import count
from random import Random

import pytest

from cranberryline.decisions import Outstanding, Priority, WorkItem


@pytest.fixture
def rng() -> Random:
    """Return a seeded random number generator."""
    return Random(7)


@pytest.fixture
def make_item() -> Callable[..., WorkItem]:
    """Return a factory of work items with unique ids."""
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
    """Return a factory of `Outstanding`.

    The argument `a=(3, 100)` adds three requests of caller a, of 100 tokens each.
    """

    def make(priority: Priority = Priority.APPLICATION, **callers: tuple[int, int]) -> Outstanding:
        outstanding = Outstanding()
        for caller, (requests, tokens) in callers.items():
            for _ in range(requests):
                outstanding.add(make_item(caller, priority, tokens))
        return outstanding

    return make

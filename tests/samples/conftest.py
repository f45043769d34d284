"""Fixtures of the tests about samples."""

from collections.abc import Callable

import pytest

from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.samples.hedging import SlowestFirst
from cranberryline.samples.runner import RunnerPorts
from cranberryline.samples.table import StepTable

from .sample_fakes import FakeConfig, FakeDispatch, FakeScorer


@pytest.fixture
def dispatch() -> FakeDispatch:
    """Return engines that work."""
    return FakeDispatch()


@pytest.fixture
def scorer() -> FakeScorer:
    """Return a scorer that works."""
    return FakeScorer()


@pytest.fixture
def config() -> FakeConfig:
    """Return a configuration in force."""
    return FakeConfig()


@pytest.fixture
def metrics() -> Metrics:
    """Return the counters of one process."""
    return Metrics()


@pytest.fixture
def make_table(
    dispatch: FakeDispatch, scorer: FakeScorer, config: FakeConfig, metrics: Metrics
) -> Callable[[], StepTable]:
    """Return a function that makes an entry's table of steps, on the running loop."""

    def make() -> StepTable:
        ports = RunnerPorts(dispatch, scorer, SlowestFirst(), metrics, SystemClock())
        return StepTable(ports, config)

    return make

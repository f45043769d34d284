"""Fixtures for the tests of samples."""

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
    """Return fake engines that succeed."""
    return FakeDispatch()


@pytest.fixture
def scorer() -> FakeScorer:
    """Return a fake scorer that succeeds."""
    return FakeScorer()


@pytest.fixture
def config() -> FakeConfig:
    """Return a fake configuration."""
    return FakeConfig()


@pytest.fixture
def metrics() -> Metrics:
    """Return the metrics of one process."""
    return Metrics()


@pytest.fixture
def make_table(
    dispatch: FakeDispatch, scorer: FakeScorer, config: FakeConfig, metrics: Metrics
) -> Callable[[], StepTable]:
    """Return a function that creates the step table of an entry, to be called in a running loop."""

    def make() -> StepTable:
        ports = RunnerPorts(dispatch, scorer, SlowestFirst(), metrics, SystemClock())
        return StepTable(ports, config)

    return make

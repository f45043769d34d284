"""Tests that a sample that failed at one engine is generated at another."""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.helpers.metrics import Metrics
from cranberryline.samples import GroupDeclaration, SampleId, StepDeclaration
from cranberryline.samples.hedging import SlowestFirst
from cranberryline.samples.model import Pull
from cranberryline.samples.runner import RunnerPorts
from cranberryline.samples.table import StepTable
from tests.virtual_time import LoopClock, run_virtual

from .sample_fakes import FakeConfig, FakeScorer, OrderedEngines

DECLARATION = StepDeclaration("t", 1, "s", (GroupDeclaration("p", 4, 8),))
# Well below the 20 s after which a trainer abandons a step.
STEP_TIMEOUT_S = 3.0


@pytest.fixture
def engines() -> OrderedEngines:
    """Return three engines that are always selected in the same order."""
    return OrderedEngines(["u1", "u2", "u3"])


def _make_table(engines: OrderedEngines) -> StepTable:
    ports = RunnerPorts(engines, FakeScorer(), SlowestFirst(), Metrics(), LoopClock())
    return StepTable(ports, FakeConfig())


async def _async_make_step(table: StepTable) -> list[SampleId]:
    """Pull the step until it is done."""
    runner = table.declare(DECLARATION, owner=True).unwrap()
    cursor, ids = "", []
    while True:
        batch = (await runner.async_pull(Pull(cursor, 5, 64, timedelta(seconds=5)))).unwrap()
        ids += [sample.id for sample in batch.samples]
        cursor = batch.next_cursor
        if batch.done:
            return ids


@pytest.mark.parametrize("broken", [{"u1"}, {"u1", "u2"}])
def test_sample_is_not_retried_at_the_engine_that_failed(
    engines: OrderedEngines, broken: set[str]
) -> None:
    """An engine whose swap failed half way serves without weight versions for many seconds.

    Its samples are discarded, and prefix affinity started each one again at the same engine, a
    dozen times with growing pauses, while other engines were idle. The trainer waited 20 s for the
    last sample of its step and abandoned the step.
    """

    async def async_scenario() -> None:
        engines.broken = broken
        table = _make_table(engines)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            assert sorted(await _async_make_step(table)) == DECLARATION.ids()
        assert all(len(set(tried)) == len(tried) for tried in engines.tried.values())
        await table.async_close()

    run_virtual(async_scenario())


def test_engines_are_retried_in_turn_while_all_fail(engines: OrderedEngines) -> None:
    """All engines fail samples, and after 8 s the last one recovers.

    If all engines were excluded for good, prefix affinity would select the first one each time.
    Attempts have to rotate, so that the recovered engine is found within one round.
    """

    async def async_scenario() -> None:
        engines.broken = {"u1", "u2", "u3"}
        table = _make_table(engines)
        step = asyncio.ensure_future(_async_make_step(table))
        await asyncio.sleep(8)
        before = {name: len(tried) for name, tried in engines.tried.items()}
        assert all(set(tried) == engines.broken for tried in engines.tried.values())
        engines.broken = {"u1", "u2"}
        async with asyncio.timeout(20):
            assert sorted(await step) == DECLARATION.ids()
        retries = [len(tried) - before[name] for name, tried in engines.tried.items()]
        assert max(retries) <= len(engines.engines)
        await table.async_close()

    run_virtual(async_scenario())

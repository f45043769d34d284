"""A sample that an engine spoiled is made at another one."""

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

from .sample_fakes import FakeConfig, FakeScorer, UnlikeEngines

DECLARATION = StepDeclaration("t", 1, "s", (GroupDeclaration("p", 4, 8),))
# Well below the 20 s after which a trainer gives a step up.
SOON_S = 3.0


@pytest.fixture
def engines() -> UnlikeEngines:
    """Return three engines, of which the first is always chosen first."""
    return UnlikeEngines(["u1", "u2", "u3"])


def _make_table(engines: UnlikeEngines) -> StepTable:
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
def test_a_sample_is_not_made_again_where_it_was_spoiled(
    engines: UnlikeEngines, broken: set[str]
) -> None:
    """An engine whose swap failed half way serves on and names no version, for many seconds.

    Its samples are discarded, and each was started again where its prompt's prefix lay: at the
    same engine, a dozen times with growing pauses, while the other engines were idle. The trainer
    waited 20 s for the last sample of its step and gave the step up.
    """

    async def async_play() -> None:
        engines.broken = broken
        table = _make_table(engines)
        async with asyncio.timeout(SOON_S):
            assert sorted(await _async_make_step(table)) == DECLARATION.ids()
        assert all(len(set(tried)) == len(tried) for tried in engines.tried.values())
        await table.async_close()

    run_virtual(async_play())


def test_engines_take_turns_while_all_spoil_samples(engines: UnlikeEngines) -> None:
    """All engines spoil samples, and after a while the last of them serves a version again.

    With every engine to be avoided none is, and the first by prefix would be chosen for good: the
    attempts go round instead, so that the one that works is found within a round.
    """

    async def async_play() -> None:
        engines.broken = {"u1", "u2", "u3"}
        table = _make_table(engines)
        step = asyncio.ensure_future(_async_make_step(table))
        await asyncio.sleep(8)
        before = {name: len(tried) for name, tried in engines.tried.items()}
        assert all(set(tried) == engines.broken for tried in engines.tried.values())
        engines.broken = {"u1", "u2"}
        async with asyncio.timeout(20):
            assert sorted(await step) == DECLARATION.ids()
        rounds = [len(tried) - before[name] for name, tried in engines.tried.items()]
        assert max(rounds) <= len(engines.engines)
        await table.async_close()

    run_virtual(async_play())

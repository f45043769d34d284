"""Tests of the step runner: starts, hedges, scoring, retries and its end."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import pytest

from cranberryline.helpers.metrics import Metrics
from cranberryline.samples import (
    Batch,
    DiscardReason,
    GroupDeclaration,
    SampleId,
    StepDeclaration,
    StepRefusal,
)
from cranberryline.samples import runner as runner_module
from cranberryline.samples.hedging import SlowestFirst
from cranberryline.samples.model import Pull
from cranberryline.samples.ports import RolloutLimits, RunningSample
from cranberryline.samples.runner import INITIAL_BACKOFF, MAX_BACKOFF, StepRunner
from cranberryline.samples.table import StepTable

from .sample_fakes import FakeConfig, FakeDispatch, FakeScorer

MakeTable = Callable[[], StepTable]
WAIT = timedelta(seconds=5)
DECLARATION = StepDeclaration(
    "t", 1, "s", (GroupDeclaration("p", 4, 8), GroupDeclaration("q", 4, 8))
)


async def async_pull(runner: StepRunner, cursor: str = "", version: int = 5) -> Batch:
    """Return the result of one pull."""
    return (await runner.async_pull(Pull(cursor, version, 64, WAIT))).unwrap()


async def async_pull_all(runner: StepRunner, version: int = 5) -> list[SampleId]:
    """Pull until the step is done; return the samples received."""
    cursor, ids = "", []
    async with asyncio.timeout(20):
        while True:
            batch = await async_pull(runner, cursor, version)
            assert all(sample.score == 1.0 for sample in batch.samples)
            ids += [sample.id for sample in batch.samples]
            cursor = batch.next_cursor
            if batch.done:
                return ids


def test_step_completes_within_the_in_flight_limit(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """Each sample is delivered once, with at most the trainer's limit of 4 in flight."""

    async def async_scenario() -> None:
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        assert sorted(await async_pull_all(runner)) == DECLARATION.ids()
        assert dispatch.max_running <= 4
        assert set(dispatch.started.values()) == {1}
        await table.async_close()

    asyncio.run(async_scenario())


def test_two_steps_of_a_trainer_share_its_in_flight_limit(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """Declaring a second step early does not raise the number of samples in flight."""

    async def async_scenario() -> None:
        table = make_table()
        later = StepDeclaration("t", 2, "s", DECLARATION.groups)
        runners = [table.declare(step, owner=True).unwrap() for step in (DECLARATION, later)]
        for runner in runners:
            assert len(await async_pull_all(runner)) == DECLARATION.size
        assert dispatch.max_running <= 4
        await table.async_close()

    asyncio.run(async_scenario())


@pytest.mark.parametrize("failures", [2, -2])
def test_unavailable_scorer_loses_no_sample(
    make_table: MakeTable, dispatch: FakeDispatch, scorer: FakeScorer, failures: int
) -> None:
    """Scoring is retried after errors and NaN scores, without generating a sample again."""

    async def async_scenario() -> None:
        scorer.failures = failures
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        assert len(await async_pull_all(runner)) == DECLARATION.size
        assert set(dispatch.started.values()) == {1}
        await table.async_close()

    asyncio.run(async_scenario())


def test_attempts_back_off_while_engines_fail(
    make_table: MakeTable, dispatch: FakeDispatch, metrics: Metrics
) -> None:
    """Every attempt fails for a second, then the engines recover and the step completes.

    Without a back-off, samples would be started thousands of times per second.
    """

    async def async_scenario() -> None:
        dispatch.failing = DiscardReason.TRUNCATED
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        await asyncio.sleep(1)
        assert dispatch.started.total() <= 40
        assert metrics.value("cranberryline_discards_total", reason="cut") > 0
        dispatch.failing = None
        assert len(await async_pull_all(runner)) == DECLARATION.size
        await table.async_close()

    asyncio.run(async_scenario())


def test_crash_of_an_engine_counts_as_one_failure(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """All attempts at one engine fail at once, and the step pauses once for the initial back-off.

    If each of the four attempts doubled the pause, it would grow up to the maximum. A trainer with
    fifteen samples at an engine that crashed was stalled for 5 s and more.
    """

    async def async_scenario() -> None:
        dispatch.failing = DiscardReason.TRUNCATED
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        while dispatch.started.total() < 4 or dispatch.running:  # noqa: ASYNC110 - a counter
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        dispatch.failing = None
        assert runner.remaining_pause <= INITIAL_BACKOFF
        assert len(await async_pull_all(runner)) == DECLARATION.size
        await table.async_close()

    asyncio.run(async_scenario())


def test_long_retry_after_does_not_stall_the_trainer(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """A rejection with a Retry-After of a minute pauses the step for the maximum back-off only.

    An entry that has just started does not know the capacity yet and may send its longest time. The
    trainer was idle that long, although engines became free a moment later.
    """

    async def async_scenario() -> None:
        dispatch.failing = DiscardReason.FAILED
        dispatch.retry_after = timedelta(minutes=1)
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        await asyncio.sleep(0.05)
        assert timedelta() < runner.remaining_pause <= MAX_BACKOFF
        await table.async_close()

    asyncio.run(async_scenario())


def test_stale_sample_is_generated_again(
    make_table: MakeTable, dispatch: FakeDispatch, config: FakeConfig, metrics: Metrics
) -> None:
    """Samples become stale before the pull, by two new versions, and are generated again."""

    async def async_scenario() -> None:
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        await asyncio.sleep(0.1)
        config.current_limits = RolloutLimits(7, 1, 4)
        dispatch.version = 7
        table.wake()
        assert len(await async_pull_all(runner, version=7)) == DECLARATION.size
        assert set(dispatch.started.values()) == {2}
        assert metrics.value("cranberryline_discards_total", reason="stale") == DECLARATION.size
        await table.async_close()

    asyncio.run(async_scenario())


def test_straggler_is_hedged_at_another_engine(
    make_table: MakeTable, dispatch: FakeDispatch, metrics: Metrics
) -> None:
    """One sample hangs at its engine; a hedge at another engine completes the step."""

    async def async_scenario() -> None:
        dispatch.blocked["t/1/1/3"] = asyncio.Event()
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        assert len(await async_pull_all(runner)) == DECLARATION.size
        assert dispatch.started["t/1/1/3"] == 2
        assert dispatch.avoided[-1] == frozenset({"u1"})
        await asyncio.sleep(0.05)
        assert dispatch.running == 0
        assert metrics.value("cranberryline_retries_total", reason="hedge") == 1
        await table.async_close()

    asyncio.run(async_scenario())


def test_earlier_step_has_priority_over_a_later_one(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """A trainer waits for step 1, where one sample hangs, while step 2 could use every slot.

    A slot that becomes free goes to the step that the trainer waits for, so its straggler is hedged
    although the later step always has samples to start.
    """

    async def async_scenario() -> None:
        dispatch.blocked["t/1/1/3"] = asyncio.Event()
        dispatch.pause_s = 0.1
        table = make_table()
        groups = (GroupDeclaration("p", 400, 8),)
        later = table.declare(StepDeclaration("t", 2, "s", groups), owner=True).unwrap()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        async with asyncio.timeout(4):
            assert len(await async_pull_all(runner)) == DECLARATION.size
        assert later.running > 0
        assert dispatch.max_running <= 4
        await table.async_close()

    asyncio.run(async_scenario())


def test_step_of_an_idle_trainer_ends(make_table: MakeTable, dispatch: FakeDispatch) -> None:
    """A step ends after the idle timeout; the trainer can declare it again."""

    async def async_scenario() -> None:
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        runner.touch(timedelta(milliseconds=50))
        await asyncio.sleep(0.5)
        assert runner.closed
        assert table.find("t", 1, owner=True) is None
        again = table.declare(DECLARATION, owner=True).unwrap()
        assert again is not runner
        await table.async_close()

    asyncio.run(async_scenario())


def test_delivered_step_is_kept_briefly(
    make_table: MakeTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A trainer pulls the last batch and makes no further call for this step.

    Repeating the pull soon returns the same batch. The step is then dropped long before the idle
    timeout, as the steps of a fast trainer would otherwise use up the memory of the entry.
    """
    monkeypatch.setattr(runner_module, "DELIVERED_STEP_TTL", timedelta(milliseconds=300))

    async def async_scenario() -> None:
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        await asyncio.sleep(0.2)
        batch = await async_pull(runner)
        assert batch.done
        assert await async_pull(runner) == batch
        assert not runner.closed
        await asyncio.sleep(1)
        assert runner.closed
        await table.async_close()

    asyncio.run(async_scenario())


def test_waiting_pull_is_answered_at_shutdown(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """An entry that stops answers waiting pulls with an empty batch at once."""

    async def async_scenario() -> None:
        for sample_id in DECLARATION.ids():
            name = f"t/1/{sample_id.group}/{sample_id.index}"
            dispatch.blocked[name] = asyncio.Event()
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        pull = asyncio.ensure_future(async_pull(runner))
        await asyncio.sleep(0.05)
        await table.async_close()
        async with asyncio.timeout(0.5):
            batch = await pull
        assert (batch.samples, batch.next_cursor) == ((), "")
        assert dispatch.running == 0

    asyncio.run(async_scenario())


def test_another_declaration_of_a_step_is_refused(make_table: MakeTable) -> None:
    """Repeating a declaration returns the same step; other groups would change the identities."""

    async def async_scenario() -> None:
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        assert table.declare(DECLARATION, owner=True).unwrap() is runner
        other = StepDeclaration("t", 1, "s", DECLARATION.groups[:1])
        assert table.declare(other, owner=True).unwrap_err() is StepRefusal.STEP_DIFFERS
        await table.async_close()

    asyncio.run(async_scenario())


def test_hedging_needs_a_median_and_selects_few() -> None:
    """Hedging needs three finished samples, and selects a fraction of the slow ones at a time."""
    seconds = [timedelta(seconds=number) for number in (1, 2, 3)]
    running = [RunningSample(SampleId(0, at), timedelta(seconds=at)) for at in range(20)]
    assert SlowestFirst().pick(running, seconds[:2], 9) == []
    assert SlowestFirst().pick(running[:5], seconds, 9) == []
    assert SlowestFirst().pick(running, seconds, 9) == [SampleId(0, 19), SampleId(0, 18)]
    assert SlowestFirst().pick(running, seconds, 0) == []

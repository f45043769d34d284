"""The runner of a step: it starts, hedges, scores, resumes after failures and ends by itself."""

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
from cranberryline.samples.runner import BACKOFF_MOST, BACKOFF_START, StepRunner
from cranberryline.samples.table import StepTable

from .sample_fakes import FakeConfig, FakeDispatch, FakeScorer

MakeTable = Callable[[], StepTable]
WAIT = timedelta(seconds=5)
DECLARATION = StepDeclaration(
    "t", 1, "s", (GroupDeclaration("p", 4, 8), GroupDeclaration("q", 4, 8))
)


async def async_pull(runner: StepRunner, cursor: str = "", version: int = 5) -> Batch:
    """Pull once."""
    return (await runner.async_pull(Pull(cursor, version, 64, WAIT))).unwrap()


async def async_pull_all(runner: StepRunner, version: int = 5) -> list[SampleId]:
    """Pull until the step is done."""
    cursor, ids = "", []
    async with asyncio.timeout(20):
        while True:
            batch = await async_pull(runner, cursor, version)
            assert all(sample.score == 1.0 for sample in batch.samples)
            ids += [sample.id for sample in batch.samples]
            cursor = batch.next_cursor
            if batch.done:
                return ids


def test_step_is_made_whole_within_its_room(make_table: MakeTable, dispatch: FakeDispatch) -> None:
    """Every sample comes once, and never more are in flight than the trainer may have."""

    async def async_play() -> None:
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        assert sorted(await async_pull_all(runner)) == DECLARATION.ids()
        assert dispatch.most_running <= 4
        assert set(dispatch.started.values()) == {1}
        await table.async_close()

    asyncio.run(async_play())


def test_two_steps_of_a_trainer_share_its_room(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """A trainer that declares ahead gets no more in flight for it."""

    async def async_play() -> None:
        table = make_table()
        later = StepDeclaration("t", 2, "s", DECLARATION.groups)
        runners = [table.declare(step, owner=True).unwrap() for step in (DECLARATION, later)]
        for runner in runners:
            assert len(await async_pull_all(runner)) == DECLARATION.size
        assert dispatch.most_running <= 4
        await table.async_close()

    asyncio.run(async_play())


@pytest.mark.parametrize("failures", [2, -2])
def test_scorer_that_is_out_costs_no_sample(
    make_table: MakeTable, dispatch: FakeDispatch, scorer: FakeScorer, failures: int
) -> None:
    """A score that fails, or is no number, is asked again; nothing is generated twice for it."""

    async def async_play() -> None:
        scorer.failures = failures
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        assert len(await async_pull_all(runner)) == DECLARATION.size
        assert set(dispatch.started.values()) == {1}
        await table.async_close()

    asyncio.run(async_play())


def test_failing_engines_are_asked_less_and_less(
    make_table: MakeTable, dispatch: FakeDispatch, metrics: Metrics
) -> None:
    """Every attempt fails for a second, then the engines work again and the step ends whole.

    Without the pause the step would start its samples again at once, thousands of times a second.
    """

    async def async_play() -> None:
        dispatch.failing = DiscardReason.CUT
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        await asyncio.sleep(1)
        assert dispatch.started.total() <= 40
        assert metrics.value("cranberryline_discards_total", reason="cut") > 0
        dispatch.failing = None
        assert len(await async_pull_all(runner)) == DECLARATION.size
        await table.async_close()

    asyncio.run(async_play())


def test_one_crash_is_one_failure(make_table: MakeTable, dispatch: FakeDispatch) -> None:
    """All that ran on one engine fails at once, and the step pauses once, briefly.

    Each attempt counted by itself would double the pause four times over, up to the longest:
    a trainer with fifteen samples on an engine that crashed stood still for 5 s and more.
    """

    async def async_play() -> None:
        dispatch.failing = DiscardReason.CUT
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        while dispatch.started.total() < 4 or dispatch.running:  # noqa: ASYNC110 - a plain count
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        dispatch.failing = None
        assert runner.pause <= BACKOFF_START
        assert len(await async_pull_all(runner)) == DECLARATION.size
        await table.async_close()

    asyncio.run(async_play())


def test_a_refusal_that_says_come_back_late_stalls_no_trainer(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """One refusal with a long Retry-After holds the step up for the longest pause, not for a minute.

    An entry that has just started knows no capacity yet and may name its longest time. The trainer
    stood idle for that long, though the engines were free a moment later.
    """

    async def async_play() -> None:
        dispatch.failing = DiscardReason.FAILED
        dispatch.retry_after = timedelta(minutes=1)
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        await asyncio.sleep(0.05)
        assert timedelta() < runner.pause <= BACKOFF_MOST
        await table.async_close()

    asyncio.run(async_play())


def test_stale_sample_is_made_again(
    make_table: MakeTable, dispatch: FakeDispatch, config: FakeConfig, metrics: Metrics
) -> None:
    """Samples wait, two versions go by, and the pull gets new ones."""

    async def async_play() -> None:
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        await asyncio.sleep(0.1)
        config.in_force = RolloutLimits(7, 1, 4)
        dispatch.version = 7
        table.wake()
        assert len(await async_pull_all(runner, version=7)) == DECLARATION.size
        assert set(dispatch.started.values()) == {2}
        assert metrics.value("cranberryline_discards_total", reason="stale") == DECLARATION.size
        await table.async_close()

    asyncio.run(async_play())


def test_straggler_is_hedged_elsewhere(
    make_table: MakeTable, dispatch: FakeDispatch, metrics: Metrics
) -> None:
    """One sample hangs at its engine; it is started at another and the step ends without it."""

    async def async_play() -> None:
        dispatch.held["t/1/1/3"] = asyncio.Event()
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        assert len(await async_pull_all(runner)) == DECLARATION.size
        assert dispatch.started["t/1/1/3"] == 2
        assert dispatch.avoided[-1] == frozenset({"u1"})
        await asyncio.sleep(0.05)
        assert dispatch.running == 0
        assert metrics.value("cranberryline_retries_total", reason="hedge") == 1
        await table.async_close()

    asyncio.run(async_play())


def test_earlier_step_goes_before_a_later_one(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """A trainer waits for step 1, of which one sample hangs, while step 2 could use all the room.

    Room that becomes free goes to the step that the trainer waits for: its straggler is hedged
    although the later step has samples to start all the time.
    """

    async def async_play() -> None:
        dispatch.held["t/1/1/3"] = asyncio.Event()
        dispatch.pause_s = 0.1
        table = make_table()
        groups = (GroupDeclaration("p", 400, 8),)
        later = table.declare(StepDeclaration("t", 2, "s", groups), owner=True).unwrap()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        async with asyncio.timeout(4):
            assert len(await async_pull_all(runner)) == DECLARATION.size
        assert later.running > 0
        assert dispatch.most_running <= 4
        await table.async_close()

    asyncio.run(async_play())


def test_step_of_a_quiet_trainer_ends(make_table: MakeTable, dispatch: FakeDispatch) -> None:
    """A trainer that has gone costs nothing after a while; back again, it declares anew."""

    async def async_play() -> None:
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        runner.touch(timedelta(milliseconds=50))
        await asyncio.sleep(0.5)
        assert runner.closed
        assert table.find("t", 1, owner=True) is None
        again = table.declare(DECLARATION, owner=True).unwrap()
        assert again is not runner
        await table.async_close()

    asyncio.run(async_play())


def test_step_handed_over_whole_is_kept_briefly(
    make_table: MakeTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A trainer takes the last batch and never calls for this step again.

    The same pull repeated at once gets that batch; then the step goes, long before the quiet
    time of one in the making, or a quick trainer's steps would fill the entry's memory.
    """
    monkeypatch.setattr(runner_module, "DONE_QUIET_AFTER", timedelta(milliseconds=300))

    async def async_play() -> None:
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

    asyncio.run(async_play())


def test_pull_that_waits_is_answered_at_a_planned_stop(
    make_table: MakeTable, dispatch: FakeDispatch
) -> None:
    """The entry stops while a pull is held open: an empty batch at once, and no cut call."""

    async def async_play() -> None:
        for sample_id in DECLARATION.ids():
            name = f"t/1/{sample_id.group}/{sample_id.index}"
            dispatch.held[name] = asyncio.Event()
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        pull = asyncio.ensure_future(async_pull(runner))
        await asyncio.sleep(0.05)
        await table.async_close()
        async with asyncio.timeout(0.5):
            batch = await pull
        assert (batch.samples, batch.next_cursor) == ((), "")
        assert dispatch.running == 0

    asyncio.run(async_play())


def test_another_declaration_of_a_step_is_refused(make_table: MakeTable) -> None:
    """The same declaration is the same step; with other groups identities would change."""

    async def async_play() -> None:
        table = make_table()
        runner = table.declare(DECLARATION, owner=True).unwrap()
        assert table.declare(DECLARATION, owner=True).unwrap() is runner
        other = StepDeclaration("t", 1, "s", DECLARATION.groups[:1])
        assert table.declare(other, owner=True).unwrap_err() is StepRefusal.STEP_DIFFERS
        await table.async_close()

    asyncio.run(async_play())


def test_hedging_waits_for_a_typical_time_and_takes_few() -> None:
    """No hedge without a comparison, none of the quick ones, and a share at a time."""
    seconds = [timedelta(seconds=number) for number in (1, 2, 3)]
    running = [RunningSample(SampleId(0, at), timedelta(seconds=at)) for at in range(20)]
    assert SlowestFirst().pick(running, seconds[:2], 9) == []
    assert SlowestFirst().pick(running[:5], seconds, 9) == []
    assert SlowestFirst().pick(running, seconds, 9) == [SampleId(0, 19), SampleId(0, 18)]
    assert SlowestFirst().pick(running, seconds, 0) == []

"""The claim service under one failure at a time."""

import asyncio
from datetime import timedelta

import pytest
from result import Ok, Result

from cranberryline.execution.claims import ClaimGrant, ClaimService
from cranberryline.helpers.clock import FakeClock
from cranberryline.requests import ClaimFold, ClaimOutcome, ClaimReason, ClaimRefused

from .scripted_log import BUDGET, TURNS, WINDOW, ScriptedLog


@pytest.fixture
def log(clock: FakeClock) -> ScriptedLog:
    """Return a log that answers at once, by its script and otherwise well."""
    log = ScriptedLog(clock)
    log.script = []
    return log


def make_service(log: ScriptedLog, clock: FakeClock, life: str) -> ClaimService:
    """Return the claim service of one side process."""
    return ClaimService(log, "s", life, clock, ClaimFold(window=WINDOW))


async def async_drain(service: ClaimService) -> None:
    """Wait until a service has nothing more to append."""
    while service._task is not None and not service._task.done():
        await asyncio.wait([service._task])


def reason_of(result: Result[ClaimGrant, ClaimRefused]) -> ClaimReason:
    """Return why a claim was refused."""
    return result.unwrap_err().reason


def test_lost_answer_is_read_back(log: ScriptedLog, clock: FakeClock) -> None:
    """The claim took effect and its answer was lost: found by its id, it counts."""

    async def async_play() -> None:
        log.script = ["lost_after"]
        granted = await make_service(log, clock, "one").async_claim("k", "f", BUDGET)
        assert granted.is_ok()
        other = await make_service(log, clock, "two").async_claim("k", "f", BUDGET)
        assert reason_of(other) is ClaimReason.IN_PROGRESS

    asyncio.run(async_play())


def test_claim_that_may_still_arrive_does_not_run(log: ScriptedLog, clock: FakeClock) -> None:
    """An append gives no answer and is not on the log yet.

    Run on the strength of "not found", it would run beside the claim that another side process
    makes meanwhile. It is refused, and its late arrival does not block the key.
    """

    async def async_play() -> None:
        log.script = ["late"]
        one = make_service(log, clock, "one")
        assert reason_of(await one.async_claim("k", "f", BUDGET)) is ClaimReason.LOG_UNAVAILABLE
        two = make_service(log, clock, "two")
        first = await two.async_claim("k", "f", BUDGET)
        assert first.is_ok()
        await two.async_abandon(first.unwrap())
        await async_drain(two)
        await async_drain(one)
        log.apply(log.pending.pop())
        assert (await two.async_claim("k", "f", BUDGET)).is_ok()

    asyncio.run(async_play())


def test_log_out_refuses_and_frees_the_key_afterwards(log: ScriptedLog, clock: FakeClock) -> None:
    """While the log is out, keyed requests are refused with a time to come back, and not run."""

    async def async_play() -> None:
        log.script = ["refused", "lost_before", "lost_before"]
        service = make_service(log, clock, "one")
        for _ in range(2):
            refused = (await service.async_claim("k", "f", BUDGET)).unwrap_err()
            assert refused.reason is ClaimReason.LOG_UNAVAILABLE
            assert refused.retry_after > timedelta()
        await async_drain(service)
        assert (await service.async_claim("k", "f", BUDGET)).is_ok()

    asyncio.run(async_play())


def test_unread_claim_does_not_run(log: ScriptedLog, clock: FakeClock) -> None:
    """The append is answered, but the log can't be read: who was first is not known."""

    async def async_play() -> None:
        log.reads_fail = True
        service = make_service(log, clock, "one")
        assert reason_of(await service.async_claim("k", "f", BUDGET)) is ClaimReason.LOG_UNAVAILABLE
        log.reads_fail = False
        await async_drain(service)
        assert (await service.async_claim("k", "f", BUDGET)).is_ok()

    asyncio.run(async_play())


def test_holder_that_paused_past_its_time_does_not_run(log: ScriptedLog, clock: FakeClock) -> None:
    """A side process is stopped after its claim was granted, for longer than the window.

    Another one claims the key and runs. The first wakes up unaware; asked directly before the
    run, its grant says no.
    """

    async def async_play() -> None:
        held = (await make_service(log, clock, "one").async_claim("k", "f", BUDGET)).unwrap()
        clock.advance(WINDOW * 2)
        other = await make_service(log, clock, "two").async_claim("k", "f", BUDGET)
        assert other.unwrap().may_start(clock.monotonic())
        assert not held.may_start(clock.monotonic())

    asyncio.run(async_play())


def test_caller_that_asks_again_gets_the_recorded_answer(
    log: ScriptedLog, clock: FakeClock
) -> None:
    """The same key again, at the other side process, after the first restarted: one run."""

    async def async_play() -> None:
        one, two = make_service(log, clock, "one"), make_service(log, clock, "two")
        granted = (await one.async_claim("k", "f", BUDGET)).unwrap()
        assert reason_of(await two.async_claim("k", "f", BUDGET)) is ClaimReason.IN_PROGRESS
        outcome = ClaimOutcome(201, (("Location", "/7"),), b"made")
        await one.async_settle(granted, outcome)
        assert (await one.async_claim("k", "f", BUDGET)).unwrap_err().outcome == outcome
        await async_drain(one)
        assert (await two.async_claim("k", "f", BUDGET)).unwrap_err().outcome == outcome
        late = make_service(log, clock, "three")
        assert (await late.async_claim("k", "f", BUDGET)).unwrap_err().outcome == outcome
        reused = await two.async_claim("k", "other", BUDGET)
        assert reason_of(reused) is ClaimReason.KEY_REUSED_WITH_OTHER_BODY

    asyncio.run(async_play())


def test_run_that_died_is_told_as_unknown(log: ScriptedLog, clock: FakeClock) -> None:
    """The side process dies in the middle of the run: never a second run within the window."""

    async def async_play() -> None:
        await make_service(log, clock, "one").async_claim("k", "f", BUDGET)
        two = make_service(log, clock, "two")
        assert reason_of(await two.async_claim("k", "f", BUDGET)) is ClaimReason.IN_PROGRESS
        clock.advance(BUDGET + timedelta(seconds=10))
        assert reason_of(await two.async_claim("k", "f", BUDGET)) is ClaimReason.UNKNOWN

    asyncio.run(async_play())


def test_claims_of_one_tick_share_an_append(log: ScriptedLog, clock: FakeClock) -> None:
    """A hundred claims at once cost the log one append."""

    async def async_play() -> None:
        service = make_service(log, clock, "one")
        work = [service.async_claim(f"k{number}", "f", BUDGET) for number in range(100)]
        results = await asyncio.gather(*work)
        assert all(result.is_ok() for result in results)

    log.script = ["ok"] + ["refused"] * 99
    asyncio.run(async_play())


def test_abandon_is_on_the_log_before_anyone_is_told(log: ScriptedLog, clock: FakeClock) -> None:
    """The upstream can't be reached, the claim is given back and the entry told `NotRun`.

    It sends the request to another side process at once. That one must find the key free.
    """

    async def async_play() -> None:
        one, two = make_service(log, clock, "one"), make_service(log, clock, "two")
        granted = (await one.async_claim("k", "f", BUDGET)).unwrap()
        await one.async_abandon(granted)
        assert log.records[-1].data["kind"] == "abandon"
        assert (await two.async_claim("k", "f", BUDGET)).is_ok()

    asyncio.run(async_play())


def test_cancelled_claim_is_given_back(log: ScriptedLog, clock: FakeClock) -> None:
    """A caller leaves while its claim is being made; the key is free for its next attempt."""

    async def async_play() -> None:
        log.script = None
        service = make_service(log, clock, "one")
        task = asyncio.ensure_future(service.async_claim("k", "f", BUDGET))
        for _ in range(TURNS):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        append = log.pending.pop()
        append.fut.set_result(Ok(log.apply(append)))
        log.script = []
        await async_drain(service)
        assert (await make_service(log, clock, "two").async_claim("k", "f", BUDGET)).is_ok()

    asyncio.run(async_play())

"""Tests of the claim service with one failure at a time."""

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
    """Return a log that answers at once: by its script, then successfully."""
    log = ScriptedLog(clock)
    log.script = []
    return log


def make_service(log: ScriptedLog, clock: FakeClock, incarnation: str) -> ClaimService:
    """Return the claim service of one side process."""
    return ClaimService(log, "s", incarnation, clock, ClaimFold(window=WINDOW))


async def async_drain(service: ClaimService) -> None:
    """Wait until a service has nothing left to append."""
    while service._task is not None and not service._task.done():
        await asyncio.wait([service._task])


def reason_of(result: Result[ClaimGrant, ClaimRefused]) -> ClaimReason:
    """Return why a claim was refused."""
    return result.unwrap_err().reason


def test_append_with_a_lost_answer_is_found_on_the_log(log: ScriptedLog, clock: FakeClock) -> None:
    """A claim is appended, but the answer of the log is lost; it is found by its id and granted."""

    async def async_scenario() -> None:
        log.script = ["lost_after"]
        granted = await make_service(log, clock, "one").async_claim("k", "f", BUDGET)
        assert granted.is_ok()
        other = await make_service(log, clock, "two").async_claim("k", "f", BUDGET)
        assert reason_of(other) is ClaimReason.IN_PROGRESS

    asyncio.run(async_scenario())


def test_claim_that_may_still_be_appended_is_refused(log: ScriptedLog, clock: FakeClock) -> None:
    """An append is not answered and its record is not in the log yet.

    If the claim were granted because no other was found, its request could run in parallel with
    that of a claim which another side process makes meanwhile. The claim is refused, and when its
    record is appended late, it does not block the key.
    """

    async def async_scenario() -> None:
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

    asyncio.run(async_scenario())


def test_log_outage_refuses_claims_and_leaves_the_key_free(
    log: ScriptedLog, clock: FakeClock
) -> None:
    """During a log outage claims are refused with a retry delay; afterwards the key is free."""

    async def async_scenario() -> None:
        log.script = ["refused", "lost_before", "lost_before"]
        service = make_service(log, clock, "one")
        for _ in range(2):
            refused = (await service.async_claim("k", "f", BUDGET)).unwrap_err()
            assert refused.reason is ClaimReason.LOG_UNAVAILABLE
            assert refused.retry_after > timedelta()
        await async_drain(service)
        assert (await service.async_claim("k", "f", BUDGET)).is_ok()

    asyncio.run(async_scenario())


def test_claim_that_cannot_be_read_back_is_refused(log: ScriptedLog, clock: FakeClock) -> None:
    """The append succeeds, but the log can't be read, so an earlier claim may exist."""

    async def async_scenario() -> None:
        log.reads_fail = True
        service = make_service(log, clock, "one")
        assert reason_of(await service.async_claim("k", "f", BUDGET)) is ClaimReason.LOG_UNAVAILABLE
        log.reads_fail = False
        await async_drain(service)
        assert (await service.async_claim("k", "f", BUDGET)).is_ok()

    asyncio.run(async_scenario())


def test_claim_held_past_its_deadline_may_not_start(log: ScriptedLog, clock: FakeClock) -> None:
    """A side process is paused for longer than the window after its claim was granted.

    Another one claims the key and may run. When the first continues, its grant must refuse the
    start.
    """

    async def async_scenario() -> None:
        held = (await make_service(log, clock, "one").async_claim("k", "f", BUDGET)).unwrap()
        clock.advance(WINDOW * 2)
        other = await make_service(log, clock, "two").async_claim("k", "f", BUDGET)
        assert other.unwrap().may_start(clock.monotonic())
        assert not held.may_start(clock.monotonic())

    asyncio.run(async_scenario())


def test_repeated_request_gets_the_recorded_answer(log: ScriptedLog, clock: FakeClock) -> None:
    """The key is claimed again, at the same, another and a new side process: one run.

    Each later claim gets the recorded answer. Another request with the same key is refused.
    """

    async def async_scenario() -> None:
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

    asyncio.run(async_scenario())


def test_run_of_a_crashed_side_process_is_unknown(log: ScriptedLog, clock: FakeClock) -> None:
    """The side process crashes during the run: no second run is granted within the window.

    The key is in progress until the budget and the margin are over, then unknown.
    """

    async def async_scenario() -> None:
        await make_service(log, clock, "one").async_claim("k", "f", BUDGET)
        two = make_service(log, clock, "two")
        assert reason_of(await two.async_claim("k", "f", BUDGET)) is ClaimReason.IN_PROGRESS
        clock.advance(BUDGET + timedelta(seconds=10))
        assert reason_of(await two.async_claim("k", "f", BUDGET)) is ClaimReason.UNKNOWN

    asyncio.run(async_scenario())


def test_concurrent_claims_share_one_append(log: ScriptedLog, clock: FakeClock) -> None:
    """A hundred concurrent claims are written by a single append."""

    async def async_scenario() -> None:
        service = make_service(log, clock, "one")
        claims = [service.async_claim(f"k{number}", "f", BUDGET) for number in range(100)]
        results = await asyncio.gather(*claims)
        assert all(result.is_ok() for result in results)

    log.script = ["ok"] + ["refused"] * 99
    asyncio.run(async_scenario())


def test_abandon_is_logged_before_it_is_reported(log: ScriptedLog, clock: FakeClock) -> None:
    """The upstream is unreachable, so the claim is abandoned and the entry receives NotRun.

    The entry may retry at another side process immediately, which must find the key free.
    """

    async def async_scenario() -> None:
        one, two = make_service(log, clock, "one"), make_service(log, clock, "two")
        granted = (await one.async_claim("k", "f", BUDGET)).unwrap()
        await one.async_abandon(granted)
        assert log.records[-1].data["kind"] == "abandon"
        assert (await two.async_claim("k", "f", BUDGET)).is_ok()

    asyncio.run(async_scenario())


def test_cancelled_claim_is_abandoned(log: ScriptedLog, clock: FakeClock) -> None:
    """A caller disconnects while its claim is being appended; its key must be free for a retry."""

    async def async_scenario() -> None:
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

    asyncio.run(async_scenario())

"""Two side processes claim the same keys over a log that loses answers, delays and goes out.

Every granted claim may run, at any later moment. Whatever happens on the way, the journal of runs
has at most one run of a key within the window, and a recorded answer is that run's own.
"""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Err, Ok, Result

from cranberryline.helpers.clock import FakeClock
from cranberryline.platform.errors import PlatformError, PlatformReason
from cranberryline.platform.model import LogPage, LogPort, LogRecord
from cranberryline.requests import ClaimFold, ClaimOutcome, ClaimReason, ClaimRefused
from cranberryline.side.claims import ClaimService, Granted

WINDOW = timedelta(minutes=10)
BUDGET = timedelta(seconds=30)
KEYS = ("k", "l")
SIDES = 2
TURNS = 40
anywhere = st.one_of(st.just(0), st.integers(0, 1_000))
LOST = Err(PlatformError(PlatformReason.TIMEOUT))
REFUSED = Err(PlatformError(PlatformReason.UNREACHABLE, may_have_run=False))


@attrs.define(eq=False)
class Append:
    """An append whose answer is still to be decided."""

    records: list[tuple[str, dict[str, Any]]]
    fut: "asyncio.Future[Result[list[int], PlatformError]]"


class ScriptedLog(LogPort):
    """A log whose appends are answered by the test."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.records: list[LogRecord] = []
        self.first = 1
        self.pending: list[Append] = []
        self.reads_fail = False
        self.script: list[str] | None = None

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Wait for the test's decision."""
        append = Append(list(records), asyncio.get_running_loop().create_future())
        if self.script is not None:
            return self._answer_by_script(append)
        self.pending.append(append)
        return await append.fut

    def _answer_by_script(self, append: Append) -> Result[list[int], PlatformError]:
        how = self.script.pop(0) if self.script else "ok"
        if how in ("ok", "lost_after"):
            offsets = self.apply(append)
        if how == "late":
            self.pending.append(append)
        return Ok(offsets) if how == "ok" else REFUSED if how == "refused" else LOST

    def apply(self, append: Append) -> list[int]:
        """Let an append take effect."""
        offsets = []
        for record_id, data in append.records:
            offset = len(self.records) + 1
            self.records.append(LogRecord(offset, self.clock.now(), record_id, data))
            offsets.append(offset)
        return offsets

    def forget(self, before: timedelta) -> None:
        """Drop what is older than that."""
        limit = self.clock.now() - before
        while self.first <= len(self.records) and self.records[self.first - 1].time < limit:
            self.first += 1

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Answer at once, or fail."""
        if self.reads_fail:
            return LOST
        start = max(start, self.first)
        rows = tuple(self.records[start - 1 : start - 1 + min(limit, 3)])
        return Ok(LogPage(self.first, start + len(rows), rows))


@attrs.define(eq=False)
class Use:
    """A granted claim that its side has not used yet."""

    side: int
    granted: Granted
    fingerprint: str


class Claims(RuleBasedStateMachine):
    """Two sides, two keys, one log."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = FakeClock()
        self.log = ScriptedLog(self.clock)
        self.lives = 0
        self.ids = 0
        self.services = [self._new_service() for _ in range(SIDES)]
        self.calls: list[tuple[int, str, asyncio.Task[Result[Granted, ClaimRefused]]]] = []
        self.late: list[Append] = []
        self.uses: list[Use] = []
        self.runs: list[tuple[str, timedelta]] = []
        self.answers: dict[bytes, tuple[str, str]] = {}

    def _new_service(self) -> ClaimService:
        self.lives += 1
        fold = ClaimFold(window=WINDOW)
        return ClaimService(self.log, "s", f"life-{self.lives}", self.clock, fold, self._new_id)

    def _new_id(self) -> str:
        self.ids += 1
        return f"id-{self.ids}"

    def _settle(self, work: Coroutine[Any, Any, Any] | None = None) -> None:
        """Let all tasks go on until each waits for the test."""

        async def async_turns() -> None:
            if work is not None:
                await work
            for _ in range(TURNS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(async_turns())
        for side, print_, task in [call for call in self.calls if call[2].done()]:
            self.calls.remove((side, print_, task))
            if not task.cancelled():
                self._collect(side, print_, task.result())

    def _collect(self, side: int, print_: str, result: Result[Granted, ClaimRefused]) -> None:
        if isinstance(result, Ok):
            self.uses.append(Use(side, result.unwrap(), print_))
            return
        refused = result.unwrap_err()
        if refused.reason is ClaimReason.RECORDED:
            assert self.answers[refused.outcome.body][1] == print_

    @rule(side=st.integers(0, SIDES - 1), key=st.sampled_from(KEYS), print_=st.sampled_from("ffg"))
    def ask(self, side: int, key: str, print_: str) -> None:
        """Claim a key."""
        work = self.services[side].async_claim(key, print_, BUDGET)
        self.calls.append((side, print_, self.loop.create_task(work)))
        self._settle()

    @precondition(lambda self: self.log.pending)
    @rule(at=anywhere)
    def answer(self, at: int) -> None:
        """Let an append take effect and its answer arrive."""
        append = self.log.pending.pop(at % len(self.log.pending))
        offsets = self.log.apply(append)
        if not append.fut.done():
            append.fut.set_result(Ok(offsets))
        self._settle()

    @precondition(lambda self: self.log.pending)
    @rule(
        at=anywhere,
        how=st.sampled_from(["lost_after", "lost_before", "late", "refused", "twice"]),
    )
    def fail_append(self, at: int, how: str) -> None:
        """Let an append fail: after its effect, before it, long before it, or surely without it."""
        append = self.log.pending.pop(at % len(self.log.pending))
        if how in ("lost_after", "twice"):
            self.log.apply(append)
        if how in ("late", "twice"):
            self.late.append(append)
        if not append.fut.done():
            append.fut.set_result(REFUSED if how == "refused" else LOST)
        self._settle()

    @precondition(lambda self: self.late)
    @rule(at=anywhere)
    def arrive_late(self, at: int) -> None:
        """Let an append that was given up take effect after all."""
        self.log.apply(self.late.pop(at % len(self.late)))

    @rule(fail=st.booleans())
    def set_reads(self, fail: bool) -> None:
        """Let reads fail or work."""
        self.log.reads_fail = fail

    @precondition(lambda self: self.uses)
    @rule(at=anywhere, how=st.sampled_from(["settle", "settle", "unknown", "abandon", "crash"]))
    def use(self, at: int, how: str) -> None:
        """Run under a granted claim and record what came of it, or give the claim back."""
        use = self.uses.pop(at % len(self.uses))
        service = self.services[use.side]
        if how == "abandon" or not use.granted.may_start(self.clock.monotonic()):
            self.loop.create_task(service.async_abandon(use.granted))
            self._settle()
            return
        self.runs.append((use.granted.key, self.clock.monotonic()))
        body = f"{use.granted.key}/{len(self.runs)}".encode()
        self.answers[body] = (use.granted.key, use.fingerprint)
        if how == "settle":
            self._settle(service.async_settle(use.granted, ClaimOutcome(200, (), body)))
        elif how == "unknown":
            service.leave_unknown(use.granted)
        else:
            self.restart(use.side)

    @rule(side=st.integers(0, SIDES - 1))
    def restart(self, side: int) -> None:
        """Kill a side process; its claims stand on the log, or will."""
        service = self.services[side]
        service._stopped = True
        for call in [call for call in self.calls if call[0] == side]:
            call[2].cancel()
            self.calls.remove(call)
        if service._task is not None:
            service._task.cancel()
        self.uses = [use for use in self.uses if use.side != side]
        self.services[side] = self._new_service()
        self._settle()

    @rule(seconds=st.sampled_from([1, 20, 45, 700]))
    def wait(self, seconds: int) -> None:
        """Let time pass, for everyone, also past the window."""
        self.clock.advance(timedelta(seconds=seconds))
        self.log.forget(WINDOW * 2)

    @invariant()
    def at_most_one_run(self) -> None:
        """Allow a key's second run only after the window."""
        for key in KEYS:
            times = [time for name, time in self.runs if name == key]
            for earlier, later in zip(times, times[1:], strict=False):
                assert later - earlier >= WINDOW - BUDGET

    def teardown(self) -> None:
        """End all tasks."""

        async def async_cancel() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        for service in self.services:
            service._stopped = True
        self.loop.run_until_complete(async_cancel())
        self.loop.close()


TestClaims = Claims.TestCase
TestClaims.settings = settings(
    settings.get_profile("fixed"), max_examples=300, stateful_step_count=30
)


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


def reason_of(result: Result[Granted, ClaimRefused]) -> ClaimReason:
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

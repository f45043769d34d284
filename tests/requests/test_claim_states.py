"""Two side processes claim the same keys over a log that loses answers, delays and goes out.

Every granted claim may run, at any later moment. Whatever happens on the way, the journal of runs
has at most one run of a key within the window, and a recorded answer is that run's own.
"""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Ok, Result

from cranberryline.execution.claims import ClaimGrant, ClaimService
from cranberryline.helpers.clock import FakeClock
from cranberryline.requests import ClaimFold, ClaimOutcome, ClaimReason, ClaimRefused

from .scripted_log import BUDGET, LOST, REFUSED, TURNS, WINDOW, Append, ScriptedLog

KEYS = ("k", "l")
SIDES = 2
anywhere = st.one_of(st.just(0), st.integers(0, 1_000))


@attrs.define(eq=False)
class Use:
    """A granted claim that its side has not used yet."""

    side: int
    granted: ClaimGrant
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
        self.calls: list[tuple[int, str, asyncio.Task[Result[ClaimGrant, ClaimRefused]]]] = []
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

    def _collect(self, side: int, print_: str, result: Result[ClaimGrant, ClaimRefused]) -> None:
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
            service.end_without_outcome(use.granted)
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

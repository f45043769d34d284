"""Stateful test of two side processes that claim the same keys over an unreliable log.

A granted claim may start at any later time. At most one run of a key may start within the window,
and a recorded answer must belong to a run of that request.
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
# Picks an item modulo the list's length, often the oldest one.
positions = st.one_of(st.just(0), st.integers(0, 1_000))


@attrs.define(eq=False)
class UnusedGrant:
    """A granted claim under which its side process has not run yet."""

    side: int
    granted: ClaimGrant
    fingerprint: str


class Claims(RuleBasedStateMachine):
    """Two side processes, two keys, one log."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = FakeClock()
        self.log = ScriptedLog(self.clock)
        self.incarnations = 0
        self.ids = 0
        self.services = [self._new_service() for _ in range(SIDES)]
        self.calls: list[tuple[int, str, asyncio.Task[Result[ClaimGrant, ClaimRefused]]]] = []
        self.late: list[Append] = []
        self.grants: list[UnusedGrant] = []
        self.runs: list[tuple[str, timedelta]] = []
        self.answers: dict[bytes, tuple[str, str]] = {}

    def _new_service(self) -> ClaimService:
        self.incarnations += 1
        fold = ClaimFold(window=WINDOW)
        return ClaimService(
            self.log, "s", f"incarnation-{self.incarnations}", self.clock, fold, self._new_id
        )

    def _new_id(self) -> str:
        self.ids += 1
        return f"id-{self.ids}"

    def _settle(self, work: Coroutine[Any, Any, Any] | None = None) -> None:
        """Run the event loop until all tasks wait for the test, then collect finished claims."""

        async def async_turns() -> None:
            if work is not None:
                await work
            for _ in range(TURNS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(async_turns())
        for side, request_digest, task in [call for call in self.calls if call[2].done()]:
            self.calls.remove((side, request_digest, task))
            if not task.cancelled():
                self._collect(side, request_digest, task.result())

    def _collect(
        self, side: int, request_digest: str, result: Result[ClaimGrant, ClaimRefused]
    ) -> None:
        if isinstance(result, Ok):
            self.grants.append(UnusedGrant(side, result.unwrap(), request_digest))
            return
        refused = result.unwrap_err()
        if refused.reason is ClaimReason.RECORDED:
            assert self.answers[refused.outcome.body][1] == request_digest

    @rule(
        side=st.integers(0, SIDES - 1),
        key=st.sampled_from(KEYS),
        request_digest=st.sampled_from("ffg"),
    )
    def claim(self, side: int, key: str, request_digest: str) -> None:
        """Claim a key."""
        work = self.services[side].async_claim(key, request_digest, BUDGET)
        self.calls.append((side, request_digest, self.loop.create_task(work)))
        self._settle()

    @precondition(lambda self: self.log.pending)
    @rule(position=positions)
    def complete_append(self, position: int) -> None:
        """Apply an append and deliver its answer."""
        append = self.log.pending.pop(position % len(self.log.pending))
        offsets = self.log.apply(append)
        if not append.fut.done():
            append.fut.set_result(Ok(offsets))
        self._settle()

    @precondition(lambda self: self.log.pending)
    @rule(
        position=positions,
        outcome=st.sampled_from(["lost_after", "lost_before", "late", "refused", "twice"]),
    )
    def fail_append(self, position: int, outcome: str) -> None:
        """Fail an append.

        Its answer is lost after or before it takes effect, it takes effect later or twice, or it
        is refused without effect.
        """
        append = self.log.pending.pop(position % len(self.log.pending))
        if outcome in ("lost_after", "twice"):
            self.log.apply(append)
        if outcome in ("late", "twice"):
            self.late.append(append)
        if not append.fut.done():
            append.fut.set_result(REFUSED if outcome == "refused" else LOST)
        self._settle()

    @precondition(lambda self: self.late)
    @rule(position=positions)
    def apply_late(self, position: int) -> None:
        """Apply an append whose answer was reported as lost."""
        self.log.apply(self.late.pop(position % len(self.late)))

    @rule(fail=st.booleans())
    def set_reads_fail(self, fail: bool) -> None:
        """Make reads of the log fail or succeed from now on."""
        self.log.reads_fail = fail

    @precondition(lambda self: self.grants)
    @rule(
        position=positions,
        outcome=st.sampled_from(["settle", "settle", "unknown", "abandon", "crash"]),
    )
    def use_grant(self, position: int, outcome: str) -> None:
        """Run under a granted claim and end the run in one of several ways, or abandon the claim."""
        grant = self.grants.pop(position % len(self.grants))
        service = self.services[grant.side]
        if outcome == "abandon" or not grant.granted.may_start(self.clock.monotonic()):
            self.loop.create_task(service.async_abandon(grant.granted))
            self._settle()
            return
        self.runs.append((grant.granted.key, self.clock.monotonic()))
        body = f"{grant.granted.key}/{len(self.runs)}".encode()
        self.answers[body] = (grant.granted.key, grant.fingerprint)
        if outcome == "settle":
            self._settle(service.async_settle(grant.granted, ClaimOutcome(200, (), body)))
        elif outcome == "unknown":
            service.end_without_outcome(grant.granted)
        else:
            self.restart(grant.side)

    @rule(side=st.integers(0, SIDES - 1))
    def restart(self, side: int) -> None:
        """Kill a side process; its claims are in the log or may still be appended."""
        service = self.services[side]
        service._stopped = True
        for call in [call for call in self.calls if call[0] == side]:
            call[2].cancel()
            self.calls.remove(call)
        if service._task is not None:
            service._task.cancel()
        self.grants = [grant for grant in self.grants if grant.side != side]
        self.services[side] = self._new_service()
        self._settle()

    @rule(seconds=st.sampled_from([1, 20, 45, 700]))
    def wait(self, seconds: int) -> None:
        """Advance the clock, possibly past the window, and apply the log's retention."""
        self.clock.advance(timedelta(seconds=seconds))
        self.log.apply_retention(WINDOW * 2)

    @invariant()
    def at_most_one_run(self) -> None:
        """Check that runs of a key are at least a window apart, less the budget of the first."""
        for key in KEYS:
            times = [time for name, time in self.runs if name == key]
            for earlier, later in zip(times, times[1:], strict=False):
                assert later - earlier >= WINDOW - BUDGET

    def teardown(self) -> None:
        """Cancel all tasks and close the event loop."""

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

"""Claim idempotency keys on the log before a request runs, and record what came of it."""

import asyncio
import contextlib
import hashlib
import itertools
import uuid
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import LogPort
from cranberryline.requests.claims import (
    ClaimFold,
    abandon_record,
    claim_record,
    outcome_from_record,
    outcome_record,
)
from cranberryline.requests.const import CLAIM_MARGIN, MAX_RECORDED_BODY, STREAM_CLAIMS
from cranberryline.requests.errors import ClaimReason, ClaimRefused
from cranberryline.requests.model import Claim, ClaimOutcome, ClaimState

__all__ = ["ClaimService", "Granted", "recorded_outcome"]

# Claims that come within one tick share one append. Several hundred appends a second are allowed
# for everything; at this tick one side process takes 40 at most, and a claim waits 13 ms on average.
CLAIM_TICK = timedelta(milliseconds=25)
RETRY_AFTER_OUTAGE = timedelta(seconds=2)
RETRY_AFTER_RUNNING = timedelta(seconds=1)
RETRY_SETTLE = timedelta(seconds=1)
ABANDON_WAIT = timedelta(milliseconds=500)
READ_LIMIT = 500
# Outcomes, and as many abandons, that the log has not taken yet; beyond it the oldest are dropped
# and their keys are told as unknown until the window ends.
MAX_UNSETTLED = 1024
MAX_RECORDS_PER_APPEND = 256

Record = tuple[str, dict[str, Any]]


@attrs.frozen
class Granted:
    """The right to run a keyed request once, until `start_before` on the monotonic clock."""

    key: str
    claim_id: str
    start_before: timedelta

    def may_start(self, now: timedelta) -> bool:
        """Return whether the run may still begin; to be asked directly before it does.

        A holder that paused past its budget finds its key told as unknown to others, and past the
        window its key claimed anew; the budget is far below the window.
        """
        return now < self.start_before


@attrs.define
class _Pending:
    key: str
    claim_id: str
    fingerprint: str
    budget: timedelta
    deadline: timedelta
    fut: "asyncio.Future[Result[Granted, ClaimRefused]]"


def recorded_outcome(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> ClaimOutcome:
    """Return what is recorded of an answer: all of it, or a digest of a large body."""
    digest = hashlib.sha256(body).hexdigest()
    return ClaimOutcome(status, headers, body if len(body) <= MAX_RECORDED_BODY else None, digest)


class ClaimService:
    """Claim, settle and abandon the keys of one service from one side process.

    One task appends and reads while there is something to do, and ends when there is not.
    """

    def __init__(
        self,
        log: LogPort,
        service: str,
        incarnation: str,
        clock: Clock,
        fold: ClaimFold | None = None,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._log = log
        self._stream = STREAM_CLAIMS + service
        self._incarnation = incarnation
        self._clock = clock
        self._fold = fold or ClaimFold()
        self._new_id = new_id
        self._pending: list[_Pending] = []
        self._active: dict[str, Granted] = {}
        self._outcomes: dict[str, tuple[Record, ClaimOutcome]] = {}
        self._abandons: dict[str, Record] = {}
        self._abandon_waiters: dict[str, asyncio.Future[None]] = {}
        self._task: asyncio.Task[None] | None = None
        self._stopped = False

    @property
    def fold(self) -> ClaimFold:
        """Return the fold of the claims read so far."""
        return self._fold

    async def async_claim(
        self, key: str, fingerprint: str, budget: timedelta
    ) -> Result[Granted, ClaimRefused]:
        """Claim a key; only Ok allows the run, and every Err means that this call did not run."""
        fut: asyncio.Future[Result[Granted, ClaimRefused]] = (
            asyncio.get_running_loop().create_future()
        )
        if self._stopped:
            return Err(ClaimRefused(ClaimReason.LOG_UNAVAILABLE))
        deadline = self._clock.monotonic() + budget
        pending = _Pending(key, self._new_id(), fingerprint, budget, deadline, fut)
        self._pending.append(pending)
        self._wake()
        try:
            async with asyncio.timeout(budget.total_seconds()):
                return await fut
        except TimeoutError:
            self._give_up(pending)
            return Err(ClaimRefused(ClaimReason.LOG_UNAVAILABLE, retry_after=RETRY_AFTER_OUTAGE))
        except asyncio.CancelledError:
            self._give_up(pending)
            raise

    async def async_settle(self, claim: Granted, outcome: ClaimOutcome) -> None:
        """Record the answer of a run; it goes to the log as soon as the log takes it."""
        if self._active.pop(claim.claim_id, None) is None:
            return
        data = outcome_record(claim.key, claim.claim_id, self._incarnation, outcome)
        self._outcomes[claim.claim_id] = ((self._new_id(), data), outcome)
        _keep_newest(self._outcomes)
        self._wake()

    def leave_unknown(self, claim: Granted) -> None:
        """Note that a run ended without an answer to record; its key is told as unknown."""
        self._active.pop(claim.claim_id, None)

    async def async_abandon(self, claim: Granted) -> None:
        """Free the key of a granted claim that was not run and never will be.

        Return when the log has taken it, or does not for a while. A `NotRun` that overtakes the
        abandon sends the entry to another side process, which would still find the key claimed
        and tell the caller `in progress` of a request that nobody runs.
        """
        if self._active.pop(claim.claim_id, None) is None:
            return
        self._abandon(claim.key, claim.claim_id)
        appended = asyncio.get_running_loop().create_future()
        self._abandon_waiters[claim.claim_id] = appended
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ABANDON_WAIT.total_seconds()):
                await appended
        self._abandon_waiters.pop(claim.claim_id, None)

    async def async_stop(self) -> None:
        """Refuse what is pending and end the task, after one last try to record outcomes."""
        self._stopped = True
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        for pending in self._take_pending():
            self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
        if self._outcomes or self._abandons:
            await self._async_tick()

    def _wake(self) -> None:
        if self._stopped:
            return
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._async_work())

    async def _async_work(self) -> None:
        while self._pending or self._outcomes or self._abandons:
            await self._clock.async_sleep(CLAIM_TICK)
            if not await self._async_tick() and not self._pending:
                await self._clock.async_sleep(RETRY_SETTLE)

    async def _async_tick(self) -> bool:
        """Append all that waits in one call and answer the claims among it."""
        pendings = self._take_pending()
        records: list[Record] = [
            (
                p.claim_id,
                claim_record(p.key, p.claim_id, self._incarnation, p.fingerprint, p.budget),
            )
            for p in pendings
        ]
        notes = self._notes(MAX_RECORDS_PER_APPEND - len(records))
        if not notes and not records:
            return True
        try:
            appended = await self._log.async_append(self._stream, [*notes.values(), *records])
            if isinstance(appended, Err):
                await self._async_after_failed_append(pendings, appended.unwrap_err())
                return False
            for claim_id in notes:
                self._outcomes.pop(claim_id, None)
                self._abandons.pop(claim_id, None)
                self._tell_abandoned(claim_id)
            if pendings:
                await self._async_decide(pendings, max(appended.unwrap()))
        except BaseException:
            # Cancelled or broken between append and decision: the claims may stand on the log
            # though nobody will run them, so they are refused here and abandoned later.
            self._refuse_unsure(pendings)
            raise
        return True

    async def _async_after_failed_append(
        self, pendings: list[_Pending], exc: PlatformError
    ) -> None:
        """Read back by id what a lost answer may hide; what is not found is refused."""
        if not pendings:
            return
        if not exc.may_have_run:
            for pending in pendings:
                self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
            return
        if not await self._async_read_until(None):
            self._refuse_unsure(pendings)
            return
        found = [p for p in pendings if self._fold.has_seen(p.claim_id)]
        # An append that is not on the log yet may still arrive there. Running on the strength of
        # "not found" would race it; so the call is refused, not run, and the claim is abandoned
        # for the case that it shows up.
        self._refuse_unsure([p for p in pendings if not self._fold.has_seen(p.claim_id)])
        await self._async_answer(found)

    async def _async_decide(self, pendings: list[_Pending], offset: int) -> None:
        if not await self._async_read_until(offset):
            self._refuse_unsure(pendings)
            return
        await self._async_answer(pendings)

    async def _async_read_until(self, offset: int | None) -> bool:
        """Read on to an offset, or to the end of the log; False when the log does not answer."""
        while offset is None or self._fold.next <= offset:
            before = self._fold.next
            page = await self._log.async_read(self._stream, before, READ_LIMIT)
            if isinstance(page, Err):
                return False
            self._fold.apply_page(page.unwrap())
            if self._fold.next == before:
                return offset is None
        return True

    async def _async_answer(self, pendings: list[_Pending]) -> None:
        for pending in pendings:
            if pending.fut.done():
                self._give_up(pending)
            elif self._fold.wins(pending.key, pending.claim_id):
                self._grant(pending)
            else:
                await self._async_refuse_loser(pending)

    def _grant(self, pending: _Pending) -> None:
        granted = Granted(pending.key, pending.claim_id, pending.deadline)
        if not granted.may_start(self._clock.monotonic()):
            self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
            self._give_up(pending)
            return
        self._active[pending.claim_id] = granted
        pending.fut.set_result(Ok(granted))

    async def _async_refuse_loser(self, pending: _Pending) -> None:
        claim = self._fold.standing(pending.key)
        if claim is None:
            # Its own claim expired or was forgotten by the log while it waited here.
            self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
            return
        if claim.fingerprint != pending.fingerprint:
            self._refuse(pending, ClaimReason.KEY_REUSED_WITH_OTHER_BODY)
            return
        outcome = await self._async_outcome(claim)
        if outcome is not None:
            refused = ClaimRefused(ClaimReason.RECORDED, outcome=outcome)
            if not pending.fut.done():
                pending.fut.set_result(Err(refused))
            return
        running = claim.state is ClaimState.CLAIMED and self._may_be_running(claim)
        reason = ClaimReason.IN_PROGRESS if running else ClaimReason.UNKNOWN
        self._refuse(pending, reason, RETRY_AFTER_RUNNING)

    async def _async_outcome(self, claim: Claim) -> ClaimOutcome | None:
        known = self._outcomes.get(claim.claim_id)
        if known is not None:
            return known[1]
        if claim.state is not ClaimState.SETTLED:
            return None
        page = await self._log.async_read(self._stream, claim.outcome_offset, 1)
        if isinstance(page, Err) or not page.unwrap().records:
            return None
        record = page.unwrap().records[0]
        if record.offset != claim.outcome_offset:
            return None
        return outcome_from_record(record.data).ok()

    def _may_be_running(self, claim: Claim) -> bool:
        if claim.side_incarnation == self._incarnation:
            return claim.claim_id in self._active
        now = self._fold.time
        return now is not None and now <= claim.time + claim.budget + CLAIM_MARGIN

    def _refuse(
        self, pending: _Pending, reason: ClaimReason, retry_after: timedelta | None = None
    ) -> None:
        if not pending.fut.done():
            pending.fut.set_result(Err(ClaimRefused(reason, retry_after=retry_after)))

    def _refuse_unsure(self, pendings: list[_Pending]) -> None:
        for pending in pendings:
            if pending.claim_id in self._active:
                continue
            self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
            self._give_up(pending)

    def _give_up(self, pending: _Pending) -> None:
        """Abandon a claim that will not run but may stand on the log, now or later.

        Left standing it would block its key until the window ends. The abandon holds in any order:
        the fold never lets a claim stand that it has seen abandoned.
        """
        self._active.pop(pending.claim_id, None)
        self._abandon(pending.key, pending.claim_id)

    def _abandon(self, key: str, claim_id: str) -> None:
        data = abandon_record(key, claim_id, self._incarnation)
        self._abandons[claim_id] = (self._new_id(), data)
        _keep_newest(self._abandons)
        self._wake()

    def _tell_abandoned(self, claim_id: str) -> None:
        waiter = self._abandon_waiters.pop(claim_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _take_pending(self) -> list[_Pending]:
        taken = self._pending[:MAX_RECORDS_PER_APPEND]
        del self._pending[:MAX_RECORDS_PER_APPEND]
        return [pending for pending in taken if not pending.fut.done()]

    def _notes(self, limit: int) -> dict[str, Record]:
        notes = {claim_id: record for claim_id, (record, _) in self._outcomes.items()}
        notes.update(self._abandons)
        return dict(itertools.islice(notes.items(), max(limit, 0)))


def _keep_newest(records: dict[str, Any]) -> None:
    while len(records) > MAX_UNSETTLED:
        del records[next(iter(records))]

"""Claim idempotency keys on the log before requests run, and record the outcomes."""

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
from cranberryline.requests.const import (
    CLAIM_STREAM_PREFIX,
    IN_PROGRESS_MARGIN,
    MAX_RECORDED_BODY_BYTES,
)
from cranberryline.requests.errors import ClaimReason, ClaimRefused
from cranberryline.requests.model import Claim, ClaimOutcome, ClaimState

__all__ = ["ClaimGrant", "ClaimService", "recorded_outcome"]

# Claims that arrive within this interval share one append. The log accepts several hundred appends
# per second in total; one side process uses at most 40 of them, and a claim waits 13 ms on average.
CLAIM_BATCH_INTERVAL = timedelta(milliseconds=25)
RETRY_AFTER_OUTAGE = timedelta(seconds=2)
RETRY_AFTER_RUNNING = timedelta(seconds=1)
RECORD_RETRY_DELAY = timedelta(seconds=1)
ABANDON_TIMEOUT = timedelta(milliseconds=500)
READ_PAGE_RECORDS = 500
# Limits the outcomes, and separately the abandon records, that wait for the log. Beyond it the
# oldest are dropped, and their keys are reported as unknown until the claim window ends.
MAX_UNWRITTEN_RECORDS = 1024
MAX_RECORDS_PER_APPEND = 256

Record = tuple[str, dict[str, Any]]


@attrs.frozen
class ClaimGrant:
    """The right to run a request with an idempotency key once.

    The run must begin before `start_before`, a reading of the monotonic clock.
    """

    key: str
    claim_id: str
    start_before: timedelta

    def may_start(self, now: timedelta) -> bool:
        """Return whether the run may still begin; call this directly before it does.

        If the process was paused for longer than the budget, others may have been told that the
        key's outcome is unknown; after the claim window, which is far longer than the budget, the
        key may have been claimed again.
        """
        return now < self.start_before


@attrs.define
class _PendingClaim:
    """A claim that waits for the log; `deadline` is a reading of the monotonic clock."""

    key: str
    claim_id: str
    fingerprint: str
    budget: timedelta
    deadline: timedelta
    fut: "asyncio.Future[Result[ClaimGrant, ClaimRefused]]"


def recorded_outcome(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> ClaimOutcome:
    """Return the outcome to record; a body above `MAX_RECORDED_BODY_BYTES` bytes is left out."""
    digest = hashlib.sha256(body).hexdigest()
    return ClaimOutcome(
        status, headers, body if len(body) <= MAX_RECORDED_BODY_BYTES else None, digest
    )


class ClaimService:
    """Claim, settle and abandon the idempotency keys of one service for one side process.

    A task appends to the log and reads from it while there is work, and ends when there is none.
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
        self._stream = CLAIM_STREAM_PREFIX + service
        self._incarnation = incarnation
        self._clock = clock
        self._fold = fold or ClaimFold()
        self._new_id = new_id
        self._pending: list[_PendingClaim] = []
        self._active: dict[str, ClaimGrant] = {}
        self._outcomes: dict[str, tuple[Record, ClaimOutcome]] = {}
        self._abandons: dict[str, Record] = {}
        self._abandon_confirmations: dict[str, asyncio.Future[None]] = {}
        self._task: asyncio.Task[None] | None = None
        self._stopped = False

    @property
    def fold(self) -> ClaimFold:
        """Return the state that results from the claim records read so far."""
        return self._fold

    async def async_claim(
        self, key: str, fingerprint: str, budget: timedelta
    ) -> Result[ClaimGrant, ClaimRefused]:
        """Claim a key within the budget.

        Only Ok allows the caller to run the request; any Err means that it must not run it.
        """
        fut: asyncio.Future[Result[ClaimGrant, ClaimRefused]] = (
            asyncio.get_running_loop().create_future()
        )
        if self._stopped:
            return Err(ClaimRefused(ClaimReason.LOG_UNAVAILABLE))
        deadline = self._clock.monotonic() + budget
        pending = _PendingClaim(key, self._new_id(), fingerprint, budget, deadline, fut)
        self._pending.append(pending)
        self._ensure_task()
        try:
            async with asyncio.timeout(budget.total_seconds()):
                return await fut
        except TimeoutError:
            self._abandon_unrun(pending)
            return Err(ClaimRefused(ClaimReason.LOG_UNAVAILABLE, retry_after=RETRY_AFTER_OUTAGE))
        except asyncio.CancelledError:
            self._abandon_unrun(pending)
            raise

    async def async_settle(self, claim: ClaimGrant, outcome: ClaimOutcome) -> None:
        """Queue the outcome of a run for the log; the append is retried until it succeeds."""
        if self._active.pop(claim.claim_id, None) is None:
            return
        data = outcome_record(claim.key, claim.claim_id, self._incarnation, outcome)
        self._outcomes[claim.claim_id] = ((self._new_id(), data), outcome)
        _drop_oldest(self._outcomes)
        self._ensure_task()

    def end_without_outcome(self, claim: ClaimGrant) -> None:
        """End a run that has no outcome to record; its key is reported as unknown from now on.

        Does nothing if the claim was settled or abandoned before.
        """
        self._active.pop(claim.claim_id, None)

    async def async_abandon(self, claim: ClaimGrant) -> None:
        """Release the key of a granted claim whose request was not run and never will be.

        Return when the log has accepted the record, at the latest after `ABANDON_TIMEOUT`. If
        `NotRun` arrived before the record was on the log, the entry would try another side process,
        which would find the key still claimed and report a request as in progress that nobody runs.
        """
        if self._active.pop(claim.claim_id, None) is None:
            return
        self._queue_abandon(claim.key, claim.claim_id)
        appended = asyncio.get_running_loop().create_future()
        self._abandon_confirmations[claim.claim_id] = appended
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ABANDON_TIMEOUT.total_seconds()):
                await appended
        self._abandon_confirmations.pop(claim.claim_id, None)

    async def async_stop(self) -> None:
        """End the task, refuse pending claims, and try once more to record outcomes."""
        self._stopped = True
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        for pending in self._pop_batch():
            self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
        if self._outcomes or self._abandons:
            await self._async_append_batch()

    def _ensure_task(self) -> None:
        if self._stopped:
            return
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._async_append_loop())

    async def _async_append_loop(self) -> None:
        while self._pending or self._outcomes or self._abandons:
            await self._clock.async_sleep(CLAIM_BATCH_INTERVAL)
            if not await self._async_append_batch() and not self._pending:
                await self._clock.async_sleep(RECORD_RETRY_DELAY)

    async def _async_append_batch(self) -> bool:
        """Append all waiting records in one call and decide the claims among them.

        Return False if the append failed.
        """
        batch = self._pop_batch()
        records: list[Record] = [
            (
                claim.claim_id,
                claim_record(
                    claim.key, claim.claim_id, self._incarnation, claim.fingerprint, claim.budget
                ),
            )
            for claim in batch
        ]
        final_records = self._next_final_records(MAX_RECORDS_PER_APPEND - len(records))
        if not final_records and not records:
            return True
        try:
            appended = await self._log.async_append(
                self._stream, [*final_records.values(), *records]
            )
            if isinstance(appended, Err):
                await self._async_handle_failed_append(batch, appended.unwrap_err())
                return False
            for claim_id in final_records:
                self._outcomes.pop(claim_id, None)
                self._abandons.pop(claim_id, None)
                self._confirm_abandoned(claim_id)
            if batch:
                await self._async_read_and_decide(batch, max(appended.unwrap()))
        except BaseException:
            # After a cancellation or an error between append and decision, the claims may be on the
            # log although nobody will run them. They are refused now and abandoned later.
            self._refuse_and_abandon(batch)
            raise
        return True

    async def _async_handle_failed_append(
        self, batch: list[_PendingClaim], exc: PlatformError
    ) -> None:
        """Handle claims whose append failed or was not confirmed.

        An unconfirmed append may have succeeded, so its claims are looked up on the log by id.
        Claims that are not found are refused.
        """
        if not batch:
            return
        if not exc.may_have_run:
            for pending in batch:
                self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
            return
        if not await self._async_read_until(None):
            self._refuse_and_abandon(batch)
            return
        found = [claim for claim in batch if self._fold.has_seen(claim.claim_id)]
        # An append that is not on the log yet may still arrive there. Running the request because
        # its claim was not found would race with that, so the call is refused, and the claim is
        # abandoned in case it appears later.
        self._refuse_and_abandon(
            [claim for claim in batch if not self._fold.has_seen(claim.claim_id)]
        )
        await self._async_decide(found)

    async def _async_read_and_decide(self, batch: list[_PendingClaim], offset: int) -> None:
        if not await self._async_read_until(offset):
            self._refuse_and_abandon(batch)
            return
        await self._async_decide(batch)

    async def _async_read_until(self, offset: int | None) -> bool:
        """Read up to and including an offset, or to the end of the log if the offset is None.

        Return False if a read failed or if the log ends before the offset.
        """
        while offset is None or self._fold.next_offset <= offset:
            before = self._fold.next_offset
            page = await self._log.async_read(self._stream, before, READ_PAGE_RECORDS)
            if isinstance(page, Err):
                return False
            self._fold.apply_page(page.unwrap())
            if self._fold.next_offset == before:
                return offset is None
        return True

    async def _async_decide(self, batch: list[_PendingClaim]) -> None:
        for pending in batch:
            if pending.fut.done():
                self._abandon_unrun(pending)
            elif self._fold.is_active(pending.key, pending.claim_id):
                self._grant(pending)
            else:
                await self._async_refuse_losing_claim(pending)

    def _grant(self, pending: _PendingClaim) -> None:
        granted = ClaimGrant(pending.key, pending.claim_id, pending.deadline)
        if not granted.may_start(self._clock.monotonic()):
            self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
            self._abandon_unrun(pending)
            return
        self._active[pending.claim_id] = granted
        pending.fut.set_result(Ok(granted))

    async def _async_refuse_losing_claim(self, pending: _PendingClaim) -> None:
        claim = self._fold.active_claim(pending.key)
        if claim is None:
            # The claim itself expired or was deleted from the log while it waited here.
            self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
            return
        if claim.fingerprint != pending.fingerprint:
            self._refuse(pending, ClaimReason.KEY_REUSED_WITH_OTHER_BODY)
            return
        outcome = await self._async_find_outcome(claim)
        if outcome is not None:
            refused = ClaimRefused(ClaimReason.RECORDED, outcome=outcome)
            if not pending.fut.done():
                pending.fut.set_result(Err(refused))
            return
        running = claim.state is ClaimState.CLAIMED and self._may_be_running(claim)
        reason = ClaimReason.IN_PROGRESS if running else ClaimReason.UNKNOWN
        self._refuse(pending, reason, RETRY_AFTER_RUNNING)

    async def _async_find_outcome(self, claim: Claim) -> ClaimOutcome | None:
        unwritten = self._outcomes.get(claim.claim_id)
        if unwritten is not None:
            return unwritten[1]
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
        now = self._fold.latest_time
        return now is not None and now <= claim.time + claim.budget + IN_PROGRESS_MARGIN

    def _refuse(
        self, pending: _PendingClaim, reason: ClaimReason, retry_after: timedelta | None = None
    ) -> None:
        if not pending.fut.done():
            pending.fut.set_result(Err(ClaimRefused(reason, retry_after=retry_after)))

    def _refuse_and_abandon(self, batch: list[_PendingClaim]) -> None:
        """Refuse and abandon claims that may be on the log, except those already granted."""
        for pending in batch:
            if pending.claim_id in self._active:
                continue
            self._refuse(pending, ClaimReason.LOG_UNAVAILABLE, RETRY_AFTER_OUTAGE)
            self._abandon_unrun(pending)

    def _abandon_unrun(self, pending: _PendingClaim) -> None:
        """Abandon a claim that will not run but is on the log or may still arrive there.

        Otherwise it would block its key until the claim window ends. The order of the two records
        does not matter: `ClaimFold` ignores a claim that was abandoned before it arrived.
        """
        self._active.pop(pending.claim_id, None)
        self._queue_abandon(pending.key, pending.claim_id)

    def _queue_abandon(self, key: str, claim_id: str) -> None:
        data = abandon_record(key, claim_id, self._incarnation)
        self._abandons[claim_id] = (self._new_id(), data)
        _drop_oldest(self._abandons)
        self._ensure_task()

    def _confirm_abandoned(self, claim_id: str) -> None:
        confirmation = self._abandon_confirmations.pop(claim_id, None)
        if confirmation is not None and not confirmation.done():
            confirmation.set_result(None)

    def _pop_batch(self) -> list[_PendingClaim]:
        claims = self._pending[:MAX_RECORDS_PER_APPEND]
        del self._pending[:MAX_RECORDS_PER_APPEND]
        return [pending for pending in claims if not pending.fut.done()]

    def _next_final_records(self, limit: int) -> dict[str, Record]:
        final_records = {claim_id: record for claim_id, (record, _) in self._outcomes.items()}
        final_records.update(self._abandons)
        return dict(itertools.islice(final_records.items(), max(limit, 0)))


def _drop_oldest(records: dict[str, Any]) -> None:
    while len(records) > MAX_UNWRITTEN_RECORDS:
        del records[next(iter(records))]

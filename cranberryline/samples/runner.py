"""Generation of the samples of one step: starts, hedges, scores, retries and delivers them."""

import asyncio
import contextlib
import itertools
import uuid
from collections import deque
from collections.abc import Callable
from datetime import timedelta

import attrs
from result import Err, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.model import ScorePort

from .attempts import Attempt, FailedUpstreams
from .const import ATTR_TEXT
from .errors import CursorError, DiscardReason
from .ledger import FinishOutcome, StepLedger
from .model import Batch, Completion, Pull, SampleId, StepDeclaration, sample_name
from .pacing import StepBacklog, TrainerEstimates
from .ports import (
    DispatchError,
    HedgePolicy,
    RolloutLimits,
    RunningSample,
    SampleDispatch,
    SampleRequest,
)
from .scoring import async_score_with_retry

__all__ = ["RunnerPorts", "StepRunner"]

# A step pauses after a failure; the pause doubles with each further failure without a success.
INITIAL_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(seconds=5)
# Interval of checks for stragglers while samples are running.
HEDGE_CHECK_INTERVAL = timedelta(milliseconds=250)
MAX_RECENT_DURATIONS = 256
# Time for which a completely delivered step is kept, in case its last batch is pulled again.
DELIVERED_STEP_TTL = timedelta(seconds=60)

# Values of metric labels.
RETRY_REASON_HEDGE = "hedge"
RETRY_REASON_SCORER = "scorer"
DROP_REASON_PREFIX = "sample_"  # followed by a `FinishOutcome`

_LOGGER = get_logger(__name__)


@attrs.frozen
class RunnerPorts:
    """Dependencies shared by all steps of an entry."""

    dispatch: SampleDispatch
    scorer: ScorePort
    hedging: HedgePolicy
    metrics: Metrics
    clock: Clock


class StepRunner:
    """Runs one step in its own task until its trainer has made no call for `idle_timeout`.

    `on_slot_freed` is called after each attempt, so that the trainer's steps can use the slot.
    """

    def __init__(
        self,
        declaration: StepDeclaration,
        ports: RunnerPorts,
        limits: Callable[[], RolloutLimits | None],
        free_slots: Callable[[], int],
        estimates: TrainerEstimates,
        samples_to_start: Callable[[], list[tuple[int, int]]],
        on_slot_freed: Callable[[], None],
        idle_timeout: timedelta,
    ) -> None:
        self.declaration = declaration
        self._ports = ports
        self._clock = ports.clock
        self._get_limits = limits
        self._free_slots = free_slots
        self._estimates = estimates
        self._samples_to_start = samples_to_start
        self._versions_early: dict[SampleId, int] = {}
        self._on_slot_freed = on_slot_freed
        self._idle_timeout = idle_timeout
        self._ledger = StepLedger(declaration)
        self._limits: RolloutLimits | None = None
        self._attempts: dict[str, Attempt] = {}
        self._failed_upstreams = FailedUpstreams()
        # Makes attempt names unique across entries. Two entries can generate the same sample at
        # once, and cancelling the attempt of one must not cancel that of the other.
        self._runner_id = uuid.uuid4().hex[:8]
        self._attempt_numbers = itertools.count(1)
        self._durations: deque[timedelta] = deque(maxlen=MAX_RECENT_DURATIONS)
        self._failures = 0
        self._failed_at = timedelta(microseconds=-1)
        self._paused_until = timedelta()
        self._trainer_version = 0
        self._stale_checked_for = (0, 0)
        self._pulls = 0
        self._closing = False
        self._all_delivered = False
        self._last_call_at = self._clock.monotonic()
        self._wake_event = asyncio.Event()
        self._sample_ready = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Return the number of running attempts."""
        return len(self._attempts)

    @property
    def backlog(self) -> StepBacklog:
        """Return the startable samples, and by how many versions the started ones were early."""
        startable = self._ledger.startable_counts()
        groups = self.declaration.groups
        return StepBacklog(
            samples=self.declaration.size,
            versions_early=sum(self._versions_early.values()),
            startable=startable,
            max_tokens={group: groups[group].max_tokens for group in startable},
        )

    @property
    def remaining_pause(self) -> timedelta:
        """Return the time until the step starts attempts again after a failure."""
        return max(self._paused_until - self._clock.monotonic(), timedelta())

    @property
    def closed(self) -> bool:
        """Return whether the step's task has ended."""
        return self._task is not None and self._task.done()

    def resume(self, cursor: str) -> Result[None, CursorError]:
        """Apply the cursor of a trainer that continues a step; has to be called before `start`."""
        return self._ledger.resume(cursor)

    def start(self) -> None:
        """Start generating samples."""
        self._task = asyncio.get_running_loop().create_task(self._async_run())

    def wake(self) -> None:
        """Check again for work, since free slots, limits or the ledger may have changed."""
        self._wake_event.set()

    def touch(self, idle_timeout: timedelta) -> None:
        """Restart the idle timeout after a call from the trainer."""
        self._last_call_at = self._clock.monotonic()
        self._idle_timeout = idle_timeout
        self.wake()

    async def async_pull(self, pull: Pull) -> Result[Batch, CursorError]:
        """Return a batch of samples, waiting for the first one for as long as the pull allows."""
        self._pulls += 1
        self._trainer_version = pull.version
        self._estimates.on_pull(self.declaration.step, pull.version, self._clock.monotonic())
        wait_until = self._clock.monotonic() + pull.wait
        try:
            while True:
                result = self._pull_from_ledger(pull)
                left = wait_until - self._clock.monotonic()
                if isinstance(result, Err) or left <= timedelta():
                    return result
                batch = result.unwrap()
                self._all_delivered = batch.done
                if batch.samples or batch.done or self._closing:
                    self._count_delivered(len(batch.samples))
                    return result
                await self._async_wait(self._sample_ready, left)
        finally:
            self._pulls -= 1
            self._last_call_at = self._clock.monotonic()

    async def async_close(self) -> None:
        """Stop the task, cancel the running attempts and answer the waiting pulls."""
        self._closing = True
        self._sample_ready.set()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _count_delivered(self, count: int) -> None:
        self._ports.metrics.samples.labels(self.declaration.trainer).inc(count)

    def _pull_from_ledger(self, pull: Pull) -> Result[Batch, CursorError]:
        self._sample_ready.clear()
        limits = self._read_limits()
        result = self._ledger.pull(
            pull.cursor, pull.version, limits.newest_version, limits.staleness_bound, pull.limit
        )
        self.wake()
        return result

    def _read_limits(self) -> RolloutLimits:
        """Return the current limits, or the last known ones if their record was deleted."""
        self._limits = self._get_limits() or self._limits or RolloutLimits(0, 0, 0)
        return self._limits

    async def _async_run(self) -> None:
        try:
            while not self._is_idle():
                self._wake_event.clear()
                self._reconcile()
                await self._async_wait(self._wake_event, self._next_check_delay())
        finally:
            tasks = [attempt.task for attempt in self._attempts.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _reconcile(self) -> None:
        """Drop stale samples, cancel obsolete attempts, and start or hedge samples."""
        limits = self._read_limits()
        self._drop_stale(max(limits.newest_version, self._trainer_version), limits.staleness_bound)
        for attempt in self._ledger.take_obsolete():
            if attempt in self._attempts:
                self._attempts[attempt].task.cancel()
        for reason, count in self._ledger.take_discards().items():
            self._ports.metrics.discards.labels(reason.value).inc(count)
        if self._clock.monotonic() < self._paused_until:
            return
        for group, count in self._samples_to_start():
            for sample_id in self._ledger.startable_in_group(group, min(count, self._free_slots())):
                self._start_attempt(sample_id)
        if not self._ledger.startable(1):
            self._hedge_stragglers()

    def _drop_stale(self, newest: int, bound: int) -> None:
        """Drop samples made stale by a new version or bound; results stale before aren't stored."""
        if (newest, bound) != self._stale_checked_for:
            self._stale_checked_for = (newest, bound)
            self._ledger.drop_stale(newest, bound)

    def _hedge_stragglers(self) -> None:
        now = self._clock.monotonic()
        hedgeable = set(self._ledger.hedgeable())
        running = [
            RunningSample(attempt.sample_id, now - attempt.started)
            for attempt in self._attempts.values()
            if attempt.sample_id in hedgeable and not attempt.scoring
        ]
        for sample_id in self._ports.hedging.pick(running, self._durations, self._free_slots()):
            self._ports.metrics.retry(RETRY_REASON_HEDGE)
            self._start_attempt(sample_id)

    def _start_attempt(self, sample_id: SampleId) -> None:
        avoid = self._failed_upstreams.excluded_for(sample_id, self._attempts.values())
        attempt_number = f"{self._runner_id}.{next(self._attempt_numbers)}"
        name = f"{sample_name(self.declaration, sample_id)}#{attempt_number}"
        if not self._ledger.start(sample_id, name):
            return
        task = asyncio.get_running_loop().create_task(self._async_attempt(sample_id, name, avoid))
        self._attempts[name] = Attempt(sample_id, self._clock.monotonic(), task)
        newest = self._read_limits().newest_version
        self._versions_early[sample_id] = self._estimates.versions_early(
            self.declaration.step, newest
        )
        task.add_done_callback(lambda done: self._on_attempt_done(name, done))

    def _on_attempt_done(self, name: str, task: asyncio.Task[None]) -> None:
        attempt = self._attempts.pop(name)
        if task.cancelled() or task.exception() is not None:
            if not task.cancelled():
                _LOGGER.error("sample_attempt_broke", sample_id=name, error=repr(task.exception()))
                self._failed_upstreams.record_failure(attempt)
            # Otherwise the sample would count as running forever.
            self._ledger.discard(attempt.sample_id, name, DiscardReason.FAILED)
        # The table wakes the trainer's steps in order, so that the step it waits for gets the slot.
        # If this step woke itself first, a later step would take each slot that becomes free and
        # leave none for the hedges and retries of an earlier one.
        self._on_slot_freed()

    async def _async_attempt(self, sample_id: SampleId, name: str, avoid: frozenset[str]) -> None:
        group = self.declaration.groups[sample_id.group]
        req = SampleRequest(
            service=self.declaration.service,
            prompt=group.prompt,
            max_tokens=group.max_tokens,
            sample_id=sample_name(self.declaration, sample_id),
            attempt=name,
            avoid=avoid,
        )
        result = await self._ports.dispatch.async_complete(
            req, lambda upstream: self._record_upstream(name, upstream)
        )
        if isinstance(result, Err):
            self._handle_failure(sample_id, name, result.unwrap_err())
            return
        completion = result.unwrap()
        if self._is_stale(completion):
            self._handle_failure(sample_id, name, DispatchError(DiscardReason.STALE))
            return
        score = await self._async_score(req, name, completion)
        if score is None:
            self._handle_failure(sample_id, name, DispatchError(DiscardReason.STALE))
            return
        self._record_result(sample_id, name, completion, score)

    def _record_upstream(self, name: str, upstream: str) -> None:
        if name in self._attempts:
            self._attempts[name].upstream = upstream

    async def _async_score(
        self, req: SampleRequest, name: str, completion: Completion
    ) -> float | None:
        """Return the score, retrying until the scorer succeeds; None if the sample goes stale."""
        self._attempts[name].scoring = True
        sample = {ATTR_TEXT: completion.text, "identity": req.sample_id}
        return await async_score_with_retry(
            self._ports.scorer,
            sample,
            self._clock,
            on_retry=lambda: self._ports.metrics.retry(RETRY_REASON_SCORER),
            is_needed=lambda: not self._is_stale(completion),
        )

    def _record_result(
        self, sample_id: SampleId, name: str, completion: Completion, score: float
    ) -> None:
        outcome = self._ledger.finish(sample_id, name, completion, score)
        if outcome is not FinishOutcome.KEPT:
            self._ports.metrics.drop(DROP_REASON_PREFIX + outcome.value)
            return
        self._failed_upstreams.remove(sample_id)
        duration = self._clock.monotonic() - self._attempts[name].started
        self._durations.append(duration)
        tokens = sum(segment.tokens for segment in completion.segments)
        self._estimates.on_sample(
            tokens, self.declaration.groups[sample_id.group].max_tokens, duration
        )
        self._failures = 0
        self._sample_ready.set()

    def _handle_failure(self, sample_id: SampleId, name: str, error: DispatchError) -> None:
        """Discard an attempt and pause the step, as an immediate retry is likely to fail too.

        When an engine crashes, all its attempts fail. If each one doubled the back-off, fifteen
        would raise it to the maximum and stall the trainer after the fault is over. So an attempt
        started before the last counted failure does not count.
        """
        self._ledger.discard(sample_id, name, error.reason)
        self._failed_upstreams.record_failure(self._attempts[name])
        _LOGGER.debug(
            "sample_failed",
            sample_id=name,
            upstream=self._attempts[name].upstream,
            reason=error.reason,
            detail=error.detail,
        )
        self._ports.metrics.retry(error.reason.value)
        now = self._clock.monotonic()
        # Retry-After is honoured only up to the maximum back-off: an entry that has just started
        # may send a minute, and the trainer would be idle although engines are free much earlier.
        pause = min(error.retry_after or timedelta(), MAX_BACKOFF)
        if self._attempts[name].started > self._failed_at:
            backoff = min(INITIAL_BACKOFF * 2 ** min(self._failures, 10), MAX_BACKOFF)
            pause = max(pause, backoff)
            self._failures += 1
            self._failed_at = now
        self._paused_until = max(self._paused_until, now + pause)

    def _is_stale(self, completion: Completion) -> bool:
        limits = self._read_limits()
        newest = max(limits.newest_version, self._trainer_version)
        return newest - completion.oldest_version > limits.staleness_bound

    def _is_idle(self) -> bool:
        return not self._pulls and self._idle_time_left() <= timedelta()

    def _idle_time_left(self) -> timedelta:
        # After the last batch, a trainer makes no further call for the step, so no cursor ever
        # covers that batch. With the full idle timeout, the steps of a fast trainer would use up
        # the memory; a trainer that lost the response asks again within seconds.
        idle_timeout = self._idle_timeout
        if self._all_delivered:
            idle_timeout = min(idle_timeout, DELIVERED_STEP_TTL)
        return self._last_call_at + idle_timeout - self._clock.monotonic()

    def _next_check_delay(self) -> timedelta:
        """Return the time until the next check is needed without an event."""
        waits = [max(self._idle_time_left(), HEDGE_CHECK_INTERVAL)]
        if self._attempts:
            waits.append(HEDGE_CHECK_INTERVAL)
        pause_left = self._paused_until - self._clock.monotonic()
        if pause_left > timedelta() and self._ledger.startable(1):
            waits.append(pause_left)
        return min(waits)

    @staticmethod
    async def _async_wait(event: asyncio.Event, timeout: timedelta) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                await event.wait()

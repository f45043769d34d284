"""Make the samples of one step: start, hedge, score, resume after failures, hand over."""

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

from .const import ATTR_TEXT
from .elsewhere import Attempt, TriedUpstreams
from .errors import CursorError, DiscardReason
from .ledger import FinishOutcome, StepLedger
from .model import Batch, Completion, Pull, SampleId, StepDeclaration, sample_name
from .pacing import StepWork, TrainerPace
from .ports import (
    DispatchError,
    HedgePolicy,
    RolloutLimits,
    RunningSample,
    SampleDispatch,
    SampleRequest,
)
from .scoring import async_score_patiently

__all__ = ["RunnerPorts", "StepRunner"]

# Failures without a success between them make the step pause this long, doubled each time.
BACKOFF_START = timedelta(milliseconds=100)
BACKOFF_MOST = timedelta(seconds=5)
# How often stragglers are looked for, while there are samples in the making.
HEDGE_INTERVAL = timedelta(milliseconds=250)
MAX_DURATIONS = 256
# A step that was handed over whole is kept this long for a repeated pull of its last batch.
DONE_QUIET_AFTER = timedelta(seconds=60)

RETRY_HEDGE = "hedge"
RETRY_SCORER = "scorer"
DROP_SAMPLE = "sample_"

_LOGGER = get_logger(__name__)


@attrs.frozen
class RunnerPorts:
    """What all steps of an entry share."""

    dispatch: SampleDispatch
    scorer: ScorePort
    hedging: HedgePolicy
    metrics: Metrics
    clock: Clock


class StepRunner:
    """Work on one step in one task until its trainer has gone quiet."""

    def __init__(
        self,
        declaration: StepDeclaration,
        ports: RunnerPorts,
        limits: Callable[[], RolloutLimits | None],
        room: Callable[[], int],
        pace: TrainerPace,
        allowed: Callable[[], list[tuple[int, int]]],
        on_freed: Callable[[], None],
        quiet_after: timedelta,
    ) -> None:
        self.declaration = declaration
        self._ports = ports
        self._clock = ports.clock
        self._get_limits = limits
        self._room = room
        self._pace = pace
        self._allowed = allowed
        self._early: dict[SampleId, int] = {}
        self._on_freed = on_freed
        self._quiet_after = quiet_after
        self._ledger = StepLedger(declaration)
        self._limits: RolloutLimits | None = None
        self._attempts: dict[str, Attempt] = {}
        self._tried = TriedUpstreams()
        # Two entries can make the same sample at once; an engine that is told to stop one attempt
        # must not stop the other's, so names are never shared.
        self._life = uuid.uuid4().hex[:8]
        self._numbers = itertools.count(1)
        self._durations: deque[timedelta] = deque(maxlen=MAX_DURATIONS)
        self._failures = 0
        self._failed_at = timedelta(microseconds=-1)
        self._not_before = timedelta()
        self._trainer_version = 0
        self._checked = (0, 0)
        self._pulls = 0
        self._closing = False
        self._handed_all = False
        self._called_at = self._clock.monotonic()
        self._changed = asyncio.Event()
        self._ready = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Count the attempts in the making."""
        return len(self._attempts)

    @property
    def work(self) -> StepWork:
        """Return what is not started, and what the started samples cost in versions."""
        waiting = self._ledger.waiting()
        groups = self.declaration.groups
        return StepWork(
            samples=self.declaration.size,
            versions_early=sum(self._early.values()),
            waiting=waiting,
            max_tokens={group: groups[group].max_tokens for group in waiting},
        )

    @property
    def pause(self) -> timedelta:
        """Return how long the step still waits after a failure before it starts anything."""
        return max(self._not_before - self._clock.monotonic(), timedelta())

    @property
    def closed(self) -> bool:
        """Return whether the step's task has ended."""
        return self._task is not None and self._task.done()

    def resume(self, cursor: str) -> Result[None, CursorError]:
        """Take in, before the start, where the trainer stands."""
        return self._ledger.resume(cursor)

    def start(self) -> None:
        """Begin to make samples."""
        self._task = asyncio.get_running_loop().create_task(self._async_work())

    def wake(self) -> None:
        """Look again: room, limits or the ledger may have changed."""
        self._changed.set()

    def touch(self, quiet_after: timedelta) -> None:
        """Note a call of the trainer, and how long to go on without another."""
        self._called_at = self._clock.monotonic()
        self._quiet_after = quiet_after
        self.wake()

    async def async_pull(self, pull: Pull) -> Result[Batch, CursorError]:
        """Return what the trainer gets; wait for the first sample as long as the pull allows."""
        self._pulls += 1
        self._trainer_version = pull.version
        self._pace.on_pull(self.declaration.step, pull.version, self._clock.monotonic())
        give_up_at = self._clock.monotonic() + pull.wait
        try:
            while True:
                result = self._compose(pull)
                left = give_up_at - self._clock.monotonic()
                if isinstance(result, Err) or left <= timedelta():
                    return result
                batch = result.unwrap()
                self._handed_all = batch.done
                if batch.samples or batch.done or self._closing:
                    self._count_handed_over(len(batch.samples))
                    return result
                await self._async_wait(self._ready, left)
        finally:
            self._pulls -= 1
            self._called_at = self._clock.monotonic()

    async def async_close(self) -> None:
        """Stop the task, cancel what is in the making and answer the pulls that wait."""
        self._closing = True
        self._ready.set()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _count_handed_over(self, count: int) -> None:
        self._ports.metrics.samples.labels(self.declaration.trainer).inc(count)

    def _compose(self, pull: Pull) -> Result[Batch, CursorError]:
        self._ready.clear()
        limits = self._read_limits()
        result = self._ledger.pull(
            pull.cursor, pull.version, limits.newest_version, limits.staleness_bound, pull.limit
        )
        self.wake()
        return result

    def _read_limits(self) -> RolloutLimits:
        """Return the limits in force; the last known ones when the record was deleted."""
        self._limits = self._get_limits() or self._limits or RolloutLimits(0, 0, 0)
        return self._limits

    async def _async_work(self) -> None:
        try:
            while not self._is_quiet():
                self._changed.clear()
                self._look()
                await self._async_wait(self._changed, self._next_look())
        finally:
            tasks = [attempt.task for attempt in self._attempts.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _look(self) -> None:
        limits = self._read_limits()
        self._drop_stale(max(limits.newest_version, self._trainer_version), limits.staleness_bound)
        for attempt in self._ledger.take_obsolete():
            if attempt in self._attempts:
                self._attempts[attempt].task.cancel()
        for reason, count in self._ledger.take_discards().items():
            self._ports.metrics.discards.labels(reason.value).inc(count)
        if self._clock.monotonic() < self._not_before:
            return
        for group, count in self._allowed():
            for sample_id in self._ledger.startable_of(group, min(count, self._room())):
                self._begin(sample_id)
        if not self._ledger.startable(1):
            self._hedge()

    def _drop_stale(self, newest: int, bound: int) -> None:
        """Drop what a new version or bound has made stale; nothing stale is kept at its finish."""
        if (newest, bound) != self._checked:
            self._checked = (newest, bound)
            self._ledger.drop_stale(newest, bound)

    def _hedge(self) -> None:
        now = self._clock.monotonic()
        hedgeable = set(self._ledger.hedgeable())
        running = [
            RunningSample(attempt.sample_id, now - attempt.started)
            for attempt in self._attempts.values()
            if attempt.sample_id in hedgeable and not attempt.scoring
        ]
        for sample_id in self._ports.hedging.pick(running, self._durations, self._room()):
            self._ports.metrics.retry(RETRY_HEDGE)
            self._begin(sample_id)

    def _begin(self, sample_id: SampleId) -> None:
        avoid = self._tried.avoid(sample_id, self._attempts.values())
        serial = f"{self._life}.{next(self._numbers)}"
        name = f"{sample_name(self.declaration, sample_id)}#{serial}"
        if not self._ledger.start(sample_id, name):
            return
        task = asyncio.get_running_loop().create_task(self._async_attempt(sample_id, name, avoid))
        self._attempts[name] = Attempt(sample_id, self._clock.monotonic(), task)
        newest = self._read_limits().newest_version
        self._early[sample_id] = self._pace.versions_early(self.declaration.step, newest)
        task.add_done_callback(lambda done: self._end(name, done))

    def _end(self, name: str, task: asyncio.Task[None]) -> None:
        attempt = self._attempts.pop(name)
        if task.cancelled() or task.exception() is not None:
            if not task.cancelled():
                _LOGGER.error("sample_attempt_broke", sample_id=name, error=repr(task.exception()))
                self._tried.note_failed(attempt)
            # Without this a cancelled or broken attempt would hold its identity for ever.
            self._ledger.discard(attempt.sample_id, name, DiscardReason.FAILED)
        # Not `wake` first: the table wakes the trainer's steps in order, so that the room goes to
        # the one it waits for. Looked at first, a later step would take each place as it is freed
        # and leave none for the hedge or the repetition that the earlier one needs.
        self._on_freed()

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
            req, lambda upstream: self._note_upstream(name, upstream)
        )
        if isinstance(result, Err):
            self._fail(sample_id, name, result.unwrap_err())
            return
        completion = result.unwrap()
        if self._is_stale(completion):
            self._fail(sample_id, name, DispatchError(DiscardReason.STALE))
            return
        score = await self._async_score(req, name, completion)
        if score is None:
            self._fail(sample_id, name, DispatchError(DiscardReason.STALE))
            return
        self._keep(sample_id, name, completion, score)

    def _note_upstream(self, name: str, upstream: str) -> None:
        if name in self._attempts:
            self._attempts[name].upstream = upstream

    async def _async_score(
        self, req: SampleRequest, name: str, completion: Completion
    ) -> float | None:
        """Score a completion, however long the scorer is out; None when it became stale."""
        self._attempts[name].scoring = True
        sample = {ATTR_TEXT: completion.text, "identity": req.sample_id}
        return await async_score_patiently(
            self._ports.scorer,
            sample,
            self._clock,
            on_retry=lambda: self._ports.metrics.retry(RETRY_SCORER),
            wanted=lambda: not self._is_stale(completion),
        )

    def _keep(self, sample_id: SampleId, name: str, completion: Completion, score: float) -> None:
        outcome = self._ledger.finish(sample_id, name, completion, score)
        if outcome is not FinishOutcome.KEPT:
            self._ports.metrics.drop(DROP_SAMPLE + outcome.value)
            return
        self._tried.forget(sample_id)
        spent = self._clock.monotonic() - self._attempts[name].started
        self._durations.append(spent)
        tokens = sum(segment.tokens for segment in completion.segments)
        self._pace.on_sample(tokens, self.declaration.groups[sample_id.group].max_tokens, spent)
        self._failures = 0
        self._ready.set()

    def _fail(self, sample_id: SampleId, name: str, error: DispatchError) -> None:
        """Give up an attempt and pause the step: at once again would find the same fault.

        One engine that crashes fails all that ran on it. Counted one by one, fifteen attempts
        would take the pause to its longest and stall the trainer after a fault that is over, so
        an attempt that was begun before the last failure that counted pauses nothing again.
        """
        self._ledger.discard(sample_id, name, error.reason)
        self._tried.note_failed(self._attempts[name])
        _LOGGER.debug(
            "sample_failed",
            sample_id=name,
            upstream=self._attempts[name].upstream,
            reason=error.reason,
            detail=error.detail,
        )
        self._ports.metrics.retry(error.reason.value)
        now = self._clock.monotonic()
        # A refuser's word counts, up to the longest pause: an entry that has just started may name
        # a minute, and the trainer would stand idle beside engines that are free by then.
        pause = min(error.retry_after or timedelta(), BACKOFF_MOST)
        if self._attempts[name].started > self._failed_at:
            backoff = min(BACKOFF_START * 2 ** min(self._failures, 10), BACKOFF_MOST)
            pause = max(pause, backoff)
            self._failures += 1
            self._failed_at = now
        self._not_before = max(self._not_before, now + pause)

    def _is_stale(self, completion: Completion) -> bool:
        limits = self._read_limits()
        newest = max(limits.newest_version, self._trainer_version)
        return newest - completion.oldest_version > limits.staleness_bound

    def _is_quiet(self) -> bool:
        return not self._pulls and self._quiet_left() <= timedelta()

    def _quiet_left(self) -> timedelta:
        # A trainer that took the last batch of a step does not call for it again, so no cursor
        # ever covers that batch. Kept as long as a step in the making, the steps of a quick
        # trainer would fill the memory; one that lost the answer is back within seconds.
        quiet_after = self._quiet_after
        if self._handed_all:
            quiet_after = min(quiet_after, DONE_QUIET_AFTER)
        return self._called_at + quiet_after - self._clock.monotonic()

    def _next_look(self) -> timedelta:
        """Return how long nothing can happen by itself; a finished step waits for its trainer."""
        waits = [max(self._quiet_left(), HEDGE_INTERVAL)]
        if self._attempts:
            waits.append(HEDGE_INTERVAL)
        paused = self._not_before - self._clock.monotonic()
        if paused > timedelta() and self._ledger.startable(1):
            waits.append(paused)
        return min(waits)

    @staticmethod
    async def _async_wait(event: asyncio.Event, timeout: timedelta) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                await event.wait()

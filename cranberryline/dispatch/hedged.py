"""Retry and hedge a caller's idempotent request at several upstreams."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.decisions.hedging import HedgeBudget
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics

from .dispatch import Dispatcher
from .errors import Ran, Refusal, RefusalReason
from .model import CallerRequest, CollectingSink

__all__ = ["AttemptSink", "HedgedRequest", "RunTimes"]

STATUS_SERVER_ERROR = 500
# A rejected request was not run, so it does not count as an attempt. This limit ends the request if
# the service rejects everything.
_MAX_REJECTIONS = 3
_REJECTIONS = (RefusalReason.RETRIES_SPENT, RefusalReason.NO_UPSTREAM)


class RunTimes:
    """When a request may have begun to run: the starts of its attempts, without those not run."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._starts: list[timedelta] = []

    @property
    def first(self) -> timedelta | None:
        """Return the first start as a reading of `Clock.elapsed`, None if nothing has run."""
        return min(self._starts, default=None)

    def start(self) -> timedelta:
        """Record the start of an attempt and return it."""
        started = self._clock.elapsed()
        self._starts.append(started)
        return started

    def remove(self, started: timedelta) -> None:
        """Remove an attempt that certainly did not run."""
        self._starts.remove(started)


class AttemptSink(CollectingSink):
    """Store a response, its upstream and, if a clock is given, the start of its attempt."""

    def __init__(self, clock: Clock | None = None, runs: RunTimes | None = None) -> None:
        super().__init__()
        self.upstream = ""
        self.sent_at: timedelta | None = None
        self._clock = clock
        self._runs = runs
        self._started: timedelta | None = None

    def dispatched(self, upstream: str) -> None:
        """Store the upstream of the attempt and its start time."""
        self.upstream = upstream
        self.sent_at = None if self._clock is None else self._clock.monotonic()
        self._started = None if self._runs is None else self._runs.start()

    def not_run(self) -> None:
        """Remove the last attempt from the runs of the request."""
        if self._runs is not None and self._started is not None:
            self._runs.remove(self._started)
            self._started = None


@attrs.define
class HedgedRequest:
    """Run one request until its first successful response.

    At most `max_attempts` attempts may have run it. A hedged copy is sent to a second upstream
    after `hedge_delay` without a response. `make` returns the request, given the ids of the
    upstreams to avoid. `failures` counts the responses of runs that failed (500). Other server errors
    do not count: a service that is slower than the time it was given has not failed.
    """

    dispatcher: Dispatcher
    budget: HedgeBudget
    metrics: Metrics
    make: Callable[[frozenset[str]], CallerRequest]
    hedge_delay: timedelta
    max_attempts: int
    failures: int = 0
    clock: Clock | None = None
    runs: RunTimes | None = None
    _running: dict[asyncio.Task[Result[str, Refusal]], AttemptSink] = attrs.field(factory=dict)
    _avoid: frozenset[str] = frozenset()
    _may_have_run: int = 0
    _rejections: int = 0
    _error_response: AttemptSink | None = None
    _refusal: Refusal | None = None

    async def async_run(self) -> Result[AttemptSink, Refusal]:
        """Return the first successful response, else the last server error, else the refusal."""
        try:
            return await self._async_run()
        finally:
            for task in self._running:
                task.cancel()

    async def _async_run(self) -> Result[AttemptSink, Refusal]:
        self._start()
        hedged = self.max_attempts < 2  # noqa: PLR2004 - one attempt leaves none to hedge
        while self._running:
            wait = None if hedged else self.hedge_delay.total_seconds()
            done, _ = await asyncio.wait(
                self._running, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                hedged = True
                if self._may_start() and self._may_hedge() and self.budget.spend():
                    self.metrics.retry("hedge")
                    self._start()
                continue
            for task in done:
                response = self._process_result(task)
                if response is not None:
                    self.budget.earn()
                    return Ok(response)
            if not self._running and self._may_start() and self._should_retry():
                # The label of a retry after an error or rejection.
                self.metrics.retry("again")
                self._start()
        if self._error_response is not None:
            return Ok(self._error_response)
        return Err(self._final_refusal())

    def _start(self) -> None:
        self._avoid |= {sink.upstream for sink in self._running.values() if sink.upstream}
        sink = AttemptSink(self.clock, self.runs)
        work = self.dispatcher.async_run(self.make(self._avoid), sink)
        self._running[asyncio.ensure_future(work)] = sink

    def _may_start(self) -> bool:
        running = len(self._running)
        return self._may_have_run + running < self.max_attempts

    def _may_hedge(self) -> bool:
        """Return whether the request may be hedged.

        A copy of a request that crashes its upstream would crash a second one.
        """
        return not self.dispatcher.may_crash_upstream(self.make(frozenset()))

    def _should_retry(self) -> bool:
        """Return whether another upstream could succeed after the latest result."""
        if self._refusal is None:
            return self._error_response is not None
        if self._rejections > _MAX_REJECTIONS:
            return False
        return self._refusal.ran is not Ran.NO or self._refusal.reason in _REJECTIONS

    def _process_result(self, task: "asyncio.Task[Result[str, Refusal]]") -> AttemptSink | None:
        sink = self._running.pop(task)
        if sink.upstream:
            self._avoid |= {sink.upstream}
        outcome = task.result()
        if isinstance(outcome, Ok):
            self._may_have_run += 1
            if sink.status < STATUS_SERVER_ERROR:
                return sink
            self.failures += sink.status == STATUS_SERVER_ERROR
            self._error_response, self._refusal = sink, None
            return None
        refusal = outcome.unwrap_err()
        if refusal.ran is Ran.NO:
            self._rejections += 1
        else:
            self._may_have_run += 1
        self._refusal = refusal
        return None

    def _final_refusal(self) -> Refusal:
        """Return the refusal for the request as a whole."""
        refusal = self._refusal or Refusal(RefusalReason.NO_UPSTREAM)
        return refusal.after_possible_run(self._may_have_run > 0)

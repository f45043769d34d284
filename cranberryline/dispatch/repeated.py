"""Send a caller's idempotent request to several upstreams, in turn or beside each other."""

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

__all__ = ["AttemptSink", "RepeatedRequest"]

STATUS_SERVER_ERROR = 500
# An upstream that turns a request away has not run it, so that costs no attempt; but a service that
# turns everything away must end in a refusal.
_MAX_TURNED_AWAY = 3
_TURNED_AWAY = (RefusalReason.RETRIES_SPENT, RefusalReason.NO_UPSTREAM)


class AttemptSink(CollectingSink):
    """Collect an answer and note who made it, and since when if a clock is given."""

    def __init__(self, clock: Clock | None = None) -> None:
        super().__init__()
        self.upstream = ""
        self.sent_at: timedelta | None = None
        self._clock = clock

    def dispatched(self, upstream: str) -> None:
        """Note the upstream of the attempt that begins."""
        self.upstream = upstream
        self.sent_at = None if self._clock is None else self._clock.monotonic()


@attrs.define
class RepeatedRequest:
    """One request until its first good answer, within the upstreams that it may run on.

    A copy goes to a second upstream after `copy_after` without an answer. `failures` counts the upstreams
    that answered with a failure of their own.
    """

    dispatcher: Dispatcher
    budget: HedgeBudget
    metrics: Metrics
    make: Callable[[frozenset[str]], CallerRequest]
    copy_after: timedelta
    max_attempts: int
    failures: int = 0
    clock: Clock | None = None
    _running: dict[asyncio.Task[Result[str, Refusal]], AttemptSink] = attrs.field(factory=dict)
    _avoid: frozenset[str] = frozenset()
    _may_have_run: int = 0
    _turned_away: int = 0
    _failed: AttemptSink | None = None
    _refusal: Refusal | None = None

    async def async_run(self) -> Result[AttemptSink, Refusal]:
        """Return the first answer that is no failure, else the last failure, else the refusal."""
        try:
            return await self._async_run()
        finally:
            for task in self._running:
                task.cancel()

    async def _async_run(self) -> Result[AttemptSink, Refusal]:
        self._start()
        hedged = self.max_attempts < 2  # noqa: PLR2004 - one attempt leaves none for a copy
        while self._running:
            wait = None if hedged else self.copy_after.total_seconds()
            done, _ = await asyncio.wait(
                self._running, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                hedged = True
                if self._may_start() and self._may_copy() and self.budget.spend():
                    self.metrics.retry("hedge")
                    self._start()
                continue
            for task in done:
                answer = self._take(task)
                if answer is not None:
                    self.budget.earn()
                    return Ok(answer)
            if not self._running and self._may_start() and self._worth_another():
                self.metrics.retry("again")
                self._start()
        if self._failed is not None:
            return Ok(self._failed)
        return Err(self._final_refusal())

    def _start(self) -> None:
        self._avoid |= {sink.upstream for sink in self._running.values() if sink.upstream}
        sink = AttemptSink(self.clock)
        work = self.dispatcher.async_run(self.make(self._avoid), sink)
        self._running[asyncio.ensure_future(work)] = sink

    def _may_start(self) -> bool:
        under_way = len(self._running)
        return self._may_have_run + under_way < self.max_attempts

    def _may_copy(self) -> bool:
        """Tell whether a copy may go out: beside a run that crashes its upstream it takes another one along."""
        return not self.dispatcher.suspects(self.make(frozenset()))

    def _worth_another(self) -> bool:
        """Tell whether another upstream could do better than what came last."""
        if self._refusal is None:
            return self._failed is not None
        if self._turned_away > _MAX_TURNED_AWAY:
            return False
        return self._refusal.ran is not Ran.NO or self._refusal.reason in _TURNED_AWAY

    def _take(self, task: "asyncio.Task[Result[str, Refusal]]") -> AttemptSink | None:
        sink = self._running.pop(task)
        if sink.upstream:
            self._avoid |= {sink.upstream}
        outcome = task.result()
        if isinstance(outcome, Ok):
            self._may_have_run += 1
            if sink.status < STATUS_SERVER_ERROR:
                return sink
            self.failures += 1
            self._failed, self._refusal = sink, None
            return None
        refusal = outcome.unwrap_err()
        if refusal.ran is Ran.NO:
            self._turned_away += 1
        else:
            self._may_have_run += 1
        self._refusal = refusal
        return None

    def _final_refusal(self) -> Refusal:
        """Return the refusal for all attempts."""
        refusal = self._refusal or Refusal(RefusalReason.NO_UPSTREAM)
        return refusal.behind_runs(self._may_have_run > 0)

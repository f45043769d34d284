"""Hold the upstream's requests: let them wait for a place, run, be withdrawn or stopped."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

from result import Err

from cranberryline.configs.const import DEFAULT_CONCURRENCY
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.requests import CancelOutcome, RequestKey, SideBook, SubmitOutcome
from cranberryline.transport.model import Failed, Submit

from .errors import FailReason, RunnerReason
from .execution import Execution, tell_not_run
from .model import Held, Reply
from .stream import AnswerStream

__all__ = ["Runner"]


class Runner:
    """Hold this upstream's requests; nothing else reaches the upstream."""

    def __init__(
        self,
        clock: Clock,
        execution: Execution,
        metrics: Metrics,
        book: SideBook,
        concurrency: int = DEFAULT_CONCURRENCY,
    ) -> None:
        self.concurrency = concurrency
        self.book = book
        self._clock = clock
        self._execution = execution
        self._metrics = metrics
        self._seq = itertools.count()
        self._queue: list[Held] = []
        self._held: dict[RequestKey, Held] = {}

    @property
    def queued_tokens(self) -> int:
        """Count the tokens of the requests that are held."""
        return sum(held.msg.tokens for held in self._held.values())

    def set_concurrency(self, concurrency: int) -> None:
        """Change how many requests may run at once; what runs goes on."""
        self.concurrency = concurrency
        self._start_next()

    def submit(
        self,
        key: RequestKey,
        msg: Submit,
        reply: Reply,
        may_go: Callable[[], bool] | None = None,
    ) -> None:
        """Take a request, or vouch at once that it will not run; `may_go` is asked before it runs."""
        now = self._clock.monotonic()
        deadline = now + timedelta(milliseconds=msg.budget_ms)
        taken = self.book.submit(key, msg.incarnation, deadline, msg.idempotent, now)
        if isinstance(taken, Err):
            tell_not_run(msg.id, taken.unwrap_err().value, reply, self._metrics)
            return
        outcome = taken.unwrap()
        if outcome is SubmitOutcome.FORGOTTEN:
            reply(Failed(msg.id, FailReason.FORGOTTEN.value, "unknown"))
        if outcome is not SubmitOutcome.QUEUED:
            return
        held = Held(key, msg, reply, deadline, next(self._seq), AnswerStream(msg.id, reply), may_go)
        self._held[key] = held
        heapq.heappush(self._queue, held)
        self._start_next()
        if held.task is None:
            loop = asyncio.get_running_loop()
            held.timer = loop.call_later(msg.budget_ms / 1000, self._expire, key)

    def withdraw(self, key: RequestKey) -> str:
        """Take a request back if it has not been started; a late Submit of it is refused."""
        outcome = self.book.withdraw(key)
        held = self._held.get(key)
        if held is not None and held.task is None:
            self._drop(key)
        return outcome.value

    def cancel(self, key: RequestKey) -> None:
        """Stop a request that waits, or that runs and may be stopped."""
        outcome = self.book.cancel(key)
        if outcome is CancelOutcome.DROPPED:
            self._drop(key)
        elif outcome is CancelOutcome.STOP:
            self._stop(key)

    def grant(self, key: RequestKey, size: int) -> None:
        """Allow more bytes of an answer."""
        held = self._held.get(key)
        if held is not None:
            held.stream.grant(size)

    def connection_lost(self, connection: str) -> None:
        """Let go of what an entry that has gone was waiting for."""
        lost = self.book.lose(connection)
        for key in lost.dropped:
            self._drop(key)
        for key, held in self._held.items():
            if key.connection == connection:
                # Nobody grants more any more; a run that must end would wait for room for ever.
                held.stream.discard()
        for key in lost.cancel:
            self._stop(key)

    def drain(self) -> None:
        """Refuse what has not been started, and everything that comes."""
        for key in self.book.drain():
            held = self._held[key]
            self._drop(key)
            tell_not_run(held.msg.id, RunnerReason.DRAINING.value, held.reply, self._metrics)

    def end(self) -> None:
        """Refuse what has not been started, and stop what runs: its upstream is no more.

        Other than `cancel`, this stops calls that are not idempotent too; nobody works on them, and
        their entries are told that they may have run. Told here: a run that is stopped before its first
        step would never say a word, and its caller would wait for the whole of its time.
        """
        self.drain()
        for held in list(self._held.values()):
            self._metrics.fail(FailReason.UPSTREAM_RESTARTED.value)
            held.reply(Failed(held.msg.id, FailReason.UPSTREAM_RESTARTED.value, "unknown"))
            self._stop(held.key)

    async def async_wait_idle(self) -> None:
        """Return when nothing runs any more."""
        while tasks := [held.task for held in self._held.values() if held.task is not None]:
            await asyncio.wait(tasks)

    def _expire(self, key: RequestKey) -> None:
        """Give a request that waited too long its final answer at once."""
        held = self._held.get(key)
        if held is not None and self.book.refuse(key):
            self._drop(key)
            tell_not_run(held.msg.id, RunnerReason.DEADLINE.value, held.reply, self._metrics)

    def _drop(self, key: RequestKey) -> None:
        held = self._held.pop(key, None)
        if held is not None:
            held.stop_timer()

    def _stop(self, key: RequestKey) -> None:
        held = self._held.get(key)
        if held is not None and held.task is not None:
            held.task.cancel()

    def _start_next(self) -> None:
        while self._queue and self.book.running < self.concurrency:
            held = heapq.heappop(self._queue)
            if self._held.get(held.key) is not held:
                continue
            if not self.book.start(held.key, self._clock.monotonic()):
                self._expire(held.key)
                continue
            held.stop_timer()
            held.task = asyncio.get_running_loop().create_task(self._execution.async_run(held))
            held.task.add_done_callback(lambda _, key=held.key: self._ended(key))

    def _ended(self, key: RequestKey) -> None:
        self._held.pop(key, None)
        self.book.finish(key)
        self._start_next()

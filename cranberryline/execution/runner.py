"""Queue and run the requests of one upstream with limited concurrency."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

from result import Err

from cranberryline.configs.const import DEFAULT_CONCURRENCY
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.response_memory import ByteHolding
from cranberryline.requests import CancelOutcome, RequestKey, RequestRegistry, SubmitOutcome
from cranberryline.transport.model import Failed, Submit

from .errors import FailReason, RunnerReason
from .execution import Execution, send_not_run
from .model import Held, Reply
from .stream import ResponseStream

__all__ = ["Runner"]


class Runner:
    """Queue, start, withdraw and cancel the requests of one upstream.

    All requests to the upstream pass through one runner. `book` decides which of them may run.
    `on_ended` is called after a run has left its slot.
    """

    def __init__(
        self,
        clock: Clock,
        execution: Execution,
        metrics: Metrics,
        book: RequestRegistry,
        concurrency: int = DEFAULT_CONCURRENCY,
    ) -> None:
        self.concurrency = concurrency
        self.book = book
        self.on_ended: Callable[[], None] = lambda: None
        self._clock = clock
        self._execution = execution
        self._metrics = metrics
        self._sequence = itertools.count()
        self._queue: list[Held] = []
        self._requests: dict[RequestKey, Held] = {}

    @property
    def queued_tokens(self) -> int:
        """Return the total tokens of the requests that are queued or running."""
        return sum(request.msg.tokens for request in self._requests.values())

    @property
    def unsent(self) -> int:
        """Return how many requests have not been sent to the upstream."""
        return sum(not request.sent for request in self._requests.values())

    def set_concurrency(self, concurrency: int) -> None:
        """Change how many requests may run at once; running requests continue."""
        self.concurrency = concurrency
        self._start_queued()

    def submit(
        self,
        key: RequestKey,
        msg: Submit,
        reply: Reply,
        is_eligible: Callable[[], bool] | None = None,
        room: ByteHolding | None = None,
    ) -> None:
        """Queue a request and start it when concurrency allows, or send a refusal at once.

        `is_eligible` is called directly before the request is sent to the upstream; if it returns
        False, the request is refused instead. `room` is released when the request has ended.
        """
        if not self._accept(key, msg, reply, is_eligible, room) and room is not None:
            room.release()

    def _accept(
        self,
        key: RequestKey,
        msg: Submit,
        reply: Reply,
        is_eligible: Callable[[], bool] | None,
        room: ByteHolding | None,
    ) -> bool:
        """Queue a request if the registry accepts it; return whether it did."""
        now = self._clock.monotonic()
        deadline = now + timedelta(milliseconds=msg.budget_ms)
        accepted = self.book.submit(key, msg.incarnation, deadline, msg.idempotent, now)
        if isinstance(accepted, Err):
            send_not_run(msg.id, accepted.unwrap_err().value, reply, self._metrics)
            return False
        outcome = accepted.unwrap()
        if outcome is SubmitOutcome.FORGOTTEN:
            reply(Failed(msg.id, FailReason.FORGOTTEN.value, "unknown"))
        if outcome is not SubmitOutcome.QUEUED:
            return False
        request = Held(
            key,
            msg,
            reply,
            deadline,
            next(self._sequence),
            ResponseStream(msg.id, reply),
            is_eligible,
            room=room,
        )
        self._requests[key] = request
        heapq.heappush(self._queue, request)
        self._start_queued()
        if request.task is None:
            loop = asyncio.get_running_loop()
            request.timer = loop.call_later(msg.budget_ms / 1000, self._expire, key)
        return True

    def withdraw(self, key: RequestKey) -> str:
        """Remove a request that has not started; a Submit that arrives later is refused."""
        outcome = self.book.withdraw(key)
        request = self._requests.get(key)
        if request is not None and request.task is None:
            self._remove(key)
        return outcome.value

    def cancel(self, key: RequestKey) -> None:
        """Remove a queued request, or stop a running one that is idempotent."""
        outcome = self.book.cancel(key)
        if outcome is CancelOutcome.DROPPED:
            self._remove(key)
        elif outcome is CancelOutcome.STOP:
            self._stop(key)

    def extend_window(self, key: RequestKey, size: int) -> None:
        """Allow `size` more bytes of a response to be sent."""
        request = self._requests.get(key)
        if request is not None:
            request.stream.extend_window(size)

    def connection_lost(self, connection: str) -> None:
        """Handle the loss of the connection to an entry.

        Drop its queued requests and stop its idempotent ones. The others run to their end, and
        their responses are discarded.
        """
        lost = self.book.remove_connection(connection)
        for key in lost.dropped:
            self._remove(key)
        for key, request in self._requests.items():
            if key.connection == connection:
                # Nobody extends the window any more; a run that must finish would block forever.
                request.stream.discard()
        for key in lost.cancel:
            self._stop(key)

    def drain(self) -> None:
        """Refuse all queued and all future requests."""
        for key in self.book.drain():
            request = self._requests[key]
            self._remove(key)
            send_not_run(request.msg.id, RunnerReason.DRAINING.value, request.reply, self._metrics)

    def abort_all(self) -> None:
        """Refuse queued requests and stop running ones, because the upstream process is gone.

        Unlike `cancel`, this also stops requests that are not idempotent. Senders are informed here
        that these may have run: a task that is cancelled before its first step sends nothing, and
        its caller would wait until the deadline.
        """
        self.drain()
        for request in list(self._requests.values()):
            request.aborted = True
            self._metrics.fail(FailReason.UPSTREAM_RESTARTED.value)
            request.reply(Failed(request.msg.id, FailReason.UPSTREAM_RESTARTED.value, "unknown"))
            self._stop(request.key)

    async def async_wait_idle(self) -> None:
        """Wait until no request is running."""
        while tasks := [
            request.task for request in self._requests.values() if request.task is not None
        ]:
            await asyncio.wait(tasks)

    def _expire(self, key: RequestKey) -> None:
        """Refuse a queued request whose deadline has passed."""
        request = self._requests.get(key)
        if request is not None and self.book.refuse(key):
            self._remove(key)
            send_not_run(request.msg.id, RunnerReason.DEADLINE.value, request.reply, self._metrics)

    def _remove(self, key: RequestKey) -> None:
        request = self._requests.pop(key, None)
        if request is not None:
            request.stop_timer()
            request.release_body()

    def _stop(self, key: RequestKey) -> None:
        request = self._requests.get(key)
        if request is not None and request.task is not None:
            request.task.cancel()

    def _start_queued(self) -> None:
        while self._queue and self.book.running < self.concurrency:
            request = heapq.heappop(self._queue)
            if self._requests.get(request.key) is not request:
                continue
            if not self.book.start(request.key, self._clock.monotonic()):
                self._expire(request.key)
                continue
            request.stop_timer()
            request.task = asyncio.get_running_loop().create_task(
                self._execution.async_run(request)
            )
            request.task.add_done_callback(lambda _, key=request.key: self._on_run_ended(key))

    def _on_run_ended(self, key: RequestKey) -> None:
        self._remove(key)
        self.book.finish(key)
        self._start_queued()
        self.on_ended()

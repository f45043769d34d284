"""One attempt at one upstream: from the Submit to the whole answer, or to what became of it."""

import asyncio
from datetime import timedelta
from functools import partial

import attrs

from cranberryline.helpers.clock import Clock
from cranberryline.requests import (
    AttemptBroken,
    AttemptNotRun,
    AttemptOutcome,
    AttemptUnknown,
    EntryAttempt,
    Ran,
    WithdrawOutcome,
)
from cranberryline.transport import Exchange, Lost, UpstreamLink
from cranberryline.transport.model import (
    Cancel,
    Chunk,
    End,
    Failed,
    Head,
    Message,
    NotRun,
    Submit,
    Withdraw,
    Withdrawn,
)

from .model import AnswerSink, CallerRequest

__all__ = ["AttemptTrace", "CallerLeft", "async_attempt"]

# A busy side process answers a withdrawal within one turn of its loop; past this its silence is
# what the caller is told, as `unknown`.
_WITHDRAW_TIMEOUT = timedelta(milliseconds=500)
_CREDIT_STEP = 64 * 1024
_NOT_CONNECTED = "not_connected"


class CallerLeft(Exception):  # noqa: N818 - the event, not a fault of ours
    """Raise when the caller closed its connection."""


@attrs.define
class AttemptTrace:
    """What is noted of an attempt besides its outcome: when its answer began, on the monotonic clock."""

    answered_at: timedelta | None = None


async def async_attempt(
    peer: UpstreamLink,
    req: CallerRequest,
    sink: AnswerSink,
    clock: Clock,
    trace: AttemptTrace | None = None,
) -> AttemptOutcome:
    """Run a request at one upstream and hand its answer to the sink."""
    eligible = req.eligible
    may_go = None if eligible is None else partial(eligible, peer.vm_id)
    exchange = peer.open(lambda rid, life: _make_submit(rid, life, req, clock), req.tokens, may_go)
    if exchange is None:
        return AttemptNotRun(_NOT_CONNECTED)
    runner = _AttemptRunner(exchange, req, sink, clock, trace or AttemptTrace())
    try:
        return await runner.async_follow()
    except CallerLeft:
        return await runner.async_abandon("caller_left")
    except asyncio.CancelledError:
        # The caller has gone, so nobody needs the answer to the withdrawal.
        exchange.send(Withdraw(exchange.id))
        runner.cancel_if_repeatable()
        raise
    finally:
        exchange.close()


def _make_submit(rid: int, life: str, req: CallerRequest, clock: Clock) -> Submit:
    budget = req.deadline - clock.monotonic()
    return Submit(
        id=rid,
        incarnation=life,
        service=req.service,
        method=req.method,
        path=req.path,
        headers=req.headers,
        body=req.body,
        budget_ms=max(int(budget / timedelta(milliseconds=1)), 0),
        priority=int(req.caller_class),
        idempotent=req.idempotent,
        key=req.key,
        tokens=req.tokens,
    )


class _AttemptRunner:
    """Feed an attempt's aggregate from its exchange, and the sink from both."""

    def __init__(
        self,
        exchange: Exchange,
        req: CallerRequest,
        sink: AnswerSink,
        clock: Clock,
        trace: AttemptTrace,
    ) -> None:
        self._trace = trace
        self._exchange = exchange
        self._req = req
        self._sink = sink
        self._clock = clock
        self._attempt = EntryAttempt(req.idempotent)
        self._uncredited = 0

    async def async_follow(self) -> AttemptOutcome:
        """Take the answer's messages until there is an outcome."""
        while (outcome := self._attempt.outcome) is None:
            msg = await self._exchange.async_next(self._req.deadline - self._clock.monotonic())
            if msg is None:
                return await self.async_abandon("deadline")
            await self._async_take(msg)
        if isinstance(outcome, AttemptUnknown | AttemptBroken):
            self.cancel_if_repeatable()
        return outcome

    async def async_abandon(self, reason: str) -> AttemptOutcome:
        """Give up on a request, and learn whether it was run before saying anything about it.

        A refusal that only means "we stopped waiting" may cross with the dispatch at the side
        process: the caller would read "not run" while the upstream runs it. Only a confirmed
        withdrawal counts.
        """
        if self._attempt.withdraw():
            self._exchange.send(Withdraw(self._exchange.id))
            await self._async_await_withdrawal(reason)
        self._attempt.on_withdraw_timeout(reason)
        self.cancel_if_repeatable()
        return self._attempt.outcome or AttemptUnknown(reason)

    def cancel_if_repeatable(self) -> None:
        """Stop an idempotent run whose answer nobody awaits; the other kind runs to its end."""
        if self._req.idempotent:
            self._exchange.send(Cancel(self._exchange.id))

    async def _async_await_withdrawal(self, reason: str) -> None:
        give_up_at = self._clock.monotonic() + _WITHDRAW_TIMEOUT
        while self._attempt.withdrawing:
            left = give_up_at - self._clock.monotonic()
            msg = await self._exchange.async_next(left) if left > timedelta() else None
            if msg is None:
                return
            if isinstance(msg, Withdrawn):
                self._attempt.on_withdrawn(WithdrawOutcome(msg.outcome), reason)
            elif isinstance(msg, NotRun | Lost):
                await self._async_take(msg)

    async def _async_take(self, msg: Message) -> None:
        if isinstance(msg, Head):
            await self._async_take_head(msg)
        elif isinstance(msg, Chunk):
            await self._async_take_chunk(msg)
        elif isinstance(msg, End):
            self._attempt.on_end(msg.chunks)
        elif isinstance(msg, NotRun):
            self._attempt.on_not_run(msg.reason, timedelta(milliseconds=msg.retry_after_ms))
        elif isinstance(msg, Failed):
            self._attempt.on_failed(msg.reason, Ran(msg.ran))
        elif isinstance(msg, Lost):
            self._attempt.on_connection_lost()

    async def _async_take_head(self, msg: Head) -> None:
        if not self._attempt.on_head(msg.status):
            return
        self._trace.answered_at = self._clock.monotonic()
        if await self._sink.async_head(msg.status, msg.headers):
            self._attempt.mark_forwarded()

    async def _async_take_chunk(self, msg: Chunk) -> None:
        if not self._attempt.on_chunk(msg.seq):
            return
        if not self._sink.can_restart:
            self._attempt.mark_forwarded()
        await self._sink.async_chunk(msg.data, last=self._exchange.ends_next)
        self._uncredited += len(msg.data)
        if self._uncredited >= _CREDIT_STEP:
            self._exchange.peer.grant(self._exchange.id, self._uncredited)
            self._uncredited = 0

"""One attempt to run a request at one upstream, from its submission to its outcome."""

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

from .model import CallerRequest, ResponseSink

__all__ = ["AttemptTrace", "CallerDisconnected", "async_attempt"]

# A side process under load replies to a withdrawal within one iteration of its event loop. If it
# does not reply in this time, the caller is told that the request may have run (`unknown`).
_WITHDRAW_TIMEOUT = timedelta(milliseconds=500)
_CREDIT_STEP_BYTES = 64 * 1024
_STATUS_MULTIPLE_CHOICES = 300
_NOT_CONNECTED = "not_connected"


class CallerDisconnected(Exception):  # noqa: N818 - a normal event, not an error
    """Raise when the caller closed its connection."""


@attrs.define
class AttemptTrace:
    """Timing of an attempt; `response_started_at` is on the monotonic clock."""

    response_started_at: timedelta | None = None


async def async_attempt(
    link: UpstreamLink,
    req: CallerRequest,
    sink: ResponseSink,
    clock: Clock,
    trace: AttemptTrace | None = None,
) -> AttemptOutcome:
    """Run a request at one upstream and write its response to the sink."""
    may_send = partial(req.may_send_to, link.vm_id) if req.conditional else None
    exchange = link.open(
        lambda request_id, incarnation: _make_submit(request_id, incarnation, req, clock),
        req.tokens,
        may_send,
    )
    if exchange is None:
        return AttemptNotRun(_NOT_CONNECTED)
    runner = _AttemptRunner(exchange, req, sink, clock, trace or AttemptTrace())
    try:
        return await runner.async_receive_response()
    except CallerDisconnected:
        return await runner.async_withdraw("caller_left")
    except asyncio.CancelledError:
        # The caller has disconnected, so the result of the withdrawal is not needed.
        exchange.send(Withdraw(exchange.id))
        runner.cancel_if_idempotent()
        raise
    finally:
        exchange.close()


def _make_submit(request_id: int, incarnation: str, req: CallerRequest, clock: Clock) -> Submit:
    budget = req.deadline - clock.monotonic()
    return Submit(
        id=request_id,
        incarnation=incarnation,
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
    """Feed an exchange's messages to the attempt's state machine, and its response to the sink."""

    def __init__(
        self,
        exchange: Exchange,
        req: CallerRequest,
        sink: ResponseSink,
        clock: Clock,
        trace: AttemptTrace,
    ) -> None:
        self._trace = trace
        self._exchange = exchange
        self._req = req
        self._sink = sink
        self._clock = clock
        self._attempt = EntryAttempt(req.idempotent)
        self._uncredited_bytes = 0
        # A refusal or an error is no beginning of a response.
        self._started = False

    async def async_receive_response(self) -> AttemptOutcome:
        """Process the response's messages until there is an outcome."""
        while (outcome := self._attempt.outcome) is None:
            deadline = self._req.deadline if self._started else self._req.start_deadline
            msg = await self._exchange.async_next(deadline - self._clock.monotonic())
            if msg is None:
                return await self.async_withdraw("deadline")
            await self._async_handle(msg)
        if isinstance(outcome, AttemptUnknown | AttemptBroken):
            self.cancel_if_idempotent()
        return outcome

    async def async_withdraw(self, reason: str) -> AttemptOutcome:
        """Withdraw the request and return an outcome that says whether it was run.

        A timeout here may coincide with the start of the request at the side process, so the
        timeout alone does not prove that the request was not run. Only a confirmed withdrawal does.
        """
        if self._attempt.withdraw():
            self._exchange.send(Withdraw(self._exchange.id))
            await self._async_await_withdrawal(reason)
        self._attempt.on_withdraw_timeout(reason)
        self.cancel_if_idempotent()
        return self._attempt.outcome or AttemptUnknown(reason)

    def cancel_if_idempotent(self) -> None:
        """Cancel an idempotent run whose response is not needed; other runs are left to finish."""
        if self._req.idempotent:
            self._exchange.send(Cancel(self._exchange.id))

    async def _async_await_withdrawal(self, reason: str) -> None:
        timeout_at = self._clock.monotonic() + _WITHDRAW_TIMEOUT
        while self._attempt.withdrawing:
            remaining = timeout_at - self._clock.monotonic()
            msg = await self._exchange.async_next(remaining) if remaining > timedelta() else None
            if msg is None:
                return
            if isinstance(msg, Withdrawn):
                self._attempt.on_withdrawn(WithdrawOutcome(msg.outcome), reason)
            elif isinstance(msg, NotRun | Lost):
                await self._async_handle(msg)

    async def _async_handle(self, msg: Message) -> None:
        if isinstance(msg, Head):
            await self._async_handle_head(msg)
        elif isinstance(msg, Chunk):
            await self._async_handle_chunk(msg)
        elif isinstance(msg, End):
            self._attempt.on_end(msg.chunks)
        elif isinstance(msg, NotRun):
            self._attempt.on_not_run(msg.reason, timedelta(milliseconds=msg.retry_after_ms))
        elif isinstance(msg, Failed):
            self._attempt.on_failed(msg.reason, Ran(msg.ran))
        elif isinstance(msg, Lost):
            self._attempt.on_connection_lost()

    async def _async_handle_head(self, msg: Head) -> None:
        if not self._attempt.on_head(msg.status):
            return
        self._trace.response_started_at = self._clock.monotonic()
        self._started = msg.status < _STATUS_MULTIPLE_CHOICES
        if await self._sink.async_head(msg.status, msg.headers):
            self._attempt.mark_forwarded()

    async def _async_handle_chunk(self, msg: Chunk) -> None:
        if not self._attempt.on_chunk(msg.seq):
            return
        if not self._sink.can_restart:
            self._attempt.mark_forwarded()
        await self._sink.async_chunk(msg.data, last=self._exchange.ends_next)
        self._uncredited_bytes += len(msg.data)
        if self._uncredited_bytes >= _CREDIT_STEP_BYTES:
            self._exchange.peer.grant(self._exchange.id, self._uncredited_bytes)
            self._uncredited_bytes = 0

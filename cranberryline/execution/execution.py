"""Run one request at the upstream and report whether it ran."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import attrs
from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason, UpstreamCut
from cranberryline.ports.model import PlainServicePort, UpstreamBody, UpstreamRequest
from cranberryline.requests import fingerprint
from cranberryline.requests.errors import ClaimReason, ClaimRefused
from cranberryline.requests.model import ClaimOutcome
from cranberryline.transport.model import Failed, NotRun

from .claims import ClaimGrant, ClaimService, recorded_outcome
from .errors import FailReason, RunnerReason
from .gate import OpenGate, SendGate
from .model import Held, Reply

__all__ = ["Execution", "send_not_run"]

# A refusal concerns this upstream only, and the entry tries others first. The delay applies to a
# caller whose request all upstreams refused.
_RETRY_AFTER = timedelta(seconds=1)

HEADER_REPLAYED = ("Idempotency-Replayed", "true")

_NOT_RUN_BY_SEND_ERROR = {
    PlatformReason.REFUSED: RunnerReason.UPSTREAM_REFUSED,
    PlatformReason.START_OVER: RunnerReason.UPSTREAM_REPLACED,
}
_NOT_RUN_BY_CLAIM = {
    ClaimReason.LOG_UNAVAILABLE: RunnerReason.LOG_UNAVAILABLE,
    ClaimReason.KEY_REUSED_WITH_OTHER_BODY: RunnerReason.KEY_REUSED,
}
_FAILED_BY_CLAIM = {
    ClaimReason.IN_PROGRESS: FailReason.CLAIM_IN_PROGRESS,
    ClaimReason.UNKNOWN: FailReason.CLAIM_UNKNOWN,
}


def send_not_run(
    request_id: int,
    reason: str,
    reply: Reply,
    metrics: Metrics,
    retry_after: timedelta = _RETRY_AFTER,
) -> None:
    """Guarantee to the entry that a request was not run and never will be."""
    metrics.refuse(reason)
    reply(NotRun(request_id, reason, int(retry_after / timedelta(milliseconds=1))))


@attrs.define
class Execution:
    """Run requests at an upstream, with a claim for those that have an idempotency key.

    `gate` and `leaving` are asked directly before the first byte of a request is written; `leaving`
    returns whether the upstream gets no new requests any more.
    """

    clock: Clock
    metrics: Metrics
    upstream: PlainServicePort
    claims: ClaimService
    gate: SendGate = attrs.field(factory=OpenGate)
    leaving: Callable[[], bool] = lambda: False

    async def async_run(self, request: Held) -> None:
        """Run a request; every path out of this method sends the entry a final message."""
        try:
            if request.msg.key and not request.msg.idempotent:
                await self._async_run_keyed(request)
                return
            await self._async_run_once(request, None)
        except asyncio.CancelledError:
            if not request.aborted:
                self._send_failed(request, FailReason.CANCELLED, "unknown")
            raise

    async def _async_run_keyed(self, request: Held) -> None:
        msg = request.msg
        digest = fingerprint(msg.method, msg.path, msg.body)
        claimed = await self.claims.async_claim(msg.key, digest, self._time_left(request))
        if isinstance(claimed, Err):
            self._send_claim_refused(request, claimed.unwrap_err())
            return
        grant = claimed.unwrap()
        # Checked directly before the run: if the process was paused after the claim, the right to
        # run may have expired, and others may have been told that the key's outcome is unknown.
        if not grant.may_start(self.clock.monotonic()):
            await self.claims.async_abandon(grant)
            send_not_run(msg.id, RunnerReason.DEADLINE.value, request.reply, self.metrics)
            return
        try:
            await self._async_run_once(request, grant)
        finally:
            self.claims.end_without_outcome(grant)

    async def _async_run_once(self, request: Held, grant: ClaimGrant | None) -> None:
        reason = self._reason_not_to_send(request)
        if reason is not None:
            # The event loop may have been busy for any time since the request left the queue.
            if grant is not None:
                await self.claims.async_abandon(grant)
            send_not_run(request.msg.id, reason.value, request.reply, self.metrics)
            return
        sent = await self._async_send(request)
        if isinstance(sent, Err):
            await self._async_handle_send_error(request, sent.unwrap_err(), grant)
            return
        if grant is not None:
            request.stream.record_body()
        outcome = await self._async_forward(request, sent.unwrap())
        if grant is not None and outcome is not None:
            await self.claims.async_settle(grant, outcome)

    async def _async_send(self, request: Held) -> Result[UpstreamBody, PlatformError]:
        """Send a request by recent knowledge of its upstream.

        That may have become too old while a connection was made, which takes up to a second.
        """
        msg = request.msg
        may_send = partial(self._may_send, request)
        req = UpstreamRequest(msg.method, msg.path, msg.headers, msg.body, may_send=may_send)
        request.sent = True
        while True:
            if not self.gate.is_current():
                await self.gate.async_confirm()
            sent = await self.upstream.async_send(req, self._time_left(request))
            if isinstance(sent, Ok) or sent.unwrap_err().reason is not PlatformReason.WITHHELD:
                return sent
            if self._reason_not_to_send(request) is not None or not self._time_left(request):
                return sent

    def _may_send(self, request: Held) -> bool:
        if self._reason_not_to_send(request) is not None or not self.gate.is_current():
            return False
        self.gate.record_send()
        return True

    def _reason_not_to_send(self, request: Held) -> RunnerReason | None:
        """Return why the upstream may not get a request any more, None if it may."""
        if self.leaving():
            return RunnerReason.DRAINING
        if request.is_eligible is not None and not request.is_eligible():
            return RunnerReason.NO_LONGER_WANTED
        return None

    async def _async_handle_send_error(
        self, request: Held, error: PlatformError, grant: ClaimGrant | None
    ) -> None:
        if not error.may_have_run:
            if grant is not None:
                await self.claims.async_abandon(grant)
            reason = _NOT_RUN_BY_SEND_ERROR.get(error.reason, RunnerReason.UPSTREAM_UNREACHABLE)
            if error.reason is PlatformReason.WITHHELD:
                reason = self._reason_not_to_send(request) or RunnerReason.DEADLINE
            send_not_run(request.msg.id, reason.value, request.reply, self.metrics)
            return
        timed_out = error.reason is PlatformReason.TIMEOUT
        reason = FailReason.UPSTREAM_TIMEOUT if timed_out else FailReason.UPSTREAM_ERROR
        self._send_failed(request, reason, "unknown")

    async def _async_forward(self, request: Held, body: UpstreamBody) -> ClaimOutcome | None:
        """Forward the response; return the outcome to record if the response was complete."""
        request.release_body()
        try:
            async with asyncio.timeout(self._time_left(request).total_seconds()):
                await request.stream.async_forward(body)
            return recorded_outcome(
                body.head.status, body.head.headers, request.stream.recorded_body
            )
        except UpstreamCut:
            self._send_failed(request, FailReason.UPSTREAM_CUT, "yes")
        except TimeoutError:
            self._send_failed(request, FailReason.UPSTREAM_TIMEOUT, "unknown")
        finally:
            await body.async_close()
        return None

    def _send_claim_refused(self, request: Held, refused: ClaimRefused) -> None:
        if refused.reason is ClaimReason.RECORDED:
            self._replay(request, refused.outcome)
            return
        not_run = _NOT_RUN_BY_CLAIM.get(refused.reason)
        if not_run is not None:
            wait = refused.retry_after or _RETRY_AFTER
            send_not_run(request.msg.id, not_run.value, request.reply, self.metrics, wait)
            return
        # This call did not run, but the call that holds the key may have run. The caller regards
        # both as one request, so "not run" would be wrong.
        self._send_failed(request, _FAILED_BY_CLAIM[refused.reason], "unknown")

    def _replay(self, request: Held, outcome: ClaimOutcome | None) -> None:
        """Send the response that was recorded for the idempotency key."""
        if outcome is None or outcome.body is None:
            self._send_failed(request, FailReason.OUTCOME_NOT_KEPT, "yes")
            return
        request.stream.send_complete(
            outcome.status, (*outcome.headers, HEADER_REPLAYED), outcome.body
        )

    def _send_failed(self, request: Held, reason: FailReason, ran: str) -> None:
        """Report a failure; `ran` tells whether the request ran: "yes" or "unknown"."""
        self.metrics.fail(reason.value)
        request.reply(Failed(request.msg.id, reason.value, ran))

    def _time_left(self, request: Held) -> timedelta:
        return max(request.deadline - self.clock.monotonic(), timedelta())

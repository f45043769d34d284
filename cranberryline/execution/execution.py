"""Run one request at the upstream and say truthfully what became of it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs
from result import Err

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason, UpstreamCut
from cranberryline.ports.model import PlainServicePort, UpstreamBody, UpstreamRequest
from cranberryline.requests import fingerprint
from cranberryline.requests.errors import ClaimReason, ClaimRefused
from cranberryline.requests.model import ClaimOutcome
from cranberryline.transport.model import Failed, NotRun

from .claims import ClaimService, Granted, recorded_outcome
from .errors import FailReason, RunnerReason
from .model import Held, Reply

__all__ = ["Execution", "tell_not_run"]

# A refusal here means that this one upstream cannot take it; the entry has others to ask, so the
# pause is only for a caller that finds all of them so.
_RETRY_AFTER = timedelta(seconds=1)

HEADER_REPLAYED = ("Idempotency-Replayed", "true")

_NOT_SENT = {
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


def tell_not_run(
    request_id: int,
    reason: str,
    reply: Reply,
    metrics: Metrics,
    retry_after: timedelta = _RETRY_AFTER,
) -> None:
    """Vouch to the entry that a request was not run."""
    metrics.refuse(reason)
    reply(NotRun(request_id, reason, int(retry_after / timedelta(milliseconds=1))))


@attrs.define
class Execution:
    """What it takes to run requests: the upstream, and the claims of those with a key."""

    clock: Clock
    metrics: Metrics
    upstream: PlainServicePort
    claims: ClaimService
    may_start: Callable[[], bool] = lambda: True

    async def async_run(self, held: Held) -> None:
        """Run a request; every way out of here tells the entry one end."""
        try:
            if held.msg.key and not held.msg.idempotent:
                await self._async_run_keyed(held)
                return
            await self._async_run_once(held, None)
        except asyncio.CancelledError:
            self._tell_failed(held, FailReason.CANCELLED, "unknown")
            raise

    async def _async_run_keyed(self, held: Held) -> None:
        msg = held.msg
        digest = fingerprint(msg.method, msg.path, msg.body)
        claimed = await self.claims.async_claim(msg.key, digest, self._budget(held))
        if isinstance(claimed, Err):
            self._tell_claim_refused(held, claimed.unwrap_err())
            return
        grant = claimed.unwrap()
        # Asked directly before the run: a process that was paused since the claim has lost the
        # right to it, and its key has been told as unknown to others.
        if not grant.may_start(self.clock.monotonic()):
            await self.claims.async_abandon(grant)
            tell_not_run(msg.id, RunnerReason.DEADLINE.value, held.reply, self.metrics)
            return
        try:
            await self._async_run_once(held, grant)
        finally:
            self.claims.leave_unknown(grant)

    async def _async_run_once(self, held: Held, grant: Granted | None) -> None:
        msg = held.msg
        if held.may_go is not None and not held.may_go():
            # Between its turn and here the loop may have been busy for any time.
            tell_not_run(msg.id, RunnerReason.NO_LONGER_WANTED.value, held.reply, self.metrics)
            return
        req = UpstreamRequest(msg.method, msg.path, msg.headers, msg.body)
        sent = await self.upstream.async_send(req, self._budget(held))
        if isinstance(sent, Err):
            await self._async_tell_unsent(held, sent.unwrap_err(), grant)
            return
        if grant is not None:
            held.stream.keep_body()
        outcome = await self._async_stream(held, sent.unwrap())
        if grant is not None and outcome is not None:
            await self.claims.async_settle(grant, outcome)

    async def _async_tell_unsent(
        self, held: Held, error: PlatformError, grant: Granted | None
    ) -> None:
        if not error.may_have_run:
            if grant is not None:
                await self.claims.async_abandon(grant)
            reason = _NOT_SENT.get(error.reason, RunnerReason.UPSTREAM_UNREACHABLE)
            tell_not_run(held.msg.id, reason.value, held.reply, self.metrics)
            return
        timed_out = error.reason is PlatformReason.TIMEOUT
        reason = FailReason.UPSTREAM_TIMEOUT if timed_out else FailReason.UPSTREAM_ERROR
        self._tell_failed(held, reason, "unknown")

    async def _async_stream(self, held: Held, body: UpstreamBody) -> ClaimOutcome | None:
        """Pass the answer on; return it if it was whole."""
        try:
            async with asyncio.timeout(self._budget(held).total_seconds()):
                await held.stream.async_send_all(body)
            return recorded_outcome(body.head.status, body.head.headers, held.stream.kept)
        except UpstreamCut:
            self._tell_failed(held, FailReason.UPSTREAM_CUT, "yes")
        except TimeoutError:
            self._tell_failed(held, FailReason.UPSTREAM_TIMEOUT, "unknown")
        finally:
            await body.async_close()
        return None

    def _tell_claim_refused(self, held: Held, refused: ClaimRefused) -> None:
        if refused.reason is ClaimReason.RECORDED:
            self._replay(held, refused.outcome)
            return
        not_run = _NOT_RUN_BY_CLAIM.get(refused.reason)
        if not_run is not None:
            wait = refused.retry_after or _RETRY_AFTER
            tell_not_run(held.msg.id, not_run.value, held.reply, self.metrics, wait)
            return
        # This call did not run, but the one that holds the key may have: for the caller both are
        # one request, so "not run" would be a false promise.
        self._tell_failed(held, _FAILED_BY_CLAIM[refused.reason], "unknown")

    def _replay(self, held: Held, outcome: ClaimOutcome | None) -> None:
        """Answer with what was recorded for the key."""
        if outcome is None or outcome.body is None:
            self._tell_failed(held, FailReason.OUTCOME_NOT_KEPT, "yes")
            return
        held.stream.send_whole(outcome.status, (*outcome.headers, HEADER_REPLAYED), outcome.body)

    def _tell_failed(self, held: Held, reason: FailReason, ran: str) -> None:
        self.metrics.fail(reason.value)
        held.reply(Failed(held.msg.id, reason.value, ran))

    def _budget(self, held: Held) -> timedelta:
        return max(held.deadline - self.clock.monotonic(), timedelta())

"""Take a request from admission to its whole answer: wait, route, attempt, retry."""

import asyncio
import contextlib
from collections import deque
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.requests import (
    AttemptBroken,
    AttemptDone,
    AttemptNotRun,
    AttemptOutcome,
    AttemptUnknown,
)

from .attempt import async_attempt
from .errors import Ran, Refusal, RefusalReason
from .model import AnswerSink, CallerRequest
from .peers import SidePeer

__all__ = ["Dispatcher", "PeerTable"]

_MAX_ATTEMPTS = 3
_QUEUE_TIMEOUT = timedelta(seconds=5)
_RETRY_AFTER = timedelta(seconds=1)


class PeerTable:
    """The side processes that this entry is connected to, by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, dict[str, SidePeer]] = {}

    def add(self, service: str, peer: SidePeer) -> None:
        """Add a peer of a service."""
        self._by_service.setdefault(service, {})[peer.vm_id] = peer

    def remove(self, vm_id: str) -> None:
        """Forget a peer."""
        for peers in self._by_service.values():
            peers.pop(vm_id, None)

    def knows(self, service: str) -> bool:
        """Tell whether a service has ever had an upstream here."""
        return service in self._by_service

    def usable(self, service: str) -> list[SidePeer]:
        """Return the peers of a service that take new work."""
        return [peer for peer in self._by_service.get(service, {}).values() if peer.usable]

    def all(self) -> list[SidePeer]:
        """Return every peer."""
        return [peer for peers in self._by_service.values() for peer in peers.values()]


class Dispatcher:
    """Give each request an upstream, in turn, and its caller one final answer."""

    def __init__(self, clock: Clock, peers: PeerTable, concurrency: int = 8) -> None:
        self._clock = clock
        self._peers = peers
        self._concurrency = concurrency
        self._waiting: deque[asyncio.Future[None]] = deque()
        self.in_flight = 0

    async def async_run(self, req: CallerRequest, sink: AnswerSink) -> Result[None, Refusal]:
        """Run a request to its end; the error is final and says whether it ran."""
        self.in_flight += 1
        try:
            return await self._async_run(req, sink)
        finally:
            self.in_flight -= 1
            self.wake()

    async def _async_run(self, req: CallerRequest, sink: AnswerSink) -> Result[None, Refusal]:
        avoid = set(req.avoid)
        outcome: AttemptOutcome = AttemptNotRun("")
        for _ in range(_MAX_ATTEMPTS):
            peer = await self._async_wait_for_peer(req, avoid)
            if peer is None:
                return Err(Refusal(RefusalReason.OVERLOADED, retry_after=timedelta(seconds=1)))
            outcome = await async_attempt(peer, req, sink, self._clock)
            self.wake()
            if isinstance(outcome, AttemptDone):
                return Ok(None)
            if not _may_repeat(outcome, req):
                break
            avoid.add(peer.vm_id)
        return Err(_refusal_of(outcome))

    async def _async_wait_for_peer(self, req: CallerRequest, avoid: set[str]) -> SidePeer | None:
        give_up_at = min(req.deadline, self._clock.monotonic() + _QUEUE_TIMEOUT)
        while True:
            peer = self._choose(req, avoid)
            if peer is not None:
                return peer
            left = (give_up_at - self._clock.monotonic()).total_seconds()
            if left <= 0:
                return None
            fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(fut)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(fut, left)

    def _choose(self, req: CallerRequest, avoid: set[str]) -> SidePeer | None:
        free = [p for p in self._peers.usable(req.service) if p.outstanding < self._concurrency]
        wanted = [p for p in free if p.vm_id not in avoid] or free
        return min(wanted, key=lambda p: p.outstanding, default=None)

    def wake(self) -> None:
        """Let one waiting request look for an upstream again."""
        while self._waiting:
            fut = self._waiting.popleft()
            if not fut.done():
                fut.set_result(None)
                return


def _may_repeat(outcome: AttemptOutcome, req: CallerRequest) -> bool:
    if isinstance(outcome, AttemptNotRun):
        return True
    return isinstance(outcome, AttemptUnknown) and req.idempotent


def _refusal_of(outcome: AttemptOutcome) -> Refusal:
    if isinstance(outcome, AttemptNotRun):
        reason = _reason(outcome.reason, RefusalReason.RETRIES_SPENT)
        return Refusal(reason, Ran.NO, outcome.retry_after or _RETRY_AFTER, outcome.reason)
    if isinstance(outcome, AttemptUnknown):
        reason = _reason(outcome.reason, RefusalReason.UPSTREAM_FAILED)
        return Refusal(reason, outcome.ran, detail=outcome.reason)
    if isinstance(outcome, AttemptBroken):
        return Refusal(RefusalReason.UPSTREAM_FAILED, Ran.YES, None, outcome.reason, begun=True)
    raise AssertionError("a whole answer is no refusal")


def _reason(text: str, default: RefusalReason) -> RefusalReason:
    known = RefusalReason.__members__.get(text.upper())
    return default if known is None else known

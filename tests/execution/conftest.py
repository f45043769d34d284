"""Fakes of the upstream and of the claim service for tests of the runner."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Any

import pytest
from result import Err, Ok, Result

from cranberryline.execution.claims import ClaimGrant
from cranberryline.execution.execution import Execution
from cranberryline.execution.runner import Runner
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason, UpstreamCut
from cranberryline.ports.model import (
    PlainServicePort,
    UpstreamBody,
    UpstreamHead,
    UpstreamRequest,
)
from cranberryline.requests import RequestKey, RequestRegistry
from cranberryline.requests.errors import ClaimReason, ClaimRefused
from cranberryline.requests.model import ClaimOutcome
from cranberryline.transport.model import Message, Submit

INCARNATION = "life-1"
CONNECTION = "entry-1-0"


class FakeBody(UpstreamBody):
    """A response body in parts; it can end early, or wait for `gate` before each part."""

    def __init__(self, parts: list[bytes], cut: bool, gate: asyncio.Event) -> None:
        self._parts = parts
        self._cut = cut
        self._gate = gate
        self.parts_read = 0
        self.closed = False

    @property
    def head(self) -> UpstreamHead:
        return UpstreamHead(200, (("Content-Type", "text/plain"),))

    async def chunks(self) -> AsyncIterator[bytes]:
        for part in self._parts:
            await self._gate.wait()
            self.parts_read += 1
            yield part
        if self._cut:
            raise UpstreamCut("ended early")

    async def async_close(self) -> None:
        self.closed = True


class FakeUpstream(PlainServicePort):
    """Record the requests and answer each with `parts`, cut off early, or with `error`.

    Response parts are sent only while `gate` is set.
    """

    def __init__(self) -> None:
        self.runs: list[UpstreamRequest] = []
        self.parts = [b"whole"]
        self.cut = False
        self.error: PlatformError | None = None
        self.gate = asyncio.Event()
        self.gate.set()
        self.bodies: list[FakeBody] = []

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        if self.error is not None:
            return Err(self.error)
        self.runs.append(req)
        body = FakeBody(self.parts, self.cut, self.gate)
        self.bodies.append(body)
        return Ok(body)


class FakeClaims:
    """Grant every claim, or refuse with `refused`; record how each granted claim ends."""

    def __init__(self) -> None:
        self.refused: ClaimRefused | None = None
        self.start_before = timedelta.max
        self.results: list[str] = []

    async def async_claim(
        self, key: str, digest: str, budget: timedelta
    ) -> Result[ClaimGrant, ClaimRefused]:
        if self.refused is not None:
            return Err(self.refused)
        return Ok(ClaimGrant(key, "claim-1", self.start_before))

    async def async_settle(self, claim: ClaimGrant, outcome: ClaimOutcome) -> None:
        self.results.append(f"settled {outcome.status}")

    async def async_abandon(self, claim: ClaimGrant) -> None:
        self.results.append("abandoned")

    def end_without_outcome(self, claim: ClaimGrant) -> None:
        self.results.append("left")


class RunnerHarness:
    """A runner with fakes, and the messages that it sent."""

    def __init__(self) -> None:
        self.upstream = FakeUpstream()
        self.claims = FakeClaims()
        self.metrics = Metrics()
        clock = SystemClock()
        book = RequestRegistry(INCARNATION)
        book.open(CONNECTION)
        execution = Execution(clock, self.metrics, self.upstream, self.claims)  # type: ignore[arg-type]
        self.runner = Runner(clock, execution, self.metrics, book, concurrency=1)
        self.replies: list[Message] = []

    def key(self, request_id: int) -> RequestKey:
        return RequestKey(CONNECTION, request_id)

    def submit(self, request_id: int, **changes: Any) -> None:
        """Submit a request, with changes to the default fields."""
        fields = {
            "id": request_id,
            "incarnation": INCARNATION,
            "service": "dossiers",
            "method": "POST",
            "path": "/",
            "headers": (),
            "body": b"",
            "budget_ms": 2000,
            "priority": 0,
            "idempotent": False,
            "key": "",
            "tokens": 0,
            **changes,
        }
        self.runner.submit(self.key(request_id), Submit(**fields), self.replies.append)

    def replies_to(self, request_id: int) -> list[Message]:
        """Return the messages about one request."""
        return [msg for msg in self.replies if getattr(msg, "id", None) == request_id]

    async def async_idle(self) -> None:
        """Wait until no request is running and its messages are sent."""
        await self.runner.async_wait_idle()
        await asyncio.sleep(0)


@pytest.fixture
def unreachable() -> PlatformError:
    """Return the error of a connection that could not be opened."""
    return PlatformError(PlatformReason.UNREACHABLE, may_have_run=False)


@pytest.fixture
def refused_claims() -> dict[ClaimReason, ClaimRefused]:
    """Return a refused claim for each reason."""
    return {reason: ClaimRefused(reason) for reason in ClaimReason}

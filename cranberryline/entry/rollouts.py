"""The entry's implementations of the ports of samples: dispatch, limits, step owners and scores."""

import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from cranberryline.configs import ConfigFold
from cranberryline.decisions import rendezvous
from cranberryline.dispatch.dispatch import Dispatcher, ServiceCatalog
from cranberryline.dispatch.errors import Refusal
from cranberryline.dispatch.model import CallerClass, CallerRequest, ResponseSink
from cranberryline.helpers.clock import Clock
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import ScorePort
from cranberryline.samples.attribution import CompletionStream
from cranberryline.samples.errors import DiscardReason
from cranberryline.samples.model import Completion
from cranberryline.samples.ports import (
    DispatchError,
    RolloutConfig,
    RolloutLimits,
    SampleDispatch,
    SampleRequest,
)

from .completions import CHARS_PER_TOKEN, PREFIX_CHARS
from .mesh import EntryMesh
from .proxy import HEADER_REQUEST_ID
from .trainers import StepOwnerPort

__all__ = ["FoldRolloutConfig", "MeshStepOwners", "SampleDispatcher", "ZeroScorer"]

_COMPLETIONS_PATH = "/v1/completions"
STATUS_OK = 200


class _SampleSink(ResponseSink):
    """Attributes the tokens of a streamed completion to weight versions."""

    can_restart = True

    def __init__(self, on_dispatched: Callable[[str], None]) -> None:
        self._on_dispatched = on_dispatched
        self.status = 0
        self.stream = CompletionStream()

    def dispatched(self, upstream: str) -> None:
        """Report the upstream that generates the sample."""
        self._on_dispatched(upstream)

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Start a new completion; the partial stream of an earlier attempt is discarded."""
        self.status = status
        self.stream = CompletionStream()
        return False

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Parse the next part of the stream."""
        self.stream.feed(data)


class SampleDispatcher(SampleDispatch):
    """Queues completions in the dispatcher with all other requests, in class `trainer`."""

    def __init__(self, dispatcher: Dispatcher, catalog: ServiceCatalog, clock: Clock) -> None:
        self._dispatcher = dispatcher
        self._catalog = catalog
        self._clock = clock

    async def async_complete(
        self, req: SampleRequest, on_dispatched: Callable[[str], None]
    ) -> Result[Completion, DispatchError]:
        """Return a complete, attributed completion; cancelling the call cancels the request."""
        if not self._catalog.has_service(req.service):
            return Err(DispatchError(DiscardReason.FAILED, "the service is not configured"))
        sink = _SampleSink(on_dispatched)
        result = await self._dispatcher.async_run(self._request(req), sink)
        if isinstance(result, Err):
            refusal: Refusal = result.unwrap_err()
            detail = f"{refusal.reason.value} {refusal.detail}"
            return Err(DispatchError(DiscardReason.FAILED, detail, refusal.retry_after))
        if sink.status != STATUS_OK:
            return Err(DispatchError(DiscardReason.FAILED, f"status {sink.status}"))
        finished = sink.stream.finish(result.unwrap())
        if isinstance(finished, Err):
            error = finished.unwrap_err()
            return Err(DispatchError(error.reason, error.detail))
        return Ok(finished.unwrap())

    def _request(self, req: SampleRequest) -> CallerRequest:
        spec = self._catalog.spec(req.service)
        body = {
            "model": spec.model or req.service,
            "prompt": req.prompt,
            "max_tokens": req.max_tokens,
            "stream": True,
        }
        timeout = timedelta(seconds=spec.timeout_seconds)
        return CallerRequest(
            service=req.service,
            method="POST",
            path=_COMPLETIONS_PATH,
            headers=(
                ("Content-Type", "application/json"),
                (HEADER_REQUEST_ID, f"{req.sample_id}#{req.attempt}"),
            ),
            body=json.dumps(body).encode(),
            deadline=self._clock.monotonic() + timeout,
            caller=req.sample_id.partition("/")[0],
            caller_class=CallerClass.TRAINER,
            idempotent=True,
            tokens=req.max_tokens + len(req.prompt) // CHARS_PER_TOKEN,
            # The samples of a group share their whole prompt.
            prefix_key=req.prompt[:PREFIX_CHARS],
            prefix_tokens=len(req.prompt) // CHARS_PER_TOKEN,
            avoid=req.avoid,
            request_id=req.sample_id,
        )


class FoldRolloutConfig(RolloutConfig):
    """Reads the limits of trainers from the current configuration."""

    def __init__(self, fold: ConfigFold) -> None:
        self._fold = fold

    def limits(self, trainer: str, service: str) -> RolloutLimits | None:
        """Return a trainer's limits, or None when the trainer or its service is not configured."""
        spec = self._fold.trainer(trainer)
        if spec is None or spec.service != service or self._fold.service(service) is None:
            return None
        weights = self._fold.weights(service)
        newest = 0 if weights is None else weights[0].version
        return RolloutLimits(newest, spec.staleness_bound, spec.max_in_flight, spec.freshness)


class MeshStepOwners(StepOwnerPort):
    """Chooses the owner of a trainer's steps by rendezvous hashing over the live entries.

    Two entries with different member lists may both consider themselves the owner. The trainer's
    cursor still prevents lost and duplicate samples; only the work of one entry is wasted.
    """

    def __init__(self, vm_id: str, mesh: EntryMesh, live: Callable[[], list[str]]) -> None:
        self._vm_id = vm_id
        self._mesh = mesh
        self._live = live

    def find_owner(self, trainer: str) -> str | None:
        """Return the owner's entry id, or None when it is this entry."""
        owner = rendezvous.rank(trainer, {*self._live(), self._vm_id})[0]
        return None if owner == self._vm_id else owner

    async def async_forward(
        self, entry_id: str, method: str, path: str, body: bytes, timeout: timedelta
    ) -> Result[tuple[int, bytes], Any]:
        """Forward a call; an error means that the owner did not respond."""
        result = await self._mesh.async_request(entry_id, method, path, body, timeout)
        return result.map(lambda reply: (reply.status, reply.body))


class ZeroScorer(ScorePort):
    """Scores every sample with 0, used when no scorer is configured."""

    async def async_score(self, sample: dict[str, Any]) -> Result[float, PlatformError]:
        """Return 0."""
        return Ok(0.0)

"""Declares steps and pulls samples for trainers, locally or at the entry that owns the step."""

import abc
import asyncio
import json
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import attrs
from result import Err, Result

from cranberryline.helpers.problem import problem_body
from cranberryline.samples.const import (
    CURSOR_START,
    DEFAULT_PULL_SAMPLES,
    MAX_PULL_SAMPLES,
    MAX_PULL_WAIT,
    MAX_WEIGHT_VERSION,
)
from cranberryline.samples.declaration import read_declaration
from cranberryline.samples.errors import CursorError, CursorReason, StepRefusal
from cranberryline.samples.model import Batch, Pull, Sample, StepDeclaration, sample_name
from cranberryline.samples.ports import RolloutConfig
from cranberryline.samples.table import StepTable

__all__ = [
    "StepOwnerPort",
    "TrainerResponse",
    "TrainerService",
]

ATTR_CURSOR = "cursor"
ATTR_MAX = "max"
ATTR_STEP = "step"
ATTR_VERSION = "version"
ATTR_WAIT_S = "wait_s"

REASON_BAD_REQUEST = "bad_request"
REASON_NOT_CONFIGURED = "trainer_not_configured"
REASON_NOT_FOUND = "not_found"
REASON_STEP_UNKNOWN = "step_unknown"

MAX_STEP = 2**53
# A forwarded pull times out this long after the owner should have responded.
FORWARD_TIMEOUT_MARGIN = timedelta(seconds=2)
DECLARE_FORWARD_TIMEOUT = timedelta(seconds=5)
RETRY_AFTER_FULL = timedelta(seconds=5)
RETRY_AFTER_STOPPING = timedelta(seconds=1)

_ALLOWED_CURSOR = "the text of the last next_cursor, or an empty text"
_STATUS_BY_CURSOR_REASON = {CursorReason.OTHER_STEP: 409}


class StepOwnerPort(abc.ABC):
    """Port that finds the entry that owns a trainer's steps and forwards calls to it."""

    @abc.abstractmethod
    def find_owner(self, trainer: str) -> str | None:
        """Return the owner's entry id, or None when it is this entry."""

    @abc.abstractmethod
    async def async_forward(
        self, entry_id: str, method: str, path: str, body: bytes, timeout: timedelta
    ) -> Result[tuple[int, bytes], Any]:
        """Forward a call; an error means that the owner did not respond."""


@attrs.frozen
class TrainerResponse:
    """A response to a trainer; `reason` is set only if the call was rejected."""

    status: int
    payload: dict[str, Any] = attrs.field(factory=dict)
    reason: str = ""
    title: str = ""
    detail: str = ""
    retry_after: timedelta | None = None

    def body(self) -> bytes:
        """Return the response body as JSON."""
        if self.reason:
            retry_after_s = self.retry_after.total_seconds() if self.retry_after else 0
            return problem_body(
                self.status,
                self.reason,
                self.title,
                detail=self.detail,
                retry_after_s=retry_after_s,
            )
        return json.dumps(self.payload).encode()


def _parse_response(status: int, body: bytes) -> TrainerResponse | None:
    """Parse the response of an owner; return None if it is malformed."""
    try:
        data = json.loads(body)
    except ValueError:
        return None
    if not isinstance(data, dict):
        return None
    if "reason" not in data:
        return TrainerResponse(status, data)
    retry_after_s = data.get("retry_after_s") or 0
    return TrainerResponse(
        status,
        reason=str(data["reason"]),
        title=str(data.get("title", "")),
        detail=str(data.get("detail", "")),
        retry_after=timedelta(seconds=retry_after_s) if retry_after_s else None,
    )


class TrainerService:
    """Handles the calls of trainers.

    Each step is owned by one entry. If the owner cannot be reached, any other entry can handle
    the call itself.
    """

    def __init__(self, table: StepTable, config: RolloutConfig, owners: StepOwnerPort) -> None:
        self._table = table
        self._config = config
        self._owners = owners
        self._pending_forwards: set[asyncio.Future[TrainerResponse | None]] = set()

    async def async_close(self) -> None:
        """Stop all steps, and respond to pending pulls, both local and forwarded ones.

        Waiting for a forwarded pull would delay the shutdown by up to the pull's wait, and closing
        its connection without a response would make the trainer treat this entry as failed. The
        trainer loses no samples, since it pulls again with the same cursor.
        """
        await self._table.async_close()
        for call in list(self._pending_forwards):
            call.cancel()

    async def async_declare(self, trainer: str, step: int, body: bytes) -> TrainerResponse:
        """Declare a step at its owner, or locally if the owner cannot be reached."""
        path = f"/trainers/{trainer}/steps/{step}"
        owner = self._owners.find_owner(trainer)
        if owner is not None:
            response = await self._async_forward(owner, "PUT", path, body, DECLARE_FORWARD_TIMEOUT)
            if response is not None:
                return response
        return self._declare_locally(trainer, step, body, owner is None)

    async def async_pull(self, trainer: str, body: bytes) -> TrainerResponse:
        """Pull samples from the owner of the step, or locally if it cannot be reached."""
        pull = parse_pull(body)
        if isinstance(pull, TrainerResponse):
            return pull
        owner = self._owners.find_owner(trainer)
        if owner is not None and not self._table.closed:
            path = f"/trainers/{trainer}/pull"
            timeout = pull.pull.wait + FORWARD_TIMEOUT_MARGIN
            call = self._async_forward(owner, "POST", path, body, timeout)
            response = await self._async_until_closed(call)
            if response is not None:
                return response
        return await self._async_pull_locally(trainer, pull, owner is None)

    async def async_serve_peer(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Handle a call that another entry forwarded, without forwarding it again.

        Two entries that disagree on the owner could otherwise forward a call to each other forever.
        """
        response = await self._async_serve_peer(method, path, body)
        return response.status, response.body()

    async def _async_serve_peer(self, method: str, path: str, body: bytes) -> TrainerResponse:
        parts = path.strip("/").split("/")
        match method, parts:
            case "PUT", ["trainers", trainer, "steps", step] if step.isdecimal():
                return self._declare_locally(trainer, int(step), body, is_owner=True)
            case "POST", ["trainers", trainer, "pull"]:
                pull = parse_pull(body)
                if isinstance(pull, TrainerResponse):
                    return pull
                return await self._async_pull_locally(trainer, pull, is_owner=True)
        return TrainerResponse(404, reason=REASON_NOT_FOUND, title="No such trainer's call")

    def _declare_locally(
        self, trainer: str, step: int, body: bytes, is_owner: bool
    ) -> TrainerResponse:
        if step > MAX_STEP:
            return _bad_request_response("step", f"a whole number up to {MAX_STEP}")
        data = _parse_json(body)
        parsed = read_declaration(trainer, step, data)
        if isinstance(parsed, Err):
            error = parsed.unwrap_err()
            return _bad_request_response(error.field, error.detail)
        declaration = parsed.unwrap()
        if self._config.limits(trainer, declaration.service) is None:
            return _not_configured_response(declaration)
        cursor = data.get(ATTR_CURSOR, CURSOR_START)
        if not isinstance(cursor, str):
            return _bad_request_response(ATTR_CURSOR, _ALLOWED_CURSOR)
        result = self._table.declare(declaration, is_owner, cursor)
        if isinstance(result, Err):
            return _step_error_response(result.unwrap_err())
        return TrainerResponse(200, {"trainer": trainer, "step": step, "samples": declaration.size})

    async def _async_pull_locally(
        self, trainer: str, pull: "PullCall", is_owner: bool
    ) -> TrainerResponse:
        if self._table.closed:
            return _step_error_response(StepRefusal.STOPPING)
        runner = self._table.find(trainer, pull.step, is_owner)
        if runner is None:
            return TrainerResponse(
                409,
                reason=REASON_STEP_UNKNOWN,
                title="This entry does not know the step",
                detail="declare the step again, then pull with the same cursor",
            )
        result = await runner.async_pull(pull.pull)
        if isinstance(result, Err):
            return _cursor_error_response(result.unwrap_err())
        return TrainerResponse(200, _batch_payload(runner.declaration, result.unwrap()))

    async def _async_until_closed(
        self, forward: Coroutine[Any, Any, TrainerResponse | None]
    ) -> TrainerResponse | None:
        """Wait for the owner's response; return None if this entry stops first."""
        call = asyncio.ensure_future(forward)
        self._pending_forwards.add(call)
        try:
            await asyncio.wait((call,))
        finally:
            call.cancel()
            self._pending_forwards.discard(call)
        return None if call.cancelled() else call.result()

    async def _async_forward(
        self, owner: str, method: str, path: str, body: bytes, timeout: timedelta
    ) -> TrainerResponse | None:
        """Return the owner's response, or None if it did not respond or is shutting down."""
        result = await self._owners.async_forward(owner, method, path, body, timeout)
        if isinstance(result, Err):
            return None
        response = _parse_response(*result.unwrap())
        if response is None or response.reason == StepRefusal.STOPPING.value:
            return None
        return response


@attrs.frozen
class PullCall:
    """A parsed pull request and the step that it refers to."""

    step: int
    pull: Pull


def parse_pull(body: bytes) -> PullCall | TrainerResponse:
    """Parse the body of a pull; on an invalid field, return the response that names it."""
    data = _parse_json(body)
    if not isinstance(data, dict):
        return _bad_request_response("body", "a JSON object")
    cursor, wait_s = data.get(ATTR_CURSOR, ""), data.get(ATTR_WAIT_S, 0)
    if not isinstance(cursor, str):
        return _bad_request_response(ATTR_CURSOR, _ALLOWED_CURSOR)
    max_wait_s = MAX_PULL_WAIT.total_seconds()
    if type(wait_s) not in (int, float) or not 0 <= wait_s <= max_wait_s:
        return _bad_request_response(ATTR_WAIT_S, f"seconds from 0 to {max_wait_s:g}")
    limit = data.get(ATTR_MAX, DEFAULT_PULL_SAMPLES)
    integers = (
        (ATTR_STEP, data.get(ATTR_STEP), 0, MAX_STEP),
        (ATTR_MAX, limit, 1, MAX_PULL_SAMPLES),
    )
    version = (ATTR_VERSION, data.get(ATTR_VERSION), 0, MAX_WEIGHT_VERSION)
    for name, value, minimum, maximum in (*integers, version):
        if type(value) is not int or not minimum <= value <= maximum:
            return _bad_request_response(name, f"a whole number from {minimum} to {maximum}")
    wait = timedelta(seconds=wait_s)
    return PullCall(data[ATTR_STEP], Pull(cursor, data[ATTR_VERSION], limit, wait))


def _parse_json(body: bytes) -> Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        return None


def _batch_payload(declaration: StepDeclaration, batch: Batch) -> dict[str, Any]:
    return {
        "cursor": batch.cursor,
        "next_cursor": batch.next_cursor,
        "samples": [_sample_payload(declaration, sample) for sample in batch.samples],
        "done": batch.done,
    }


def _sample_payload(declaration: StepDeclaration, sample: Sample) -> dict[str, Any]:
    completion = sample.completion
    return {
        "group": sample.id.group,
        "index": sample.id.index,
        "id": sample_name(declaration, sample.id),
        "text": completion.text,
        "score": sample.score,
        "segments": [
            {"weight_version": segment.weight_version, "tokens": segment.tokens}
            for segment in completion.segments
        ],
    }


def _bad_request_response(field: str, allowed: str) -> TrainerResponse:
    title = f"{field} is not valid"
    detail = f"allowed: {allowed}"
    return TrainerResponse(400, reason=REASON_BAD_REQUEST, title=title, detail=detail)


def _not_configured_response(declaration: StepDeclaration) -> TrainerResponse:
    return TrainerResponse(
        404,
        reason=REASON_NOT_CONFIGURED,
        title="No configuration in force for this trainer and service",
        detail=f"publish records for {declaration.trainer} and {declaration.service}",
    )


def _cursor_error_response(error: CursorError) -> TrainerResponse:
    status = _STATUS_BY_CURSOR_REASON.get(error.reason, 400)
    title = "The cursor is not one of this step"
    return TrainerResponse(status, reason=error.reason.value, title=title, detail=error.detail)


def _step_error_response(refusal: StepRefusal | CursorError) -> TrainerResponse:
    if isinstance(refusal, CursorError):
        return _cursor_error_response(refusal)
    if refusal is StepRefusal.STOPPING:
        title = "This entry stops"
        return TrainerResponse(
            503, reason=refusal.value, title=title, retry_after=RETRY_AFTER_STOPPING
        )
    if refusal is StepRefusal.TOO_MANY_STEPS:
        title = "This entry works on too many steps"
        return TrainerResponse(503, reason=refusal.value, title=title, retry_after=RETRY_AFTER_FULL)
    title = "The step was declared with other groups"
    return TrainerResponse(409, reason=refusal.value, title=title)

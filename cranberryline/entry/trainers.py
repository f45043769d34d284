"""Trainers' calls: declare a step, pull its samples, here or at the step's owner."""

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
    "OwnerPort",
    "TrainerAnswer",
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
# A forwarded call is given up this much after the owner should have answered it.
FORWARD_MARGIN = timedelta(seconds=2)
DECLARE_BUDGET = timedelta(seconds=5)
RETRY_AFTER_FULL = timedelta(seconds=5)
RETRY_AFTER_STOPPING = timedelta(seconds=1)

_ALLOWED_CURSOR = "the text of the last next_cursor, or an empty text"
_CURSOR_STATUS = {CursorReason.OTHER_STEP: 409}


class OwnerPort(abc.ABC):
    """Find the entry that owns a trainer's steps, and pass calls to it."""

    @abc.abstractmethod
    def owner_of(self, trainer: str) -> str | None:
        """Return the owner's entry id, or None when it is this entry."""

    @abc.abstractmethod
    async def async_forward(
        self, entry_id: str, method: str, path: str, body: bytes, budget: timedelta
    ) -> Result[tuple[int, bytes], Any]:
        """Pass a call on; an error means that the owner gave no answer."""


@attrs.frozen
class TrainerAnswer:
    """An answer to a trainer; `reason` is set on refusals."""

    status: int
    payload: dict[str, Any] = attrs.field(factory=dict)
    reason: str = ""
    title: str = ""
    detail: str = ""
    retry_after: timedelta | None = None

    def body(self) -> bytes:
        """Return the answer as JSON, for the entry that passed the call on."""
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


def _answer_from(status: int, body: bytes) -> TrainerAnswer | None:
    """Read an owner's answer; None when it is not one."""
    try:
        data = json.loads(body)
    except ValueError:
        return None
    if not isinstance(data, dict):
        return None
    if "reason" not in data:
        return TrainerAnswer(status, data)
    retry_after_s = data.get("retry_after_s") or 0
    return TrainerAnswer(
        status,
        reason=str(data["reason"]),
        title=str(data.get("title", "")),
        detail=str(data.get("detail", "")),
        retry_after=timedelta(seconds=retry_after_s) if retry_after_s else None,
    )


class TrainerService:
    """Answer trainers' calls; a step has one owner among the entries, and any can stand in."""

    def __init__(self, table: StepTable, config: RolloutConfig, owners: OwnerPort) -> None:
        self._table = table
        self._config = config
        self._owners = owners
        self._waiting: set[asyncio.Future[TrainerAnswer | None]] = set()

    async def async_close(self) -> None:
        """Stop all steps, and answer the pulls that wait: for samples here, or for their owner's answer.

        Waited for, a pull at another owner would hold a stop as long as it may wait, and closed without an
        answer this entry looks broken. The trainer asks again with the same cursor, so it loses nothing.
        """
        await self._table.async_close()
        for call in list(self._waiting):
            call.cancel()

    async def async_declare(self, trainer: str, step: int, body: bytes) -> TrainerAnswer:
        """Declare a step at its owner, or here when the owner can't be reached."""
        path = f"/trainers/{trainer}/steps/{step}"
        owner = self._owners.owner_of(trainer)
        if owner is not None:
            answer = await self._async_forward(owner, "PUT", path, body, DECLARE_BUDGET)
            if answer is not None:
                return answer
        return self._declare(trainer, step, body, owner is None)

    async def async_pull(self, trainer: str, body: bytes) -> TrainerAnswer:
        """Pull from a step's owner, or from here when the owner can't be reached."""
        pull = read_pull(body)
        if isinstance(pull, TrainerAnswer):
            return pull
        owner = self._owners.owner_of(trainer)
        if owner is not None and not self._table.closed:
            path = f"/trainers/{trainer}/pull"
            budget = pull.pull.wait + FORWARD_MARGIN
            call = self._async_forward(owner, "POST", path, body, budget)
            answer = await self._async_until_closed(call)
            if answer is not None:
                return answer
        return await self._async_pull_here(trainer, pull, owner is None)

    async def async_serve_peer(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer a call that another entry passed on; it is never passed on again.

        Two entries that disagree on the owner would otherwise pass a call to and fro.
        """
        answer = await self._async_serve_peer(method, path, body)
        return answer.status, answer.body()

    async def _async_serve_peer(self, method: str, path: str, body: bytes) -> TrainerAnswer:
        parts = path.strip("/").split("/")
        match method, parts:
            case "PUT", ["trainers", trainer, "steps", step] if step.isdecimal():
                return self._declare(trainer, int(step), body, owner=True)
            case "POST", ["trainers", trainer, "pull"]:
                pull = read_pull(body)
                if isinstance(pull, TrainerAnswer):
                    return pull
                return await self._async_pull_here(trainer, pull, owner=True)
        return TrainerAnswer(404, reason=REASON_NOT_FOUND, title="No such trainer's call")

    def _declare(self, trainer: str, step: int, body: bytes, owner: bool) -> TrainerAnswer:
        if step > MAX_STEP:
            return _bad_request("step", f"a whole number up to {MAX_STEP}")
        data = _json(body)
        read = read_declaration(trainer, step, data)
        if isinstance(read, Err):
            error = read.unwrap_err()
            return _bad_request(error.field, error.detail)
        declaration = read.unwrap()
        if self._config.limits(trainer, declaration.service) is None:
            return _not_configured(declaration)
        cursor = data.get(ATTR_CURSOR, CURSOR_START)
        if not isinstance(cursor, str):
            return _bad_request(ATTR_CURSOR, _ALLOWED_CURSOR)
        result = self._table.declare(declaration, owner, cursor)
        if isinstance(result, Err):
            return _refused_step(result.unwrap_err())
        return TrainerAnswer(200, {"trainer": trainer, "step": step, "samples": declaration.size})

    async def _async_pull_here(self, trainer: str, pull: "PullCall", owner: bool) -> TrainerAnswer:
        if self._table.closed:
            return _refused_step(StepRefusal.STOPPING)
        runner = self._table.find(trainer, pull.step, owner)
        if runner is None:
            return TrainerAnswer(
                409,
                reason=REASON_STEP_UNKNOWN,
                title="This entry does not know the step",
                detail="declare the step again, then pull with the same cursor",
            )
        result = await runner.async_pull(pull.pull)
        if isinstance(result, Err):
            return _refused_cursor(result.unwrap_err())
        return TrainerAnswer(200, _batch_payload(runner.declaration, result.unwrap()))

    async def _async_until_closed(
        self, work: Coroutine[Any, Any, TrainerAnswer | None]
    ) -> TrainerAnswer | None:
        """Wait for an owner's answer; None if this entry stops first."""
        call = asyncio.ensure_future(work)
        self._waiting.add(call)
        try:
            await asyncio.wait((call,))
        finally:
            call.cancel()
            self._waiting.discard(call)
        return None if call.cancelled() else call.result()

    async def _async_forward(
        self, owner: str, method: str, path: str, body: bytes, budget: timedelta
    ) -> TrainerAnswer | None:
        """Return an owner's answer; None when it gave none, or takes no more steps since it stops."""
        result = await self._owners.async_forward(owner, method, path, body, budget)
        if isinstance(result, Err):
            return None
        answer = _answer_from(*result.unwrap())
        if answer is None or answer.reason == StepRefusal.STOPPING.value:
            return None
        return answer


@attrs.frozen
class PullCall:
    """A pull as it came, with the step that it is about."""

    step: int
    pull: Pull


def read_pull(body: bytes) -> PullCall | TrainerAnswer:
    """Read the body of a pull, or return the refusal that names the wrong field."""
    data = _json(body)
    if not isinstance(data, dict):
        return _bad_request("body", "a JSON object")
    cursor, wait_s = data.get(ATTR_CURSOR, ""), data.get(ATTR_WAIT_S, 0)
    if not isinstance(cursor, str):
        return _bad_request(ATTR_CURSOR, _ALLOWED_CURSOR)
    most_wait = MAX_PULL_WAIT.total_seconds()
    if type(wait_s) not in (int, float) or not 0 <= wait_s <= most_wait:
        return _bad_request(ATTR_WAIT_S, f"seconds from 0 to {most_wait:g}")
    limit = data.get(ATTR_MAX, DEFAULT_PULL_SAMPLES)
    whole = ((ATTR_STEP, data.get(ATTR_STEP), 0, MAX_STEP), (ATTR_MAX, limit, 1, MAX_PULL_SAMPLES))
    version = (ATTR_VERSION, data.get(ATTR_VERSION), 0, MAX_WEIGHT_VERSION)
    for name, value, least, most in (*whole, version):
        if type(value) is not int or not least <= value <= most:
            return _bad_request(name, f"a whole number from {least} to {most}")
    wait = timedelta(seconds=wait_s)
    return PullCall(data[ATTR_STEP], Pull(cursor, data[ATTR_VERSION], limit, wait))


def _json(body: bytes) -> Any:
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


def _bad_request(field: str, allowed: str) -> TrainerAnswer:
    title = f"{field} is not valid"
    detail = f"allowed: {allowed}"
    return TrainerAnswer(400, reason=REASON_BAD_REQUEST, title=title, detail=detail)


def _not_configured(declaration: StepDeclaration) -> TrainerAnswer:
    return TrainerAnswer(
        404,
        reason=REASON_NOT_CONFIGURED,
        title="No configuration in force for this trainer and service",
        detail=f"publish records for {declaration.trainer} and {declaration.service}",
    )


def _refused_cursor(error: CursorError) -> TrainerAnswer:
    status = _CURSOR_STATUS.get(error.reason, 400)
    title = "The cursor is not one of this step"
    return TrainerAnswer(status, reason=error.reason.value, title=title, detail=error.detail)


def _refused_step(refusal: StepRefusal | CursorError) -> TrainerAnswer:
    if isinstance(refusal, CursorError):
        return _refused_cursor(refusal)
    if refusal is StepRefusal.STOPPING:
        title = "This entry stops"
        return TrainerAnswer(
            503, reason=refusal.value, title=title, retry_after=RETRY_AFTER_STOPPING
        )
    if refusal is StepRefusal.TOO_MANY_STEPS:
        title = "This entry works on too many steps"
        return TrainerAnswer(503, reason=refusal.value, title=title, retry_after=RETRY_AFTER_FULL)
    title = "The step was declared with other groups"
    return TrainerAnswer(409, reason=refusal.value, title=title)

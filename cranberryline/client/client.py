"""A trainer's client: declare a step, pull its samples, each exactly once, through any entry."""

import json
from collections import Counter
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

import attrs
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from cranberryline.helpers.clock import Clock, SystemClock

from .const import (
    ANSWER_MARGIN,
    BACKOFF_MOST,
    BACKOFF_START,
    CONNECT_TIMEOUT,
    DECLARE_TIMEOUT,
    DEFAULT_LIMIT,
    DEFAULT_WAIT,
    REASON_STEP_UNKNOWN,
)
from .errors import ClientError, ClientReason
from .model import Group, PulledBatch, ReceivedSample, read_batch
from .position import Position, TakeOutcome

__all__ = ["TrainerClient"]

STATUS_OK = 200
STATUS_TOO_MANY = 429
STATUS_SERVER_ERROR = 500
MAX_ANSWER_BYTES = 256 * 1024 * 1024


@attrs.frozen
class _Reply:
    status: int
    data: Any = None
    retry_after: timedelta | None = None

    @property
    def refusal(self) -> str:
        """Return the reason of a refusal."""
        return str(self.data.get("reason", "")) if isinstance(self.data, dict) else ""

    @property
    def worth_repeating(self) -> bool:
        """Return whether another entry, or the same one later, may answer better."""
        return self.status in (0, STATUS_TOO_MANY) or self.status >= STATUS_SERVER_ERROR


class TrainerClient:
    """Talk to whichever entry answers; the position is all that has to be kept.

    `dropped` counts the batches that were not taken, by reason.
    """

    def __init__(
        self,
        entries: Sequence[str],
        trainer: str,
        token: str = "",
        clock: Clock | None = None,
        http: AsyncHTTPClient | None = None,
    ) -> None:
        if not entries:
            raise ValueError("at least one entry's address is needed")
        self._entries = [entry.rstrip("/") for entry in entries]
        self._at = 0
        self._trainer = trainer
        self._token = token
        self._clock = clock or SystemClock()
        self._http = http or SimpleAsyncHTTPClient(
            force_instance=True, max_body_size=MAX_ANSWER_BYTES
        )
        self._declaration: dict[str, Any] | None = None
        self.position: Position | None = None
        self.dropped: Counter[str] = Counter()

    def set_version(self, version: int) -> None:
        """Note the trainer's own new weight version, also while a pull is out."""
        if self.position is not None:
            self.position.version = version

    async def async_declare(
        self,
        step: int,
        service: str,
        groups: Sequence[Group],
        version: int,
        cursor: str = "",
        budget: timedelta = timedelta(seconds=30),
    ) -> Result[None, ClientError]:
        """Declare a step, or take it up again at the cursor of a checkpoint."""
        self._declaration = {"service": service, "groups": [attrs.asdict(g) for g in groups]}
        self.position = Position(step, version, cursor)
        give_up_at = self._clock.monotonic() + budget
        pause = BACKOFF_START
        while True:
            reply = await self._async_declare_here()
            if reply.status == STATUS_OK:
                return Ok(None)
            if not reply.worth_repeating:
                return Err(_refused(reply))
            pause = await self._async_move_on(reply, pause)
            if self._clock.monotonic() >= give_up_at:
                return Err(ClientError(ClientReason.UNAVAILABLE, reply.refusal))

    async def async_pull(
        self,
        limit: int = DEFAULT_LIMIT,
        wait: timedelta = DEFAULT_WAIT,
        budget: timedelta = timedelta(seconds=60),
    ) -> Result[tuple[ReceivedSample, ...], ClientError]:
        """Return new samples and move on, or none when the step is done or the wait is over."""
        position = self.position
        if position is None:
            return Err(ClientError(ClientReason.NOT_DECLARED))
        give_up_at = self._clock.monotonic() + budget
        pause = BACKOFF_START
        while not position.done:
            reply, batch = await self._async_pull_here(position, limit, wait)
            if batch is not None and self._take(position, batch):
                return Ok(batch.samples)
            if batch is None:
                recovered = await self._async_recover(reply)
                if isinstance(recovered, ClientError):
                    return Err(recovered)
                reply = recovered
            if self._clock.monotonic() >= give_up_at:
                return Err(ClientError(ClientReason.UNAVAILABLE, reply.refusal))
            if reply.status != STATUS_OK:
                pause = await self._async_move_on(reply, pause)
        return Ok(())

    def close(self) -> None:
        """Let go of the connections."""
        self._http.close()

    async def _async_recover(self, reply: _Reply) -> _Reply | ClientError:
        """Declare the step again where it is not known; an error is final."""
        if reply.refusal == REASON_STEP_UNKNOWN:
            reply = await self._async_declare_here()
        if reply.worth_repeating or reply.status == STATUS_OK:
            return reply
        return _refused(reply)

    def _take(self, position: Position, batch: PulledBatch) -> bool:
        outcome = position.take(batch)
        if outcome is TakeOutcome.TAKEN:
            return True
        self.dropped[outcome.value] += 1
        return False

    async def _async_pull_here(
        self, position: Position, limit: int, wait: timedelta
    ) -> tuple[_Reply, PulledBatch | None]:
        version = position.version
        payload = {
            "step": position.step,
            "cursor": position.cursor,
            "version": version,
            "max": limit,
            "wait_s": wait.total_seconds(),
        }
        path = f"/trainers/{self._trainer}/pull"
        reply = await self._async_call("POST", path, payload, wait + ANSWER_MARGIN)
        if reply.status != STATUS_OK:
            return reply, None
        batch = read_batch(reply.data, version)
        if isinstance(batch, Err):
            return _Reply(0), None
        return reply, batch.unwrap()

    async def _async_declare_here(self) -> _Reply:
        if self.position is None:
            raise RuntimeError("no step is declared")
        path = f"/trainers/{self._trainer}/steps/{self.position.step}"
        payload = {**(self._declaration or {}), "cursor": self.position.cursor}
        return await self._async_call("PUT", path, payload, DECLARE_TIMEOUT)

    async def _async_move_on(self, reply: _Reply, pause: timedelta) -> timedelta:
        """Turn to the next entry; after a whole round without an answer, wait."""
        self._at = (self._at + 1) % len(self._entries)
        if reply.retry_after is not None:
            await self._clock.async_sleep(reply.retry_after)
            return pause
        await self._clock.async_sleep(pause)
        return min(pause * 2, BACKOFF_MOST)

    async def _async_call(self, method: str, path: str, payload: Any, timeout: timedelta) -> _Reply:
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        req = HTTPRequest(
            self._entries[self._at] + path,
            method=method,
            headers=headers,
            body=json.dumps(payload),
            connect_timeout=CONNECT_TIMEOUT.total_seconds(),
            request_timeout=timeout.total_seconds(),
        )
        try:
            return _read_reply(await self._http.fetch(req, raise_error=False))
        except (HTTPError, OSError):
            return _Reply(0)


def _read_reply(response: HTTPResponse) -> _Reply:
    try:
        data = json.loads(response.body)
    except ValueError:
        data = None
    return _Reply(response.code, data, _retry_after(response.headers.get("Retry-After")))


def _retry_after(value: str | None) -> timedelta | None:
    if value is None or not value.isdecimal():
        return None
    return min(timedelta(seconds=int(value[:6])), timedelta(minutes=1))


def _refused(reply: _Reply) -> ClientError:
    detail = str(reply.data.get("detail", "")) if isinstance(reply.data, dict) else ""
    return ClientError(ClientReason.REFUSED, reply.refusal, detail, reply.status)

"""Forwards an event stream to its caller and resumes it at another upstream if allowed."""

from collections.abc import Awaitable, Callable

import attrs
from result import Err, Ok, Result

from cranberryline.dispatch.attempt import CallerDisconnected
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.model import CallerRequest, ResponseSink
from cranberryline.jobs.events import EventReader
from cranberryline.jobs.ports import HeaderPairs

__all__ = ["StreamForwarder", "StreamOutput"]

STATUS_OK = 200
# A rejected request has not run, so rejections do not count as attempts.
_MAX_REJECTIONS = 3
_FINAL_REASONS = (RefusalReason.OVERLOADED, RefusalReason.HELD)


@attrs.define
class StreamOutput:
    """Callbacks that send a stream to the caller: its head once, then complete events."""

    send_head: Callable[[int, HeaderPairs], Awaitable[None]]
    send_events: Callable[[bytes], Awaitable[None]]


class _UpstreamSink(ResponseSink):
    """Receives one upstream's part of a stream.

    A response with another status than 200 is no stream and is collected in `body`.
    """

    def __init__(self, forwarder: "StreamForwarder") -> None:
        self._forwarder = forwarder
        self._reader = EventReader(forwarder.version_field)
        self.status = 0
        self.headers: HeaderPairs = ()
        self.body = b""
        self.upstream = ""
        self.malformed = False

    @property
    def complete(self) -> bool:
        """Return whether the response was a stream that ended after a complete event."""
        return self.status == STATUS_OK and self._reader.at_event_boundary and not self.malformed

    def dispatched(self, upstream: str) -> None:
        """Store the upstream of the attempt that starts."""
        self.upstream = upstream

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Forward the head of the first upstream only, as the caller gets a single response."""
        self.status, self.headers = status, headers
        if status == STATUS_OK and not self._forwarder.response_started:
            self._forwarder.response_started = True
            await self._forwarder.output.send_head(status, headers)
        return True

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Forward complete events; a stream cannot be resumed in the middle of an event.

        Raises CallerDisconnected to end the attempt if an event is malformed or out of order.
        """
        if self.status != STATUS_OK:
            self.body += data
            return
        try:
            events = self._reader.feed(data)
        except ValueError:
            self._abort()
        for event in events:
            if (
                self._forwarder.last_event_id is not None
                and event.id != self._forwarder.last_event_id + 1
            ):
                self._abort()
            self._forwarder.last_event_id = event.id
            await self._forwarder.output.send_events(event.raw)

    def _abort(self) -> None:
        self.malformed = True
        raise CallerDisconnected


@attrs.define
class StreamForwarder:
    """Forwards one caller's stream, made by one upstream or by several in turn.

    `make_request` returns the request that resumes after an event and avoids some upstreams.
    """

    dispatcher: Dispatcher
    output: StreamOutput
    make_request: Callable[[int | None, frozenset[str]], CallerRequest]
    version_field: str
    resumable: bool
    max_attempts: int
    last_event_id: int | None = None
    response_started: bool = False

    async def async_run(self) -> Result[_UpstreamSink, Refusal]:
        """Return the sink of the last upstream.

        If the error has `response_started` set, the caller's connection must be closed.
        """
        avoid: frozenset[str] = frozenset()
        runs, rejections = 0, 0
        while True:
            sink = _UpstreamSink(self)
            outcome = await self.dispatcher.async_run(
                self.make_request(self.last_event_id, avoid), sink
            )
            is_plain_response = sink.status != STATUS_OK and not self.response_started
            if isinstance(outcome, Ok) and (sink.complete or is_plain_response):
                return Ok(sink)
            refusal = self._refusal_of(outcome)
            if refusal.ran is Ran.NO and not sink.status:
                rejections += 1
            else:
                runs += 1
            avoid |= {sink.upstream}
            can_continue = self.resumable or (refusal.ran is Ran.NO and not sink.status)
            attempts_exhausted = runs >= self.max_attempts or rejections > _MAX_REJECTIONS
            if not can_continue or attempts_exhausted or refusal.reason in _FINAL_REASONS:
                return Err(
                    attrs.evolve(
                        refusal.after_possible_run(runs > 0), response_started=self.response_started
                    )
                )

    def _refusal_of(self, outcome: Result[str, Refusal]) -> Refusal:
        if isinstance(outcome, Err):
            return outcome.unwrap_err()
        return Refusal(RefusalReason.UPSTREAM_FAILED, Ran.YES)

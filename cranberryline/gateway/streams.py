"""Pass a stream of events on to its caller, going on at another upstream where that is allowed."""

from collections.abc import Awaitable, Callable

import attrs
from result import Err, Ok, Result

from cranberryline.dispatch.attempt import CallerDisconnected
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.model import CallerRequest, ResponseSink
from cranberryline.jobs.events import EventReader
from cranberryline.jobs.ports import HeaderPairs

__all__ = ["StreamAnswer", "StreamRun"]

STATUS_OK = 200
_MAX_TURNED_AWAY = 3
_FINAL = (RefusalReason.OVERLOADED, RefusalReason.HELD)


@attrs.define
class StreamAnswer:
    """Where a stream goes: its head once, then whole events."""

    head: Callable[[int, HeaderPairs], Awaitable[None]]
    events: Callable[[bytes], Awaitable[None]]


class _Sink(ResponseSink):
    """Take one upstream's part of a stream, or its whole answer if it is no stream."""

    def __init__(self, run: "StreamRun") -> None:
        self._run = run
        self._reader = EventReader(run.version_field)
        self.status = 0
        self.headers: HeaderPairs = ()
        self.body = b""
        self.upstream = ""
        self.broken = False

    @property
    def whole(self) -> bool:
        """Tell whether the answer ended behind a whole event."""
        return self.status == STATUS_OK and self._reader.at_event_boundary and not self.broken

    def dispatched(self, upstream: str) -> None:
        """Note the upstream of the attempt that begins."""
        self.upstream = upstream

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Pass the first upstream's head on; a caller sees one answer with one head."""
        self.status, self.headers = status, headers
        if status == STATUS_OK and not self._run.begun:
            self._run.begun = True
            await self._run.answer.head(status, headers)
        return True

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Pass whole events on: one that breaks off could not be gone on from."""
        if self.status != STATUS_OK:
            self.body += data
            return
        try:
            events = self._reader.feed(data)
        except ValueError:
            self._leave()
        for event in events:
            if self._run.last_id is not None and event.id != self._run.last_id + 1:
                self._leave()
            self._run.last_id = event.id
            await self._run.answer.events(event.raw)

    def _leave(self) -> None:
        self.broken = True
        raise CallerDisconnected


@attrs.define
class StreamRun:
    """One caller's stream over all the upstreams that make a part of it."""

    dispatcher: Dispatcher
    answer: StreamAnswer
    make: Callable[[int | None, frozenset[str]], CallerRequest]
    version_field: str
    resumable: bool
    max_attempts: int
    last_id: int | None = None
    begun: bool = False

    async def async_run(self) -> Result[_Sink, Refusal]:
        """Return the last upstream's sink; an Err with `begun` set must end in a cut."""
        avoid: frozenset[str] = frozenset()
        runs, turned_away = 0, 0
        while True:
            sink = _Sink(self)
            outcome = await self.dispatcher.async_run(self.make(self.last_id, avoid), sink)
            no_stream = sink.status != STATUS_OK and not self.begun
            if isinstance(outcome, Ok) and (sink.whole or no_stream):
                return Ok(sink)
            refusal = self._refusal(outcome)
            if refusal.ran is Ran.NO and not sink.status:
                turned_away += 1
            else:
                runs += 1
            avoid |= {sink.upstream}
            may_go_on = self.resumable or (refusal.ran is Ran.NO and not sink.status)
            spent = runs >= self.max_attempts or turned_away > _MAX_TURNED_AWAY
            if not may_go_on or spent or refusal.reason in _FINAL:
                return Err(
                    attrs.evolve(refusal.after_possible_run(runs > 0), response_started=self.begun)
                )

    def _refusal(self, outcome: Result[str, Refusal]) -> Refusal:
        if isinstance(outcome, Err):
            return outcome.unwrap_err()
        return Refusal(RefusalReason.UPSTREAM_FAILED, Ran.YES)

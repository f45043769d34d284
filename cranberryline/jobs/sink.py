"""Processes the response stream of an engine that generates the text of an item."""

from datetime import timedelta

from cranberryline.dispatch.attempt import CallerDisconnected
from cranberryline.dispatch.model import ResponseSink

from .events import EventReader, ItemText
from .item_context import ItemContext
from .phases import ItemPhases
from .state import JobState
from .text_slot import TextSlot

__all__ = ["STALL_TIMEOUT", "STATUS_OK", "TextSink"]

STATUS_OK = 200
STALL_TIMEOUT = timedelta(seconds=5)
# More than the number of engines of the largest supported site.
_MAX_TRACKED_UPSTREAMS = 10_000


class TextSink(ResponseSink):
    """Collects the events of an item, and aborts a response that cannot be used."""

    def __init__(
        self,
        context: ItemContext,
        state: JobState,
        text: ItemText,
        phases: ItemPhases,
        single_version: bool,
        slot: TextSlot,
    ) -> None:
        self._context = context
        self._state = state
        self._text = text
        self._phases = phases
        self._single_version = single_version
        self._slot = slot
        self._reader = EventReader(context.edge.version_field)
        self._version: int | None = None
        self.status = 0
        self.upstream = ""
        self.abort_reason = ""
        self.dispatched_at: timedelta | None = None
        self.last_received_at: timedelta | None = None
        self._last_event_at: timedelta | None = None

    def _record_received(self) -> None:
        self.last_received_at = self._context.clock.monotonic()
        self._context.last_received_at[self.upstream] = self.last_received_at

    @property
    def complete(self) -> bool:
        """Return whether the stream ended after a complete event."""
        return self._reader.at_event_boundary

    def may_go_on_at(self, upstream: str) -> bool:
        """Return whether events of an upstream's version may follow those of the text."""
        if not self._single_version:
            return True
        version = self._context.versions.version(upstream, self._state.job.model)
        return all(known == version for known in self._text.versions)

    def dispatched(self, upstream: str) -> None:
        """Record the upstream of the request, and start its silence timeout."""
        self.upstream = upstream
        self.dispatched_at = self.last_received_at = self._context.clock.monotonic()
        self._slot.dispatched(upstream)
        self._phases.dispatched(self.last_received_at, upstream, len(self._text.events))
        last_received = self._context.last_received_at
        if len(last_received) > _MAX_TRACKED_UPSTREAMS:
            # Keys are engine starts, whose number grows over time. Stall detection needs only
            # recent entries.
            for key in [
                key
                for key, at in last_received.items()
                if self.last_received_at - at > STALL_TIMEOUT
            ]:
                del last_received[key]

    def not_run(self) -> None:
        """Record that the upstream did not run the request."""
        self._slot.not_run()

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Process the status and the model version that the upstream starts with.

        A response without a version is valid if the text already has events: when a request resumes
        after the last event of a text, the upstream generates nothing and sends no version. This
        happens when the previous request broke after the last event but before the end of the
        stream. Rejecting such a response would retry the item at one engine after the other until
        its step times out.
        """
        self.status = status
        self._record_received()
        self._reader = EventReader(self._context.edge.version_field)
        if status != STATUS_OK:
            return False
        self._version = self._context.edge.answer_head(headers).version
        if self._version is None and not self._text.events:
            self._abort("no_version")
        self._check_version()
        return True

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Process the complete events of a chunk."""
        self._record_received()
        if self.status != STATUS_OK:
            return
        try:
            events = self._reader.feed(data)
        except ValueError:
            self._abort("bad_event")
        if events and self.last_received_at is not None:
            self._phases.events_received(self.last_received_at)
            self._record_pace(len(events), self.last_received_at)
        for event in events:
            if event.version is not None:
                self._version = event.version
                self._check_version()
            if self._version is None:
                self._abort("no_version")
            elif not self._text.add(event, self._version):
                self._abort("event_out_of_order")

    def _record_pace(self, events: int, now: timedelta) -> None:
        """Record the pace of events, except the first of a request, which may have been queued."""
        if self._last_event_at is not None:
            self._context.paces.record(self.upstream, events, now - self._last_event_at, now)
        self._last_event_at = now

    def _check_version(self) -> None:
        version = self._version
        if version is None:
            return
        self._context.versions.record_version(self.upstream, self._state.job.model, version)
        min_version = self._state.job.min_version
        if min_version is not None and version < min_version:
            self._abort("stale_version")
        if self._single_version and any(known != version for known in self._text.versions):
            self._text.clear()
            self._phases.events_discarded()
            self._abort("version_changed")

    def _abort(self, reason: str) -> None:
        """Abort the request, since the rest of its response cannot be used."""
        self.abort_reason = reason
        raise CallerDisconnected

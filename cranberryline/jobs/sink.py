"""Take the answer of an engine that makes an item's text."""

from datetime import timedelta

from cranberryline.dispatch.attempt import CallerLeft
from cranberryline.dispatch.model import AnswerSink

from .events import EventReader, ItemText
from .phases import ItemPhases
from .state import JobState
from .tools import ItemTools

__all__ = ["STALLED", "STATUS_OK", "TextSink"]

STATUS_OK = 200
STALLED = timedelta(seconds=5)
# More than all engines of the design size.
_HEARD_KEPT = 10_000


class TextSink(AnswerSink):
    """Take an item's events as they come, and leave an answer that cannot be used."""

    def __init__(
        self,
        tools: ItemTools,
        state: JobState,
        text: ItemText,
        phases: ItemPhases,
        single_version: bool,
    ) -> None:
        self._tools = tools
        self._state = state
        self._text = text
        self._phases = phases
        self._single_version = single_version
        self._reader = EventReader(tools.edge.version_field)
        self._version: int | None = None
        self.status = 0
        self.upstream = ""
        self.unusable = ""
        self.moved_at: timedelta | None = None
        self._event_at: timedelta | None = None

    def _note_moved(self) -> None:
        self.moved_at = self._tools.clock.monotonic()
        self._tools.heard[self.upstream] = self.moved_at

    @property
    def whole(self) -> bool:
        """Tell whether the stream ended behind a whole event."""
        return self._reader.clean

    def dispatched(self, upstream: str) -> None:
        """Note which upstream works now, and start its time."""
        self.upstream = upstream
        self.moved_at = self._tools.clock.monotonic()
        self._phases.dispatched(self.moved_at, upstream, len(self._text.events))
        heard = self._tools.heard
        if len(heard) > _HEARD_KEPT:
            # By starts, of which there are more each day: a stall asks about the last seconds only.
            for key in [key for key, at in heard.items() if self.moved_at - at > STALLED]:
                del heard[key]

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Take the status, and the version that the upstream starts with.

        Asked to go on behind the last event of a text, an upstream makes nothing, so it names no version: the text
        was whole already, and its run broke before its end was told. Taken for a bad answer, the item
        asked one engine after the other until its step ran out of time.
        """
        self.status = status
        self._note_moved()
        self._reader = EventReader(self._tools.edge.version_field)
        if status != STATUS_OK:
            return False
        self._version = self._tools.edge.answer_head(headers).version
        if self._version is None and not self._text.events:
            self._leave("no_version")
        self._check_version()
        return True

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Take what is whole of the events."""
        self._note_moved()
        if self.status != STATUS_OK:
            return
        try:
            events = self._reader.feed(data)
        except ValueError:
            self._leave("bad_event")
        if events and self.moved_at is not None:
            self._phases.heard(self.moved_at)
            self._note_pace(len(events), self.moved_at)
        for event in events:
            if event.version is not None:
                self._version = event.version
                self._check_version()
            if self._version is None:
                self._leave("no_version")
            elif not self._text.add(event, self._version):
                self._leave("event_out_of_order")

    def _note_pace(self, events: int, now: timedelta) -> None:
        """Count events after the first of a run, which may have waited for its place."""
        if self._event_at is not None:
            self._tools.paces.heard(self.upstream, events, now - self._event_at, now)
        self._event_at = now

    def _check_version(self) -> None:
        version = self._version
        if version is None:
            return
        self._tools.versions.learn(self.upstream, self._state.job.model, version)
        oldest = self._state.job.min_version
        if oldest is not None and version < oldest:
            self._leave("stale_version")
        if self._single_version and any(known != version for known in self._text.versions):
            self._text.clear()
            self._phases.thrown_away()
            self._leave("version_changed")

    def _leave(self, reason: str) -> None:
        """Stop the run: what comes would not be kept."""
        self.unusable = reason
        raise CallerLeft

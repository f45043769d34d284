"""Parses the event stream of an item and collects the events from which a request can resume."""

from sys import getsizeof

import attrs

__all__ = ["Event", "EventReader", "ItemText"]

_EVENT_END = b"\n\n"
_MAX_EVENT_BYTES = 1024 * 1024


@attrs.frozen
class Event:
    """A complete event.

    `version` is set if the stream announces a new model version with this event. `raw` is the event
    as received, including its terminator.
    """

    id: int
    data: str
    version: int | None = None
    raw: bytes = b""


class EventReader:
    """Splits a byte stream into events; an incomplete event at the end is never returned."""

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field
        self._buffer = b""
        self._filler_bytes = 0

    @property
    def at_event_boundary(self) -> bool:
        """Return whether the buffer contains no part of an incomplete event."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are completed by `data`.

        Raises ValueError if an event is malformed, or it or the lines before it are longer than
        `_MAX_EVENT_BYTES`.
        """
        self._buffer += data.replace(b"\r\n", b"\n")
        events: list[Event] = []
        while True:
            self._drop_filler()
            end = self._buffer.find(_EVENT_END)
            if end < 0:
                break
            block, self._buffer = self._buffer[:end], self._buffer[end + len(_EVENT_END) :]
            if not block.strip():
                self._filler_bytes += len(block)
                continue
            events.append(self._parse(block))
            self._filler_bytes = 0
        if len(self._buffer) + self._filler_bytes > _MAX_EVENT_BYTES:
            raise ValueError("event exceeds the maximum size")
        return events

    def _drop_filler(self) -> None:
        """Drop the empty lines before the next event."""
        rest = self._buffer.lstrip(b"\n")
        self._filler_bytes += len(self._buffer) - len(rest)
        self._buffer = rest

    def _parse(self, block: bytes) -> Event:
        event_id, version = None, None
        data: list[str] = []
        for line in block.decode().split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                event_id = int(value)
            elif name == "data":
                data.append(value)
            elif name.lower() == self._version_field:
                version = int(value)
        if event_id is None:
            raise ValueError("event has no id")
        return Event(event_id, "\n".join(data), version, block + _EVENT_END)


@attrs.define
class ItemText:
    """The events of an item from all its requests, and the model versions that generated them.

    The first `cut_count` events have been split off as pieces to be stored. `uncut_versions`
    generated the events after them.
    """

    events: list[str] = attrs.field(factory=list)
    versions: list[int] = attrs.field(factory=list)
    last_id: int | None = None
    cut_count: int = 0
    uncut_versions: list[int] = attrs.field(factory=list)
    # Memory of the events.
    held_bytes: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count what the text begins with."""
        self.held_bytes = sum(map(getsizeof, self.events))

    @property
    def text(self) -> str:
        """Return the data of all events."""
        return "\n".join(self.events)

    def add(self, event: Event, version: int) -> bool:
        """Add the next event; return False if its id does not follow the last one."""
        if self.last_id is not None and event.id != self.last_id + 1:
            return False
        self.events.append(event.data)
        self.held_bytes += getsizeof(event.data)
        self.last_id = event.id
        if version not in self.versions:
            self.versions.append(version)
        if version not in self.uncut_versions:
            self.uncut_versions.append(version)
        return True

    @property
    def uncut_count(self) -> int:
        """Return the number of events that have not been split off yet."""
        return len(self.events) - self.cut_count

    def cut_piece(self) -> tuple[list[str], tuple[int, ...]]:
        """Split off the events after the last piece; return them and their model versions."""
        events, versions = self.events[self.cut_count :], tuple(self.uncut_versions)
        self.cut_count = len(self.events)
        self.uncut_versions = []
        return events, versions

    def clear(self) -> None:
        """Discard all events, so that the text is generated from the start."""
        self.events.clear()
        self.held_bytes = 0
        self.versions.clear()
        self.last_id = None
        self.cut_count = 0
        self.uncut_versions.clear()

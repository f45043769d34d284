"""Read an item's stream of events, and keep what may be gone on from after a break."""

import attrs

__all__ = ["Event", "EventReader", "ItemText"]

_EVENT_END = b"\n\n"
_MAX_EVENT_BYTES = 1024 * 1024


@attrs.frozen
class Event:
    """One whole event; `version` is set where the stream says that it changes with this one.

    `raw` is the event as it came, its end included.
    """

    id: int
    data: str
    version: int | None = None
    raw: bytes = b""


class EventReader:
    """Cut bytes into whole events; one that was broken off in the middle is never had."""

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field
        self._buffer = b""

    @property
    def clean(self) -> bool:
        """Tell whether no part of an event is left over."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now; raise ValueError on what is no event."""
        self._buffer += data.replace(b"\r\n", b"\n")
        events: list[Event] = []
        while (end := self._buffer.find(_EVENT_END)) >= 0:
            block, self._buffer = self._buffer[:end], self._buffer[end + len(_EVENT_END) :]
            if block.strip():
                events.append(self._parse(block))
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError("an event without an end")
        return events

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
            raise ValueError("an event without an id")
        return Event(event_id, "\n".join(data), version, block + _EVENT_END)


@attrs.define
class ItemText:
    """The events that an item has so far, over all its runs, and the versions that made them.

    The first `cut` events have been cut off as pieces; `fresh_versions` made those behind them.
    """

    events: list[str] = attrs.field(factory=list)
    versions: list[int] = attrs.field(factory=list)
    last_id: int | None = None
    cut: int = 0
    fresh_versions: list[int] = attrs.field(factory=list)

    @property
    def text(self) -> str:
        """Return the data of all events."""
        return "\n".join(self.events)

    def add(self, event: Event, version: int) -> bool:
        """Take the next event; False for one that does not follow the last one."""
        if self.last_id is not None and event.id != self.last_id + 1:
            return False
        self.events.append(event.data)
        self.last_id = event.id
        if version not in self.versions:
            self.versions.append(version)
        if version not in self.fresh_versions:
            self.fresh_versions.append(version)
        return True

    @property
    def fresh(self) -> int:
        """Return how many events have not been cut off yet."""
        return len(self.events) - self.cut

    def cut_fresh(self) -> tuple[list[str], tuple[int, ...]]:
        """Cut off what is behind the last piece: its events, and the versions that made them."""
        events, versions = self.events[self.cut :], tuple(self.fresh_versions)
        self.cut = len(self.events)
        self.fresh_versions = []
        return events, versions

    def clear(self) -> None:
        """Forget everything: the item is made anew."""
        self.events.clear()
        self.versions.clear()
        self.last_id = None
        self.cut = 0
        self.fresh_versions.clear()

"""A virtual clock with events."""

import heapq
from collections.abc import Callable
from datetime import timedelta
from itertools import count
from typing import Any

import attrs

__all__ = ["Event", "Simulation"]


@attrs.define(eq=False)
class Event:
    """Something that happens at a time, unless cancelled before."""

    action: Callable[..., None]
    args: tuple[Any, ...]
    cancelled: bool = False

    def cancel(self) -> None:
        """Keep it from happening."""
        self.cancelled = True


class Simulation:
    """Run events in the order of their times."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._events: list[tuple[float, int, Event]] = []
        self._order = count()

    @property
    def now(self) -> timedelta:
        """Return the virtual time as the decisions take it."""
        return timedelta(seconds=self.seconds)

    def at(self, seconds: float, action: Callable[..., None], *args: Any) -> Event:
        """Let something happen at a time, or now when that has passed."""
        event = Event(action, args)
        heapq.heappush(self._events, (max(seconds, self.seconds), next(self._order), event))
        return event

    def after(self, seconds: float, action: Callable[..., None], *args: Any) -> Event:
        """Let something happen after a while."""
        return self.at(self.seconds + seconds, action, *args)

    def run(self, until: float) -> None:
        """Let everything happen up to a time."""
        while self._events and self._events[0][0] <= until:
            self.seconds, _, event = heapq.heappop(self._events)
            if not event.cancelled:
                event.action(*event.args)
        self.seconds = until

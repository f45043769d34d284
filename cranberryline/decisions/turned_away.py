"""Decide for how long an upstream that turned work away gets none of the same kind.

Load answered: a step's items arrive together just when engines change their weights. An engine that
loads turns away whatever has not begun, at once, so it looks like the emptiest of all and draws the
next item: on a calm day 163 of 767 arrivals were turned away, some items three times, each with a
round trip and a pause in which an engine next to it had places.

`REST` is a quarter of what a load of weights takes. A node then asks a loading engine four times and
not once an item, and an engine that was merely full for a moment is back before a run of usual
length ends.

An upstream that nothing listens for any more, or at whose address another process answers, turns work away as
quickly, and its connection seems to wait always. Nothing comes of asking it before its entry changes: it
rests longer. Where all upstreams rest, they are asked all the same.
"""

from datetime import timedelta

__all__ = ["REPLACED_REST", "REST", "UNREACHABLE_REST", "TurnedAway"]

REST = timedelta(milliseconds=250)
UNREACHABLE_REST = timedelta(seconds=1)
REPLACED_REST = timedelta(seconds=3)


class TurnedAway:
    """The upstreams that turned work away just now."""

    def __init__(self) -> None:
        self._until: dict[str, timedelta] = {}

    def note(self, upstream: str, now: timedelta) -> None:
        """Let an upstream rest; forget those whose rest is over."""
        self._until = {name: until for name, until in self._until.items() if until > now}
        self._until[upstream] = now + REST

    def rests(self, upstream: str, now: timedelta) -> bool:
        """Tell whether an upstream rests."""
        return now < self._until.get(upstream, now)

"""Fake of the keeper's grants: it grants what a test tells, and records how each slot ended."""

import asyncio
from collections.abc import Callable, Iterable

import attrs

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.slots import SlotGrant, SlotNeed, SlotSource


class FakeGrant(SlotGrant):
    """A grant that fails the test if it is released twice."""

    def __init__(self, slots: "FakeSlots", upstream: str, shared: bool = True) -> None:
        self.upstream = upstream
        self._slots = slots
        self._shared = shared
        slots.held.append(self)

    @property
    def move_to(self) -> str:
        """Return where the test moves texts, unless it is here."""
        to = self._slots.move_to
        return "" if to == self.upstream else to

    def record_sent(self) -> None:
        """Record the upstream of the request."""
        self._slots.sent.append(self.upstream)

    def release(self, end: RunEnd) -> None:
        """Record the end."""
        self._slots.held.remove(self)
        self._slots.ends.append((self.upstream, end))
        self._slots.on_release()

    def move(self) -> SlotGrant:
        """Record the move, and return the other slot; the keeper may have withdrawn it."""
        if self._slots.withdraws_moves:
            self._slots.move_to = ""
        if not self.move_to:
            return self
        self._slots.held.remove(self)
        self._slots.ends.append((self.upstream, "moved"))
        return FakeGrant(self._slots, self.move_to)


@attrs.define(eq=False)
class FakeSlots(SlotSource):
    """Grants the given upstreams in turn, the last one for ever; an empty one leaves the choice.

    A `delay` in seconds passes before each grant. `ends` has the upstream and the end of each slot.
    """

    upstreams: list[str]
    delay: float = 0.0
    move_to: str = ""
    withdraws_moves: bool = False
    held: list[FakeGrant] = attrs.field(factory=list)
    ends: list[tuple[str, str]] = attrs.field(factory=list)
    sent: list[str] = attrs.field(factory=list)
    asked: list[SlotNeed] = attrs.field(factory=list)
    asked_at: list[float] = attrs.field(factory=list)
    unshared: list[str] = attrs.field(factory=list)
    on_release: Callable[[], None] = lambda: None

    @classmethod
    def granting(cls, upstreams: Iterable[str], delay: float = 0.0) -> "FakeSlots":
        """Return a source that grants these upstreams."""
        return cls(list(upstreams), delay)

    async def async_acquire(self, need: SlotNeed) -> SlotGrant | None:
        """Grant the next upstream."""
        self.asked.append(need)
        self.asked_at.append(asyncio.get_running_loop().time())
        if self.delay:
            await asyncio.sleep(self.delay)
        upstream = self.upstreams.pop(0) if len(self.upstreams) > 1 else self.upstreams[0]
        return FakeGrant(self, upstream) if upstream else None

    def record_unshared(self, need: SlotNeed, upstream: str) -> SlotGrant:
        """Record a slot that the gateway chose."""
        self.unshared.append(upstream)
        return FakeGrant(self, upstream)

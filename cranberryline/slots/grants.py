"""A slot that a text of this gateway uses."""

import abc

from cranberryline.decisions.slot_model import RunEnd

from .model import SlotGrant, SlotNeed

__all__ = ["GrantHolder", "HeldGrant"]


class GrantHolder(abc.ABC):
    """Tells the keeper of the slots that this gateway's texts use."""

    @abc.abstractmethod
    def move_target(self, ticket: int) -> str:
        """Return the upstream that has a slot reserved for a ticket's text now, or empty."""

    @abc.abstractmethod
    def drop(self, grant: "HeldGrant", end: RunEnd) -> None:
        """Handle that a slot is not used any more."""

    @abc.abstractmethod
    def replace(self, grant: "HeldGrant") -> None:
        """Handle that a text uses another slot under the same ticket."""


class HeldGrant(SlotGrant):
    """A slot of `upstream` that the text of one ticket uses."""

    def __init__(self, holder: GrantHolder, ticket: int, need: SlotNeed, upstream: str) -> None:
        self.upstream = upstream
        self.holder = holder
        self.ticket = ticket
        self.need = need
        self.is_sent = False
        self._released = False

    @property
    def move_to(self) -> str:
        """Return another upstream with a slot for this text, empty if it should stay."""
        if self._released:
            return ""
        target = self.holder.move_target(self.ticket)
        return "" if target == self.upstream else target

    def record_sent(self) -> None:
        """Record that a request for the text is on its way to the upstream."""
        self.is_sent = True

    def release(self, end: RunEnd) -> None:
        """Release the slot; a second time has no effect."""
        if self._released:
            return
        self._released = True
        self.holder.drop(self, end)

    def move(self) -> SlotGrant:
        """Return the grant of the slot at `move_to`; this grant itself if there is none."""
        target = self.move_to
        if not target:
            return self
        moved = HeldGrant(self.holder, self.ticket, self.need, target)
        self._released = True
        self.holder.replace(moved)
        return moved

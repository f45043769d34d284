"""The slot of an engine that an item's text uses, granted or chosen by this gateway."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.slots import SlotGrant, SlotNeed, SlotSource

__all__ = ["TextSlot"]

_WATCH_INTERVAL = timedelta(milliseconds=250)


class TextSlot:
    """The slot for one or more requests for a text; whatever it holds is released exactly once.

    Without a `need`, slots are not shared and it holds nothing. `end` is how the current use of the
    slot ends if it is released now. `upstream` is where a granted slot is, empty if this gateway
    chooses an upstream by itself.
    """

    def __init__(
        self, source: SlotSource, need: SlotNeed | None, clock: Clock, metrics: Metrics
    ) -> None:
        self.end = RunEnd.UNUSED
        self.upstream = ""
        self.moving = False
        self._source = source
        self._need = None if need is None else attrs.evolve(need, may_move=self._may_move(need))
        self._stays = False
        self._clock = clock
        self._metrics = metrics
        self._grant: SlotGrant | None = None

    def _may_move(self, need: SlotNeed) -> Callable[[], bool]:
        # A text that is just leaving its engine counts as movable; else its new slot is withdrawn.
        return lambda: self.moving or (not self._stays and need.may_move())

    def stay(self) -> None:
        """Do not move any more; the keeper is told, and needs no slot elsewhere for the text."""
        self._stays = True

    @property
    def move_to(self) -> str:
        """Return the upstream that the text should move to, empty if it should stay."""
        return "" if self._grant is None or self._stays else self._grant.move_to

    async def async_acquire(self, is_needed: Callable[[], bool]) -> bool:
        """Wait for a grant, or for the keeper to leave the choice to this gateway.

        Return False if the text is not needed any more.
        """
        if self._need is None:
            return True
        began_at = self._clock.monotonic()
        task = asyncio.ensure_future(self._source.async_acquire(self._need))
        try:
            while not task.done() and is_needed():
                await asyncio.wait((task,), timeout=_WATCH_INTERVAL.total_seconds())
        finally:
            if not task.cancel() and not task.cancelled():
                self._hold(task.result(), began_at)
        return task.done() and not task.cancelled()

    def _hold(self, grant: SlotGrant | None, began_at: timedelta) -> None:
        if grant is None:
            return
        self._grant, self.upstream = grant, grant.upstream
        self._metrics.slot_wait.observe((self._clock.monotonic() - began_at).total_seconds())

    def dispatched(self, upstream: str) -> None:
        """Record that a request was sent to an upstream."""
        if not self.upstream and self._need is not None:
            self.release()
            self._grant = self._source.record_unshared(self._need, upstream)
        if self._grant is not None:
            self._grant.record_sent()
        self.end = RunEnd.DONE

    def not_run(self) -> None:
        """Record that the upstream did not run the request."""
        self.end = RunEnd.REJECTED

    def move(self) -> None:
        """Go on with the slot at the upstream that the text should move to.

        If the keeper needs that slot otherwise by now, the text goes on where it was.
        """
        self.moving = False
        if self._grant is None:
            return
        self._grant = self._grant.move()
        self.upstream, self.end = self._grant.upstream, RunEnd.UNUSED

    def release(self) -> None:
        """Release what is held, if anything."""
        grant, self._grant = self._grant, None
        if grant is not None:
            grant.release(self.end)

"""Where a trainer stands: its step, its cursor and its own weight version."""

import enum

import attrs

from .model import PulledBatch

__all__ = ["Position", "TakeOutcome"]


class TakeOutcome(enum.StrEnum):
    """What became of a batch."""

    TAKEN = "taken"
    OTHER_CURSOR = "other_cursor"
    VERSION_MOVED = "version_moved"


@attrs.define
class Position:
    """The trainer's side of the exactly-once hand-over.

    `cursor` is the one record of what the trainer has. It moves in `take` and nowhere else, in
    the same call that accepts the samples, so neither can be kept without the other. A trainer
    that is restored from a checkpoint restores the cursor with it.
    """

    step: int
    version: int
    cursor: str = ""
    done: bool = False

    def take(self, batch: PulledBatch) -> TakeOutcome:
        """Accept a batch and move on, or leave everything as it is."""
        # An answer that was delayed, repeated or fetched from two entries belongs to a place
        # where the trainer no longer stands: taking it would deliver its samples twice.
        if batch.cursor != self.cursor:
            return TakeOutcome.OTHER_CURSOR
        # The entry checked staleness against the version that the pull named. The trainer has
        # moved since, so a sample at the bound is past it; pulled again, it is checked again.
        if batch.version != self.version:
            return TakeOutcome.VERSION_MOVED
        self.cursor = batch.next_cursor
        self.done = batch.done
        return TakeOutcome.TAKEN

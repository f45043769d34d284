"""Decide which running texts move to a faster engine, over all gateways of a service."""

from collections.abc import Sequence
from datetime import timedelta

import attrs

from .slot_model import EngineState, Placement, RunningText

__all__ = ["MoveBudget", "MovePolicy"]


class MoveBudget:
    """Token bucket that limits moves: granted slots refill it, each move takes one token."""

    def earn(self) -> None:
        """Add the tokens of one granted slot."""

    def spend(self) -> bool:
        """Take one token for a move; return False if less than one is left."""
        return False


@attrs.frozen
class MovePolicy:
    """Chooses the moves that pay."""

    def choose(
        self,
        running: Sequence[RunningText],
        engines: Sequence[EngineState],
        budget: MoveBudget,
        now: timedelta,
    ) -> list[Placement]:
        """Return moves to engines with a free slot; `running` are the texts that may move."""
        return []

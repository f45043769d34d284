"""Decide which running texts move to a faster engine, over all gateways of a service.

Answers groups that wait for a long text on a slow engine while a slot of a faster one is free.
"""

from collections.abc import Iterator, Sequence
from datetime import timedelta

import attrs

from .slot_model import EngineState, Placement, RunningText

__all__ = ["MoveBudget", "MovePolicy"]

GRANTS_PER_MOVE = 20
MAX_MOVES_AT_ONCE = 12


class MoveBudget:
    """Token bucket that limits moves: granted slots refill it, each move takes one token."""

    def __init__(self) -> None:
        self._grants = 0

    def earn(self) -> None:
        """Add the tokens of one granted slot."""
        self._grants = min(self._grants + 1, GRANTS_PER_MOVE * MAX_MOVES_AT_ONCE)

    def spend(self) -> bool:
        """Take one token for a move; return False if less than one is left."""
        if self._grants < GRANTS_PER_MOVE:
            return False
        self._grants -= GRANTS_PER_MOVE
        return True


@attrs.frozen
class _Move:
    saving: float
    text: RunningText
    engine: str


@attrs.frozen
class MovePolicy:
    """Chooses the moves that pay.

    Only a text that its group would wait for moves, as it ends later than the longest one would on
    the fastest engine, after `min_stay` on its engine: a new engine's speed shows within about a
    second. `cost` is the time of a move, for the new request and the prefill;
    a move has to save more than `min_saving` beside it. `min_speedup` is the least ratio of speeds,
    which keeps two engines from sending a text back and forth.
    """

    min_stay: timedelta = timedelta(seconds=1)
    cost: timedelta = timedelta(milliseconds=100)
    min_saving: timedelta = timedelta(milliseconds=500)
    min_speedup: float = 1.3

    def choose(
        self,
        running: Sequence[RunningText],
        engines: Sequence[EngineState],
        budget: MoveBudget,
        now: timedelta,
    ) -> list[Placement]:
        """Return moves to engines with a free slot; `running` are the texts that may move."""
        speeds = {engine.id: engine.events_per_second for engine in engines}
        targets = [engine for engine in engines if engine.free > 0]
        if not targets:
            return []
        fastest = max(speeds.values())
        moves = [
            move
            for text in running
            if now - text.since >= self.min_stay
            for move in self._moves_of(text, speeds.get(text.engine, 0.0), fastest, targets)
        ]
        return _take_largest(moves, budget)

    def _moves_of(
        self, text: RunningText, here: float, fastest: float, targets: Sequence[EngineState]
    ) -> Iterator[_Move]:
        if here <= 0 or text.events_left / here < text.group_events_left / fastest:
            return
        least = (self.cost + self.min_saving).total_seconds()
        for engine in targets:
            there = engine.events_per_second
            if there < here * self.min_speedup:
                continue
            saving = text.events_left / here - text.events_left / there
            if saving > least and engine.serves(text.model, text.min_version):
                yield _Move(saving, text, engine.id)


def _take_largest(moves: list[_Move], budget: MoveBudget) -> list[Placement]:
    """Return the moves that save most, at most one of each text and to each engine."""
    chosen: dict[str, Placement] = {}
    moved = set()
    for move in sorted(moves, key=lambda move: move.saving, reverse=True):
        if move.engine in chosen or move.text.key in moved:
            continue
        if not budget.spend():
            break
        chosen[move.engine] = Placement(move.text.key, move.engine)
        moved.add(move.text.key)
    return list(chosen.values())

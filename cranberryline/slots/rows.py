"""Rows in which a gateway tells a keeper about its texts."""

import math
from collections.abc import Callable, Mapping
from datetime import timedelta

from cranberryline.helpers.clock import in_milliseconds

from .checks import MAX_DUE_MS, MAX_EVENTS
from .const import MAX_NAMES
from .messages import HeldSlot, WaitingText
from .model import SlotNeed

__all__ = ["connected_names", "held_row", "waiting_row"]


def waiting_row(ticket: int, need: SlotNeed, now: timedelta) -> WaitingText:
    """Return the row of a text that waits; `now` is on the monotonic clock."""
    return WaitingText(
        ticket=ticket,
        trainer=need.trainer,
        due_ms=_due_ms(need, now),
        events_left=_events(need.events_left),
        group_events_left=_events(need.group_events_left),
        model=need.model,
        min_version=need.min_version,
        rank=need.rank,
        avoid=tuple(sorted(need.avoid))[:MAX_NAMES],
    )


def held_row(ticket: int, upstream: str, need: SlotNeed, now: timedelta) -> HeldSlot:
    """Return the row of a text that uses a slot; `now` is on the monotonic clock."""
    return HeldSlot(
        ticket=ticket,
        upstream=upstream,
        trainer=need.trainer,
        due_ms=_due_ms(need, now),
        events_left=_events(need.events_left),
        group_events_left=_events(need.group_events_left),
        model=need.model,
        min_version=need.min_version,
        may_move=need.may_move(),
    )


def connected_names(counts: Mapping[str, int]) -> tuple[str, ...]:
    """Return each engine once for an idle connection; of too many, the most at one are left out."""
    numbered = sorted((number, name) for name in counts for number in range(counts[name]))
    return tuple(sorted(name for _, name in numbered[:MAX_NAMES]))


def _due_ms(need: SlotNeed, now: timedelta) -> int:
    return max(-MAX_DUE_MS, min(in_milliseconds(need.due - now), MAX_DUE_MS))


def _events(expected: Callable[[], float]) -> float:
    """Return an expected number of events as a keeper accepts it."""
    events = expected()
    if math.isnan(events):
        return 0.0
    return max(0.0, min(float(events), MAX_EVENTS))

"""Rows in which a gateway tells a keeper about its texts.

Callers choose names and numbers of their jobs. A keeper rejects a whole exchange for one that is
out of range, so they are cut to what it accepts.
"""

import heapq
import math
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.helpers.clock import in_milliseconds

from .checks import MAX_DUE_MS, MAX_EVENTS, MAX_NUMBER
from .const import MAX_NAME_LENGTH, MAX_NAMES, MAX_ROWS
from .messages import HeldSlot, RejectedText, WaitingText
from .model import SlotNeed

__all__ = ["connected_names", "first_needs", "held_row", "rejected_row", "waiting_row"]


def first_needs(needs: Iterable[tuple[int, SlotNeed]]) -> list[tuple[int, SlotNeed]]:
    """Return the texts that wait by ticket; if they are too many, those that come first."""
    rows = list(needs)
    if len(rows) <= MAX_ROWS:
        return rows
    return heapq.nsmallest(MAX_ROWS, rows, key=lambda row: (row[1].rank, row[1].due))


def waiting_row(ticket: int, need: SlotNeed, now: timedelta) -> WaitingText:
    """Return the row of a text that waits; `now` is on the monotonic clock."""
    return WaitingText(
        ticket=ticket,
        trainer=need.trainer[:MAX_NAME_LENGTH],
        due_ms=_due_ms(need, now),
        events_left=_events(need.events_left),
        group_events_left=_events(need.group_events_left),
        model=need.model[:MAX_NAME_LENGTH],
        min_version=_min_version(need),
        rank=max(-MAX_NUMBER, min(need.rank, MAX_NUMBER)),
        avoid=tuple(sorted(need.avoid))[:MAX_NAMES],
        workspace=need.workspace[:MAX_NAME_LENGTH],
    )


def held_row(ticket: int, upstream: str, need: SlotNeed, now: timedelta) -> HeldSlot:
    """Return the row of a text that uses a slot; `now` is on the monotonic clock."""
    return HeldSlot(
        ticket=ticket,
        upstream=upstream,
        trainer=need.trainer[:MAX_NAME_LENGTH],
        due_ms=_due_ms(need, now),
        events_left=_events(need.events_left),
        group_events_left=_events(need.group_events_left),
        model=need.model[:MAX_NAME_LENGTH],
        min_version=_min_version(need),
        may_move=need.may_move(),
        workspace=need.workspace[:MAX_NAME_LENGTH],
    )


def connected_names(counts: Mapping[str, int]) -> tuple[str, ...]:
    """Return each engine once for an idle connection; of too many, the most at one are left out."""
    numbered = sorted((number, name) for name in counts for number in range(counts[name]))
    return tuple(sorted(name for _, name in numbered[:MAX_NAMES]))


def rejected_row(upstream: str, need: SlotNeed, end: RunEnd) -> RejectedText:
    """Return the row of a text that an upstream did not run, or failed to."""
    return RejectedText(upstream, need.model[:MAX_NAME_LENGTH], end)


def _min_version(need: SlotNeed) -> int | None:
    if need.min_version is None:
        return None
    return max(0, min(need.min_version, MAX_NUMBER))


def _due_ms(need: SlotNeed, now: timedelta) -> int:
    return max(-MAX_DUE_MS, min(in_milliseconds(need.due - now), MAX_DUE_MS))


def _events(expected: Callable[[], float]) -> float:
    """Return an expected number of events as a keeper accepts it."""
    events = expected()
    if math.isnan(events):
        return 0.0
    return max(0.0, min(float(events), MAX_EVENTS))

"""Checks of what another gateway sent, before any of it is kept."""

import math
from collections.abc import Iterable

from cranberryline.decisions.slot_model import RunEnd

from .const import MAX_NAME_LENGTH, MAX_NAMES, MAX_ROWS
from .messages import HeldSlot, RejectedText, SlotExchange, WaitingText

__all__ = ["find_problem", "is_rate"]

MAX_NUMBER = 2**62
MAX_DUE_MS = 30 * 24 * 3600 * 1000
MAX_EVENTS = 1e9
MAX_RATE = 1e6
_ENDS = frozenset(RunEnd)


def find_problem(msg: SlotExchange) -> str:
    """Return why an exchange is not accepted, empty if it is."""
    return (
        _find_in_head(msg)
        or _find_in_size(msg)
        or _find_in_rows(msg)
        or _find_in_reports(msg.rejected, msg.rates)
    )


def is_rate(rate: float) -> bool:
    """Return whether a number may be a speed in events per second; false for NaN."""
    return 0 <= rate <= MAX_RATE


def _find_in_head(msg: SlotExchange) -> str:
    if not all(map(_is_name, (msg.node, msg.start, msg.service))):
        return "a name of the exchange is empty or too long"
    if not 0 <= msg.number <= MAX_NUMBER:
        return "the number is out of range"
    if not 0 <= msg.shard < msg.shards:
        return "there is no such shard"
    if not 0 <= msg.wait_ms <= MAX_NUMBER:
        return "the wait is out of range"
    return ""


def _find_in_size(msg: SlotExchange) -> str:
    rows = (msg.waiting, msg.held, msg.rejected, msg.rates, msg.connected)
    if max(map(len, rows)) > MAX_ROWS:
        return f"more than {MAX_ROWS} rows"
    if any(max(len(row.avoid), len(row.connected)) > MAX_NAMES for row in msg.waiting):
        return f"more than {MAX_NAMES} engines in a row"
    return ""


def _find_in_rows(msg: SlotExchange) -> str:
    rows = (*msg.waiting, *msg.held)
    if len({row.ticket for row in rows}) < len(rows):
        return "a ticket is listed twice"
    if not all(map(_is_text, rows)):
        return "a number or name of a text is out of range"
    if not all(abs(row.rank) <= MAX_NUMBER for row in msg.waiting):
        return "a rank is out of range"
    if not all(_is_name(row.upstream) for row in msg.held):
        return "an engine's name is empty or too long"
    if not _are_names(msg.connected):
        return "an engine's name is empty or too long"
    if not all(_are_names(row.avoid) and _are_names(row.connected) for row in msg.waiting):
        return "an engine's name is empty or too long"
    return ""


def _find_in_reports(rejected: Iterable[RejectedText], rates: Iterable[tuple[str, float]]) -> str:
    for row in rejected:
        if row.end not in _ENDS:
            return "an end of a text is unknown"
        if not _is_name(row.upstream) or len(row.model) > MAX_NAME_LENGTH:
            return "a name of a rejected text is empty or too long"
    if not all(_is_name(engine) and is_rate(rate) for engine, rate in rates):
        return "a rate or its engine is out of range"
    return ""


def _is_text(row: WaitingText | HeldSlot) -> bool:
    return (
        0 <= row.ticket <= MAX_NUMBER
        and abs(row.due_ms) <= MAX_DUE_MS
        and _is_events(row.events_left)
        and _is_events(row.group_events_left)
        and (row.min_version is None or 0 <= row.min_version <= MAX_NUMBER)
        and len(row.trainer) <= MAX_NAME_LENGTH
        and len(row.model) <= MAX_NAME_LENGTH
        and len(row.workspace) <= MAX_NAME_LENGTH
    )


def _is_events(events: float) -> bool:
    return math.isfinite(events) and 0 <= events <= MAX_EVENTS


def _is_name(name: str) -> bool:
    return 0 < len(name) <= MAX_NAME_LENGTH


def _are_names(names: Iterable[str]) -> bool:
    return all(map(_is_name, names))

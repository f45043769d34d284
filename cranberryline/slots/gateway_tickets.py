"""What one gateway told a keeper about its texts, and what it was granted since."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta

import attrs

from cranberryline.decisions.slot_model import RunningText, TextDemand

from .const import FORGET_AFTER
from .messages import HeldSlot, SlotExchange, SlotGranted, WaitingText

__all__ = ["GatewayTickets"]

MAX_REPLACED_STARTS = 4


@attrs.define
class _Granted:
    """A slot that the gateway has not confirmed yet; `text` is a text that uses it."""

    text: RunningText
    is_move: bool
    told: bool = False


class GatewayTickets:
    """The tickets of one run of a gateway's process at one shard."""

    def __init__(self, msg: SlotExchange, replaced: tuple[str, ...] = ()) -> None:
        self.node = msg.node
        self.start = msg.start
        self.replaced = replaced[-MAX_REPLACED_STARTS:]
        self.waiting: dict[int, TextDemand] = {}
        self.held: dict[int, RunningText] = {}
        self._number = -1
        self._received = timedelta()
        self._movable: frozenset[int] = frozenset()
        self._granted: dict[int, _Granted] = {}
        self._idle: Mapping[str, int] = {}

    def accept(
        self, msg: SlotExchange, now: timedelta, weights: Callable[[str, str], float]
    ) -> bool:
        """Replace all by an exchange; return False for one that is not newer."""
        if msg.number <= self._number:
            return False
        self._number = msg.number
        self._received = now
        known = frozenset(msg.connected)
        self._idle = _idle(msg)
        self.waiting = {row.ticket: self._demand(row, known, now, weights) for row in msg.waiting}
        self.held = {row.ticket: self._running(row, now) for row in msg.held}
        self._movable = frozenset(row.ticket for row in msg.held if row.may_move)
        self._granted = {
            ticket: grant for ticket, grant in self._granted.items() if self._stands(ticket, grant)
        }
        return True

    def is_newest(self, msg: SlotExchange) -> bool:
        """Return whether it is the last exchange that was taken in."""
        return msg.start == self.start and msg.number == self._number

    def is_forgotten(self, now: timedelta) -> bool:
        """Return whether it has been silent for so long that its tickets do not count."""
        return now - self._received >= FORGET_AFTER

    def demands(self) -> Iterator[TextDemand]:
        """Return the texts that wait without a grant."""
        return (text for ticket, text in self.waiting.items() if ticket not in self._granted)

    def running(self) -> Iterator[RunningText]:
        """Return the texts that use a slot, or were granted one."""
        yield from self.held.values()
        yield from (grant.text for grant in self._granted.values() if not grant.is_move)

    def movable(self) -> Iterator[RunningText]:
        """Return the texts that may move, and have not been told to."""
        return (self.held[ticket] for ticket in self._movable if ticket not in self._granted)

    def occupied(self) -> Iterator[str]:
        """Return the engine of each slot that is used, granted or reserved."""
        yield from (text.engine for text in self.held.values())
        yield from (grant.text.engine for grant in self._granted.values())

    def idle(self) -> Mapping[str, int]:
        """Return the idle connections by engine that no grant takes which is not confirmed."""
        taken = Counter(grant.text.engine for grant in self._granted.values())
        return {engine: count - taken[engine] for engine, count in self._idle.items()}

    def grant(self, ticket: int, engine: str, now: timedelta) -> None:
        """Grant a slot of an engine to a waiting text."""
        self._granted[ticket] = _Granted(_granted_text(self.waiting[ticket], engine, now), False)

    def reserve(self, ticket: int, engine: str, now: timedelta) -> None:
        """Reserve a slot of another engine for a text that uses one."""
        text = attrs.evolve(self.held[ticket], engine=engine, since=now)
        self._granted[ticket] = _Granted(text, True)

    def has_news(self) -> bool:
        """Return whether the gateway should be answered at once."""
        return any(not grant.is_move or not grant.told for grant in self._granted.values())

    def tell(self) -> tuple[tuple[SlotGranted, ...], tuple[SlotGranted, ...]]:
        """Return the grants and the moves that stand, as the gateway is told now."""
        grants, moves = [], []
        for ticket, grant in self._granted.items():
            grant.told = True
            rows = moves if grant.is_move else grants
            rows.append(SlotGranted(ticket, grant.text.engine))
        return tuple(grants), tuple(moves)

    def _stands(self, ticket: int, grant: _Granted) -> bool:
        """Return whether a grant is still wanted and not confirmed by the last exchange."""
        if not grant.is_move:
            return ticket in self.waiting
        held = self.held.get(ticket)
        if held is None or ticket not in self._movable:
            return False
        return held.engine != grant.text.engine

    def _demand(
        self,
        row: WaitingText,
        connected: frozenset[str],
        now: timedelta,
        weights: Callable[[str, str], float],
    ) -> TextDemand:
        """Return a waiting text in the keeper's time."""
        known = self.waiting.get(row.ticket)
        return TextDemand(
            key=(self.node, row.ticket),
            trainer=row.trainer,
            due=now + timedelta(milliseconds=row.due_ms),
            arrived=now if known is None else known.arrived,
            events_left=row.events_left,
            group_events_left=row.group_events_left,
            model=row.model,
            min_version=row.min_version,
            rank=row.rank,
            weight=weights(row.trainer, row.workspace),
            avoid=frozenset(row.avoid),
            connected=connected.union(row.connected) if row.connected else connected,
            gateway=self.node,
            workspace=row.workspace,
        )

    def _running(self, row: HeldSlot, now: timedelta) -> RunningText:
        """Return a text that uses a slot in the keeper's time."""
        return RunningText(
            key=(self.node, row.ticket),
            trainer=row.trainer,
            engine=row.upstream,
            since=self._since(row, now),
            due=now + timedelta(milliseconds=row.due_ms),
            events_left=row.events_left,
            group_events_left=row.group_events_left,
            model=row.model,
            min_version=row.min_version,
            workspace=row.workspace,
        )

    def _since(self, row: HeldSlot, now: timedelta) -> timedelta:
        """Return when the slot was granted, or first listed as held."""
        held = self.held.get(row.ticket)
        if held is not None and held.engine == row.upstream:
            return held.since
        granted = self._granted.get(row.ticket)
        if granted is not None and granted.text.engine == row.upstream:
            return granted.text.since
        return now


def _idle(msg: SlotExchange) -> Mapping[str, int]:
    """Return the idle connections by engine; one that only a text's row names counts once."""
    idle = dict.fromkeys((name for row in msg.waiting for name in row.connected), 1)
    return idle | Counter(msg.connected)


def _granted_text(text: TextDemand, engine: str, now: timedelta) -> RunningText:
    """Return a waiting text as it uses the slot that it is granted."""
    return RunningText(
        key=text.key,
        trainer=text.trainer,
        engine=engine,
        since=now,
        due=text.due,
        events_left=text.events_left,
        group_events_left=text.group_events_left,
        model=text.model,
        min_version=text.min_version,
        workspace=text.workspace,
    )

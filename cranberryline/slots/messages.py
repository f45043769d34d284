"""Messages in which gateways ask the keeper of an engine service's slots for them."""

import msgspec

__all__ = [
    "EXCHANGES",
    "ANSWERS",
    "HeldSlot",
    "RejectedText",
    "SlotAnswer",
    "SlotExchange",
    "SlotGranted",
    "WaitingText",
]


class WaitingText(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A text that waits for a slot; see `TextDemand`. `due_ms` counts from the message."""

    ticket: int
    trainer: str
    due_ms: int
    events_left: float
    group_events_left: float
    model: str = ""
    min_version: int | None = None
    rank: int = 0
    avoid: tuple[str, ...] = ()
    connected: tuple[str, ...] = ()
    workspace: str = ""


class HeldSlot(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A slot that a text uses, granted or taken without a grant; see `RunningText`."""

    ticket: int
    upstream: str
    trainer: str
    due_ms: int
    events_left: float
    group_events_left: float
    model: str = ""
    min_version: int | None = None
    may_move: bool = False
    workspace: str = ""


class RejectedText(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """An upstream did not run a text, or failed while it ran one; `end` is a value of `RunEnd`."""

    upstream: str
    model: str
    end: str


class SlotExchange(msgspec.Struct, array_like=True, frozen=True):
    """All that a gateway holds and waits for at one service; replaces its previous exchange.

    `start` identifies this run of the gateway's process and `number` grows with each exchange of
    it, so that a delayed one is recognized. `shard` of `shards` is the part of the service's
    engines that the keeper is asked about. `rates` are the events per second of single texts that
    were measured since its previous exchange with this keeper. `wait_ms` is how long the answer may
    be delayed until there is a grant. `connected` are the engines to which the gateway has idle
    connections, for all its texts; a name stands once for each connection.
    """

    node: str
    start: str
    number: int
    service: str
    shard: int
    shards: int
    wait_ms: int
    waiting: tuple[WaitingText, ...] = ()
    held: tuple[HeldSlot, ...] = ()
    rejected: tuple[RejectedText, ...] = ()
    rates: tuple[tuple[str, float], ...] = ()
    connected: tuple[str, ...] = ()


class SlotGranted(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A slot for a waiting text, or one to which a running text should move."""

    ticket: int
    upstream: str


class SlotAnswer(msgspec.Struct, array_like=True, frozen=True):
    """The grants that stand for the gateway's tickets when the exchange is answered.

    `problem` is empty, or says why the exchange was not accepted. `waits` is, by trainer, how many
    texts of all gateways wait and how many slots they hold. `capped` are the
    tickets that wait because the slots of their trainer or workspace are limited.
    """

    number: int
    problem: str = ""
    grants: tuple[SlotGranted, ...] = ()
    moves: tuple[SlotGranted, ...] = ()
    waits: tuple[tuple[str, int, int], ...] = ()
    capped: tuple[int, ...] = ()


EXCHANGES = msgspec.msgpack.Decoder(SlotExchange)
ANSWERS = msgspec.msgpack.Decoder(SlotAnswer)

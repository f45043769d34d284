"""The messages between entries and side processes.

Each message travels as two frames: its class name and its fields as a MessagePack array. Times are
durations in milliseconds, since the clocks of two machines differ. Request ids are chosen by the
entry and never reused within its incarnation.
"""

from typing import Any

import attrs

__all__ = [
    "Cancel",
    "Chunk",
    "ConfigDelta",
    "ConfigRequest",
    "Credit",
    "Drain",
    "DrainAck",
    "End",
    "Failed",
    "Granted",
    "Head",
    "Heartbeat",
    "HeartbeatAck",
    "Hello",
    "Load",
    "Members",
    "Message",
    "NotRun",
    "Offer",
    "PeerAnswer",
    "PeerRequest",
    "Submit",
    "Welcome",
    "Withdraw",
    "Withdrawn",
]


@attrs.frozen
class Message:
    """Anything that travels between two of our processes."""


@attrs.frozen
class Hello(Message):
    """Open a connection: who dials, and how much configuration it has."""

    vm_id: str
    incarnation: str
    role: str
    data_center: str
    config_offset: int


@attrs.frozen
class Welcome(Message):
    """Answer a Hello: who was reached, in which life."""

    vm_id: str
    incarnation: str
    service: str
    data_center: str
    config_offset: int
    draining: bool


@attrs.frozen
class Offer(Message):
    """Ask for room for a request with a long body; the request follows once it is Granted."""

    id: int
    size: int


@attrs.frozen
class Granted(Message):
    """Say that there is room for the body of an offered request."""

    id: int


@attrs.frozen
class Submit(Message):
    """Hand over one request; only the incarnation named may run it."""

    id: int
    incarnation: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    budget_ms: int
    priority: int
    idempotent: bool
    key: str
    tokens: int


@attrs.frozen
class Withdraw(Message):
    """Ask that a request not be run; the answer is Withdrawn."""

    id: int


@attrs.frozen
class Withdrawn(Message):
    """Say what became of a withdrawn request: `not_run` is final, also for a late Submit."""

    id: int
    outcome: str


@attrs.frozen
class Cancel(Message):
    """Stop a request that may be running; nobody waits for its answer any more."""

    id: int


@attrs.frozen
class Head(Message):
    """Begin an answer."""

    id: int
    status: int
    headers: tuple[tuple[str, str], ...]


@attrs.frozen
class Chunk(Message):
    """Carry a part of an answer's body; `seq` counts from 0 without gaps."""

    id: int
    seq: int
    data: bytes


@attrs.frozen
class End(Message):
    """End an answer; without it, and without `chunks` of them, the answer is not whole."""

    id: int
    chunks: int


@attrs.frozen
class NotRun(Message):
    """Vouch that the request was not run and never will be in this life."""

    id: int
    reason: str
    retry_after_ms: int


@attrs.frozen
class Failed(Message):
    """End a request that was started: `ran` is `yes` or `unknown`."""

    id: int
    reason: str
    ran: str


@attrs.frozen
class Credit(Message):
    """Allow that many more bytes of an answer's body to be sent."""

    id: int
    size: int


@attrs.frozen
class Heartbeat(Message):
    """Ask for a sign of life; tells how much configuration the sender has."""

    seq: int
    config_offset: int


@attrs.frozen
class HeartbeatAck(Message):
    """Answer a Heartbeat."""

    seq: int
    config_offset: int


@attrs.frozen
class Load(Message):
    """Report load: of the side process itself, and of its engine as the engine last said."""

    running: int
    queued: int
    queued_tokens: int
    slots: int
    weight_version: int | None
    config_offset: int


@attrs.frozen
class Drain(Message):
    """Announce a planned stop: no new work from now on."""

    incarnation: str
    deadline_ms: int


@attrs.frozen
class DrainAck(Message):
    """Say that the announcement was read: no new work comes behind this over the connection."""

    incarnation: str


@attrs.frozen
class ConfigRequest(Message):
    """Ask for the records from an offset on."""

    start: int


@attrs.frozen
class ConfigDelta(Message):
    """Carry records of the configuration stream, contiguous from `start` up to before `next`.

    Each record is (offset, ISO time, id, data). With `base`, the fold as of `start - 1` comes too,
    for a receiver that lacks what the log no longer keeps.
    """

    start: int
    next: int
    records: tuple[tuple[int, str, str, dict[str, Any]], ...]
    base: dict[str, Any] | None = None


@attrs.frozen
class PeerRequest(Message):
    """Carry a trainer's call from the entry that took it to the entry that owns its step."""

    id: int
    method: str
    path: str
    body: bytes
    budget_ms: int


@attrs.frozen
class PeerAnswer(Message):
    """Answer a PeerRequest with the HTTP status and body for the trainer."""

    id: int
    status: int
    body: bytes


@attrs.frozen
class Members(Message):
    """Tell a side process which VMs serve its service, itself included.

    Of a large service only the count is told, and `ids` is empty.
    """

    service: str
    ids: tuple[str, ...]
    count: int

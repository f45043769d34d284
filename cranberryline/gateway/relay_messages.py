"""What gateways ask each other about the store, and what they answer."""

from typing import Annotated

import msgspec

__all__ = ["ANSWERS", "CALLS", "RelayAnswer", "RelayAppend", "RelayNewest", "RelayRead"]

# A century; a longer time would overflow.
_MAX_SILENT_MS = 100 * 366 * 86_400_000


class RelayAppend(msgspec.Struct, array_like=True, frozen=True, tag="append"):
    """Ask a peer to append."""

    topic: str
    part: int
    records: list[bytes]
    timeout_ms: int
    at: int | None = None


class RelayRead(msgspec.Struct, array_like=True, frozen=True, tag="read"):
    """Ask a peer to read."""

    topic: str
    part: int
    start: int
    wait_ms: int
    timeout_ms: int


class RelayNewest(msgspec.Struct, array_like=True, frozen=True, tag="newest"):
    """Ask a peer for the newest records of a topic."""

    topic: str
    timeout_ms: int


class RelayAnswer(msgspec.Struct, array_like=True, frozen=True):
    """What a peer got: numbers and records, or the problem."""

    problem: str = ""
    detail: str = ""
    first: int = 0
    second: int = 0
    records: list[bytes] = []
    keys: list[tuple[str, bytes, int]] = []
    # How long the store has answered this peer nothing at all, in milliseconds; -1 if it never did.
    silent_ms: Annotated[int, msgspec.Meta(ge=-1, le=_MAX_SILENT_MS)] = -1


CALLS = msgspec.msgpack.Decoder(RelayAppend | RelayRead | RelayNewest)
ANSWERS = msgspec.msgpack.Decoder(RelayAnswer)

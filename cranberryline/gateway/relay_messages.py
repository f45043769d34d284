"""Messages in which gateways relay store calls to each other, and their answers."""

from typing import Annotated

import msgspec

__all__ = ["ANSWERS", "CALLS", "RelayAnswer", "RelayAppend", "RelayNewest", "RelayRead"]

# 100 years; the largest values that the format permits would overflow a timedelta.
_MAX_SILENT_MS = 100 * 366 * 86_400_000


class RelayAppend(msgspec.Struct, array_like=True, frozen=True, tag="append"):
    """Ask a peer to append records to a partition; see `SharedLog.async_append` for the fields."""

    topic: str
    part: int
    records: list[bytes]
    timeout_ms: int
    at: int | None = None


class RelayRead(msgspec.Struct, array_like=True, frozen=True, tag="read"):
    """Ask a peer to read a partition; see `SharedLog.async_read` for the fields."""

    topic: str
    part: int
    start: int
    wait_ms: int
    timeout_ms: int


class RelayNewest(msgspec.Struct, array_like=True, frozen=True, tag="newest"):
    """Ask a peer for the newest record of each key of a topic."""

    topic: str
    timeout_ms: int


class RelayAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Result of a relayed call.

    `problem` is empty on success, otherwise a value of `StoreProblem`. `first` and `second` are the
    offset of the first record and the end of the partition. On errors, `first` is the position of
    the `StoreError`. `keys` has the key, value and offset of each newest record.
    """

    problem: str = ""
    detail: str = ""
    first: int = 0
    second: int = 0
    records: list[bytes] = []
    keys: list[tuple[str, bytes, int]] = []
    # Milliseconds since the store last answered any call of this peer; -1 if it never did, or if
    # the call succeeded.
    silent_ms: Annotated[int, msgspec.Meta(ge=-1, le=_MAX_SILENT_MS)] = -1


CALLS = msgspec.msgpack.Decoder(RelayAppend | RelayRead | RelayNewest)
ANSWERS = msgspec.msgpack.Decoder(RelayAnswer)

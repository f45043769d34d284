"""Relay of configuration records between processes: what to take, what to send, to whom.

A `ConfigRequest` says "I have all before `start`"; it asks, and it acknowledges. A `ConfigDelta` is
answered by a request when it carried something or left a gap, and by nothing when it was empty, so
an exchange ends. Loss is repaired by sending again to peers that have not acknowledged.
"""

import abc
from collections import Counter, deque
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import attrs
from result import Err, Ok

from cranberryline.ports.model import LogRecord
from cranberryline.transport.model import ConfigDelta, ConfigRequest, Message

from .const import MAX_DELTA_BYTES, MAX_DELTA_RECORDS, RECORDS_KEPT
from .fold import ConfigFold
from .snapshot import Snapshot, read_snapshot
from .wire import encoded_size, sanitize_record

__all__ = ["ConfigRelay", "DeltaTaken", "RelayPort"]

DROP_BAD_DELTA = "config_bad_delta"
DROP_BAD_REQUEST = "config_bad_request"


class RelayPort(abc.ABC):
    """The connections over which configuration is relayed; a peer is named by its VM id."""

    @abc.abstractmethod
    def entry_peers(self) -> Iterable[str]:
        """Return the connected entries."""

    @abc.abstractmethod
    def side_peers(self) -> Iterable[str]:
        """Return the connected side processes."""

    @abc.abstractmethod
    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer; one that cannot be sent is dropped and counted."""


@attrs.frozen
class DeltaTaken:
    """What a delta did: records applied, the reply to send, whether it held all its sender has."""

    applied: int
    reply: ConfigRequest | None = None
    complete: bool = False
    refused: str = ""


class ConfigRelay:
    """A fold, the latest records, and how far each peer is known to be."""

    def __init__(self, fold: ConfigFold, records_kept: int = RECORDS_KEPT) -> None:
        self.fold = fold
        self.refusals: Counter[str] = Counter()
        self._records: deque[LogRecord] = deque(maxlen=records_kept)
        self._sizes: deque[int] = deque(maxlen=records_kept)
        self._known: dict[str, int] = {}

    def fold_record(self, record: LogRecord) -> bool:
        """Fold a record and keep it for peers; return whether the fold moved on."""
        before = self.fold.offset
        record = sanitize_record(record)
        self.fold.apply(record)
        if self.fold.offset == before:
            return False
        self._records.append(record)
        self._sizes.append(encoded_size(record))
        return True

    def install(self, snapshot: Snapshot) -> bool:
        """Move the fold to a newer snapshot; the records kept before it no longer connect."""
        if not self.fold.install(snapshot):
            return False
        self._records.clear()
        self._sizes.clear()
        return True

    def delta_since(self, start: int) -> ConfigDelta:
        """Return records from an offset on, or the whole fold where they are no longer held."""
        after = self.fold.offset + 1
        if start >= after:
            return ConfigDelta(after, after, ())
        if not self._records or self._records[0].offset > start:
            return ConfigDelta(after, after, (), self.fold.snapshot())
        skip = start - self._records[0].offset
        rows = tuple(_row(self._records[i]) for i in range(skip, self._stop(skip)))
        return ConfigDelta(start, start + len(rows), rows)

    def _stop(self, skip: int) -> int:
        size = 0
        longest = min(len(self._records), skip + MAX_DELTA_RECORDS)
        for i in range(skip, longest):
            size += self._sizes[i]
            if size > MAX_DELTA_BYTES and i > skip:
                return i
        return longest

    def known(self, peer: str) -> int | None:
        """Return the offset that a peer is known to have, or None."""
        return self._known.get(peer)

    def set_known(self, peer: str, offset: int) -> None:
        """Note the offset that a peer said it has."""
        self._known[peer] = offset

    def forget(self, peer: str) -> None:
        """Forget a peer whose connection ended; it may come back with less."""
        self._known.pop(peer, None)

    def behind(self, peer: str) -> bool:
        """Return whether a peer is not known to have all that we have."""
        known = self._known.get(peer)
        return known is None or known < self.fold.offset

    def push_for(self, peer: str) -> ConfigDelta:
        """Return what to send to a peer that is behind.

        To one whose offset is unknown goes an empty delta: it lacks what comes before and asks.
        """
        known = self._known.get(peer)
        return self.delta_since(self.fold.offset + 1 if known is None else known + 1)

    def on_request(self, peer: str, request: ConfigRequest) -> Message | None:
        """Note what a peer has and return the answer; None for a request that cannot be one."""
        start = request.start
        if not _is_int(start) or start < 1:
            self.refusals[DROP_BAD_REQUEST] += 1
            return None
        self._known[peer] = start - 1
        if start > self.fold.offset + 1:
            return ConfigRequest(self.fold.offset + 1)
        return self.delta_since(start)

    def on_delta(self, peer: str, delta: ConfigDelta) -> DeltaTaken:
        """Take a delta: only what is next is folded, and nothing of one that is not whole."""
        records = _read_rows(delta)
        base = _read_base(delta)
        if records is None or (delta.base is not None and base is None):
            self.refusals[DROP_BAD_DELTA] += 1
            return DeltaTaken(0, refused=DROP_BAD_DELTA)
        self._known[peer] = max(self._known.get(peer, 0), delta.next - 1)
        before = self.fold.offset
        if base is not None:
            self.install(base)
        # Folding past a gap would leave this process without a record that all others have, for
        # good. Asking for what is missing is enough, since the sender has it or a newer snapshot.
        if delta.start > self.fold.offset + 1:
            return DeltaTaken(0, ConfigRequest(self.fold.offset + 1))
        for record in records:
            if record.offset > self.fold.offset:
                self.fold_record(record)
        carried = bool(records) or base is not None
        reply = ConfigRequest(self.fold.offset + 1) if carried else None
        # More may follow what was carried; only "nothing newer" says that this is all.
        return DeltaTaken(self.fold.offset - before, reply, complete=not carried)


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _row(record: LogRecord) -> tuple[int, str, str, dict[str, Any]]:
    return record.offset, record.time.isoformat(), record.id, record.data


def _read_rows(delta: ConfigDelta) -> list[LogRecord] | None:
    if not _is_int(delta.start) or not _is_int(delta.next) or not 1 <= delta.start <= delta.next:
        return None
    if not isinstance(delta.records, tuple | list):
        return None
    if len(delta.records) != delta.next - delta.start:
        return None
    records = []
    for offset, row in enumerate(delta.records, delta.start):
        record = _read_row(offset, row)
        if record is None:
            return None
        records.append(record)
    return records


def _read_row(offset: int, row: Any) -> LogRecord | None:
    match row:
        case [int() as found, str() as time, str() as record_id, data] if found == offset:
            try:
                return LogRecord(offset, datetime.fromisoformat(time), record_id, data)
            except ValueError:
                return None
        case _:
            return None


def _read_base(delta: ConfigDelta) -> Snapshot | None:
    if delta.base is None:
        return None
    match read_snapshot(delta.base):
        case Ok(snapshot) if snapshot.as_of == delta.start - 1:
            return snapshot
        case Ok(_) | Err(_):
            return None
    return None

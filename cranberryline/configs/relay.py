"""Relay of configuration records between processes."""

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

__all__ = ["ConfigRelay", "DeltaResult", "RelayPort"]

DROP_BAD_DELTA = "config_bad_delta"
DROP_BAD_REQUEST = "config_bad_request"


class RelayPort(abc.ABC):
    """Connections that relay configuration records; a peer is identified by its VM id."""

    @abc.abstractmethod
    def entry_peers(self) -> Iterable[str]:
        """Return the connected entries."""

    @abc.abstractmethod
    def side_peers(self) -> Iterable[str]:
        """Return the connected side processes."""

    @abc.abstractmethod
    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer; a message that cannot be sent is dropped and counted."""


@attrs.frozen
class DeltaResult:
    """Result of applying a delta.

    `applied` is the number of offsets that the fold advanced, `reply` the acknowledgement or
    request to send. `complete` is True if the sender has no newer records, and `refused` is the
    drop reason of an invalid delta.
    """

    applied: int
    reply: ConfigRequest | None = None
    complete: bool = False
    refused: str = ""


class ConfigRelay:
    """Exchanges records with peers, and tracks the offset that each peer has acknowledged.

    A `ConfigRequest` acknowledges all records before `start` and requests those from `start` on. A
    `ConfigDelta` with records, a snapshot or a gap is answered by a request; an empty delta without
    a gap is not answered, which ends the exchange. Lost messages are repaired by sending again to
    peers that have not acknowledged.
    """

    def __init__(self, fold: ConfigFold, records_kept: int = RECORDS_KEPT) -> None:
        self.fold = fold
        self.refusals: Counter[str] = Counter()
        self._records: deque[LogRecord] = deque(maxlen=records_kept)
        self._sizes: deque[int] = deque(maxlen=records_kept)
        self._acknowledged: dict[str, int] = {}

    def fold_record(self, record: LogRecord) -> bool:
        """Fold a record and keep it for peers; return whether the fold advanced."""
        before = self.fold.offset
        record = sanitize_record(record)
        self.fold.apply(record)
        if self.fold.offset == before:
            return False
        self._records.append(record)
        self._sizes.append(encoded_size(record))
        return True

    def install(self, snapshot: Snapshot) -> bool:
        """Install a newer snapshot, and discard the kept records, which are older than it."""
        if not self.fold.install(snapshot):
            return False
        self._records.clear()
        self._sizes.clear()
        return True

    def delta_since(self, start: int) -> ConfigDelta:
        """Return the records from `start` on, or a snapshot if they are no longer kept."""
        next_offset = self.fold.offset + 1
        if start >= next_offset:
            return ConfigDelta(next_offset, next_offset, ())
        if not self._records or self._records[0].offset > start:
            return ConfigDelta(next_offset, next_offset, (), self.fold.snapshot())
        first_index = start - self._records[0].offset
        rows = tuple(
            _record_to_row(self._records[i])
            for i in range(first_index, self._stop_index(first_index))
        )
        return ConfigDelta(start, start + len(rows), rows)

    def _stop_index(self, first_index: int) -> int:
        size = 0
        max_stop = min(len(self._records), first_index + MAX_DELTA_RECORDS)
        for i in range(first_index, max_stop):
            size += self._sizes[i]
            if size > MAX_DELTA_BYTES and i > first_index:
                return i
        return max_stop

    def acknowledged(self, peer: str) -> int | None:
        """Return the last offset that a peer has acknowledged, or None if unknown."""
        return self._acknowledged.get(peer)

    def set_acknowledged(self, peer: str, offset: int) -> None:
        """Set the last offset that a peer has acknowledged."""
        self._acknowledged[peer] = offset

    def forget(self, peer: str) -> None:
        """Remove a disconnected peer; it may reconnect with an older offset."""
        self._acknowledged.pop(peer, None)

    def is_behind(self, peer: str) -> bool:
        """Return whether a peer has not acknowledged all records of this process."""
        acknowledged = self._acknowledged.get(peer)
        return acknowledged is None or acknowledged < self.fold.offset

    def delta_for(self, peer: str) -> ConfigDelta:
        """Return the delta to send to a peer that is behind.

        A peer with an unknown offset gets an empty delta at the current offset, and requests the
        records that it lacks.
        """
        acknowledged = self._acknowledged.get(peer)
        return self.delta_since(self.fold.offset + 1 if acknowledged is None else acknowledged + 1)

    def on_request(self, peer: str, request: ConfigRequest) -> Message | None:
        """Store the acknowledged offset and return the response; None for an invalid request."""
        start = request.start
        if not _is_int(start) or start < 1:
            self.refusals[DROP_BAD_REQUEST] += 1
            return None
        self._acknowledged[peer] = start - 1
        if start > self.fold.offset + 1:
            return ConfigRequest(self.fold.offset + 1)
        return self.delta_since(start)

    def on_delta(self, peer: str, delta: ConfigDelta) -> DeltaResult:
        """Apply a delta; fold only consecutive records, and nothing of an invalid delta."""
        records = _read_rows(delta)
        base = _read_base(delta)
        if records is None or (delta.base is not None and base is None):
            self.refusals[DROP_BAD_DELTA] += 1
            return DeltaResult(0, refused=DROP_BAD_DELTA)
        self._acknowledged[peer] = max(self._acknowledged.get(peer, 0), delta.next - 1)
        before = self.fold.offset
        if base is not None:
            self.install(base)
        # Folding past a gap would permanently omit a record that all other processes have. The
        # sender can supply the missing records or a newer snapshot, so request them.
        if delta.start > self.fold.offset + 1:
            return DeltaResult(0, ConfigRequest(self.fold.offset + 1))
        for record in records:
            if record.offset > self.fold.offset:
                self.fold_record(record)
        has_content = bool(records) or base is not None
        reply = ConfigRequest(self.fold.offset + 1) if has_content else None
        # More records may follow a delta with content; only an empty delta means no newer records.
        return DeltaResult(self.fold.offset - before, reply, complete=not has_content)


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _record_to_row(record: LogRecord) -> tuple[int, str, str, dict[str, Any]]:
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

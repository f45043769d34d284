"""Snapshots of the fold, which are stored in checkpoints and sent to processes that start."""

import hashlib
import json
from typing import Any

import attrs
from result import Err, Ok, Result

from .const import (
    ATTR_AMENDS,
    ATTR_AS_OF,
    ATTR_AUTHOR,
    ATTR_CHECKPOINT,
    ATTR_DIGEST,
    ATTR_ENTRIES,
    ATTR_ID,
    ATTR_KIND,
    ATTR_NAME,
    ATTR_OFFSET,
    ATTR_READS,
    ATTR_SCHEMA,
    ATTR_SNAPSHOT,
    ATTR_SPEC,
    ATTR_TIME,
    ATTR_UNREAD,
    CHECKPOINT_SCHEMA,
)
from .envelope import Amendment, read_amendment, read_amendment_spec
from .model import Kind, Revision, Spec
from .schema import known_schemas

__all__ = [
    "Checkpoint",
    "LastCheckpoint",
    "Snapshot",
    "SnapshotError",
    "UnreadableRecord",
    "checkpoint_data",
    "digest_of",
    "supported_schemas",
    "read_checkpoint",
    "revision_digest",
    "read_snapshot",
]

DIGEST_BITS = 256


@attrs.frozen
class UnreadableRecord:
    """A record in a schema version that this release does not support.

    It is kept in snapshots so that a process of a newer release can put it in force.
    """

    offset: int
    time: str
    id: str
    amendment: Amendment

    def as_revision(self, spec: Spec | None) -> Revision:
        """Return the record as a revision with the given spec."""
        amendment = self.amendment
        return Revision(
            self.offset,
            self.time,
            self.id,
            amendment.kind,
            amendment.name,
            amendment.schema,
            amendment.amends,
            amendment.raw,
            spec,
            amendment.author,
        )


@attrs.frozen
class LastCheckpoint:
    """The last checkpoint folded: the offset that it covers, its own offset, and its time."""

    as_of: int = 0
    offset: int = 0
    time: str = ""


@attrs.frozen
class Snapshot:
    """The state of the fold at the offset `as_of`.

    `reads` has the schema versions, by kind, that the writer of the snapshot supports.
    """

    as_of: int
    entries: tuple[Revision, ...]
    unread: tuple[UnreadableRecord, ...]
    reads: dict[str, list[int]]
    last_checkpoint: LastCheckpoint = LastCheckpoint()


@attrs.frozen
class Checkpoint:
    """A checkpoint record: a snapshot and the digest of its entries.

    A process that folded every record up to `as_of` must have the same digest.
    """

    snapshot: Snapshot
    digest: int


@attrs.frozen
class SnapshotError:
    """The reason why a snapshot was rejected."""

    detail: str


def supported_schemas() -> dict[str, list[int]]:
    """Return the schema versions that this release supports, by kind."""
    return {kind.value: known_schemas(kind) for kind in Kind if kind is not Kind.CHECKPOINT}


def revision_digest(revision: Revision) -> int:
    """Return the digest of a revision, which does not include the record's time."""
    fields = [
        revision.kind.value,
        revision.name,
        revision.offset,
        revision.id,
        revision.schema,
        revision.amends,
        revision.raw,
    ]
    text = json.dumps(fields, sort_keys=True, separators=(",", ":"))
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), "big")


def digest_of(revisions: tuple[Revision, ...]) -> int:
    """Return the digest of a set of revisions.

    It is the sum of their digests, so that it can be updated when one revision changes.
    """
    return sum(revision_digest(revision) for revision in revisions) % 2**DIGEST_BITS


def revision_data(revision: Revision) -> dict[str, Any]:
    """Return a revision in the form that it has in a snapshot."""
    return {
        ATTR_OFFSET: revision.offset,
        ATTR_TIME: revision.time,
        ATTR_ID: revision.id,
        ATTR_KIND: revision.kind.value,
        ATTR_NAME: revision.name,
        ATTR_SCHEMA: revision.schema,
        ATTR_AMENDS: revision.amends,
        ATTR_SPEC: revision.raw,
        ATTR_AUTHOR: revision.author,
    }


def snapshot_data(snapshot: Snapshot) -> dict[str, Any]:
    """Return a snapshot as JSON data."""
    unread = [
        {ATTR_OFFSET: u.offset, ATTR_TIME: u.time, ATTR_ID: u.id, **u.amendment.as_dict()}
        for u in snapshot.unread
    ]
    return {
        ATTR_AS_OF: snapshot.as_of,
        ATTR_READS: snapshot.reads,
        ATTR_ENTRIES: [revision_data(revision) for revision in snapshot.entries],
        ATTR_UNREAD: unread,
        ATTR_CHECKPOINT: [
            snapshot.last_checkpoint.as_of,
            snapshot.last_checkpoint.offset,
            snapshot.last_checkpoint.time,
        ],
    }


def _is_offset(value: Any, high: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 < value <= high


def _read_row(row: Any, as_of: int) -> Result[UnreadableRecord, SnapshotError]:
    if not isinstance(row, dict):
        return Err(SnapshotError("a row is not a mapping"))
    rest = dict(row)
    offset, time, id_ = (rest.pop(key, None) for key in (ATTR_OFFSET, ATTR_TIME, ATTR_ID))
    if not _is_offset(offset, as_of) or not isinstance(time, str) or not isinstance(id_, str):
        return Err(SnapshotError("a row has an invalid offset, time or id"))
    match read_amendment(rest):
        case Err(error):
            return Err(SnapshotError(f"row {offset}: {error.detail}"))
        case Ok(amendment):
            return Ok(UnreadableRecord(offset, time, id_, amendment))


def _read_revision(row: Any, as_of: int) -> Result[Revision, SnapshotError]:
    record = _read_row(row, as_of)
    if isinstance(record, Err):
        return record
    unread = record.ok_value
    amendment = unread.amendment
    match read_amendment_spec(amendment):
        case Err(error):
            return Err(SnapshotError(f"row {unread.offset}: {error.detail}"))
        case Ok(spec):
            return Ok(unread.as_revision(spec))


def _read_last_checkpoint(value: Any) -> LastCheckpoint | None:
    match value:
        case [int() as as_of, int() as offset, str() as time] if 0 <= as_of <= offset:
            return LastCheckpoint(as_of, offset, time)
        case _:
            return None


def read_snapshot(data: Any) -> Result[Snapshot, SnapshotError]:
    """Parse a snapshot.

    One invalid row rejects the whole snapshot, because without it records would be missing.
    """
    if not isinstance(data, dict):
        return Err(SnapshotError("not a mapping"))
    as_of, rows = data.get(ATTR_AS_OF), data.get(ATTR_ENTRIES)
    reads, unread_rows = data.get(ATTR_READS), data.get(ATTR_UNREAD, [])
    if not isinstance(as_of, int) or isinstance(as_of, bool) or as_of < 0:
        return Err(SnapshotError("as_of is not a valid offset"))
    if not isinstance(rows, list | tuple) or not isinstance(unread_rows, list | tuple):
        return Err(SnapshotError("entries or unread is not a list"))
    if not isinstance(reads, dict):
        return Err(SnapshotError("reads is not a mapping"))
    entries: list[Revision] = []
    for row in rows:
        revision = _read_revision(row, as_of)
        if isinstance(revision, Err):
            return revision
        entries.append(revision.ok_value)
    unread: list[UnreadableRecord] = []
    for row in unread_rows:
        record = _read_row(row, as_of)
        if isinstance(record, Err):
            return record
        unread.append(record.ok_value)
    last_checkpoint = _read_last_checkpoint(data.get(ATTR_CHECKPOINT))
    if last_checkpoint is None:
        return Err(SnapshotError("the position of the last checkpoint is not valid"))
    if len({(entry.kind, entry.name) for entry in entries}) != len(entries):
        return Err(SnapshotError("two entries have the same kind and name"))
    return Ok(Snapshot(as_of, tuple(entries), tuple(unread), reads, last_checkpoint))


def checkpoint_data(snapshot: Snapshot) -> dict[str, Any]:
    """Return the data of a checkpoint record."""
    return {
        ATTR_KIND: Kind.CHECKPOINT.value,
        ATTR_SCHEMA: CHECKPOINT_SCHEMA,
        ATTR_DIGEST: f"{digest_of(snapshot.entries):064x}",
        ATTR_SNAPSHOT: snapshot_data(snapshot),
    }


def read_checkpoint(offset: int, data: dict[str, Any]) -> Result[Checkpoint, SnapshotError]:
    """Parse a checkpoint record.

    Its `as_of` must be lower than its own offset, and its digest must match its entries.
    """
    if data.get(ATTR_SCHEMA) != CHECKPOINT_SCHEMA:
        return Err(SnapshotError(f"checkpoint schema {data.get(ATTR_SCHEMA)!r} is not supported"))
    match read_snapshot(data.get(ATTR_SNAPSHOT)):
        case Err(error):
            return Err(error)
        case Ok(snapshot):
            digest = digest_of(snapshot.entries)
            if data.get(ATTR_DIGEST) != f"{digest:064x}":
                return Err(SnapshotError("the digest does not match the entries"))
            if snapshot.as_of >= offset:
                return Err(SnapshotError("as_of is not lower than the offset of the record"))
            return Ok(Checkpoint(snapshot, digest))

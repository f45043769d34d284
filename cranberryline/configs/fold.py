"""Deterministic fold of the configuration stream into the configuration in force.

Every process runs the same fold over the same log, so all reach the same state.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryline.ports.model import LogRecord

from .const import (
    ATTR_KIND,
    HISTORY_LENGTH,
    MAX_DIGESTS_KEPT,
    MAX_RESULTS_KEPT,
    MAX_UNREAD,
)
from .envelope import Amendment, EnvelopeError, read_amendment, read_amendment_spec
from .errors import Rejected, RejectReason
from .model import CallerSpec, Kind, Revision, ServiceSpec, Spec, TrainerSpec, WeightsSpec
from .snapshot import (
    DIGEST_BITS,
    LastCheckpoint,
    Snapshot,
    SnapshotError,
    UnreadableRecord,
    read_checkpoint,
    read_snapshot,
    revision_digest,
    snapshot_data,
    supported_schemas,
)

__all__ = ["Applied", "ApplyResult", "ConfigFold"]

Key = tuple[Kind, str]
Listener = Callable[[Revision], None]


@attrs.frozen
class Applied:
    """Result of folding a valid record.

    `revision` is None for a checkpoint, which changes no configuration. `digest_matches` is False
    for a checkpoint whose digest differs from the digest of this process at the same offset.
    """

    offset: int
    revision: Revision | None
    digest_matches: bool = True


ApplyResult = Result[Applied, Rejected]


class ConfigFold:
    """Folds records in log order into the configuration in force.

    The offset never decreases and never skips a record. Two folds at the same offset hold the same
    revisions, whether they were built from records, a checkpoint or the snapshot of a peer.
    """

    def __init__(self) -> None:
        self._offset = 0
        self._entries: dict[Key, Revision] = {}
        self._unread: OrderedDict[Key, UnreadableRecord] = OrderedDict()
        self._history: dict[Key, deque[Revision]] = {}
        self._results: OrderedDict[int, ApplyResult] = OrderedDict()
        self._offsets_by_id: OrderedDict[str, int] = OrderedDict()
        self._digest = 0
        self._digests: deque[tuple[int, int]] = deque([(0, 0)], maxlen=MAX_DIGESTS_KEPT)
        self._listeners: list[Listener] = []
        self.rejections: Counter[RejectReason] = Counter()
        self.digest_mismatches = 0
        self.checkpoint = LastCheckpoint()

    @property
    def offset(self) -> int:
        """Return the offset of the last folded record, or 0 before the first record."""
        return self._offset

    @property
    def digest(self) -> int:
        """Return the digest of the revisions in force."""
        return self._digest

    def listen(self, listener: Listener) -> None:
        """Register a callback that receives each revision when it comes into force."""
        self._listeners.append(listener)

    def get(self, kind: Kind, name: str) -> Revision | None:
        """Return the revision in force, or None if the record does not exist or was deleted."""
        revision = self._entries.get((Kind(kind), name))
        return revision if revision is not None and revision.raw is not None else None

    def current_revision(self, kind: Kind, name: str) -> int:
        """Return the revision number that the next amendment must name in `amends`.

        0 if the record never existed; a deletion has a revision number too.
        """
        revision = self._entries.get((Kind(kind), name))
        return 0 if revision is None else revision.offset

    def records(self, kind: Kind | None = None) -> list[Revision]:
        """Return the revisions in force, sorted by kind and name."""
        return [
            revision
            for key, revision in sorted(self._entries.items())
            if revision.raw is not None and kind in (None, key[0])
        ]

    def unread(self) -> list[UnreadableRecord]:
        """Return the records whose schema version only a newer release can read."""
        return list(self._unread.values())

    def services(self) -> dict[str, ServiceSpec]:
        """Return the services in force by name."""
        return self._specs(Kind.SERVICE, ServiceSpec)

    def trainers(self) -> dict[str, TrainerSpec]:
        """Return the trainers in force by name."""
        return self._specs(Kind.TRAINER, TrainerSpec)

    def callers(self) -> dict[str, CallerSpec]:
        """Return the callers in force by name."""
        return self._specs(Kind.CALLER, CallerSpec)

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service in force, or None; takes constant time."""
        return self._spec(Kind.SERVICE, name, ServiceSpec)

    def trainer(self, name: str) -> TrainerSpec | None:
        """Return a trainer in force, or None; takes constant time."""
        return self._spec(Kind.TRAINER, name, TrainerSpec)

    def weights(self, service: str) -> tuple[WeightsSpec, int] | None:
        """Return the weights in force for a service and their fencing token (the revision)."""
        revision = self.get(Kind.WEIGHTS, service)
        if revision is None or not isinstance(revision.spec, WeightsSpec):
            return None
        return revision.spec, revision.offset

    def history(self, kind: Kind, name: str) -> list[Revision]:
        """Return the latest revisions accepted by this process, oldest first."""
        return list(self._history.get((Kind(kind), name), ()))

    def result_at(self, offset: int) -> ApplyResult | None:
        """Return the result of a recently folded record, or None if it is no longer kept."""
        return self._results.get(offset)

    def result_by_id(self, record_id: str) -> ApplyResult | None:
        """Return the result of the first recently folded record with this id, or None."""
        offset = self._offsets_by_id.get(record_id)
        return None if offset is None else self._results.get(offset)

    def accepted_revision(self, record_id: str, kind: Kind, name: str) -> Revision | None:
        """Return the accepted revision with this record id, or None if it is no longer kept."""
        key = (Kind(kind), name)
        known = [
            *self._history.get(key, ()),
            *([self._entries[key]] if key in self._entries else []),
        ]
        return next((revision for revision in known if revision.id == record_id), None)

    def apply(self, record: LogRecord) -> ApplyResult:
        """Fold the next record; a record at any other offset is rejected and changes nothing."""
        if record.offset <= self._offset:
            return self._reject(Rejected(RejectReason.STALE, record.offset))
        if record.offset != self._offset + 1:
            return self._reject(Rejected(RejectReason.GAP, record.offset))
        result = self._evaluate(record)
        self._offset = record.offset
        self._digests.append((self._offset, self._digest))
        self._store_result(record, result)
        if isinstance(result, Err):
            return self._reject(result.err_value)
        if result.ok_value.revision is not None:
            self._notify(result.ok_value.revision)
        return result

    def snapshot(self) -> dict[str, Any]:
        """Return the state of the fold as JSON data."""
        return snapshot_data(self.as_snapshot())

    def as_snapshot(self) -> Snapshot:
        """Return the state of the fold as a `Snapshot`."""
        entries = tuple(revision for _, revision in sorted(self._entries.items()))
        unread = tuple(entry for _, entry in sorted(self._unread.items()))
        return Snapshot(self._offset, entries, unread, supported_schemas(), self.checkpoint)

    @classmethod
    def from_snapshot(cls, data: Any) -> Result["ConfigFold", SnapshotError]:
        """Build a fold from the JSON data of a snapshot."""
        fold = cls()
        match read_snapshot(data):
            case Err(error):
                return Err(error)
            case Ok(snapshot):
                fold.install(snapshot)
                return Ok(fold)

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the state with a newer snapshot; return False if the snapshot is not newer.

        Without this check, a peer that lags behind would restore outdated limits and weights.
        Comparing offsets is sufficient because all processes use the offsets of the same log.
        """
        if snapshot.as_of <= self._offset:
            return False
        before = self._entries
        self._entries = {(entry.kind, entry.name): entry for entry in snapshot.entries}
        self._unread = OrderedDict(
            ((entry.amendment.kind, entry.amendment.name), entry) for entry in snapshot.unread
        )
        self._offset = snapshot.as_of
        self.checkpoint = snapshot.last_checkpoint
        self._resolve_unread()
        self._digest = sum(map(revision_digest, self._entries.values())) % 2**DIGEST_BITS
        self._digests.append((self._offset, self._digest))
        for key, revision in sorted(self._entries.items()):
            if key not in before or before[key].offset != revision.offset:
                self._store_revision(revision)
                self._notify(revision)
        return True

    def _spec(self, kind: Kind, name: str, spec_type: type[Any]) -> Any:
        revision = self.get(kind, name)
        spec = None if revision is None else revision.spec
        return spec if isinstance(spec, spec_type) else None

    def _specs(self, kind: Kind, spec_type: type[Any]) -> dict[str, Any]:
        return {
            revision.name: revision.spec
            for revision in self.records(kind)
            if isinstance(revision.spec, spec_type)
        }

    def _evaluate(self, record: LogRecord) -> ApplyResult:
        if isinstance(record.data, dict) and record.data.get(ATTR_KIND) == Kind.CHECKPOINT.value:
            return self._evaluate_checkpoint(record)
        match read_amendment(record.data):
            case Err(error):
                return Err(_rejection(record.offset, error))
            case Ok(amendment):
                return self._evaluate_amendment(record, amendment)

    def _evaluate_amendment(self, record: LogRecord, amendment: Amendment) -> ApplyResult:
        current = self.current_revision(amendment.kind, amendment.name)
        if amendment.amends != current:
            if self.accepted_revision(record.id, amendment.kind, amendment.name) is not None:
                return Err(Rejected(RejectReason.REPEATED, record.offset, revision=current))
            return Err(_conflict_rejection(record.offset, amendment, current))
        match read_amendment_spec(amendment):
            case Err(error):
                if error.reason is RejectReason.UNKNOWN_SCHEMA:
                    self._store_unread(record, amendment)
                return Err(_rejection(record.offset, error, current))
            case Ok(spec):
                return Ok(Applied(record.offset, self._accept(record, amendment, spec)))

    def _accept(self, record: LogRecord, amendment: Amendment, spec: Spec | None) -> Revision:
        revision = Revision(
            record.offset,
            record.time.isoformat(),
            record.id,
            amendment.kind,
            amendment.name,
            amendment.schema,
            amendment.amends,
            amendment.raw,
            spec,
            amendment.author,
        )
        key = (amendment.kind, amendment.name)
        old = self._entries.get(key)
        self._entries[key] = revision
        self._unread.pop(key, None)
        change = revision_digest(revision) - (0 if old is None else revision_digest(old))
        self._digest = (self._digest + change) % 2**DIGEST_BITS
        self._store_revision(revision)
        return revision

    def _evaluate_checkpoint(self, record: LogRecord) -> ApplyResult:
        match read_checkpoint(record.offset, record.data):
            case Err(error):
                return Err(Rejected(RejectReason.MALFORMED, record.offset, detail=error.detail))
            case Ok(checkpoint):
                self.checkpoint = LastCheckpoint(
                    checkpoint.snapshot.as_of, record.offset, record.time.isoformat()
                )
                matches = self._digest_matches(checkpoint.snapshot, checkpoint.digest)
                self.digest_mismatches += not matches
                return Ok(Applied(record.offset, None, matches))

    def _digest_matches(self, snapshot: Snapshot, digest: int) -> bool:
        # Another release may support other schema versions, so that the digests are not comparable.
        if snapshot.reads != supported_schemas():
            return True
        known = next((d for offset, d in reversed(self._digests) if offset == snapshot.as_of), None)
        return known is None or known == digest

    def _store_unread(self, record: LogRecord, amendment: Amendment) -> None:
        key = (amendment.kind, amendment.name)
        self._unread.pop(key, None)
        self._unread[key] = UnreadableRecord(
            record.offset, record.time.isoformat(), record.id, amendment
        )
        if len(self._unread) > MAX_UNREAD:
            self._unread.popitem(last=False)

    def _resolve_unread(self) -> None:
        # A snapshot written by an older release can contain records that only this release can
        # read. Without this step, this process would use the older spec permanently.
        for key, unread in list(self._unread.items()):
            amendment = unread.amendment
            current = self._entries.get(key)
            if amendment.amends != (0 if current is None else current.offset):
                continue
            match read_amendment_spec(amendment):
                case Ok(spec):
                    self._entries[key] = unread.as_revision(spec)
                    del self._unread[key]
                case Err(_):
                    continue

    def _store_revision(self, revision: Revision) -> None:
        key = (revision.kind, revision.name)
        self._history.setdefault(key, deque(maxlen=HISTORY_LENGTH)).append(revision)

    def _store_result(self, record: LogRecord, result: ApplyResult) -> None:
        self._results[record.offset] = result
        self._offsets_by_id.setdefault(record.id, record.offset)
        if len(self._results) > MAX_RESULTS_KEPT:
            self._results.popitem(last=False)
        if len(self._offsets_by_id) > MAX_RESULTS_KEPT:
            self._offsets_by_id.popitem(last=False)

    def _reject(self, rejected: Rejected) -> ApplyResult:
        self.rejections[rejected.reason] += 1
        return Err(rejected)

    def _notify(self, revision: Revision) -> None:
        for listener in self._listeners:
            listener(revision)


def _conflict_rejection(offset: int, amendment: Amendment, current: int) -> Rejected:
    detail = f"it amends revision {amendment.amends}; the current one is {current}"
    return Rejected(
        RejectReason.CONFLICT, offset, amendment.kind.value, amendment.name, current, detail
    )


def _rejection(offset: int, error: EnvelopeError, current: int = 0) -> Rejected:
    kind = "" if error.amendment is None else error.amendment.kind.value
    name = "" if error.amendment is None else error.amendment.name
    return Rejected(error.reason, offset, kind, name, current, error.detail, error.mistakes)

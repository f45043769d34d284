"""The deterministic fold of the configuration stream that every process runs."""

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
    MAX_UNREAD,
    MAX_VERDICTS_KEPT,
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

__all__ = ["Applied", "ConfigFold", "Verdict"]

Key = tuple[Kind, str]
Listener = Callable[[Revision], None]


@attrs.frozen
class Applied:
    """A record that was folded; `revision` is None for a checkpoint, which changes nothing."""

    offset: int
    revision: Revision | None
    digest_matches: bool = True


Verdict = Result[Applied, Rejected]


class ConfigFold:
    """Fold records in log order into the configuration in force.

    The offset never goes down and never skips a record. Two folds at the same offset hold the same
    revisions, whichever way they got there: by records, by a checkpoint, or by a peer's snapshot.
    """

    def __init__(self) -> None:
        self._offset = 0
        self._entries: dict[Key, Revision] = {}
        self._unread: OrderedDict[Key, UnreadableRecord] = OrderedDict()
        self._history: dict[Key, deque[Revision]] = {}
        self._verdicts: OrderedDict[int, Verdict] = OrderedDict()
        self._verdict_ids: OrderedDict[str, int] = OrderedDict()
        self._digest = 0
        self._digests: deque[tuple[int, int]] = deque([(0, 0)], maxlen=MAX_DIGESTS_KEPT)
        self._listeners: list[Listener] = []
        self.rejections: Counter[RejectReason] = Counter()
        self.digest_mismatches = 0
        self.checkpoint = LastCheckpoint()

    @property
    def offset(self) -> int:
        """Return the offset of the last record folded, 0 before the first."""
        return self._offset

    @property
    def digest(self) -> int:
        """Return the digest of what is in force."""
        return self._digest

    def listen(self, listener: Listener) -> None:
        """Call back with each revision that comes into force."""
        self._listeners.append(listener)

    def get(self, kind: Kind, name: str) -> Revision | None:
        """Return the revision in force, or None where there is none or it was deleted."""
        revision = self._entries.get((Kind(kind), name))
        return revision if revision is not None and revision.raw is not None else None

    def current_revision(self, kind: Kind, name: str) -> int:
        """Return the revision that the next amendment must name; a deletion has one too."""
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
        """Return the records that only a newer release could put in force."""
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
        """Return one service in force; it costs the same however many records there are."""
        return self._spec(Kind.SERVICE, name, ServiceSpec)

    def trainer(self, name: str) -> TrainerSpec | None:
        """Return one trainer in force; it costs the same however many records there are."""
        return self._spec(Kind.TRAINER, name, TrainerSpec)

    def weights(self, service: str) -> tuple[WeightsSpec, int] | None:
        """Return the weights in force for a service with their fencing number."""
        revision = self.get(Kind.WEIGHTS, service)
        if revision is None or not isinstance(revision.spec, WeightsSpec):
            return None
        return revision.spec, revision.offset

    def history(self, kind: Kind, name: str) -> list[Revision]:
        """Return the last accepted revisions that this process has seen, oldest first."""
        return list(self._history.get((Kind(kind), name), ()))

    def verdict(self, offset: int) -> Verdict | None:
        """Return what became of a record folded lately; None when it is not known any more."""
        return self._verdicts.get(offset)

    def verdict_of(self, record_id: str) -> Verdict | None:
        """Return what became of the first record with an id, if it was folded lately."""
        offset = self._verdict_ids.get(record_id)
        return None if offset is None else self._verdicts.get(offset)

    def accepted_as(self, record_id: str, kind: Kind, name: str) -> Revision | None:
        """Return the accepted revision that a record id led to, if it is still remembered."""
        key = (Kind(kind), name)
        known = [
            *self._history.get(key, ()),
            *([self._entries[key]] if key in self._entries else []),
        ]
        return next((revision for revision in known if revision.id == record_id), None)

    def apply(self, record: LogRecord) -> Verdict:
        """Fold the next record; one that is not the next changes nothing."""
        if record.offset <= self._offset:
            return self._refuse(Rejected(RejectReason.STALE, record.offset))
        if record.offset != self._offset + 1:
            return self._refuse(Rejected(RejectReason.GAP, record.offset))
        verdict = self._judge(record)
        self._offset = record.offset
        self._digests.append((self._offset, self._digest))
        self._remember_verdict(record, verdict)
        if isinstance(verdict, Err):
            return self._refuse(verdict.err_value)
        if verdict.ok_value.revision is not None:
            self._notify(verdict.ok_value.revision)
        return verdict

    def snapshot(self) -> dict[str, Any]:
        """Return the whole fold as JSON data."""
        return snapshot_data(self.as_snapshot())

    def as_snapshot(self) -> Snapshot:
        """Return the whole fold, typed."""
        entries = tuple(revision for _, revision in sorted(self._entries.items()))
        unread = tuple(entry for _, entry in sorted(self._unread.items()))
        return Snapshot(self._offset, entries, unread, supported_schemas(), self.checkpoint)

    @classmethod
    def from_snapshot(cls, data: Any) -> Result["ConfigFold", SnapshotError]:
        """Build a fold from a snapshot."""
        fold = cls()
        match read_snapshot(data):
            case Err(error):
                return Err(error)
            case Ok(snapshot):
                fold.install(snapshot)
                return Ok(fold)

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the fold by a newer snapshot; one that is not newer changes nothing.

        A peer that lags would otherwise bring an older record back into force: callers would see
        limits and weights of minutes ago. Comparing offsets is enough, since they are the log's.
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
                self._remember_revision(revision)
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

    def _judge(self, record: LogRecord) -> Verdict:
        if isinstance(record.data, dict) and record.data.get(ATTR_KIND) == Kind.CHECKPOINT.value:
            return self._judge_checkpoint(record)
        match read_amendment(record.data):
            case Err(error):
                return Err(_rejected(record.offset, error))
            case Ok(amendment):
                return self._judge_amendment(record, amendment)

    def _judge_amendment(self, record: LogRecord, amendment: Amendment) -> Verdict:
        current = self.current_revision(amendment.kind, amendment.name)
        if amendment.amends != current:
            if self.accepted_as(record.id, amendment.kind, amendment.name) is not None:
                return Err(Rejected(RejectReason.REPEATED, record.offset, revision=current))
            return Err(_conflict(record.offset, amendment, current))
        match read_amendment_spec(amendment):
            case Err(error):
                if error.reason is RejectReason.UNKNOWN_SCHEMA:
                    self._keep_unread(record, amendment)
                return Err(_rejected(record.offset, error, current))
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
        self._remember_revision(revision)
        return revision

    def _judge_checkpoint(self, record: LogRecord) -> Verdict:
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
        # A writer of another release may have read more or fewer records than this one.
        if snapshot.reads != supported_schemas():
            return True
        known = next((d for offset, d in reversed(self._digests) if offset == snapshot.as_of), None)
        return known is None or known == digest

    def _keep_unread(self, record: LogRecord, amendment: Amendment) -> None:
        key = (amendment.kind, amendment.name)
        self._unread.pop(key, None)
        self._unread[key] = UnreadableRecord(
            record.offset, record.time.isoformat(), record.id, amendment
        )
        if len(self._unread) > MAX_UNREAD:
            self._unread.popitem(last=False)

    def _resolve_unread(self) -> None:
        # Without this, a process of the new release that starts from a checkpoint of the old one
        # would never see a record that only the new one can read, and run the older spec for good.
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

    def _remember_revision(self, revision: Revision) -> None:
        key = (revision.kind, revision.name)
        self._history.setdefault(key, deque(maxlen=HISTORY_LENGTH)).append(revision)

    def _remember_verdict(self, record: LogRecord, verdict: Verdict) -> None:
        self._verdicts[record.offset] = verdict
        self._verdict_ids.setdefault(record.id, record.offset)
        if len(self._verdicts) > MAX_VERDICTS_KEPT:
            self._verdicts.popitem(last=False)
        if len(self._verdict_ids) > MAX_VERDICTS_KEPT:
            self._verdict_ids.popitem(last=False)

    def _refuse(self, rejected: Rejected) -> Verdict:
        self.rejections[rejected.reason] += 1
        return Err(rejected)

    def _notify(self, revision: Revision) -> None:
        for listener in self._listeners:
            listener(revision)


def _conflict(offset: int, amendment: Amendment, current: int) -> Rejected:
    detail = f"it amends revision {amendment.amends}; the current one is {current}"
    return Rejected(
        RejectReason.CONFLICT, offset, amendment.kind.value, amendment.name, current, detail
    )


def _rejected(offset: int, error: EnvelopeError, current: int = 0) -> Rejected:
    kind = "" if error.amendment is None else error.amendment.kind.value
    name = "" if error.amendment is None else error.amendment.name
    return Rejected(error.reason, offset, kind, name, current, error.detail, error.mistakes)

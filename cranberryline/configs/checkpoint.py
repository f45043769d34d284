"""Checkpoints: when to write one, and how a starter finds the one to start from.

The log keeps records for a limited time, so a record in force has to be carried forward before it
is forgotten. Carrying each forward by itself would make an old value a new record, which could
overwrite an amendment that crossed with it. A checkpoint holds the fold as of an offset and
changes nothing when folded, so it can cross with anything.
"""

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta

import attrs
from result import Ok

from cranberryline.ports.model import LogRecord

from .const import ATTR_KIND
from .fold import ConfigFold
from .model import Kind
from .snapshot import Snapshot, checkpoint_data, read_checkpoint

__all__ = ["CheckpointPolicy", "checkpoint_record", "find_start"]

DEFAULT_RETENTION = timedelta(hours=1)
# Four chances within the log's memory: one lost append or one outage of half of it does no harm.
CHECKPOINTS_PER_RETENTION = 4
DEFAULT_MAX_RECORDS = 500
DEFAULT_CHECK = timedelta(seconds=5)
LONG_AGO = timedelta(days=365)
RANK_DELAY = timedelta(seconds=3)
MAX_JITTER = timedelta(seconds=2)


@attrs.frozen
class CheckpointPolicy:
    """Decide when a tailer writes a checkpoint; `retention` is the time that the log keeps."""

    retention: timedelta = DEFAULT_RETENTION
    max_records: int = DEFAULT_MAX_RECORDS
    check: timedelta = DEFAULT_CHECK

    @property
    def interval(self) -> timedelta:
        """Return the age at which a checkpoint is followed by the next."""
        return self.retention / CHECKPOINTS_PER_RETENTION

    def due(self, fold: ConfigFold, first: int, now: datetime) -> bool:
        """Return whether a checkpoint is due; `first` is the oldest offset that the log keeps.

        The age is taken from the log's own times: a process that counted from its own start would
        never write one where processes are replaced more often than that.
        """
        snapshot = fold.as_snapshot()
        if not snapshot.entries:
            return False
        mark = snapshot.mark
        if mark.as_of + 1 < first or fold.offset - mark.offset >= self.max_records:
            return True
        since = mark.time or min(entry.time for entry in snapshot.entries)
        return now - _read_time(since, now) >= self.interval

    def delay(self, rank: int, jitter: float) -> timedelta:
        """Return how long the tailer of a rank waits, so that a younger checkpoint is seen first."""
        return RANK_DELAY * rank + MAX_JITTER * jitter


def checkpoint_record(fold: ConfigFold, writer: str) -> tuple[str, dict]:
    """Return the id and data of a checkpoint of the fold."""
    return f"checkpoint-{fold.offset}-{writer}", checkpoint_data(fold.as_snapshot())


def find_start(records: Iterable[LogRecord], first: int) -> Snapshot | None:
    """Return the oldest checkpoint after which the log still keeps every record.

    The oldest is taken, since folding on from it verifies the digests of those that follow.
    """
    for record in records:
        if not isinstance(record.data, dict) or record.data.get(ATTR_KIND) != Kind.CHECKPOINT:
            continue
        match read_checkpoint(record.offset, record.data):
            case Ok(checkpoint) if checkpoint.snapshot.as_of + 1 >= first:
                return checkpoint.snapshot
    return None


def _read_time(text: str, now: datetime) -> datetime:
    """Return a record's time; one without a zone is in UTC, one that is none is long ago."""
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        return now - LONG_AGO
    return time if time.tzinfo is not None else time.replace(tzinfo=UTC)

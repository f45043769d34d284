"""Decide when to write a checkpoint, and find the one that a new process starts from."""

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
# Four attempts within the log's retention: one lost append, or an outage for half of the
# retention, does not lose the records in force.
CHECKPOINTS_PER_RETENTION = 4
DEFAULT_MAX_RECORDS = 500
DEFAULT_CHECK_INTERVAL = timedelta(seconds=5)
# Makes a checkpoint due at once if the time of the last one cannot be parsed.
UNREADABLE_TIME_AGE = timedelta(days=365)
DELAY_PER_RANK = timedelta(seconds=3)
MAX_JITTER = timedelta(seconds=2)


@attrs.frozen
class CheckpointPolicy:
    """Rules for when a process that tails the log writes a checkpoint.

    The log keeps records for a limited time, so the records in force must be written again before
    they expire. Appending each of them again would turn an old value into a new record, which could
    overwrite an amendment appended at the same time. A checkpoint instead holds the state of the
    fold at an offset and changes nothing when it is folded, so it may be appended between any other
    records.

    `retention` is how long the log keeps a record, `max_records` the number of records after which
    a checkpoint is due whatever the age of the last one, and
    `check_interval` the time between two checks of whether one is due.
    """

    retention: timedelta = DEFAULT_RETENTION
    max_records: int = DEFAULT_MAX_RECORDS
    check_interval: timedelta = DEFAULT_CHECK_INTERVAL

    @property
    def interval(self) -> timedelta:
        """Return the age of the last checkpoint at which the next one is due."""
        return self.retention / CHECKPOINTS_PER_RETENTION

    def is_due(self, fold: ConfigFold, first: int, now: datetime) -> bool:
        """Return whether a checkpoint is due; `first` is the oldest offset that the log keeps.

        The age is calculated from the timestamps of the log. If each process measured it from its
        own start, none would ever write a checkpoint where processes are replaced more often than
        the interval.
        """
        snapshot = fold.as_snapshot()
        if not snapshot.entries:
            return False
        last = snapshot.last_checkpoint
        if last.as_of + 1 < first or fold.offset - last.offset >= self.max_records:
            return True
        since = last.time or min(entry.time for entry in snapshot.entries)
        return now - _read_time(since, now) >= self.interval

    def delay(self, rank: int, jitter: float) -> timedelta:
        """Return how long a process waits before it writes a checkpoint that is due.

        The wait grows with its rank and has jitter (`jitter` is in 0..1), so that it normally reads
        the checkpoint of another process first and does not write a second one.
        """
        return DELAY_PER_RANK * rank + MAX_JITTER * jitter


def checkpoint_record(fold: ConfigFold, writer: str) -> tuple[str, dict]:
    """Return the record id and data of a checkpoint of the fold's current state."""
    return f"checkpoint-{fold.offset}-{writer}", checkpoint_data(fold.as_snapshot())


def find_start(records: Iterable[LogRecord], first: int) -> Snapshot | None:
    """Return the snapshot of the oldest checkpoint after which the log still keeps every record.

    Returns None if there is no such checkpoint. The oldest is preferred because folding the records
    after it also verifies the digests of the later checkpoints.
    """
    for record in records:
        if not isinstance(record.data, dict) or record.data.get(ATTR_KIND) != Kind.CHECKPOINT:
            continue
        match read_checkpoint(record.offset, record.data):
            case Ok(checkpoint) if checkpoint.snapshot.as_of + 1 >= first:
                return checkpoint.snapshot
    return None


def _read_time(text: str, now: datetime) -> datetime:
    """Parse a record's time.

    A time without a zone is taken as UTC. Text that is not a time gives one so long ago that a
    checkpoint is due.
    """
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        return now - UNREADABLE_TIME_AGE
    return time if time.tzinfo is not None else time.replace(tzinfo=UTC)

"""The state of all jobs, derived from the records of their partitions, identical on all nodes."""

import zlib
from collections.abc import Callable, Iterable
from datetime import timedelta
from sys import getsizeof

import attrs
from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger

from .codec import decode_job
from .const import MAX_PARTS, MAX_RESULT_PARTS, RESULT_READ_PERIOD
from .held_bytes import HeldBytes
from .marks import PartitionMark
from .model import (
    Item,
    ItemResult,
    ItemState,
    JobEnded,
    JobPart,
    JobRecord,
    PackedResult,
    ResultPart,
    ResultRecord,
    TextPiece,
    TextsStart,
)
from .partial_texts import PartialText, same_request
from .state import JobState, ListedResult

__all__ = ["JobBook", "JobState"]

_LOGGER = get_logger(__name__)


@attrs.define(eq=False)
class _IncompleteJob:
    seen_at: timedelta
    first_offset: int
    data_by_index: dict[int, bytes] = attrs.field(factory=dict)
    held: HeldBytes = attrs.field(factory=HeldBytes)

    def add(self, part: JobPart) -> None:
        self.held.add(len(part.data) - len(self.data_by_index.get(part.index, b"")))
        self.data_by_index[part.index] = part.data


class JobBook:
    """Apply job records in the order of their partition.

    A job that is submitted to several nodes is appended by each of them. The first copy that is
    complete in the log wins, so all nodes agree on it without a lock. Likewise, if two nodes ran
    the same item, its first result permanently keeps its position.
    """

    def __init__(self, clock: Clock, keep: timedelta) -> None:
        self.jobs: dict[str, JobState] = {}
        self._held = HeldBytes()
        self._clock = clock
        self._retention = keep
        self._incomplete_jobs: dict[tuple[str, str, int], _IncompleteJob] = {}
        self._completed_items: dict[str, tuple[JobState, int, ListedResult]] = {}
        self._partial_texts: dict[str, tuple[JobState, int]] = {}
        self._ended_before_seen: dict[str, timedelta] = {}
        self._closed_jobs: dict[str, timedelta] = {}
        self._listeners: list[Callable[[JobState], None]] = []

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all jobs, and of those of which not all parts have been read."""
        return self._held.size

    def listen(self, listener: Callable[[JobState], None]) -> None:
        """Register a callback that is called after each change of a job."""
        self._listeners.append(listener)

    def apply(self, record: JobRecord, offset: int = 0) -> Result[None, str]:
        """Apply the next record, which is stored at `offset`; the error says why it is invalid.

        Results and ends of unknown jobs are not errors, because they outlive their jobs.
        """
        state = self.jobs.get(record.job)
        if isinstance(record, JobPart):
            if state is not None or record.job in self._closed_jobs:
                return Ok(None)
            return self._apply_part(record, offset)
        if state is None:
            if isinstance(record, JobEnded):
                # A delayed copy of the job may follow after its other records were deleted; it must
                # not reopen the job.
                self._ended_before_seen[record.job] = self._clock.monotonic()
            return Ok(None)
        if isinstance(record, TextPiece):
            return self._apply_piece(state, record, is_progress=True)
        if isinstance(record, TextsStart):
            if record.offset < 0:
                return Err("offset of the job texts is negative")
            state.set_texts_start(record.offset)
            return Ok(None)
        if isinstance(record, ResultPart):
            return self._apply_result_part(state, record)
        if isinstance(record, JobEnded):
            state.ended = True
            state.drop_long_items()
        elif not 0 <= record.index < len(state.head.items):
            return Err("result index is out of range")
        elif isinstance(record, PackedResult) and zlib.crc32(record.data) != record.crc:
            return Err("checksum of the result does not match")
        else:
            self._apply_result(state, record)
        self._notify(state)
        return Ok(None)

    def add_piece(self, piece: TextPiece) -> None:
        """Apply a text piece read to resume a run; a piece that does not fit is ignored."""
        state = self.jobs.get(piece.job)
        if state is not None:
            self._apply_piece(state, piece, is_progress=False)

    def completed(self, item: Item, workspace: str = "") -> ItemResult | None:
        """Return the result that a job of the same workspace lists for an identical item, if any.

        Trainers resubmit groups that an earlier job did not finish; their listed results are
        reused.
        """
        found = self._completed_items.get(item.id)
        if found is None:
            return None
        state, index, listed = found
        if state.head.workspace != workspace:
            return None
        is_same = state.readable and state.job.items[index] == item
        return listed.result if is_same else None

    def find_partial_text(self, item: Item, workspace: str = "") -> PartialText | None:
        """Return the longest text that a job of the same workspace stores for an identical item."""
        found = self._partial_texts.get(item.id)
        if found is None:
            return None
        state, index = found
        if state.head.workspace != workspace:
            return None
        is_same = state.readable and same_request(state.job.items[index], item)
        return state.texts.longest(index) if is_same else None

    def forget_old(self) -> None:
        """Remove jobs past their retention time, and parts of jobs that were never completed.

        Open jobs are kept until they end, because their runs would otherwise not learn of the end.
        Jobs are sorted by the time at which they were first seen.
        """
        cutoff = self._clock.monotonic() - self._retention
        for key in [
            key for key, incomplete in self._incomplete_jobs.items() if incomplete.seen_at < cutoff
        ]:
            self._drop_parts(key)
        expired: list[JobState] = []
        for state in self.jobs.values():
            if state.seen_at >= cutoff:
                break
            if not state.open:
                expired.append(state)
        for state in expired:
            del self.jobs[state.head.id]
            state.held.move_to(None)
            for item in state.head.items:
                self._completed_items.pop(item.id, None)
                self._remove_partial_text(item.id, state)
        for seen in (self._ended_before_seen, self._closed_jobs):
            for job_id in [job_id for job_id, at in seen.items() if at < cutoff]:
                del seen[job_id]

    def mark(self, end: int, among: Callable[[str], bool]) -> PartitionMark:
        """Return where a new reader may start reading the partition that is read up to `end`.

        `among` returns whether a job ID belongs to the partition.
        """
        needed = [
            state for state in self.jobs.values() if among(state.head.id) and self._is_needed(state)
        ]
        start_offsets = [state.first_offset for state in needed]
        start_offsets += [
            incomplete.first_offset
            for key, incomplete in self._incomplete_jobs.items()
            if among(key[0])
        ]
        closed = {*self.jobs, *self._ended_before_seen, *self._closed_jobs}
        closed.difference_update(state.head.id for state in needed)
        return PartitionMark(min(start_offsets, default=end), tuple(sorted(filter(among, closed))))

    def texts_start(self, among: Callable[[str], bool]) -> int | None:
        """Return the lowest text offset of the jobs that are still needed.

        A job is needed while it has work or may be read by its caller. Only jobs for which `among`
        returns True are included. Returns None if no text of such a job is stored.
        """
        start_offsets = [
            state.texts_start
            for state in self.jobs.values()
            if state.texts_start is not None and among(state.head.id) and self._is_needed(state)
        ]
        return min(start_offsets, default=None)

    def close(self, job_ids: Iterable[str]) -> None:
        """Record jobs whose relevant records all precede the mark at which this reader started."""
        now = self._clock.monotonic()
        self._closed_jobs.update(dict.fromkeys(job_ids, now))

    def closed(self, job_id: str) -> bool:
        """Return whether a job is known to be stored although none of it was read here."""
        return job_id in self._closed_jobs

    def adopt(self, older: "JobBook", among: Callable[[str], bool]) -> None:
        """Merge the state of a book that read the same partition from an earlier record on.

        `among` returns whether a job ID belongs to the partition. Jobs that both books know keep
        the state they have here. Applying a record again that the other book has already applied
        changes nothing.
        """
        added = {key: state for key, state in older.jobs.items() if key not in self.jobs}
        # Jobs stay sorted by the time at which they were first seen.
        self.jobs = {**added, **self.jobs}
        for state in added.values():
            state.held.move_to(self._held)
        for item_id, (state, index, listed) in older._completed_items.items():
            if state.head.id in added:
                self._completed_items.setdefault(item_id, (state, index, listed))
        for item_id, partial_text in older._partial_texts.items():
            if partial_text[0].head.id in added:
                self._partial_texts.setdefault(item_id, partial_text)
        self._ended_before_seen = {**older._ended_before_seen, **self._ended_before_seen}
        for job_id in filter(among, tuple(self._closed_jobs)):
            del self._closed_jobs[job_id]
        for state in added.values():
            self._notify(state)

    def miss_records(self, among: Callable[[str], bool]) -> None:
        """Handle the deletion of records before they were read here.

        `among` returns whether the records of a job may be affected. An open job may have ended, so
        it gets no more work. An incomplete job may lack results: new results would get other
        positions here than on other nodes.
        """
        for state in [state for state in self.jobs.values() if among(state.head.id)]:
            state.results_missing = state.results_missing or len(state.done) < len(state.head.items)
            if not state.open:
                continue
            _LOGGER.warning("job_end_unread", request_id=state.head.id)
            state.ended = True
            self._notify(state)

    def _apply_part(self, part: JobPart, offset: int) -> Result[None, str]:
        """Apply a part; a job is made from parts of one writer that agree on their total.

        Invalid parts leave the parts of other writers alone: those may belong to a job that was
        already accepted, which would be lost with them.
        """
        if not 0 <= part.index < part.total <= MAX_PARTS:
            return Err("index or total of the part is out of range")
        key = (part.job, part.writer, part.total)
        incomplete = self._incomplete_jobs.setdefault(
            key, _IncompleteJob(self._clock.monotonic(), offset)
        )
        incomplete.add(part)
        incomplete.held.move_to(self._held)
        if len(incomplete.data_by_index) < part.total:
            return Ok(None)
        self._drop_parts(key)
        decoded = decode_job(incomplete.data_by_index[index] for index in range(part.total))
        if isinstance(decoded, Err):
            return Err(decoded.unwrap_err())
        head, details = decoded.unwrap()
        if head.id != part.job:
            return Err("job ID differs from that of its parts")
        for other in [other for other in self._incomplete_jobs if other[0] == part.job]:
            self._drop_parts(other)
        state = JobState(head, details, self._clock.monotonic(), incomplete.first_offset)
        self.jobs[part.job] = state
        state.held.move_to(self._held)
        state.ended = self._ended_before_seen.pop(part.job, None) is not None
        if state.ended:
            state.drop_long_items()
        self._notify(state)
        return Ok(None)

    def _apply_result_part(self, state: JobState, part: ResultPart) -> Result[None, str]:
        if part.index in state.done:
            return Ok(None)
        if not 0 <= part.index < len(state.head.items):
            return Err("result index is out of range")
        if not 0 <= part.number < part.total <= MAX_RESULT_PARTS:
            return Err("number or total of the result part is out of range")
        whole = state.parts.add(part)
        return Ok(None) if whole is None else self.apply(whole)

    def _drop_parts(self, key: tuple[str, str, int]) -> None:
        self._incomplete_jobs.pop(key).held.move_to(None)

    def _apply_result(self, state: JobState, record: ResultRecord | PackedResult) -> None:
        if record.index in state.done:
            return
        if isinstance(record, PackedResult):
            listed, completed = ListedResult(record.data), record.completed
            state.held.add(len(record.data))
        else:
            listed = ListedResult(record.result)
            state.held.add(getsizeof(record.result.text))
            completed = record.result.state is ItemState.COMPLETED
        state.done.add(record.index)
        state.listed.append((record.index, listed))
        item = state.head.items[record.index]
        state.progressed_at[item.group] = self._clock.monotonic()
        state.texts.remove(record.index)
        state.parts.remove(record.index)
        self._remove_partial_text(item.id, state)
        if completed:
            self._completed_items[item.id] = (state, record.index, listed)

    def _apply_piece(
        self, state: JobState, piece: TextPiece, is_progress: bool
    ) -> Result[None, str]:
        """Store a text piece; with `is_progress` it also counts as progress of its group."""
        if not 0 <= piece.index < len(state.head.items):
            return Err("index of the text piece is out of range")
        if zlib.crc32(piece.data) != piece.crc:
            return Err("checksum of the text piece does not match")
        if piece.index in state.done:
            return Ok(None)
        if not state.texts.add(piece):
            return Err("text piece does not follow the stored pieces")
        item = state.head.items[piece.index]
        if is_progress:
            state.progressed_at[item.group] = self._clock.monotonic()
        self._partial_texts[item.id] = (state, piece.index)
        return Ok(None)

    def _is_needed(self, state: JobState) -> bool:
        """Return whether a job still has work or may still be read by its caller."""
        if state.ended:
            return False
        return state.open or self._clock.monotonic() - state.seen_at < RESULT_READ_PERIOD

    def _remove_partial_text(self, item_id: str, state: JobState) -> None:
        found = self._partial_texts.get(item_id)
        if found is not None and found[0] is state:
            del self._partial_texts[item_id]

    def _notify(self, state: JobState) -> None:
        for listener in self._listeners:
            listener(state)

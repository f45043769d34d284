"""The state of one job on a node; items and results stay compressed until they are needed."""

from datetime import timedelta
from functools import cached_property

import attrs

from cranberryline.helpers.logging import get_logger

from .codec import decode_items, decode_result, job_head
from .const import ITEM_BYTES, ITEM_HEAD_BYTES, KEPT_ITEMS_BYTES
from .groups import JobGroups
from .held_bytes import HeldBytes
from .model import Item, ItemResult, ItemState, Job, JobHead
from .partial_texts import PartialTexts
from .result_parts import ResultParts

__all__ = ["JobState", "ListedResult"]

_LOGGER = get_logger(__name__)


class ListedResult:
    """A listed result, decoded each time it is read; most are read once, and stay compressed."""

    __slots__ = ("_result",)

    def __init__(self, result: bytes | ItemResult) -> None:
        self._result = result

    @property
    def result(self) -> ItemResult:
        """Return the decoded result.

        A result that cannot be decoded is reported as dead, as on every other node.
        """
        if not isinstance(self._result, bytes):
            return self._result
        decoded = decode_result(self._result)
        if decoded is None:
            _LOGGER.error("result_unreadable", size=len(self._result))
            return ItemResult(ItemState.DEAD)
        return decoded


@attrs.define(eq=False)
class JobState:
    """A job and its listed results; `listed` has the order of the result records in the log.

    `details` are the items of the job, compressed until the first item is requested on this node.
    `first_offset` is the offset of the job's first record in its partition. `progressed_at` holds
    the time of the last progress of each group.
    """

    head: JobHead
    details: bytes | tuple[Item, ...]
    seen_at: timedelta
    first_offset: int = 0
    listed: list[tuple[int, ListedResult]] = attrs.field(factory=list)
    done: set[int] = attrs.field(factory=set)
    ended: bool = False
    progressed_at: dict[str, timedelta] = attrs.field(factory=dict)
    texts: PartialTexts = attrs.field(factory=PartialTexts)
    parts: ResultParts = attrs.field(factory=ResultParts)
    # Offset of the job's first text piece in the texts topic, and the offset read so far.
    texts_start: int | None = None
    texts_read_offset: int = 0
    # Of the heads, the items, the results and the pieces of texts.
    held: HeldBytes = attrs.field(factory=HeldBytes)
    items_dropped: bool = False
    # Whether results of the job may have been deleted before this node read them.
    results_missing: bool = False
    _job: Job | None = None

    def __attrs_post_init__(self) -> None:
        """Count what the job begins with."""
        self.texts.held.move_to(self.held)
        self.parts.held.move_to(self.held)
        self.held.add(self._details_bytes + ITEM_HEAD_BYTES * len(self.head.items))

    @classmethod
    def from_job(cls, job: Job, seen_at: timedelta) -> "JobState":
        """Return the state of a job that is already decoded."""
        return cls(job_head(job), job.items, seen_at)

    @cached_property
    def groups(self) -> JobGroups:
        """Return the job's groups, built on first use because not every node reports on a job."""
        return JobGroups(self.head)

    @property
    def open(self) -> bool:
        """Return whether any item still has to be run."""
        return not self.ended and len(self.done) < len(self.head.items)

    @property
    def readable(self) -> bool:
        """Decode the items of the job if necessary, and return whether they are valid."""
        if self.items_dropped:
            return False
        if isinstance(self.details, bytes):
            items = decode_items(self.details).unwrap_or(())
            before = self._details_bytes
            if len(items) != len(self.head.items):
                _LOGGER.error("job_unreadable", request_id=self.head.id)
            self.details = items
            self.held.add(self._details_bytes - before)
        return len(self.details) == len(self.head.items)

    def drop_long_items(self) -> None:
        """Drop the items of a job that has ended, unless they are short.

        None of them runs any more, and callers cannot ask for them. Items that a trainer submits again
        reuse what is stored of them, which needs the former items, so that short ones are kept.
        """
        if isinstance(self.details, bytes):
            size = len(self.details)
        else:
            size = sum(len(item.body) for item in self.details)
        if size <= KEPT_ITEMS_BYTES or self.items_dropped:
            return
        self.held.add(-self._details_bytes)
        self.details, self.items_dropped = (), True
        self._job = None

    @property
    def _details_bytes(self) -> int:
        if isinstance(self.details, bytes):
            return len(self.details)
        return sum(len(item.body) + ITEM_BYTES for item in self.details)

    @property
    def job(self) -> Job:
        """Return the complete job, without items if they were dropped.

        Raise ValueError if its items cannot be decoded.
        """
        if self._job is None:
            unreadable = not self.items_dropped and not self.readable
            if unreadable or isinstance(self.details, bytes):
                raise ValueError(f"items of job {self.head.id} cannot be decoded")
            head = self.head
            self._job = Job(
                head.id,
                head.host,
                head.path,
                self.details,
                head.submitted,
                head.model,
                head.step,
                head.min_version,
                head.group_count,
                head.workspace,
            )
        return self._job

    def set_texts_start(self, offset: int) -> None:
        """Record that a text piece of the job is stored at an offset of the texts topic."""
        if self.texts_start is None or offset < self.texts_start:
            self.texts_start = self.texts_read_offset = offset

    @property
    def results(self) -> list[tuple[int, ItemResult]]:
        """Return the decoded results in listing order."""
        return [(index, listed.result) for index, listed in self.listed]

    def item(self, item_id: str) -> tuple[int, Item] | None:
        """Return an item and its index by its ID, None if it is unknown or cannot be decoded."""
        for index, head in enumerate(self.head.items):
            if head.id == item_id:
                return (index, self.job.items[index]) if self.readable else None
        return None

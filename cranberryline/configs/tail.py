"""Reads the configuration stream of the log into the fold."""

from collections.abc import Callable
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import LogPage, LogPort, LogRecord

from .checkpoint import find_start
from .const import CONFIG_STREAM
from .errors import Rejected
from .relay import ConfigRelay
from .wire import sanitize_record

__all__ = ["LogTail", "PageResult"]

PAGE_RECORDS = 500


@attrs.frozen
class PageResult:
    """Result of folding a page.

    `advanced` is the number of offsets that the fold advanced; `at_end` is True if the log had no
    more records at the time.
    """

    advanced: int
    at_end: bool


class LogTail:
    """Reads and folds pages of the log.

    `on_rejected` is called with each record that the fold rejects. `oldest_offset` is the oldest
    offset that the log still retains.
    """

    def __init__(
        self,
        log: LogPort,
        relay: ConfigRelay,
        on_rejected: Callable[[LogRecord, Rejected], None],
    ) -> None:
        self._log = log
        self._relay = relay
        self._on_rejected = on_rejected
        self.oldest_offset = 1

    async def async_read(self, wait: timedelta = timedelta()) -> Result[PageResult, PlatformError]:
        """Read and fold the next page; wait up to `wait` for new records (long polling)."""
        start = self._relay.fold.offset + 1
        answer = await self._log.async_read(CONFIG_STREAM, start, PAGE_RECORDS, wait)
        if isinstance(answer, Err):
            return answer
        page = _safe(answer.ok_value)
        self.oldest_offset = page.first
        before = self._relay.fold.offset
        if page.first > before + 1:
            started = await self._async_start_from_checkpoint(page)
            if isinstance(started, Err):
                return started
        else:
            self._fold(page.records)
            if page.records and self._relay.fold.offset < start:
                return Err(PlatformError(PlatformReason.BAD_ANSWER, "records are missing"))
        advanced = self._relay.fold.offset - before
        return Ok(PageResult(advanced, len(page.records) < PAGE_RECORDS))

    async def async_read_to_end(self) -> Result[int, PlatformError]:
        """Fold all records that the log has now; return the number of offsets advanced."""
        advanced = 0
        while True:
            read = await self.async_read()
            if isinstance(read, Err):
                return read
            advanced += read.ok_value.advanced
            if read.ok_value.at_end or not read.ok_value.advanced:
                return Ok(advanced)

    def fold_if_next(self, record: LogRecord) -> bool:
        """Fold a record if it is the next one; return whether the fold advanced."""
        return record.offset == self._relay.fold.offset + 1 and self._fold_record(record)

    async def _async_start_from_checkpoint(self, page: LogPage) -> Result[None, PlatformError]:
        """Continue from a checkpoint if the log no longer retains the next record of the fold.

        Folding from the oldest retained record would omit all older records and produce limits and
        weights that were never in force. A checkpoint followed only by retained records contains
        the missing part.
        """
        first, records = page.first, list(page.records)
        while len(page.records) >= PAGE_RECORDS:
            more = await self._log.async_read(CONFIG_STREAM, page.next, PAGE_RECORDS)
            if isinstance(more, Err):
                return more
            page = _safe(more.ok_value)
            records += page.records
        snapshot = find_start(records, first)
        if snapshot is not None:
            self._relay.install(snapshot)
        if first > self._relay.fold.offset + 1:
            return Err(PlatformError(PlatformReason.BAD_ANSWER, "no checkpoint to start from"))
        self._fold(records)
        return Ok(None)

    def _fold(self, records: tuple[LogRecord, ...] | list[LogRecord]) -> None:
        for record in records:
            if record.offset > self._relay.fold.offset and not self._fold_record(record):
                return

    def _fold_record(self, record: LogRecord) -> bool:
        advanced = self._relay.fold_record(record)
        result = self._relay.fold.result_at(record.offset)
        if isinstance(result, Err):
            self._on_rejected(record, result.err_value)
        return advanced


def _safe(page: LogPage) -> LogPage:
    return attrs.evolve(page, records=tuple(map(sanitize_record, page.records)))

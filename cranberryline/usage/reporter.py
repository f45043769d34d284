"""The holder of the lease decides each window's report once, and sends it."""

import asyncio
from collections import deque
from functools import partial

import attrs
import msgspec
from result import Err

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.decode import decode_msgpack
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.helpers.tail import PartitionTail
from cranberryline.leases import LeaseKeeper
from cranberryline.ports.store import SharedLog

from .const import (
    APPEND_TIMEOUT,
    CHECK_INTERVAL,
    FIRST_RETRY_DELAY,
    HORIZON_LIMITS,
    KEPT_WINDOWS,
    MAX_RETRY_DELAY,
    SETTLE_SHARE,
    TOPIC_COUNTS,
    TOPIC_REPORTS,
)
from .ledger import ReportBook, UsageLedger
from .model import CountRecord, ReportRecord, UsageWindows
from .peer_clock import PeerClock
from .ports import ReportOutcome, UsagePort

__all__ = ["ReporterParts", "UsageReporter"]

_LOGGER = get_logger(__name__)
_COUNTS = msgspec.msgpack.Decoder(CountRecord)
_REPORTS = msgspec.msgpack.Decoder(ReportRecord)


@attrs.frozen
class ReporterParts:
    """Dependencies of `UsageReporter`; `node` is the name of this VM."""

    node: str
    log: SharedLog
    partitions: int
    lease: LeaseKeeper
    port: UsagePort
    clock: Clock
    peer_clock: PeerClock
    health: StoreHealth
    metrics: Metrics


class UsageReporter:
    """Decides and sends reports while this node holds the lease.

    A report is decided when its record is the first of its window in the log, and only what was
    read back is sent. So a holder that is cut off, frozen or replaced between any two steps leaves
    nothing behind that its successor could contradict. The lease is checked directly before each
    call. A token that was fenced off is not used again.

    Windows that can still be in time go first. One that is past its time is sent once.
    """

    def __init__(self, parts: ReporterParts, windows: UsageWindows) -> None:
        self._parts = parts
        self._windows = windows
        self._book = ReportBook(windows.count_in(windows.late * HORIZON_LIMITS))
        self._reports_read = False
        self._ledger = UsageLedger()
        log, clock, health = parts.log, parts.clock, parts.health
        self._reports_tail = PartitionTail(
            log, TOPIC_REPORTS, 0, clock, health, self._on_report, on_gap=self._on_gap
        )
        self._count_tails = [
            PartitionTail(log, TOPIC_COUNTS, part, clock, health, partial(self._on_count, part))
            for part in range(parts.partitions)
        ]
        self._done: set[int] = set()
        self._fenced_token = 0
        self._retry_delay = FIRST_RETRY_DELAY
        self._trim_offsets: deque[list[int]] = deque()

    async def async_run(self) -> None:
        """Report until cancelled."""
        while True:
            pause = CHECK_INTERVAL
            if self._token() is not None and not await self._async_report_all():
                pause = self._retry_delay
                self._retry_delay = min(self._retry_delay * 2, MAX_RETRY_DELAY)
            else:
                self._retry_delay = FIRST_RETRY_DELAY
            await self._parts.clock.async_sleep(pause)

    def _token(self) -> int | None:
        token = self._parts.lease.token()
        return None if token == self._fenced_token else token

    async def _async_report_all(self) -> bool:
        """Report every window that is settled; return False if one has to be tried again."""
        now = self._parts.peer_clock.unix_seconds()
        pending = self._pending(now)
        if not pending:
            return True
        if not await self._async_read_reports():
            return False
        if any(self._book.may_decide(window) for window in pending):
            if not await self._async_read_counts():
                return False
            for window in pending:
                if self._book.may_decide(window) and not await self._async_decide(window):
                    return False
        results = [await self._async_send(window) for window in pending]
        return all(results)

    def _pending(self, now: float) -> list[int]:
        """Return the settled windows that are not reported: in time first, then by their age."""
        late = self._windows.late.total_seconds()
        last = self._windows.window_at(now - late * SETTLE_SHARE) - 1
        first = self._windows.window_at(now - late * HORIZON_LIMITS)
        self._done = {window for window in self._done if window >= first}
        self._book.forget_before(first)
        self._ledger.forget_before(first)
        pending = [window for window in range(first, last + 1) if window not in self._done]
        return sorted(pending, key=lambda window: (self._windows.due(window) < now, window))

    async def _async_decide(self, window: int) -> bool:
        """Append the report of a window; return whether one is in the log now.

        The append is conditional, so it fails if anybody else has decided a window meanwhile.
        """
        if self._token() is None:
            return False
        counts = self._ledger.total(window)
        record = msgspec.msgpack.encode(ReportRecord(window, counts, self._parts.node))
        await self._parts.log.async_append(
            TOPIC_REPORTS, 0, [record], APPEND_TIMEOUT, at=self._reports_tail.offset
        )
        if not await self._async_read_reports():
            return False
        decided = self._book.report(window)
        if decided is None:
            return False
        _LOGGER.info("usage_decided", window=window, requests=sum(decided.counts.values()))
        self._trim_offsets.append([tail.offset for tail in self._count_tails])
        await self._async_trim()
        return True

    async def _async_send(self, window: int) -> bool:
        """Send a decided report; return whether the window needs no further attempt."""
        report, token = self._book.report(window), self._token()
        if report is None:
            # It may have been decided in records that are deleted.
            self._done.add(window)
            return True
        if token is None:
            return False
        late = self._parts.peer_clock.unix_seconds() > self._windows.due(window)
        outcome = await self._parts.port.async_report(
            window, report.counts, self._parts.node, token
        )
        self._parts.metrics.usage_reports.labels(outcome.value).inc()
        if outcome is not ReportOutcome.ACCEPTED or late:
            _LOGGER.warning("usage_report", window=window, outcome=outcome, late=late, fence=token)
        if outcome is ReportOutcome.FENCED:
            self._fenced_token = token
            return False
        if outcome is ReportOutcome.ACCEPTED or late:
            self._done.add(window)
            return True
        return False

    async def _async_read_reports(self) -> bool:
        if await self._reports_tail.async_read_to_end() is not None:
            return False
        if not self._reports_read and self._book.empty and self._reports_tail.offset > 0:
            self._on_gap()
        self._reports_read = True
        return True

    async def _async_read_counts(self) -> bool:
        errors = await asyncio.gather(*(tail.async_read_to_end() for tail in self._count_tails))
        return all(error is None for error in errors)

    async def _async_trim(self) -> None:
        """Delete the counts of windows that were decided long ago."""
        if len(self._trim_offsets) <= KEPT_WINDOWS:
            return
        for part, before in enumerate(self._trim_offsets.popleft()):
            if before:
                await self._parts.log.async_trim(TOPIC_COUNTS, part, before, APPEND_TIMEOUT)

    def _on_count(self, part: int, offset: int, data: bytes) -> None:
        decoded = decode_msgpack(data, _COUNTS)
        if isinstance(decoded, Err):
            self._parts.health.unsound("usage_count_unreadable", part=part, offset=offset)
            return
        record = decoded.unwrap()
        if self._book.report(record.window) is not None:
            self._parts.metrics.drop("usage_count_late")
        self._ledger.apply(record)

    def _on_report(self, offset: int, data: bytes) -> None:
        decoded = decode_msgpack(data, _REPORTS)
        if isinstance(decoded, Err):
            self._parts.health.unsound("usage_report_unreadable", offset=offset)
            return
        self._book.apply(offset, decoded.unwrap())

    def _on_gap(self) -> None:
        now = self._parts.peer_clock.unix_seconds()
        self._book.miss_records(self._windows.window_at(now))

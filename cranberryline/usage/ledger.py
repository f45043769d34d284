"""Fold the records of counts and reports."""

from collections import Counter, defaultdict

from .model import CountRecord, ReportRecord, without_zeros

__all__ = ["ReportBook", "UsageLedger"]


class UsageLedger:
    """The counts of all nodes by window.

    The records of one start replace each other. A repeated append may land behind a newer one, so
    the largest count of each workspace stands.
    """

    def __init__(self) -> None:
        self._windows: defaultdict[int, dict[str, Counter[str]]] = defaultdict(dict)

    def apply(self, record: CountRecord) -> None:
        """Apply a record of any node."""
        counted = self._windows[record.window].setdefault(record.start, Counter())
        for workspace, count in record.counts.items():
            counted[workspace] = max(counted[workspace], count)

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of all nodes in a window by workspace, without zeros."""
        total: Counter[str] = Counter()
        for counted in self._windows.get(window, {}).values():
            total.update(counted)
        return without_zeros(total)

    def forget_before(self, window: int) -> None:
        """Drop the counts of earlier windows."""
        for old in [known for known in self._windows if known < window]:
            del self._windows[old]


class ReportBook:
    """The reports that were decided; the first record of a window is final.

    Any node may append a report, and appends may take effect late. All nodes read the same first
    record, so a window never has two contents. A node that cannot read all records, because the
    oldest have been deleted, does not decide windows that may have been decided in those: a report
    is at most `horizon` windows newer than one that was appended later.
    """

    def __init__(self, horizon: int) -> None:
        self._horizon = horizon
        self._reports: dict[int, ReportRecord] = {}
        self._first_offset: int | None = None
        self._floor: int | None = None

    def apply(self, offset: int, record: ReportRecord) -> None:
        """Apply the next record of the log."""
        if self._first_offset is None:
            self._first_offset = offset
            if offset > 0:
                self.miss_records(record.window + self._horizon)
        self._reports.setdefault(record.window, record)

    def miss_records(self, window: int) -> None:
        """Handle the deletion of unread records, which may have decided windows up to this one."""
        self._raise_floor(window + 1)

    @property
    def empty(self) -> bool:
        """Return whether no record has been read."""
        return self._first_offset is None

    def report(self, window: int) -> ReportRecord | None:
        """Return the final report of a window, None if it is undecided."""
        return self._reports.get(window)

    def may_decide(self, window: int) -> bool:
        """Return whether no report of a window can exist."""
        if window in self._reports:
            return False
        return self._floor is None or window >= self._floor

    def forget_before(self, window: int) -> None:
        """Drop the reports of earlier windows and decide none of these any more."""
        for old in [known for known in self._reports if known < window]:
            del self._reports[old]
        self._raise_floor(window)

    def _raise_floor(self, window: int) -> None:
        self._floor = window if self._floor is None else max(self._floor, window)

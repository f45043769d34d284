"""The groups of a job: their sizes, and which of them were read completely."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from functools import cached_property

from .model import Item, ItemHead, Job, JobHead

__all__ = ["JobGroups", "group_of"]


def group_of(item: Item | ItemHead) -> str:
    """Return the group of an item; an item without one forms its own group."""
    return item.group or item.id


class JobGroups:
    """Track which groups are listed completely; each result is processed once."""

    def __init__(self, job: Job | JobHead) -> None:
        self.sizes = Counter(group_of(item) for item in job.items)
        self._items: Sequence[Item | ItemHead] = job.items
        self._remaining = Counter(self.sizes)
        self._processed = 0
        self._unreported: dict[str, int] = {}

    @cached_property
    def members(self) -> Mapping[str, Sequence[int]]:
        """Return the indexes of each group's items, built on the gateways that run any of them."""
        members: defaultdict[str, list[int]] = defaultdict(list)
        for index, item in enumerate(self._items):
            members[group_of(item)].append(index)
        return members

    def newly_read(
        self, results: Sequence[tuple[int, object]], after: int, until: int
    ) -> list[str]:
        """Return the groups that became complete within a page of results, sorted.

        These are the groups whose last result is at position `after` or later and before `until`.
        Only the item index of each result is used. Each group is returned once, so a job causes at
        most one log line per group on each node, however often it is read.
        """
        for position in range(self._processed, len(results)):
            group = group_of(self._items[results[position][0]])
            self._remaining[group] -= 1
            if not self._remaining[group]:
                self._unreported[group] = position
        self._processed = len(results)
        reported = sorted(group for group, end in self._unreported.items() if after <= end < until)
        for group in reported:
            del self._unreported[group]
        return reported

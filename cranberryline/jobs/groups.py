"""The groups of a job: how large they are, and which a reader has just been given whole."""

from collections import Counter
from collections.abc import Sequence

from .model import Item, ItemResult, Job

__all__ = ["JobGroups", "group_of"]


def group_of(item: Item) -> str:
    """Return an item's group; an item without one is a group by itself."""
    return item.group or item.id


class JobGroups:
    """Follow which groups are listed whole, each result looked at once."""

    def __init__(self, job: Job) -> None:
        self.sizes = Counter(group_of(item) for item in job.items)
        self._items = job.items
        self._left = Counter(self.sizes)
        self._seen = 0
        self._untold: dict[str, int] = {}

    def newly_read(
        self, results: Sequence[tuple[int, ItemResult]], after: int, until: int
    ) -> list[str]:
        """Return the groups whose last result stands at `after` or later and before `until`, sorted.

        Each group is named once, so a job brings a node no more lines in the log than it has groups,
        however often it is read.
        """
        for position in range(self._seen, len(results)):
            group = group_of(self._items[results[position][0]])
            self._left[group] -= 1
            if not self._left[group]:
                self._untold[group] = position
        self._seen = len(results)
        found = sorted(group for group, at in self._untold.items() if after <= at < until)
        for group in found:
            del self._untold[group]
        return found

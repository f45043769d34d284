"""Count the work that is held, by class and caller.

Load answered: any. Admission and routing ask several times a request how much a caller, a class or
an upstream has outstanding; a scan over all requests would cost most when the load is highest.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from types import MappingProxyType

from .errors import DuplicateItemError
from .model import Priority, WorkItem

__all__ = ["Outstanding"]


class Outstanding:
    """A ledger of work items with sums that are kept as items come and go."""

    def __init__(self) -> None:
        self._items: dict[int | str, WorkItem] = {}
        self._left: dict[int | str, int] = {}
        self._tokens: dict[Priority, dict[str, int]] = {priority: {} for priority in Priority}
        self._requests: dict[str, int] = defaultdict(int)
        self._class_tokens: dict[Priority, int] = dict.fromkeys(Priority, 0)

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item_id: int | str) -> bool:
        return item_id in self._items

    def __iter__(self) -> Iterator[WorkItem]:
        return iter(self._items.values())

    @property
    def tokens(self) -> int:
        """Return the tokens still to do."""
        return sum(self._class_tokens.values())

    def class_tokens(self, priority: Priority) -> int:
        """Return the tokens still to do of one class."""
        return self._class_tokens[priority]

    def caller_tokens(self, priority: Priority) -> Mapping[str, int]:
        """Return the tokens still to do of one class by caller, without idle callers."""
        return MappingProxyType(self._tokens[priority])

    def caller_requests(self, caller: str) -> int:
        """Return how many requests of a caller are held."""
        return self._requests.get(caller, 0)

    def add(self, item: WorkItem) -> None:
        """Hold an item."""
        if item.id in self._items:
            raise DuplicateItemError(str(item.id))
        self._items[item.id] = item
        self._left[item.id] = item.tokens
        self._requests[item.caller] += 1
        self._add_tokens(item, item.tokens)

    def set_done(self, item_id: int | str, done: int) -> None:
        """Tell how many of an item's tokens were made, so that only the rest counts."""
        item = self._items.get(item_id)
        if item is None:
            return
        left = max(0, item.tokens - done)
        self._add_tokens(item, left - self._left[item_id])
        self._left[item_id] = left

    def remove(self, item_id: int | str) -> WorkItem | None:
        """Let go of an item; return it, or None when it is not held."""
        item = self._items.pop(item_id, None)
        if item is None:
            return None
        self._add_tokens(item, -self._left.pop(item_id))
        self._requests[item.caller] -= 1
        if not self._requests[item.caller]:
            del self._requests[item.caller]
            for callers in self._tokens.values():
                callers.pop(item.caller, None)
        return item

    def _add_tokens(self, item: WorkItem, tokens: int) -> None:
        callers = self._tokens[item.priority]
        callers[item.caller] = callers.get(item.caller, 0) + tokens
        self._class_tokens[item.priority] += tokens

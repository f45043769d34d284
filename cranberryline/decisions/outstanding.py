"""Totals of outstanding work by priority class and caller."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from types import MappingProxyType

from .errors import DuplicateItemError
from .model import Priority, WorkItem

__all__ = ["Outstanding"]


class Outstanding:
    """A set of work items with totals that are updated on every change.

    Admission and routing read the totals several times per request; summing over all items each
    time would cost most when the load is highest.
    """

    def __init__(self) -> None:
        self._items: dict[int | str, WorkItem] = {}
        self._remaining: dict[int | str, int] = {}
        self._caller_tokens: dict[Priority, dict[str, int]] = {
            priority: {} for priority in Priority
        }
        self._rank_tokens: dict[Priority, dict[int, dict[str, int]]] = {
            priority: {} for priority in Priority
        }
        self._caller_requests: dict[str, int] = defaultdict(int)
        self._class_tokens: dict[Priority, int] = dict.fromkeys(Priority, 0)

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item_id: int | str) -> bool:
        return item_id in self._items

    def __iter__(self) -> Iterator[WorkItem]:
        return iter(self._items.values())

    @property
    def tokens(self) -> int:
        """Return the number of remaining tokens."""
        return sum(self._class_tokens.values())

    def class_tokens(self, priority: Priority) -> int:
        """Return the number of remaining tokens of one class."""
        return self._class_tokens[priority]

    def caller_tokens(self, priority: Priority) -> Mapping[str, int]:
        """Return the remaining tokens of one class by caller; callers without items are absent."""
        return MappingProxyType(self._caller_tokens[priority])

    def rank_tokens(self, priority: Priority, rank: int) -> Mapping[str, int]:
        """Return the remaining tokens of one rank of a class by caller."""
        return MappingProxyType(self._rank_tokens[priority].get(rank, {}))

    def tokens_before_rank(self, priority: Priority, rank: int) -> int:
        """Return the remaining tokens of the more urgent ranks of a class."""
        return sum(
            sum(tokens_by_caller.values())
            for other, tokens_by_caller in self._rank_tokens[priority].items()
            if other < rank
        )

    def caller_requests(self, caller: str) -> int:
        """Return the number of items of a caller."""
        return self._caller_requests.get(caller, 0)

    def add(self, item: WorkItem) -> None:
        """Add an item; raises DuplicateItemError if its id is already present."""
        if item.id in self._items:
            raise DuplicateItemError(str(item.id))
        self._items[item.id] = item
        self._remaining[item.id] = item.tokens
        self._caller_requests[item.caller] += 1
        self._add_tokens(item, item.tokens)

    def set_done(self, item_id: int | str, done: int) -> None:
        """Set the number of completed tokens of an item, so that only the remaining ones count."""
        item = self._items.get(item_id)
        if item is None:
            return
        remaining = max(0, item.tokens - done)
        self._add_tokens(item, remaining - self._remaining[item_id])
        self._remaining[item_id] = remaining

    def remove(self, item_id: int | str) -> WorkItem | None:
        """Remove and return an item, or return None if it is not present."""
        item = self._items.pop(item_id, None)
        if item is None:
            return None
        self._add_tokens(item, -self._remaining.pop(item_id))
        self._caller_requests[item.caller] -= 1
        if not self._caller_requests[item.caller]:
            del self._caller_requests[item.caller]
            for tokens_by_caller in self._caller_tokens.values():
                tokens_by_caller.pop(item.caller, None)
            self._forget_ranks(item.caller)
        return item

    def _forget_ranks(self, caller: str) -> None:
        for tokens_by_rank in self._rank_tokens.values():
            for rank in [rank for rank, tokens in tokens_by_rank.items() if caller in tokens]:
                del tokens_by_rank[rank][caller]
                if not tokens_by_rank[rank]:
                    del tokens_by_rank[rank]

    def _add_tokens(self, item: WorkItem, tokens: int) -> None:
        tokens_by_caller = self._caller_tokens[item.priority]
        tokens_by_caller[item.caller] = tokens_by_caller.get(item.caller, 0) + tokens
        tokens_of_rank = self._rank_tokens[item.priority].setdefault(item.rank, {})
        tokens_of_rank[item.caller] = tokens_of_rank.get(item.caller, 0) + tokens
        self._class_tokens[item.priority] += tokens

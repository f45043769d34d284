"""Priority and fair queueing of work items that wait for a slot of an upstream."""

import heapq
from collections import defaultdict, deque
from collections.abc import Mapping
from datetime import timedelta

import attrs

from .const import CLASS_MIN_SHARES, DEFAULT_CALLER_WEIGHT, DEFAULT_LONG_TOKENS
from .errors import DuplicateItemError
from .model import Priority, WorkItem
from .outstanding import Outstanding

__all__ = ["QueueSettings", "WorkQueue", "max_slots_for_class"]

# Shares of the slots that are reserved for short items, for application calls, and for callers that
# run no more than their fair share. An eighth is enough because such items release their slot
# quickly or arrive rarely: of 16 slots, the two that serve calls 32 times shorter than the rest
# complete four times as many items as the other fourteen.
SHORT_RESERVE = 1 / 8
URGENT_RESERVE = 1 / 8
# With one caller that sends most of the work, this reserve reduces the median wait of the other
# callers from 0.36 s to 0.06 s.
FAIR_RESERVE = 1 / 8
MIN_SLOTS_FOR_RESERVE = 4
# A reserve applies only while items that it is meant for have arrived within this time.
RESERVE_TTL = timedelta(seconds=30)


def max_slots_for_class(slots: int, priority: Priority) -> int:
    """Return how many slots a class may use while application calls arrive."""
    if priority is Priority.APPLICATION or slots < MIN_SLOTS_FOR_RESERVE:
        return slots
    return slots - max(1, round(slots * URGENT_RESERVE))


@attrs.frozen
class QueueSettings:
    """Queue settings that an operator sets for a service.

    Items with more than `long_tokens` tokens count as long. `class_min_shares` is the share of the
    dispatched tokens that each class with queued items is guaranteed.
    """

    long_tokens: int = DEFAULT_LONG_TOKENS
    caller_weights: Mapping[str, float] = attrs.field(factory=dict)
    class_min_shares: Mapping[Priority, float] = attrs.field(factory=lambda: dict(CLASS_MIN_SHARES))


@attrs.define
class _CallerQueue:
    """Queued items of one caller in one class; the lowest virtual time is served first.

    Long items have a separate queue, so that they do not delay the short items of their caller.
    """

    weight: float
    virtual_time: float
    short: deque[WorkItem] = attrs.field(factory=deque)
    long: deque[WorkItem] = attrs.field(factory=deque)

    def next_items(self, long_allowed: bool) -> deque[WorkItem] | None:
        """Return the queue whose first item arrived first, of those that may be dispatched."""
        candidates = [self.short, self.long] if long_allowed else [self.short]
        return min(
            (items for items in candidates if items),
            key=lambda items: items[0].arrived,
            default=None,
        )


@attrs.define
class _ClassQueue:
    """Queues of one class by rank and caller, with the virtual time of each rank.

    `credit` is the number of tokens that the class may dispatch before more urgent classes. It
    grows by the minimum share of the class with every token that is dispatched.
    """

    callers: dict[tuple[int, str], _CallerQueue] = attrs.field(factory=dict)
    virtual_times: defaultdict[int, float] = attrs.field(factory=lambda: defaultdict(float))
    credit: float = 0.0


@attrs.frozen
class _Candidate:
    """The next item of a class: the first one of `items`."""

    caller_queue: _CallerQueue
    items: deque[WorkItem]


class WorkQueue:
    """Queued and running items of one upstream; the id of an item must never be reused.

    First-in-first-out order would let the burst of one caller delay all others, application calls
    wait behind the samples of a training step, and long generations occupy all slots, so that short
    calls wait for minutes. Instead the most urgent class is served first, but a class whose credit
    covers its next item precedes it, so that no class starves. Within a class, the most urgent rank
    is served first, and callers of one rank share the upstream by start-time fair queueing in tokens.

    The wait is bounded: `pop` never returns an item past its `start_by`, and `expire` returns such
    items to be rejected. They have not run, so the rejection is safe to retry.
    """

    def __init__(self, slots: int, settings: QueueSettings | None = None) -> None:
        self.slots = slots
        self.queued = Outstanding()
        self.running = Outstanding()
        self._settings = settings or QueueSettings()
        self._classes = {priority: _ClassQueue() for priority in Priority}
        self._expiry: list[tuple[timedelta, int, int | str]] = []
        self._push_count = 0
        self._running_long = 0
        self._running_non_urgent = 0
        self._last_short_arrival: timedelta | None = None
        self._last_urgent_arrival: timedelta | None = None
        self._last_caller_arrivals: dict[str, timedelta] = {}

    def __len__(self) -> int:
        return len(self.queued)

    def push(self, item: WorkItem) -> None:
        """Queue an item; raises DuplicateItemError if its id is queued or running."""
        if item.id in self.running:
            raise DuplicateItemError(str(item.id))
        self.queued.add(item)
        self._push_count += 1
        heapq.heappush(self._expiry, (item.start_by, self._push_count, item.id))
        self._record_arrival(item)
        self._enqueue(item)

    def pop(self, now: timedelta) -> WorkItem | None:
        """Mark the next item as running and return it, or return None if no item may start."""
        if len(self.running) >= self.slots:
            return None
        self._remove_stale_items(now)
        candidates = {priority: self._next_candidate(priority, now) for priority in Priority}
        ready = {
            priority: candidate
            for priority, candidate in candidates.items()
            if candidate is not None
        }
        if not ready:
            return None
        priority = self._choose_class(ready)
        return self._dispatch(priority, ready[priority])

    def finish(self, item_id: int | str) -> WorkItem | None:
        """Release the slot of an item that has ended; None if the item is not running."""
        item = self.running.remove(item_id)
        if item is None:
            return None
        self._running_long -= self._is_long(item)
        self._running_non_urgent -= item.priority > Priority.APPLICATION
        return item

    def cancel(self, item_id: int | str) -> WorkItem | None:
        """Remove a queued item; None if it is not queued, for example because it has started."""
        return self.queued.remove(item_id)

    def expire(self, now: timedelta) -> list[WorkItem]:
        """Remove and return the queued items that can no longer start in time."""
        expired = []
        while self._expiry and self._expiry[0][0] < now:
            _, _, item_id = heapq.heappop(self._expiry)
            item = self.queued.remove(item_id)
            if item is not None:
                expired.append(item)
        return expired

    def next_expiry(self) -> timedelta | None:
        """Return when to call `expire` next, or None if no item is queued."""
        while self._expiry and self._expiry[0][2] not in self.queued:
            heapq.heappop(self._expiry)
        return self._expiry[0][0] if self._expiry else None

    def drain(self) -> list[WorkItem]:
        """Remove and return all queued items."""
        items = list(self.queued)
        for item in items:
            self.queued.remove(item.id)
        return items

    def _is_long(self, item: WorkItem) -> bool:
        return item.tokens > self._settings.long_tokens

    def _record_arrival(self, item: WorkItem) -> None:
        if not self._is_long(item):
            self._last_short_arrival = item.arrived
        if item.priority is Priority.APPLICATION:
            self._last_urgent_arrival = item.arrived
        if item.caller not in self._last_caller_arrivals:
            self._last_caller_arrivals = {
                caller: arrival
                for caller, arrival in self._last_caller_arrivals.items()
                if _is_recent(arrival, item.arrived)
            }
        self._last_caller_arrivals[item.caller] = item.arrived

    def _enqueue(self, item: WorkItem) -> None:
        class_queue = self._classes[item.priority]
        virtual_time = class_queue.virtual_times[item.rank]
        key = (item.rank, item.caller)
        caller_queue = class_queue.callers.get(key)
        if caller_queue is None:
            weight = self._settings.caller_weights.get(item.caller, DEFAULT_CALLER_WEIGHT)
            caller_queue = class_queue.callers[key] = _CallerQueue(weight, virtual_time)
        if not caller_queue.short and not caller_queue.long:
            caller_queue.virtual_time = max(caller_queue.virtual_time, virtual_time)
        items = caller_queue.long if self._is_long(item) else caller_queue.short
        items.append(item)

    def _remove_stale_items(self, now: timedelta) -> None:
        for class_queue in self._classes.values():
            for key, caller_queue in list(class_queue.callers.items()):
                for items in (caller_queue.short, caller_queue.long):
                    while items and not self._may_start(items[0], now):
                        items.popleft()
                idle = not caller_queue.short and not caller_queue.long
                # A caller never restarts below the virtual time of its rank, so an idle caller
                # that is behind it needs no state.
                if idle and caller_queue.virtual_time <= class_queue.virtual_times[key[0]]:
                    del class_queue.callers[key]

    def _may_start(self, item: WorkItem, now: timedelta) -> bool:
        return item.id in self.queued and item.start_by >= now

    def _next_candidate(self, priority: Priority, now: timedelta) -> _Candidate | None:
        if priority > Priority.APPLICATION and not self._non_urgent_slot_free(now):
            return None
        long_allowed = self._long_slot_free(now)
        best: _Candidate | None = None
        best_order: tuple[int, float] | None = None
        only_fair_reserve_left = self.slots - len(self.running) <= self._fair_reserve()
        for (rank, caller), caller_queue in self._classes[priority].callers.items():
            order = (rank, caller_queue.virtual_time)
            if best_order is not None and best_order <= order:
                continue
            if only_fair_reserve_left and self._exceeds_fair_share(caller, now):
                continue
            items = caller_queue.next_items(long_allowed)
            if items is not None:
                best, best_order = _Candidate(caller_queue, items), order
        return best

    def _fair_reserve(self) -> int:
        if self.slots < MIN_SLOTS_FOR_RESERVE:
            return 0
        return max(1, round(self.slots * FAIR_RESERVE))

    def _exceeds_fair_share(self, caller: str, now: timedelta) -> bool:
        active = sum(_is_recent(arrival, now) for arrival in self._last_caller_arrivals.values())
        return active > 1 and self.running.caller_requests(caller) > self.slots / active

    def _long_slot_free(self, now: timedelta) -> bool:
        if not _is_recent(self._last_short_arrival, now) or self.slots < MIN_SLOTS_FOR_RESERVE:
            return True
        return self._running_long < self.slots - max(1, round(self.slots * SHORT_RESERVE))

    def _non_urgent_slot_free(self, now: timedelta) -> bool:
        if not _is_recent(self._last_urgent_arrival, now):
            return True
        return self._running_non_urgent < max_slots_for_class(self.slots, Priority.TRAINER)

    def _choose_class(self, ready: Mapping[Priority, _Candidate]) -> Priority:
        for priority, candidate in ready.items():
            if self._classes[priority].credit >= candidate.items[0].tokens:
                return priority
        return min(ready)

    def _dispatch(self, priority: Priority, candidate: _Candidate) -> WorkItem:
        class_queue = self._classes[priority]
        item = candidate.items.popleft()
        self.queued.remove(item.id)
        self.running.add(item)
        class_queue.virtual_times[item.rank] = max(
            class_queue.virtual_times[item.rank], candidate.caller_queue.virtual_time
        )
        candidate.caller_queue.virtual_time += item.tokens / candidate.caller_queue.weight
        self._running_long += self._is_long(item)
        self._running_non_urgent += item.priority > Priority.APPLICATION
        self._update_credit(priority, item.tokens)
        return item

    def _update_credit(self, served: Priority, tokens: int) -> None:
        for priority, class_queue in self._classes.items():
            if priority is served:
                class_queue.credit = max(0.0, class_queue.credit - tokens)
            # The limit prevents a class that could not start its items from accumulating credit
            # for a burst.
            earned = class_queue.credit + self._settings.class_min_shares[priority] * tokens
            class_queue.credit = min(earned, self.queued.class_tokens(priority))


def _is_recent(arrival: timedelta | None, now: timedelta) -> bool:
    return arrival is not None and now - arrival <= RESERVE_TTL

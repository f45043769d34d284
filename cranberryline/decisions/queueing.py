"""Order the work that waits for a slot of an upstream.

Load answered: more work than slots, from unlike callers, in unlike sizes. First-in-first-out goes
wrong three ways: a caller's burst is everybody's wait; application calls stand behind a step's
samples; and long generations take all slots, so that short calls wait for minutes.

Order: the most urgent class first, but a waiting class earns its floor of every token dispatched
and goes first once it has earned the head item (so no class starves). Within a class callers share
by start-time fair queueing in tokens: the caller whose virtual time is lowest goes first. A
caller's long work waits in a lane of its own, so that it does not hold up the caller's short work.

Three reserves keep the last slots for those who would otherwise wait for one to be freed:

- Long work may take all slots but `SHORT_RESERVE` of them.
- Classes below application may take all but `URGENT_RESERVE`.
- A caller that runs more than its share may take all but `FAIR_RESERVE`.

Each holds only while work of the other kind was seen within `RESERVE_MEMORY`; an upstream that
sees none is used in full. An eighth is enough because what it is kept for leaves its slot quickly
or comes seldom: of 16 slots, two that serve calls 32 times shorter than the rest do four times as
many as the other fourteen together. Measured on one seed of the load "heavy caller": with
`FAIR_RESERVE` the others' median wait for a slot is 0.06 s, without it 0.36 s.

The wait is bounded: an item past `start_by` is never popped, and `expire` hands it over to be
refused, which is safe because an item that was not popped has not run.
"""

import heapq
from collections import deque
from collections.abc import Mapping
from datetime import timedelta

import attrs

from .const import CLASS_FLOORS, DEFAULT_CALLER_WEIGHT, DEFAULT_LONG_TOKENS
from .errors import DuplicateItemError
from .model import Priority, WorkItem
from .outstanding import Outstanding

__all__ = ["QueueSettings", "WorkQueue", "slots_for"]

SHORT_RESERVE = 1 / 8
URGENT_RESERVE = 1 / 8
FAIR_RESERVE = 1 / 8
MIN_SLOTS_FOR_RESERVE = 4
RESERVE_MEMORY = timedelta(seconds=30)


def slots_for(slots: int, priority: Priority) -> int:
    """Return how many slots a class may take while more urgent work comes in."""
    if priority is Priority.APPLICATION or slots < MIN_SLOTS_FOR_RESERVE:
        return slots
    return slots - max(1, round(slots * URGENT_RESERVE))


@attrs.frozen
class QueueSettings:
    """What an operator sets for a service's queues."""

    long_tokens: int = DEFAULT_LONG_TOKENS
    caller_weights: Mapping[str, float] = attrs.field(factory=dict)
    class_floors: Mapping[Priority, float] = attrs.field(factory=lambda: dict(CLASS_FLOORS))


@attrs.define
class _Account:
    """What one caller has waiting in one class; a lower virtual time goes first."""

    weight: float
    virtual_time: float
    short: deque[WorkItem] = attrs.field(factory=deque)
    long: deque[WorkItem] = attrs.field(factory=deque)

    def lane(self, long_allowed: bool) -> deque[WorkItem] | None:
        """Return the lane whose head came first, of those that may start."""
        lanes = [self.short, self.long] if long_allowed else [self.short]
        return min((lane for lane in lanes if lane), key=lambda lane: lane[0].arrived, default=None)


@attrs.define
class _ClassQueue:
    """The callers of one class; `credit` is what the class has earned of its floor, in tokens."""

    accounts: dict[str, _Account] = attrs.field(factory=dict)
    virtual_time: float = 0.0
    credit: float = 0.0


@attrs.frozen
class _Head:
    """The item of a class that would go next."""

    account: _Account
    lane: deque[WorkItem]


class WorkQueue:
    """Items that wait and items that run on one upstream; an item's id is never used again."""

    def __init__(self, slots: int, settings: QueueSettings | None = None) -> None:
        self.slots = slots
        self.queued = Outstanding()
        self.running = Outstanding()
        self._settings = settings or QueueSettings()
        self._classes = {priority: _ClassQueue() for priority in Priority}
        self._expiry: list[tuple[timedelta, int, int | str]] = []
        self._pushed = 0
        self._running_long = 0
        self._running_below = 0
        self._short_seen: timedelta | None = None
        self._urgent_seen: timedelta | None = None
        self._callers_seen: dict[str, timedelta] = {}

    def __len__(self) -> int:
        return len(self.queued)

    def push(self, item: WorkItem) -> None:
        """Let an item wait; its id must not be waiting or running."""
        if item.id in self.running:
            raise DuplicateItemError(str(item.id))
        self.queued.add(item)
        self._pushed += 1
        heapq.heappush(self._expiry, (item.start_by, self._pushed, item.id))
        self._note_seen(item)
        self._enqueue(item)

    def pop(self, now: timedelta) -> WorkItem | None:
        """Move the next item to the running ones and return it, or None when none may start."""
        if len(self.running) >= self.slots:
            return None
        self._drop_gone(now)
        heads = {priority: self._head(priority, now) for priority in Priority}
        ready = {priority: head for priority, head in heads.items() if head is not None}
        if not ready:
            return None
        priority = self._choose_class(ready)
        return self._dispatch(priority, ready[priority])

    def finish(self, item_id: int | str) -> WorkItem | None:
        """Free the slot of an item that ended."""
        item = self.running.remove(item_id)
        if item is None:
            return None
        self._running_long -= self._is_long(item)
        self._running_below -= item.priority > Priority.APPLICATION
        return item

    def cancel(self, item_id: int | str) -> WorkItem | None:
        """Take out an item that waits; None when it does not wait (any more)."""
        return self.queued.remove(item_id)

    def expire(self, now: timedelta) -> list[WorkItem]:
        """Take out and return the items that can no longer start in time."""
        expired = []
        while self._expiry and self._expiry[0][0] < now:
            _, _, item_id = heapq.heappop(self._expiry)
            item = self.queued.remove(item_id)
            if item is not None:
                expired.append(item)
        return expired

    def next_expiry(self) -> timedelta | None:
        """Return when `expire` should next be called, or None when nothing waits."""
        while self._expiry and self._expiry[0][2] not in self.queued:
            heapq.heappop(self._expiry)
        return self._expiry[0][0] if self._expiry else None

    def drain(self) -> list[WorkItem]:
        """Take out and return everything that waits."""
        items = list(self.queued)
        for item in items:
            self.queued.remove(item.id)
        return items

    def _is_long(self, item: WorkItem) -> bool:
        return item.tokens > self._settings.long_tokens

    def _note_seen(self, item: WorkItem) -> None:
        if not self._is_long(item):
            self._short_seen = item.arrived
        if item.priority is Priority.APPLICATION:
            self._urgent_seen = item.arrived
        if item.caller not in self._callers_seen:
            self._callers_seen = {
                caller: seen
                for caller, seen in self._callers_seen.items()
                if _recent(seen, item.arrived)
            }
        self._callers_seen[item.caller] = item.arrived

    def _enqueue(self, item: WorkItem) -> None:
        queue = self._classes[item.priority]
        account = queue.accounts.get(item.caller)
        if account is None:
            weight = self._settings.caller_weights.get(item.caller, DEFAULT_CALLER_WEIGHT)
            account = queue.accounts[item.caller] = _Account(weight, queue.virtual_time)
        if not account.short and not account.long:
            account.virtual_time = max(account.virtual_time, queue.virtual_time)
        lane = account.long if self._is_long(item) else account.short
        lane.append(item)

    def _drop_gone(self, now: timedelta) -> None:
        for queue in self._classes.values():
            for caller, account in list(queue.accounts.items()):
                for lane in (account.short, account.long):
                    while lane and not self._may_start(lane[0], now):
                        lane.popleft()
                idle = not account.short and not account.long
                # A caller behind the class's virtual time has no debt and needs no memory.
                if idle and account.virtual_time <= queue.virtual_time:
                    del queue.accounts[caller]

    def _may_start(self, item: WorkItem, now: timedelta) -> bool:
        return item.id in self.queued and item.start_by >= now

    def _head(self, priority: Priority, now: timedelta) -> _Head | None:
        if priority > Priority.APPLICATION and not self._slot_below_urgent(now):
            return None
        long_allowed = self._slot_for_long(now)
        best: _Head | None = None
        last_slots = self.slots - len(self.running) <= self._fair_reserve()
        for caller, account in self._classes[priority].accounts.items():
            if best is not None and best.account.virtual_time <= account.virtual_time:
                continue
            if last_slots and self._over_share(caller, now):
                continue
            lane = account.lane(long_allowed)
            if lane is not None:
                best = _Head(account, lane)
        return best

    def _fair_reserve(self) -> int:
        if self.slots < MIN_SLOTS_FOR_RESERVE:
            return 0
        return max(1, round(self.slots * FAIR_RESERVE))

    def _over_share(self, caller: str, now: timedelta) -> bool:
        active = sum(_recent(seen, now) for seen in self._callers_seen.values())
        return active > 1 and self.running.caller_requests(caller) > self.slots / active

    def _slot_for_long(self, now: timedelta) -> bool:
        if not _recent(self._short_seen, now) or self.slots < MIN_SLOTS_FOR_RESERVE:
            return True
        return self._running_long < self.slots - max(1, round(self.slots * SHORT_RESERVE))

    def _slot_below_urgent(self, now: timedelta) -> bool:
        if not _recent(self._urgent_seen, now):
            return True
        return self._running_below < slots_for(self.slots, Priority.TRAINER)

    def _choose_class(self, ready: Mapping[Priority, _Head]) -> Priority:
        for priority, head in ready.items():
            if self._classes[priority].credit >= head.lane[0].tokens:
                return priority
        return min(ready)

    def _dispatch(self, priority: Priority, head: _Head) -> WorkItem:
        queue = self._classes[priority]
        item = head.lane.popleft()
        self.queued.remove(item.id)
        self.running.add(item)
        queue.virtual_time = max(queue.virtual_time, head.account.virtual_time)
        head.account.virtual_time += item.tokens / head.account.weight
        self._running_long += self._is_long(item)
        self._running_below += item.priority > Priority.APPLICATION
        self._share_credit(priority, item.tokens)
        return item

    def _share_credit(self, served: Priority, tokens: int) -> None:
        for priority, queue in self._classes.items():
            if priority is served:
                queue.credit = max(0.0, queue.credit - tokens)
            # A class that could not start its work must not save up for a burst of its own.
            earned = queue.credit + self._settings.class_floors[priority] * tokens
            queue.credit = min(earned, self.queued.class_tokens(priority))


def _recent(seen: timedelta | None, now: timedelta) -> bool:
    return seen is not None and now - seen <= RESERVE_MEMORY

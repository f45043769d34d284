"""Compare orders of a queue before which one workspace sends most of the requests.

Every run is on a virtual clock: the same seed gives the same figures on any machine.
"""

import abc
import argparse
import heapq
from collections import Counter, deque
from collections.abc import Iterator, Mapping
from datetime import timedelta
from random import Random

import attrs

from cranberryline.decisions import Priority, WorkItem, WorkQueue

__all__ = ["ORDERS", "FairnessLoad", "main", "served_shares"]

HEAVY = "w0"


@attrs.frozen
class FairnessLoad:
    """Poisson arrivals of workspaces at a service with `slots`; times are in seconds.

    `load` is the share of the capacity that the workspaces ask for without the heavy one, which
    sends `heavy` times the rate of each other one. A request that waited for `patience` is lost.
    """

    workspaces: int = 80
    heavy: float = 20.0
    load: float = 0.9
    slots: int = 12
    mean_run: float = 0.025
    patience: float = 0.15
    seconds: float = 120.0


class Order(abc.ABC):
    """The order in which waiting requests start."""

    @abc.abstractmethod
    def push(self, item: WorkItem) -> None:
        """Add a waiting request."""

    @abc.abstractmethod
    def pop(self, now: timedelta) -> WorkItem | None:
        """Remove and return the next request that is still in time."""

    @abc.abstractmethod
    def finish(self, item: WorkItem) -> None:
        """Handle the end of a request."""


class Fifo(Order):
    """First come, first served."""

    def __init__(self, _slots: int) -> None:
        self._items: deque[WorkItem] = deque()

    def push(self, item: WorkItem) -> None:
        """Add a waiting request."""
        self._items.append(item)

    def pop(self, now: timedelta) -> WorkItem | None:
        """Return the oldest request that is still in time."""
        while self._items:
            item = self._items.popleft()
            if item.start_by >= now:
                return item
        return None

    def finish(self, item: WorkItem) -> None:
        """Ignore the end of a request."""


class DeficitRoundRobin(Order):
    """Serve workspaces in turn, each up to its quantum of tokens and what it had left over."""

    quantum = 1

    def __init__(self, _slots: int) -> None:
        self._queues: dict[str, deque[WorkItem]] = {}
        self._deficits: Counter[str] = Counter()
        self._turns: deque[str] = deque()

    def push(self, item: WorkItem) -> None:
        """Add a waiting request; a workspace that waits for the first time is the last in turn."""
        if item.caller not in self._queues:
            self._queues[item.caller] = deque()
            self._turns.append(item.caller)
        self._queues[item.caller].append(item)

    def pop(self, now: timedelta) -> WorkItem | None:
        """Return the next request of the workspace in turn."""
        while self._turns:
            caller = self._turns[0]
            items = self._queues[caller]
            while items and items[0].start_by < now:
                items.popleft()
            if not items:
                self._leave(caller)
            elif self._deficits[caller] >= items[0].tokens:
                self._deficits[caller] -= items[0].tokens
                return items.popleft()
            else:
                self._deficits[caller] += self.quantum
                self._turns.rotate(-1)
        return None

    def _leave(self, caller: str) -> None:
        self._turns.popleft()
        del self._queues[caller], self._deficits[caller]

    def finish(self, item: WorkItem) -> None:
        """Ignore the end of a request."""


class StartTimeFair(Order):
    """The product's queue."""

    def __init__(self, slots: int) -> None:
        self._queue = WorkQueue(slots)

    def push(self, item: WorkItem) -> None:
        """Add a waiting request."""
        self._queue.push(item)

    def pop(self, now: timedelta) -> WorkItem | None:
        """Return the next request of the workspace with the lowest virtual time."""
        return self._queue.pop(now)

    def finish(self, item: WorkItem) -> None:
        """Release the slot of a request."""
        self._queue.finish(item.id)


ORDERS: Mapping[str, type[Order]] = {
    "fifo": Fifo,
    "deficit round robin": DeficitRoundRobin,
    "start-time fair": StartTimeFair,
}


def served_shares(
    order: type[Order], load: FairnessLoad, seed: int, with_heavy: bool = True
) -> dict[str, float]:
    """Return the share of the requests of each workspace that started in time."""
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for caller, in_time in _play(order(load.slots), load, seed, with_heavy):
        asked[caller] += 1
        served[caller] += in_time
    return {caller: served[caller] / asked[caller] for caller in asked}


def _play(
    queue: Order, load: FairnessLoad, seed: int, with_heavy: bool
) -> Iterator[tuple[str, bool]]:
    items = dict(enumerate(_arrivals(load, seed, with_heavy)))
    started: set[int | str] = set()
    rng = Random(f"{seed} runs")
    events: list[tuple[timedelta, int, WorkItem]] = [
        (item.arrived, 0, item) for item in items.values()
    ]
    events = [(at, number, item) for number, (at, _, item) in enumerate(events)]
    heapq.heapify(events)
    free, ends = load.slots, len(events)
    while events:
        now, number, item = heapq.heappop(events)
        if number < len(items):
            queue.push(item)
        else:
            free += 1
            queue.finish(item)
        while free and (chosen := queue.pop(now)) is not None:
            free -= 1
            started.add(chosen.id)
            ends += 1
            run = timedelta(seconds=rng.expovariate(1 / load.mean_run))
            heapq.heappush(events, (now + run, ends, chosen))
    for item in items.values():
        yield item.caller, item.id in started


def _arrivals(load: FairnessLoad, seed: int, with_heavy: bool) -> list[WorkItem]:
    rate = load.load * load.slots / load.mean_run / load.workspaces
    found: list[tuple[float, str]] = []
    for number in range(load.workspaces):
        caller = f"w{number}"
        rng = Random(f"{seed} {caller}")
        own_rate = rate * load.heavy if with_heavy and caller == HEAVY else rate
        at = rng.expovariate(own_rate)
        while at < load.seconds:
            found.append((at, caller))
            at += rng.expovariate(own_rate)
    patience = timedelta(seconds=load.patience)
    return [
        WorkItem(
            number,
            caller,
            Priority.APPLICATION,
            1,
            timedelta(seconds=at),
            timedelta(seconds=at) + patience,
        )
        for number, (at, caller) in enumerate(sorted(found))
    ]


def main(argv: list[str]) -> int:
    """Print, for each order, what the heavy workspace and the worst other one are served."""
    parser = argparse.ArgumentParser(prog="script/bench fairness", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=0.9)
    args = parser.parse_args(argv)
    load = FairnessLoad(load=args.load)
    print(f"{'order':22}{'heavy':>8}{'others':>8}{'worst':>8}{'worst against alone':>22}")
    for name, order in ORDERS.items():
        rows = [_row(order, load, seed) for seed in range(1, args.seeds + 1)]
        means = [sum(values) / len(values) for values in zip(*rows, strict=True)]
        print(f"{name:22}{means[0]:8.3f}{means[1]:8.3f}{means[2]:8.3f}{means[3]:22.3f}")
    return 0


def _row(order: type[Order], load: FairnessLoad, seed: int) -> tuple[float, float, float, float]:
    alone = served_shares(order, load, seed, with_heavy=False)
    beside = served_shares(order, load, seed)
    others = {caller: share for caller, share in beside.items() if caller != HEAVY}
    worst = min(share / alone[caller] for caller, share in others.items())
    return beside[HEAVY], sum(others.values()) / len(others), min(others.values()), worst

"""What may not reach a sampler: work of ended jobs, work for one that left, work for no sampler."""

import math
import os
import re
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from stand_ins.drains import DrainBook
from stand_ins.platform_sampler import PlatformSampler

from .model import POISON, Book

__all__ = ["BOUND_S", "DRAIN_BOUND_S", "Judge"]

# The platform's bound on work of an ended job, and the time without trouble after which a gateway is
# held to it; the bench's days name 3,000 ms for both.
BOUND_S = 3.0
# The platform's bound on work for a sampler that drains or whose entry is gone.
DRAIN_BOUND_S = 2.0
# Under this many crashes of samplers a request is to be known, and this many runs may follow.
_KNOWN_AFTER = 3
_MAY_FOLLOW = 3
_WORK = re.compile(r"s(\d+)[ir]\d+")
_LOCAL, _INODE = 1, 9


class Judge:
    """Look at each request that reaches a sampler, when it does.

    A gateway that was frozen or cut from the store within the bound is not held to it; which gateway
    sent a request is found by its connection, in the kernel's table, and only where one is late.
    """

    def __init__(
        self,
        book: Book,
        pids: Callable[[], dict[int, int]],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._book = book
        self._pids = pids
        self._now = now
        self._ends: dict[str, float] = {}
        self._newest: dict[str, tuple[int, float]] = {}
        self.drains = DrainBook(now)
        self._unlisted: set[str] = set()
        self._trouble: dict[int, float] = {}
        self._store_trouble = -math.inf
        self._crashes = 0
        self._third_crash = math.inf
        self._followed = 0

    def crashed(self) -> None:
        """Take that a sampler crashed under the poison."""
        self._book.counts["poison_crashes"] += 1
        self._crashes += 1
        if self._crashes == _KNOWN_AFTER:
            self._third_crash = self._now()

    def ended(self, job: str) -> None:
        """Take the first 200 to a job's end."""
        self._ends.setdefault(job, self._now())

    def registered(self, sampler: PlatformSampler) -> None:
        """Take a sampler's entry, which names its start."""
        if self._newest.get(sampler.id, (0, 0.0))[0] < sampler.born:
            self._newest[sampler.id] = (sampler.born, self._now())

    def unlisted(self, sampler: PlatformSampler) -> None:
        """Take that a sampler's entry is gone for good, unless the store was out within the bound."""
        if self._now() - self._store_trouble > BOUND_S:
            self._unlisted.add(sampler.id)
            self.drains.left(sampler.id)

    def draining(self, sampler: PlatformSampler) -> None:
        """Take that a sampler has told that it drains, unless the store was out within the bound."""
        if self._now() - self._store_trouble > BOUND_S:
            self.drains.left(sampler.id)

    def frozen(self, gateway: int) -> None:
        """Take that a gateway stands still, until `calm`."""
        self._trouble[gateway] = math.inf

    def calm(self, gateway: int) -> None:
        """Take that a gateway that stood still goes on, or was started anew."""
        if self._trouble.get(gateway) == math.inf:
            self._trouble[gateway] = self._now()

    def stood_still(self, gateway: int, seconds: float) -> bool:
        """Tell whether a gateway stood still within the last seconds."""
        return self._trouble.get(gateway, -math.inf) > self._now() - seconds

    def troubled(self, gateway: int) -> bool:
        """Tell whether a gateway stood still, or the store was out, within the bound."""
        trouble = max(self._trouble.get(gateway, -math.inf), self._store_trouble)
        return self._now() - trouble <= BOUND_S

    def store(self, down: bool) -> None:
        """Take that all gateways are cut from the store, or no longer."""
        if down:
            self._store_trouble = math.inf
        elif self._store_trouble == math.inf:
            self._store_trouble = self._now()

    def trapped(self, sampler: PlatformSampler, request_id: str, port: int) -> None:
        """Take a request at an address that only entries of another writer name."""
        self._book.break_promise("used_a_bad_entry", self._told(sampler, request_id, port))

    def reached(self, sampler: PlatformSampler, request_id: str, port: int) -> None:
        """Take a request that reached a sampler, run or turned away."""
        work, now = _WORK.fullmatch(request_id), self._now()
        if request_id.startswith(POISON) and now - self._third_crash > BOUND_S:
            self._late_poison(now - self._third_crash, sampler, request_id, port)
        ended = self._ends.get(f"job{work[1]}") if work else None
        if ended is not None and now - ended > BOUND_S:
            self._late("reached_after_end", now - ended, sampler, request_id, port)
        left_for = self.drains.since_left(sampler.id)
        if left_for is not None:
            self._reached_leaving(left_for, sampler, request_id, port)
        born, since = self._newest.get(sampler.id, (0, now))
        if born > sampler.born and now - since > BOUND_S:
            self._late("reached_former_start", now - since, sampler, request_id, port)
        if born < sampler.born:
            # Sent to the former start, whose id and address it has; nobody could know of this one.
            self._book.counts[f"{'work' if work else 'plain'}_reached_before_entry"] += 1

    def _reached_leaving(
        self, left_for: float, sampler: PlatformSampler, request_id: str, port: int
    ) -> None:
        if left_for > DRAIN_BOUND_S:
            gone = sampler.id in self._unlisted
            kind = "reached_unlisted" if gone else "reached_draining"
            if not self._late(kind, left_for, sampler, request_id, port):
                return
        self.drains.reached(sampler.id)

    def _late_poison(
        self, late: float, sampler: PlatformSampler, request_id: str, port: int
    ) -> None:
        if self._excused(port):
            self._book.counts["excused_poison"] += 1
            return
        self._followed += 1
        self._book.counts["poison_followed"] += 1
        if self._followed > _MAY_FOLLOW:
            told = f"{self._told(sampler, request_id, port)}, {late:.2f} s after the third crash"
            self._book.break_promise("poison_ran_on", told)

    def _excused(self, port: int) -> bool:
        return self.troubled(self._gateway(port))

    def _late(
        self, what: str, late: float, sampler: PlatformSampler, request_id: str, port: int
    ) -> bool:
        """Note what came too late; return False if its gateway is excused."""
        if self._excused(port):
            self._book.counts[f"excused_{what}"] += 1
            return False
        told = f"{self._told(sampler, request_id, port)}, {late:.2f} s after"
        self._book.break_promise(what, told)
        return True

    def _told(self, sampler: PlatformSampler, request_id: str, port: int) -> str:
        return f"{request_id} at {sampler.id}@{sampler.born} from front-{self._gateway(port)}"

    def _gateway(self, port: int) -> int:
        """Return the gateway that has this port of loopback, -1 for one that is gone."""
        local = f"0100007F:{port:04X}"
        rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
        sockets = {f"socket:[{row[_INODE]}]" for row in rows if row[_LOCAL] == local}
        for pid, number in self._pids().items():
            if sockets & _held(pid):
                return number
        return -1


def _held(pid: int) -> set[str]:
    """Return what a process holds open; one that ended just now holds nothing."""
    held: set[str] = set()
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return held
    for name in names:
        with suppress(OSError):  # closed since it was listed
            held.add(os.readlink(f"{folder}/{name}"))
    return held

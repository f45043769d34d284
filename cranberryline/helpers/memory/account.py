"""One account of all bytes that a process holds for its clients.

Each sender and reader has a holding. What does not fit is refused before it is received; where room is
needed, the clients that hold most and move least lose theirs first.
"""

import enum
import math
from collections.abc import Callable
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.ports.response_memory import ByteHolding

from .const import CHECKED_BYTES, EVICTABLE_AFTER, MAX_DRAIN, RESIDENT_MAX_AGE, SMALL_BYTES
from .limits import MemoryLimits

__all__ = ["Holding", "HoldingPhase", "MemoryAccount"]


class HoldingPhase(enum.Enum):
    """Who has to act next."""

    RECEIVING = enum.auto()  # the client sends
    WORKING = enum.auto()  # this process, an upstream or the store
    SENDING = enum.auto()  # the client reads


class MemoryAccount:
    """The holdings of a process, all within one limit.

    `resident` returns the memory that the process really uses, None if that is not known.
    """

    def __init__(
        self, limits: MemoryLimits, clock: Clock, resident: Callable[[], int | None]
    ) -> None:
        self.limits = limits
        self.held = 0
        self.on_evict: Callable[[], None] = lambda: None
        self._clock = clock
        self._resident = resident
        self._resident_bytes = 0
        self._resident_read_at: timedelta | None = None
        # Reserved for bytes that have not come yet, so the process does not use them yet.
        self._expected = 0
        self._kept: dict[str, int] = {}
        self._holdings: set[Holding] = set()
        # A holding only becomes evictable when its client is observed.
        self._may_evict = True

    def open(self, evict: Callable[[], None] | None = None) -> "Holding":
        """Return an empty holding; `evict` ends its client, without it nobody does."""
        return Holding(self, evict)

    def keep(self, name: str, size: int) -> None:
        """Set how much is held under a name for nobody in particular, such as accepted jobs."""
        self.held += size - self._kept.get(name, 0)
        self._kept[name] = size

    def fits(self, size: int, limit: int) -> bool:
        """Return whether `size` more bytes are within a limit of all holdings."""
        if self.held + size > limit:
            return False
        if size < CHECKED_BYTES:
            return True
        return self._used() + self._expected + size <= self.limits.process

    def make_room(self, size: int, limit: int, for_holding: "Holding | None") -> bool:
        """Evict clients until `size` more bytes fit; return whether they do.

        The client of `for_holding`, if there is one, stays.
        """
        if self.fits(size, limit):
            return True
        if not self._may_evict:
            return False
        others = (each for each in self._holdings if each is not for_holding and each.evictable)
        for holding in sorted(others, key=lambda each: each.burden, reverse=True):
            self.on_evict()
            holding.evict()
            self._resident_read_at = None
            if self.fits(size, limit):
                return True
        self._may_evict = False
        return False

    def observed(self) -> None:
        """Note that a client was observed, which may have become evictable."""
        self._may_evict = True

    def change(self, holding: "Holding", held: int, expected: int = 0) -> None:
        """Apply a change of a holding's size, and of what of it has not come yet."""
        self.held += held
        self._expected += expected
        if holding.size:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)

    def _used(self) -> int:
        now = self._clock.monotonic()
        read_at = self._resident_read_at
        if read_at is None or now - read_at > RESIDENT_MAX_AGE:
            self._resident_bytes = self._resident() or 0
            self._resident_read_at = now
        return self._resident_bytes


class Holding(ByteHolding):
    """Bytes held for one client: its request's body, copies of it, and its unread answer."""

    def __init__(self, account: MemoryAccount, evict: Callable[[], None] | None) -> None:
        self._account = account
        self._evict = evict
        self.size = 0
        self.phase = HoldingPhase.WORKING
        self._expected = 0
        self._idle = timedelta()
        self._pace = math.inf

    @property
    def evictable(self) -> bool:
        """Return whether it is the client's fault that the bytes are still held."""
        if self._evict is None or self.phase is HoldingPhase.WORKING:
            return False
        return self._idle >= EVICTABLE_AFTER or self._drain_s > MAX_DRAIN.total_seconds()

    @property
    def burden(self) -> float:
        """Return for how long how much is held: bytes times the seconds to their end."""
        idle_s = max(self._idle, EVICTABLE_AFTER).total_seconds()
        return self.size * max(idle_s, min(self._drain_s, MAX_DRAIN.total_seconds()))

    @property
    def _drain_s(self) -> float:
        return self.size / self._pace if self._pace else math.inf

    def reserve(self, size: int) -> bool:
        """Hold room for bytes that the client is going to send; return whether there is any."""
        if not self._admit(size, self._account.limits.bodies):
            return False
        self._change(size, size)
        return True

    def receive(self, size: int) -> bool:
        """Take bytes that have come, first from what was reserved; return whether there is room."""
        reserved = min(size, self._expected)
        self._change(0, -reserved)
        more = size - reserved
        if more and not self._admit(more, self._account.limits.bodies):
            return False
        self._change(more)
        return True

    def grow(self, size: int) -> bool:
        """Hold more bytes of an answer; return whether there is room."""
        if not self._admit(size, self._account.limits.large):
            return False
        self._change(size)
        return True

    def take(self, size: int) -> None:
        """Hold bytes that are there already, and let others make room for them."""
        self._change(size)
        self._account.make_room(0, self._account.limits.large, self)

    def shrink(self, size: int) -> None:
        """Let go of bytes."""
        self._change(-min(size, self.size))

    def release(self) -> None:
        """Let go of everything; the client has its answer, or is gone."""
        self._change(-self.size, -self._expected)

    def enter(self, phase: HoldingPhase) -> None:
        """Say who has to act next."""
        if phase is not self.phase:
            self.phase = phase
            self._idle, self._pace = timedelta(), math.inf

    def observe(self, moved: int, interval: timedelta) -> None:
        """Note how many bytes the client has sent or read in an interval."""
        if not self.size:
            return
        pace = moved / interval.total_seconds()
        self._pace = pace if math.isinf(self._pace) else (self._pace + pace) / 2
        self._idle = timedelta() if moved else self._idle + interval
        self._account.observed()

    @property
    def idle(self) -> timedelta:
        """Return for how long the client has moved nothing in this phase."""
        return self._idle

    def evict(self) -> None:
        """End the client."""
        if self._evict is not None:
            self._evict()
        self.release()

    def _admit(self, size: int, limit: int) -> bool:
        if self.size + size <= SMALL_BYTES:
            limit = self._account.limits.total
        return self._account.make_room(size, limit, self)

    def _change(self, held: int, expected: int = 0) -> None:
        if not self.size:
            self._idle, self._pace = timedelta(), math.inf
        self.size += held
        self._expected += expected
        self._account.change(self, held, expected)

"""Confirm that what was read of a topic is recent enough to act by it."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from .clock import Clock
from .shared_calls import SharedCalls
from .tail import KeyedTail

__all__ = ["ReadConfirmation", "confirm_by_tail"]

# Time between the confirmation and its effect on the request.
CONFIRM_MARGIN = timedelta(milliseconds=250)
READ_TIMEOUT = timedelta(seconds=1)
# A store that turns a read away may have been asked too often, and may answer the next one.
READ_RETRY_DELAY = timedelta(milliseconds=250)
# Requests do not wait for a store that has just been found lost.
LOST_INTERVAL = timedelta(seconds=2)
# A read that ends this long after its timeout shows that this process gets too little processor time.
MAX_LATENESS = timedelta(milliseconds=250)


class ReadConfirmation:
    """Keeps requests from being served by records that were replaced too long ago.

    Following the store's changes is not enough: a process that gets too little processor time
    takes a change in seconds late, and refuses routes until then that callers know to be there, or
    sends to services that they have been moved from. So the age of what was read is checked for
    each request, and the topic is read again where that may be too old.

    `age` returns how old what was read may be, None if that is unknown. `read` reads up to the
    newest record and returns whether the store answered in time. `max_age` is the time within
    which a change has to be in force, None for no limit. `unread_for` returns for how long a change may
    stand unread, with suspensions and outages of the store, None before the first read.
    """

    def __init__(
        self,
        age: Callable[[], timedelta | None],
        read: Callable[[timedelta], Awaitable[bool]],
        clock: Clock,
        max_age: timedelta | None = None,
        unread_for: Callable[[], timedelta | None] = lambda: None,
    ) -> None:
        self.max_age = max_age
        self._unread_for = unread_for
        self._age = age
        self._read = read
        self._clock = clock
        self._reads: SharedCalls[bool] = SharedCalls()
        self._lost_until = timedelta()

    async def async_confirm(self, received_at: timedelta) -> bool:
        """Return whether a request may be served by what was read.

        `received_at` is on the monotonic clock. While the store does not answer, what was read stays
        in force, unless this process is too late itself to tell.
        """
        if self.is_recent(received_at):
            return True
        store_lost = await self._reads.async_run(None, self._async_read)
        return store_lost or self.is_recent(received_at)

    def is_recent(self, received_at: timedelta) -> bool:
        """Return whether no read is needed: what was read is recent, or the store was just lost."""
        return self._is_young(received_at) or self._clock.monotonic() < self._lost_until

    async def async_confirm_read_since(self, moment: timedelta) -> bool:
        """Return whether every change before a monotonic time has been read.

        False means that the store could not be asked, so what is missing may have been added since.
        """
        if self._was_read_since(moment):
            return True
        await self._reads.async_run(None, self._async_read)
        return self._was_read_since(moment)

    def _was_read_since(self, moment: timedelta) -> bool:
        unread_for = self._unread_for()
        return unread_for is not None and unread_for <= self._clock.monotonic() - moment

    def _is_young(self, received_at: timedelta) -> bool:
        if self.max_age is None:
            return True
        age = self._age()
        if age is None:
            return False
        age_then = age - (self._clock.monotonic() - received_at)
        return age_then <= self.max_age - CONFIRM_MARGIN

    async def _async_read(self) -> bool:
        """Read the topic; return True if the store did not answer in time."""
        give_up_at = self._clock.monotonic() + READ_TIMEOUT
        while (left := give_up_at - self._clock.monotonic()) > timedelta():
            if await self._read(left):
                return False
            await self._clock.async_sleep(READ_RETRY_DELAY)
        now = self._clock.monotonic()
        store_lost = now <= give_up_at + READ_RETRY_DELAY + MAX_LATENESS
        if store_lost:
            self._lost_until = now + LOST_INTERVAL
        return store_lost


def confirm_by_tail(
    tail: KeyedTail, clock: Clock, max_age: timedelta | None = None
) -> ReadConfirmation:
    """Return the confirmation of the topic that a tail follows."""
    return ReadConfirmation(tail.age, tail.async_sync, clock, max_age, tail.unconfirmed_for)

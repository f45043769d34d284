"""Confirm that the active configuration is recent enough to serve a request by it."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.shared_calls import SharedCalls
from cranberryline.helpers.tail import KeyedTail

__all__ = ["ConfigConfirmation", "confirm_by_tail"]

# Time between the confirmation and its effect on the request.
CONFIRM_MARGIN = timedelta(milliseconds=250)
READ_TIMEOUT = timedelta(seconds=1)
# A store that turns a read away may have been asked too often, and may answer the next one.
READ_RETRY_DELAY = timedelta(milliseconds=250)
# Requests do not wait for a store that has just been found lost.
LOST_INTERVAL = timedelta(seconds=2)
# A read that ends this long after its timeout shows that this process gets too little processor time.
MAX_LATENESS = timedelta(milliseconds=250)


class ConfigConfirmation:
    """Keeps requests from being served by a configuration that was replaced too long ago.

    Following the store's changes is not enough: a process that gets too little processor time
    takes a change in seconds late, and refuses routes until then that callers know to be there, or
    sends to services that they have been moved from. So the age of what was read is checked for
    each request, and the configuration is read again where it may be too old.

    `age` returns how old the active configuration may be, None if that is unknown. `read` reads up
    to the newest one and returns whether the store answered in time. `max_age` is the time within
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
        """Return whether a request may be served by the active configuration.

        `received_at` is on the monotonic clock. While the store does not answer, the active
        configuration stays in force, unless this process is too late itself to tell.
        """
        if self._is_recent(received_at) or self._clock.monotonic() < self._lost_until:
            return True
        store_lost = await self._reads.async_run(None, self._async_read)
        return store_lost or self._is_recent(received_at)

    async def async_confirm_read_since(self, moment: timedelta) -> bool:
        """Return whether the active configuration has every change before a monotonic time.

        False means that the store could not be asked, so what the active configuration lacks may have
        been added since.
        """
        if self._was_read_since(moment):
            return True
        await self._reads.async_run(None, self._async_read)
        return self._was_read_since(moment)

    def _was_read_since(self, moment: timedelta) -> bool:
        unread_for = self._unread_for()
        return unread_for is not None and unread_for <= self._clock.monotonic() - moment

    def _is_recent(self, received_at: timedelta) -> bool:
        if self.max_age is None:
            return True
        age = self._age()
        if age is None:
            return False
        age_then = age - (self._clock.monotonic() - received_at)
        return age_then <= self.max_age - CONFIRM_MARGIN

    async def _async_read(self) -> bool:
        """Read the configuration; return True if the store did not answer in time."""
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
) -> ConfigConfirmation:
    """Return the confirmation of the configuration that a tail follows."""
    return ConfigConfirmation(tail.age, tail.async_sync, clock, max_age, tail.unconfirmed_for)

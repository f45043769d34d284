"""Requests go out only by registrations of upstreams that are recent enough."""

from datetime import timedelta

from cranberryline.execution.gate import SendGate
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.confirmation import ReadConfirmation, confirm_by_tail
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import KeyedTail

__all__ = ["RegistrationGate"]


class RegistrationGate(SendGate):
    """Has the registrations read again where a request would go out by ones that may be too old.

    Following the store's changes is not enough to give an upstream no work soon after it has announced its
    end: the connection may have gone silent, and this process may have had no processor time.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._tail: KeyedTail | None = None
        self._confirmation: ReadConfirmation | None = None

    def follow(self, tail: KeyedTail, max_age: timedelta) -> None:
        """Tell the age by the tail that reads the registrations."""
        self._tail = tail
        self._confirmation = confirm_by_tail(tail, self._clock, max_age)

    def set_max_age(self, max_age: timedelta) -> None:
        """Change how old the registrations may be at a send."""
        if self._confirmation is not None:
            self._confirmation.max_age = max_age

    def unread_for(self) -> timedelta | None:
        """Return for how long a change may stand unread, None before the first read."""
        return None if self._tail is None else self._tail.unconfirmed_for()

    def is_current(self) -> bool:
        """Return whether the registrations are recent, or cannot be read now."""
        return self._confirmation is None or self._confirmation.is_recent(self._clock.monotonic())

    async def async_confirm(self) -> None:
        """Read the registrations again if they are not recent."""
        if self._confirmation is not None:
            await self._confirmation.async_confirm(self._clock.monotonic())

    def record_send(self) -> None:
        """Observe the age of the registrations by which a request goes out."""
        unread_for = self.unread_for()
        if unread_for is not None:
            self._metrics.registrations_age.observe(unread_for.total_seconds())

"""How long changes of the upstreams' registrations may have stood unread."""

from datetime import timedelta

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import KeyedTail

__all__ = ["RegistrationAge"]


class RegistrationAge:
    """Tells how old what this gateway knows of upstreams may be, and counts what is sent by it."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tail: KeyedTail | None = None

    def follow(self, tail: KeyedTail) -> KeyedTail:
        """Tell the age by the tail that reads the registrations; return it."""
        self._tail = tail
        return tail

    def unread_for(self) -> timedelta | None:
        """Return for how long a change may stand unread, None before the first read."""
        return None if self._tail is None else self._tail.unconfirmed_for()

    def record_send(self, leaving: bool) -> None:
        """Count a request that is about to be sent, to an upstream that is known to leave or not."""
        unread_for = self.unread_for()
        if unread_for is not None:
            self._metrics.registrations_age.observe(unread_for.total_seconds())
        if leaving:
            self._metrics.sent_to_leaving.inc()

"""End clients that neither send the rest of their request nor read their answer."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

from .accounted_stream import AccountedStream
from .metrics import Metrics
from .periodic_check import CHECK_INTERVAL, PeriodicCheck

__all__ = ["Client", "StalledClients"]

_REASON = "stalled_reader"


class Client(Protocol):
    """The newest request of a connection."""

    stream: AccountedStream

    @property
    def sends(self) -> bool:
        """Return whether the rest of the body has still to come."""

    def observe(self, moved: int, interval: timedelta) -> None:
        """Note how many bytes the client has sent in an interval."""

    def end_sender(self) -> None:
        """Refuse a request whose body does not come."""


class StalledClients(PeriodicCheck):
    """Observes all connections of a server, and ends those that have not moved for `limit`."""

    def __init__(
        self, limit: timedelta, metrics: Metrics, clients: Callable[[], Iterable[Client]]
    ) -> None:
        super().__init__()
        self._limit = limit
        self._metrics = metrics
        self._clients = clients
        self._idle: dict[Client, timedelta] = {}

    def stop(self) -> None:
        """Observe no more."""
        super().stop()
        self._idle.clear()

    def check(self) -> None:
        """Note what each client has moved, and end the stalled ones."""
        idle = {}
        for client in tuple(self._clients()):
            moved = client.stream.observe(CHECK_INTERVAL)
            client.observe(moved, CHECK_INTERVAL)
            unsent = client.stream.unsent_bytes
            if moved or not (unsent or client.sends):
                continue
            idle[client] = waited = self._idle.get(client, timedelta()) + CHECK_INTERVAL
            if waited >= self._limit:
                self._end(client, unsent)
        self._idle = idle

    def _end(self, client: Client, unsent: int) -> None:
        if not unsent:
            client.end_sender()
            return
        self._metrics.fail(_REASON)
        client.stream.close()

"""Synchronize a side process's configuration with the entries connected to it."""

import asyncio
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.configs.fold import ConfigFold
from cranberryline.configs.relay import ConfigRelay, RelayPort
from cranberryline.configs.signal import Signal
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import once_per_burst
from cranberryline.helpers.metrics import Metrics
from cranberryline.transport.model import ConfigDelta, ConfigRequest, Message

__all__ = ["NotConfirmed", "SideConfigSync", "SideSyncTimings"]

# Latest configuration records kept in memory to answer the requests of entries.
RECORDS_KEPT = 300
DROP_BAD_OFFSET = "config_bad_offset"
DROP_BAD_REQUEST = "config_bad_request"


@attrs.frozen
class SideSyncTimings:
    """Timings of a side process's synchronization.

    `request_interval` is the time between requests until the configuration is up to date.
    `settle_delay` is the wait before a confirmation is requested.
    """

    request_interval: timedelta = timedelta(milliseconds=500)
    settle_delay: timedelta = timedelta(milliseconds=50)


@attrs.frozen
class NotConfirmed:
    """No entry confirmed in time that the configuration is up to date.

    `connected_entries` is the number of entries that were connected at the timeout.
    """

    connected_entries: int


class SideConfigSync:
    """Configuration state of a side process, updated only with records that entries send.

    A side process never reads the log, because thousands of them would overload it. It also
    answers the requests of entries: if all entries are lost during an outage of the log, only the
    side processes still hold the configuration.
    """

    def __init__(
        self,
        relay_port: RelayPort,
        clock: Clock,
        metrics: Metrics,
        timings: SideSyncTimings | None = None,
    ) -> None:
        self.relay = ConfigRelay(ConfigFold(), RECORDS_KEPT)
        self._relay_port = relay_port
        self._clock = clock
        self._metrics = metrics
        self._timings = timings or SideSyncTimings()
        self._logger = once_per_burst(__name__, clock)
        self._current = asyncio.Event()
        self._updated = Signal()
        self._confirmed = Signal()
        self._requested_at: timedelta | None = None
        self._confirmed_at: timedelta | None = None

    @property
    def fold(self) -> ConfigFold:
        """Return the configuration state folded from the records."""
        return self.relay.fold

    @property
    def current(self) -> bool:
        """Return whether the state has been up to date with an entry since the process started."""
        return self._current.is_set()

    async def async_wait_current(self) -> None:
        """Wait until the configuration state is current."""
        await self._current.wait()

    async def async_wait_for_update(self, timeout: timedelta) -> bool:
        """Wait until new records are applied; return False after the timeout."""
        return await self._updated.async_wait(timeout)

    async def async_run(self) -> None:
        """Request records from the entries until the state is current.

        After that, the entries send new records without a request.
        """
        while not self.current:
            self._request_records()
            await self._confirmed.async_wait(self._timings.request_interval)

    def on_peer(self, peer: str, offset: int) -> None:
        """Handle the log offset that an entry reported in a Hello or a heartbeat.

        Requests the missing records if the entry has more, or if the state is not current yet.
        """
        if not isinstance(offset, int) or isinstance(offset, bool) or offset < 0:
            self._count_dropped(DROP_BAD_OFFSET, peer=peer)
            return
        self.relay.set_acknowledged(peer, offset)
        if offset > self.fold.offset or not self.current:
            self._relay_port.send(peer, ConfigRequest(self.fold.offset + 1))

    def on_peer_lost(self, peer: str) -> None:
        """Remove an entry whose connection ended."""
        self.relay.forget(peer)

    def on_message(self, peer: str, message: Message) -> None:
        """Handle a ConfigDelta or a ConfigRequest from an entry."""
        if isinstance(message, ConfigRequest):
            self._handle_request(peer, message)
        elif isinstance(message, ConfigDelta):
            self._handle_delta(peer, message)

    async def async_confirm(self, wait: timedelta) -> Result[timedelta, NotConfirmed]:
        """Ask the entries whether the configuration is up to date.

        Returns the monotonic time at which they were asked. The time of the answer would make an
        outdated state look fresh if the answer was buffered while this process was paused. The
        delay before the request lets messages that are already buffered be read first.

        Returns NotConfirmed if no entry confirms within `wait` after the request.
        """
        await self._clock.async_sleep(self._timings.settle_delay)
        requested_at = self._clock.monotonic()
        self._requested_at = requested_at
        self._request_records()
        deadline = requested_at + wait
        while self._confirmed_at is None or self._confirmed_at < requested_at:
            remaining = deadline - self._clock.monotonic()
            if remaining <= timedelta():
                return Err(NotConfirmed(len(list(self._relay_port.entry_peers()))))
            await self._confirmed.async_wait(remaining)
        return Ok(requested_at)

    def _request_records(self) -> None:
        for peer in list(self._relay_port.entry_peers()):
            self._relay_port.send(peer, ConfigRequest(self.fold.offset + 1))

    def _handle_request(self, peer: str, request: ConfigRequest) -> None:
        answer = self.relay.on_request(peer, request)
        if answer is None:
            self._count_dropped(DROP_BAD_REQUEST, peer=peer)
        elif self.current:
            self._relay_port.send(peer, answer)

    def _handle_delta(self, peer: str, delta: ConfigDelta) -> None:
        effect = self.relay.on_delta(peer, delta)
        if effect.refused:
            self._count_dropped(effect.refused, peer=peer)
            return
        if effect.reply is not None:
            self._relay_port.send(peer, effect.reply)
        if effect.complete and delta.next <= self.fold.offset + 1:
            self._current.set()
            self._confirmed_at = self._requested_at
            self._confirmed.notify()
        if effect.applied:
            self._metrics.config_offset.set(self.fold.offset)
            self._updated.notify()

    def _count_dropped(self, reason: str, **fields: object) -> None:
        self._metrics.drop(reason)
        self._logger.warning(reason, **fields)

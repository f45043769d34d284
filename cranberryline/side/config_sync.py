"""Keep a side process's configuration current, from the entries connected to it.

A side process never reads the log: thousands of them would be too many readers. It answers an
entry's request too, since after the loss of all entries in an outage of the log the side processes
are the only ones left that hold the configuration.
"""

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

RECORDS_KEPT = 300
DROP_BAD_OFFSET = "config_bad_offset"
DROP_BAD_REQUEST = "config_bad_request"


@attrs.frozen
class SideSyncTimings:
    """Bounds of a side process's synchronisation."""

    ask: timedelta = timedelta(milliseconds=500)
    settle: timedelta = timedelta(milliseconds=50)


@attrs.frozen
class NotConfirmed:
    """No entry has said in time whether the fold is up to date."""

    entries: int


class SideConfigSync:
    """A side process's fold, fed by relay only."""

    def __init__(
        self,
        relay_port: RelayPort,
        clock: Clock,
        metrics: Metrics,
        timings: SideSyncTimings | None = None,
    ) -> None:
        self.relay = ConfigRelay(ConfigFold(), RECORDS_KEPT)
        self._port = relay_port
        self._clock = clock
        self._metrics = metrics
        self._timings = timings or SideSyncTimings()
        self._logger = once_per_burst(__name__, clock)
        self._current = asyncio.Event()
        self._moved = Signal()
        self._answered = Signal()
        self._asked_at: timedelta | None = None
        self._confirmed_at: timedelta | None = None

    @property
    def fold(self) -> ConfigFold:
        """Return the fold."""
        return self.relay.fold

    @property
    def current(self) -> bool:
        """Return whether an entry has brought the fold up to date since the start."""
        return self._current.is_set()

    async def async_wait_current(self) -> None:
        """Wait until the fold is current."""
        await self._current.wait()

    async def async_wait_move(self, timeout: timedelta) -> bool:
        """Wait until the fold moves on; return False after the timeout."""
        return await self._moved.async_wait(timeout)

    async def async_run(self) -> None:
        """Ask the entries until the fold is current; after that, wait for what they send."""
        while not self.current:
            self._ask()
            await self._answered.async_wait(self._timings.ask)

    def on_peer(self, peer: str, offset: int) -> None:
        """Take the offset that an entry named in a Hello or heartbeat."""
        if not isinstance(offset, int) or isinstance(offset, bool) or offset < 0:
            self._drop(DROP_BAD_OFFSET, peer=peer)
            return
        self.relay.set_known(peer, offset)
        if offset > self.fold.offset or not self.current:
            self._port.send(peer, ConfigRequest(self.fold.offset + 1))

    def on_peer_lost(self, peer: str) -> None:
        """Forget an entry whose connection ended."""
        self.relay.forget(peer)

    def on_message(self, peer: str, message: Message) -> None:
        """Take a ConfigDelta or ConfigRequest from an entry."""
        if isinstance(message, ConfigRequest):
            self._on_request(peer, message)
        elif isinstance(message, ConfigDelta):
            self._on_delta(peer, message)

    async def async_confirm(self, wait: timedelta) -> Result[timedelta, NotConfirmed]:
        """Ask the entries whether the fold is up to date; return when they were asked.

        The time of asking is returned, not that of the answer: an answer that sat in a buffer
        while this process was paused would make old knowledge look fresh. The wait before asking
        lets what sits there be read first.
        """
        await self._clock.async_sleep(self._timings.settle)
        asked = self._clock.monotonic()
        self._asked_at = asked
        self._ask()
        until = asked + wait
        while self._confirmed_at is None or self._confirmed_at < asked:
            left = until - self._clock.monotonic()
            if left <= timedelta():
                return Err(NotConfirmed(len(list(self._port.entry_peers()))))
            await self._answered.async_wait(left)
        return Ok(asked)

    def _ask(self) -> None:
        for peer in list(self._port.entry_peers()):
            self._port.send(peer, ConfigRequest(self.fold.offset + 1))

    def _on_request(self, peer: str, request: ConfigRequest) -> None:
        answer = self.relay.on_request(peer, request)
        if answer is None:
            self._drop(DROP_BAD_REQUEST, peer=peer)
        elif self.current:
            self._port.send(peer, answer)

    def _on_delta(self, peer: str, delta: ConfigDelta) -> None:
        taken = self.relay.on_delta(peer, delta)
        if taken.refused:
            self._drop(taken.refused, peer=peer)
            return
        if taken.reply is not None:
            self._port.send(peer, taken.reply)
        if taken.complete and delta.next <= self.fold.offset + 1:
            self._current.set()
            self._confirmed_at = self._asked_at
            self._answered.notify()
        if taken.applied:
            self._metrics.config_offset.set(self.fold.offset)
            self._moved.notify()

    def _drop(self, reason: str, **fields: object) -> None:
        self._metrics.drop(reason)
        self._logger.warning(reason, **fields)

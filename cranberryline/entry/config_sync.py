"""Keep an entry's configuration current: tail the log or take records from entries that do.

The first few entries by rendezvous hash tail the log. The others get records, and signs of life,
from them. An entry that hears no sign tails the log itself, so no election and no lease decides
who may: too many tailers cost reads, never a wrong fold.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.configs.checkpoint import CheckpointPolicy, checkpoint_record
from cranberryline.configs.const import CONFIG_STREAM
from cranberryline.configs.errors import Rejected
from cranberryline.configs.fold import ConfigFold
from cranberryline.configs.publish import FoldSource
from cranberryline.configs.push import TAILER_KEY, ResendSchedule, TailerRanking
from cranberryline.configs.relay import ConfigRelay, RelayPort
from cranberryline.configs.signal import Signal
from cranberryline.configs.supervise import async_keep_running
from cranberryline.configs.tail import LogTail
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import once_per_burst
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import LogPort, LogRecord
from cranberryline.transport.model import ConfigDelta, ConfigRequest, Message

__all__ = ["TAILER_KEY", "EntryConfigSync", "SyncTimings"]

DROP_BAD_OFFSET = "config_bad_offset"
DROP_CHECKPOINT = "config_checkpoint_failed"
DROP_DIGEST = "config_digest_mismatch"
DROP_PREFIX = "config_"
LOG_PREFIX = "config_log_"
MIN_WAIT = timedelta(milliseconds=10)
RETRY_PUSH = "config_push"


@attrs.frozen
class SyncTimings:
    """Bounds of the synchronisation; with these, a record is everywhere within 4 s.

    The worst case is that all tailers die at once: up to `silence` and `stagger` after the last
    sign the others tail, and read. A log poll is kept short, since a connection to the log that
    went silent is only noticed when the poll is overdue.
    """

    tailers: int = 3
    sign: timedelta = timedelta(seconds=1)
    silence: timedelta = timedelta(seconds=2.5)
    stagger: timedelta = timedelta(milliseconds=50)
    max_stagger: timedelta = timedelta(milliseconds=500)
    poll: timedelta = timedelta(seconds=5)
    call: timedelta = timedelta(seconds=2)
    start: timedelta = timedelta(seconds=10)
    tick: timedelta = timedelta(milliseconds=500)
    idle_tick: timedelta = timedelta(seconds=5)
    min_backoff: timedelta = timedelta(milliseconds=200)
    max_backoff: timedelta = timedelta(seconds=2)
    max_resend: timedelta = timedelta(seconds=8)


class EntryConfigSync(FoldSource):
    """The tasks that keep one entry's fold current, and push records to its peers."""

    def __init__(
        self,
        vm_id: str,
        log: LogPort,
        relay_port: RelayPort,
        live_entries: Callable[[], Iterable[str]],
        clock: Clock,
        metrics: Metrics,
        timings: SyncTimings | None = None,
        checkpoints: CheckpointPolicy | None = None,
    ) -> None:
        self._vm_id = vm_id
        self._log = log
        self._port = relay_port
        self._clock = clock
        self._metrics = metrics
        self._timings = timings or SyncTimings()
        self._checkpoints = checkpoints or CheckpointPolicy()
        self._logger = once_per_burst(__name__, clock)
        self._ranking = TailerRanking(vm_id, live_entries, self._timings.tailers)
        self._resends = ResendSchedule(self._timings.tick, self._timings.max_resend)
        self.relay = ConfigRelay(ConfigFold())
        self._tail = LogTail(log, self.relay, self._on_rejected)
        self._current = asyncio.Event()
        self._moved = Signal()
        self._role_changed = Signal()
        self._work = Signal()
        self._last_sign = clock.monotonic()
        self._last_read: timedelta | None = None
        self._last_beat: timedelta | None = None
        self._mismatches = 0

    @property
    def fold(self) -> ConfigFold:
        """Return the fold."""
        return self.relay.fold

    @property
    def current(self) -> bool:
        """Return whether the log or a peer has brought the fold up to date since the start."""
        return self._current.is_set()

    @property
    def tailing(self) -> bool:
        """Return whether this entry reads the log itself."""
        rank = self._ranking.rank()
        return not self.current or rank < self._timings.tailers or self._silent(rank)

    def delta_since(self, start: int) -> ConfigDelta:
        """Return records from an offset on, or the whole fold."""
        return self.relay.delta_since(start)

    def known(self, peer: str) -> int | None:
        """Return the offset that a peer is known to have, or None."""
        return self.relay.known(peer)

    async def async_wait_current(self) -> None:
        """Wait until the fold is current."""
        await self._current.wait()

    async def async_wait_offset(self, offset: int) -> None:
        """Wait until the fold has an offset."""
        while self.fold.offset < offset:
            await self._moved.async_wait(self._timings.tick)

    async def async_run(self) -> None:
        """Run until cancelled."""
        self._last_sign = self._clock.monotonic()
        async with asyncio.TaskGroup() as group:
            for work in (self._async_tail, self._async_ticks, self._async_checkpoints):
                group.create_task(
                    async_keep_running(
                        work.__name__, work, self._clock, self._logger, self._metrics
                    )
                )

    def on_members(self) -> None:
        """Look anew at who tails; call it when the live entries change."""
        self._role_changed.notify()

    def on_peer(self, peer: str, offset: int) -> None:
        """Take the offset that a peer named in a Hello, Welcome, heartbeat or load report."""
        if not isinstance(offset, int) or isinstance(offset, bool) or offset < 0:
            self._drop(DROP_BAD_OFFSET, peer=peer)
            return
        self.relay.set_known(peer, offset)
        if offset > self.fold.offset:
            self._port.send(peer, ConfigRequest(self.fold.offset + 1))
        elif self.relay.behind(peer):
            self._push(peer)

    def on_peer_lost(self, peer: str) -> None:
        """Forget a peer whose connection ended."""
        self.relay.forget(peer)
        self._resends.done(peer)

    def on_message(self, peer: str, message: Message) -> None:
        """Take a ConfigDelta or ConfigRequest from a peer."""
        if isinstance(message, ConfigRequest):
            self._on_request(peer, message)
        elif isinstance(message, ConfigDelta):
            self._on_delta(peer, message)

    async def async_catch_up(self) -> Result[int, PlatformError]:
        """Fold all that the log has now; return the offset."""
        try:
            async with asyncio.timeout(self._timings.call.total_seconds()):
                read = await self._tail.async_read_to_end()
        except TimeoutError:
            return Err(_timed_out())
        if isinstance(read, Err):
            return read
        self._after_read(read.ok_value, at_end=True)
        return Ok(self.fold.offset)

    def fold_next(self, record: LogRecord) -> None:
        """Fold a record that the log gave an offset, if it is the next."""
        if self._tail.fold_one(record):
            self._after_move()

    async def async_spread(self, offset: int, wait: timedelta) -> int:
        """Push to all peers; return how many entries were seen to have the offset."""
        self._push_all()
        peers = list(self._port.entry_peers())
        wanted = min(len(peers), max(1, self._timings.tailers - 1))
        until = self._clock.monotonic() + wait
        while (have := self._count_with(peers, offset)) < wanted:
            left = until - self._clock.monotonic()
            if left <= timedelta():
                break
            await self._moved.async_wait(left)
        return have

    def _count_with(self, peers: list[str], offset: int) -> int:
        return sum((self.relay.known(peer) or 0) >= offset for peer in peers)

    def _silent(self, rank: int) -> bool:
        return self._until_silent(rank) < timedelta()

    def _until_silent(self, rank: int) -> timedelta:
        over = max(0, rank - self._timings.tailers)
        stagger = min(self._timings.stagger * over, self._timings.max_stagger)
        return self._last_sign + self._timings.silence + stagger - self._clock.monotonic()

    def _on_request(self, peer: str, request: ConfigRequest) -> None:
        answer = self.relay.on_request(peer, request)
        if answer is None:
            self._drop(DROP_PREFIX + "bad_request", peer=peer)
            return
        if not self.relay.behind(peer):
            self._resends.done(peer)
            self._moved.notify()
        # An entry that has just started knows little. Its "nothing newer" would make another
        # starter take an empty configuration for the one in force.
        if self.current or isinstance(answer, ConfigRequest):
            self._port.send(peer, answer)

    def _on_delta(self, peer: str, delta: ConfigDelta) -> None:
        taken = self.relay.on_delta(peer, delta)
        if taken.refused:
            self._drop(taken.refused, peer=peer)
            return
        if peer in self._port.entry_peers():
            self._last_sign = self._clock.monotonic()
        if taken.reply is not None:
            self._port.send(peer, taken.reply)
        became_current = taken.complete and delta.next <= self.fold.offset + 1
        self._after_read(taken.applied, became_current)

    def _on_rejected(self, record: LogRecord, rejected: Rejected) -> None:
        self._drop(
            DROP_PREFIX + rejected.reason.value,
            record_id=record.id,
            offset=record.offset,
            detail=rejected.detail,
        )

    def _drop(self, reason: str, **fields: object) -> None:
        self._metrics.drop(reason)
        self._logger.warning(reason, **fields)

    def _after_read(self, moved: int, at_end: bool) -> None:
        newly_current = at_end and not self.current
        if newly_current:
            self._current.set()
        if moved or newly_current:
            self._after_move()

    def _after_move(self) -> None:
        self._metrics.config_offset.set(self.fold.offset)
        if self.fold.digest_mismatches > self._mismatches:
            self._mismatches = self.fold.digest_mismatches
            self._drop(DROP_DIGEST, offset=self.fold.offset)
        self._moved.notify()
        self._push_all()

    def _push_all(self) -> None:
        for peer in self._peers():
            if self.relay.behind(peer):
                self._push(peer)

    def _push(self, peer: str) -> None:
        if not self.current:
            return
        if not self._resends.pending:
            self._work.notify()
        self._resends.sent(peer, self._clock.monotonic())
        self._port.send(peer, self.relay.push_for(peer))

    def _peers(self) -> list[str]:
        return [*self._port.entry_peers(), *self._port.side_peers()]

    async def _async_tail(self) -> None:
        backoff = self._timings.min_backoff
        while True:
            if not self.tailing:
                self._last_read = None
                left = self._until_silent(self._ranking.rank())
                await self._role_changed.async_wait(max(left, MIN_WAIT))
                continue
            read = await self._async_poll()
            if isinstance(read, Ok):
                backoff = self._timings.min_backoff
                continue
            self._drop(LOG_PREFIX + read.err_value.reason.value, detail=read.err_value.detail)
            await self._clock.async_sleep(backoff * (0.5 + random.random()))
            backoff = min(backoff * 2, self._timings.max_backoff)

    async def _async_poll(self) -> Result[None, PlatformError]:
        """Read on from the fold, holding the call open once all that exists has been read."""
        reading = self.current and self._last_read is not None
        wait = self._timings.poll if reading else timedelta()
        limit = wait + (self._timings.call if self.current else self._timings.start)
        try:
            async with asyncio.timeout(limit.total_seconds()):
                read = await self._tail.async_read(wait)
        except TimeoutError:
            return Err(_timed_out())
        if isinstance(read, Err):
            return read
        self._last_read = self._clock.monotonic()
        self._after_read(read.ok_value.moved, read.ok_value.at_end)
        return Ok(None)

    async def _async_ticks(self) -> None:
        while True:
            await self._work.async_wait(self._tick_delay())
            now = self._clock.monotonic()
            self._resend(now)
            if not self.current:
                self._ask_peers()
                continue
            if self.tailing:
                self._beat(now)

    def _tick_delay(self) -> timedelta:
        if not self.current or self._resends.pending:
            return self._timings.tick
        return self._timings.sign if self._signed_peers() else self._timings.idle_tick

    def _signed_peers(self) -> list[str]:
        """Return the entries that count on this one's signs of life."""
        if not self.tailing:
            return []
        tailers = self._ranking.tailers()
        return [peer for peer in self._port.entry_peers() if peer not in tailers]

    def _ask_peers(self) -> None:
        for peer in self._port.entry_peers():
            self._port.send(peer, ConfigRequest(self.fold.offset + 1))

    def _resend(self, now: timedelta) -> None:
        for peer in self._peers():
            if not self.relay.behind(peer):
                self._resends.done(peer)
            elif self._resends.due(peer, now):
                self._metrics.retry(RETRY_PUSH)
                self._push(peer)

    def _beat(self, now: timedelta) -> None:
        """Give a sign of life to the entries that do not tail.

        A tailer whose own reads have stopped, or have not begun, gives none. Otherwise entries that
        all fell silent would reassure each other, and nobody would read.
        """
        if self._last_beat is not None and now - self._last_beat < self._timings.sign:
            return
        bound = self._timings.poll + self._timings.call
        if self._last_read is None or now - self._last_read > bound:
            return
        self._last_beat = now
        sign = self.relay.delta_since(self.fold.offset + 1)
        for peer in self._signed_peers():
            self._port.send(peer, sign)

    async def _async_checkpoints(self) -> None:
        while True:
            await self._clock.async_sleep(self._checkpoints.check)
            if not self.current or not self.tailing or not self._checkpoint_due():
                continue
            delay = self._checkpoints.delay(self._ranking.rank(), random.random())
            await self._clock.async_sleep(delay)
            if self._checkpoint_due():
                await self._async_checkpoint()

    def _checkpoint_due(self) -> bool:
        return self._checkpoints.due(self.fold, self._tail.first_kept, self._clock.now())

    async def _async_checkpoint(self) -> None:
        record = checkpoint_record(self.fold, self._vm_id)
        answer = await self._log.async_append(CONFIG_STREAM, [record])
        if isinstance(answer, Err):
            self._drop(DROP_CHECKPOINT, detail=answer.err_value.detail)


def _timed_out() -> PlatformError:
    return PlatformError(PlatformReason.TIMEOUT, "the log did not answer in time")

"""Keep an entry's configuration current: tail the log, or receive records from entries that do."""

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

# Reasons of the drop counter; the same texts are the names of the log events.
DROP_BAD_OFFSET = "config_bad_offset"
DROP_CHECKPOINT = "config_checkpoint_failed"
DROP_DIGEST = "config_digest_mismatch"
DROP_PREFIX = "config_"
LOG_PREFIX = "config_log_"
MIN_TAKEOVER_WAIT = timedelta(milliseconds=10)
RETRY_PUSH = "config_push"


@attrs.frozen
class SyncTimings:
    """Intervals and timeouts of the synchronisation; a record reaches all processes within 4 s.

    In the worst case all tailers fail at once. The next ranks then start to tail, `takeover_step`
    apart and at most `heartbeat_timeout` plus `max_takeover_delay` after the last heartbeat. Polls
    are short, as an unresponsive connection to the log is noticed only when a poll is overdue.
    """

    tailers: int = 3
    heartbeat_interval: timedelta = timedelta(seconds=1)
    heartbeat_timeout: timedelta = timedelta(seconds=2.5)
    takeover_step: timedelta = timedelta(milliseconds=50)
    max_takeover_delay: timedelta = timedelta(milliseconds=500)
    poll_timeout: timedelta = timedelta(seconds=5)
    call_timeout: timedelta = timedelta(seconds=2)
    start_timeout: timedelta = timedelta(seconds=10)
    tick: timedelta = timedelta(milliseconds=500)
    idle_tick: timedelta = timedelta(seconds=5)
    min_backoff: timedelta = timedelta(milliseconds=200)
    max_backoff: timedelta = timedelta(seconds=2)
    max_resend_delay: timedelta = timedelta(seconds=8)


class EntryConfigSync(FoldSource):
    """Keep one entry's configuration fold current, and push its records to peers.

    The first few entries by rendezvous hash tail the log and send records and heartbeats to the
    other entries. An entry that receives no heartbeat tails the log itself. No election or lease
    is needed: surplus tailers cost additional reads, but cannot make a fold wrong.
    """

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
        self._relay_port = relay_port
        self._clock = clock
        self._metrics = metrics
        self._timings = timings or SyncTimings()
        self._checkpoints = checkpoints or CheckpointPolicy()
        self._logger = once_per_burst(__name__, clock)
        self._ranking = TailerRanking(vm_id, live_entries, self._timings.tailers)
        self._resends = ResendSchedule(self._timings.tick, self._timings.max_resend_delay)
        self.relay = ConfigRelay(ConfigFold())
        self._tail = LogTail(log, self.relay, self._on_rejected)
        self._current = asyncio.Event()
        self._offset_changed = Signal()
        self._role_changed = Signal()
        self._resend_added = Signal()
        self._heartbeat_at = clock.monotonic()
        self._last_read: timedelta | None = None
        self._heartbeat_sent_at: timedelta | None = None
        self._seen_digest_mismatches = 0

    @property
    def fold(self) -> ConfigFold:
        """Return the configuration in force, folded from the records of the log."""
        return self.relay.fold

    @property
    def current(self) -> bool:
        """Return whether the fold has been up to date with the log or a peer since the start."""
        return self._current.is_set()

    @property
    def tailing(self) -> bool:
        """Return whether this entry reads the log itself: by rank, at start, or as a fallback."""
        rank = self._ranking.rank()
        return not self.current or rank < self._timings.tailers or self._heartbeat_overdue(rank)

    def delta_since(self, start: int) -> ConfigDelta:
        """Return the records from an offset on, or the whole fold if they are no longer kept."""
        return self.relay.delta_since(start)

    def known_offset(self, peer: str) -> int | None:
        """Return the offset that a peer is known to have, or None."""
        return self.relay.acknowledged(peer)

    async def async_wait_current(self) -> None:
        """Wait until the fold is current."""
        await self._current.wait()

    async def async_wait_offset(self, offset: int) -> None:
        """Wait until the fold has reached an offset."""
        while self.fold.offset < offset:
            await self._offset_changed.async_wait(self._timings.tick)

    async def async_run(self) -> None:
        """Run the tasks until cancelled; the names of their functions appear in the log."""
        self._heartbeat_at = self._clock.monotonic()
        async with asyncio.TaskGroup() as group:
            for run_task in (self._async_tail, self._async_ticks, self._async_checkpoints):
                group.create_task(
                    async_keep_running(
                        run_task.__name__, run_task, self._clock, self._logger, self._metrics
                    )
                )

    def on_members(self) -> None:
        """Check again which entries tail the log; call this when the live entries change."""
        self._role_changed.notify()

    def on_peer(self, peer: str, offset: int) -> None:
        """Handle the offset that a peer sent in a Hello, Welcome, heartbeat or load report.

        Requests records if the peer has newer ones, and pushes records if it is behind.
        """
        if not isinstance(offset, int) or isinstance(offset, bool) or offset < 0:
            self._record_drop(DROP_BAD_OFFSET, peer=peer)
            return
        self.relay.set_acknowledged(peer, offset)
        if offset > self.fold.offset:
            self._relay_port.send(peer, ConfigRequest(self.fold.offset + 1))
        elif self.relay.is_behind(peer):
            self._push(peer)

    def on_peer_lost(self, peer: str) -> None:
        """Discard the state of a peer whose connection ended."""
        self.relay.forget(peer)
        self._resends.remove(peer)

    def on_message(self, peer: str, message: Message) -> None:
        """Handle a ConfigDelta or ConfigRequest from a peer."""
        if isinstance(message, ConfigRequest):
            self._on_config_request(peer, message)
        elif isinstance(message, ConfigDelta):
            self._on_config_delta(peer, message)

    async def async_catch_up(self) -> Result[int, PlatformError]:
        """Fold all current records of the log; return the new offset, or an error on timeout."""
        try:
            async with asyncio.timeout(self._timings.call_timeout.total_seconds()):
                result = await self._tail.async_read_to_end()
        except TimeoutError:
            return Err(_timeout_error())
        if isinstance(result, Err):
            return result
        self._after_read(result.ok_value, at_end=True)
        return Ok(self.fold.offset)

    def fold_next(self, record: LogRecord) -> None:
        """Fold a record that was appended to the log, if its offset is the next one."""
        if self._tail.fold_if_next(record):
            self._on_offset_changed()

    async def async_replicate(self, offset: int, wait: timedelta) -> int:
        """Push to all peers; return how many entries confirmed the offset within the wait."""
        self._push_to_all()
        peers = list(self._relay_port.entry_peers())
        required = min(len(peers), max(1, self._timings.tailers - 1))
        deadline = self._clock.monotonic() + wait
        while (confirmed := self._count_at_offset(peers, offset)) < required:
            remaining = deadline - self._clock.monotonic()
            if remaining <= timedelta():
                break
            await self._offset_changed.async_wait(remaining)
        return confirmed

    def _count_at_offset(self, peers: list[str], offset: int) -> int:
        return sum((self.relay.acknowledged(peer) or 0) >= offset for peer in peers)

    def _heartbeat_overdue(self, rank: int) -> bool:
        return self._until_takeover(rank) < timedelta()

    def _until_takeover(self, rank: int) -> timedelta:
        ranks_behind = max(0, rank - self._timings.tailers)
        delay = min(self._timings.takeover_step * ranks_behind, self._timings.max_takeover_delay)
        return (
            self._heartbeat_at + self._timings.heartbeat_timeout + delay - self._clock.monotonic()
        )

    def _on_config_request(self, peer: str, request: ConfigRequest) -> None:
        response = self.relay.on_request(peer, request)
        if response is None:
            self._record_drop(DROP_PREFIX + "bad_request", peer=peer)
            return
        if not self.relay.is_behind(peer):
            self._resends.remove(peer)
            self._offset_changed.notify()
        # An entry that is not current yet must not answer "nothing newer": another starting entry
        # would treat an empty configuration as the one in force.
        if self.current or isinstance(response, ConfigRequest):
            self._relay_port.send(peer, response)

    def _on_config_delta(self, peer: str, delta: ConfigDelta) -> None:
        outcome = self.relay.on_delta(peer, delta)
        if outcome.refused:
            self._record_drop(outcome.refused, peer=peer)
            return
        if peer in self._relay_port.entry_peers():
            self._heartbeat_at = self._clock.monotonic()
        if outcome.reply is not None:
            self._relay_port.send(peer, outcome.reply)
        became_current = outcome.complete and delta.next <= self.fold.offset + 1
        self._after_read(outcome.applied, became_current)

    def _on_rejected(self, record: LogRecord, rejected: Rejected) -> None:
        self._record_drop(
            DROP_PREFIX + rejected.reason.value,
            record_id=record.id,
            offset=record.offset,
            detail=rejected.detail,
        )

    def _record_drop(self, reason: str, **fields: object) -> None:
        self._metrics.drop(reason)
        self._logger.warning(reason, **fields)

    def _after_read(self, moved: int, at_end: bool) -> None:
        newly_current = at_end and not self.current
        if newly_current:
            self._current.set()
        if moved or newly_current:
            self._on_offset_changed()

    def _on_offset_changed(self) -> None:
        self._metrics.config_offset.set(self.fold.offset)
        if self.fold.digest_mismatches > self._seen_digest_mismatches:
            self._seen_digest_mismatches = self.fold.digest_mismatches
            self._record_drop(DROP_DIGEST, offset=self.fold.offset)
        self._offset_changed.notify()
        self._push_to_all()

    def _push_to_all(self) -> None:
        for peer in self._peers():
            if self.relay.is_behind(peer):
                self._push(peer)

    def _push(self, peer: str) -> None:
        if not self.current:
            return
        if not self._resends.pending:
            self._resend_added.notify()
        self._resends.record_sent(peer, self._clock.monotonic())
        self._relay_port.send(peer, self.relay.delta_for(peer))

    def _peers(self) -> list[str]:
        return [*self._relay_port.entry_peers(), *self._relay_port.side_peers()]

    async def _async_tail(self) -> None:
        backoff = self._timings.min_backoff
        while True:
            if not self.tailing:
                self._last_read = None
                remaining = self._until_takeover(self._ranking.rank())
                await self._role_changed.async_wait(max(remaining, MIN_TAKEOVER_WAIT))
                continue
            result = await self._async_poll_log()
            if isinstance(result, Ok):
                backoff = self._timings.min_backoff
                continue
            self._record_drop(
                LOG_PREFIX + result.err_value.reason.value, detail=result.err_value.detail
            )
            await self._clock.async_sleep(backoff * (0.5 + random.random()))
            backoff = min(backoff * 2, self._timings.max_backoff)

    async def _async_poll_log(self) -> Result[None, PlatformError]:
        """Read the next records; long-poll once all existing records have been read."""
        long_polling = self.current and self._last_read is not None
        wait = self._timings.poll_timeout if long_polling else timedelta()
        limit = wait + (self._timings.call_timeout if self.current else self._timings.start_timeout)
        try:
            async with asyncio.timeout(limit.total_seconds()):
                result = await self._tail.async_read(wait)
        except TimeoutError:
            return Err(_timeout_error())
        if isinstance(result, Err):
            return result
        self._last_read = self._clock.monotonic()
        self._after_read(result.ok_value.advanced, result.ok_value.at_end)
        return Ok(None)

    async def _async_ticks(self) -> None:
        while True:
            await self._resend_added.async_wait(self._tick_delay())
            now = self._clock.monotonic()
            self._resend_due(now)
            if not self.current:
                self._request_from_peers()
                continue
            if self.tailing:
                self._send_heartbeats(now)

    def _tick_delay(self) -> timedelta:
        if not self.current or self._resends.pending:
            return self._timings.tick
        return (
            self._timings.heartbeat_interval if self._heartbeat_peers() else self._timings.idle_tick
        )

    def _heartbeat_peers(self) -> list[str]:
        """Return the connected entries that rely on this entry's heartbeats."""
        if not self.tailing:
            return []
        tailers = self._ranking.tailers()
        return [peer for peer in self._relay_port.entry_peers() if peer not in tailers]

    def _request_from_peers(self) -> None:
        for peer in self._relay_port.entry_peers():
            self._relay_port.send(peer, ConfigRequest(self.fold.offset + 1))

    def _resend_due(self, now: timedelta) -> None:
        for peer in self._peers():
            if not self.relay.is_behind(peer):
                self._resends.remove(peer)
            elif self._resends.is_due(peer, now):
                self._metrics.retry(RETRY_PUSH)
                self._push(peer)

    def _send_heartbeats(self, now: timedelta) -> None:
        """Send a heartbeat, which is an empty delta, to the entries that do not tail.

        A tailer whose own reads have failed or not begun sends none. Otherwise entries that all
        lost the log could keep each other from tailing it.
        """
        if (
            self._heartbeat_sent_at is not None
            and now - self._heartbeat_sent_at < self._timings.heartbeat_interval
        ):
            return
        max_read_age = self._timings.poll_timeout + self._timings.call_timeout
        if self._last_read is None or now - self._last_read > max_read_age:
            return
        self._heartbeat_sent_at = now
        heartbeat = self.relay.delta_since(self.fold.offset + 1)
        for peer in self._heartbeat_peers():
            self._relay_port.send(peer, heartbeat)

    async def _async_checkpoints(self) -> None:
        while True:
            await self._clock.async_sleep(self._checkpoints.check_interval)
            if not self.current or not self.tailing or not self._checkpoint_due():
                continue
            delay = self._checkpoints.delay(self._ranking.rank(), random.random())
            await self._clock.async_sleep(delay)
            if self._checkpoint_due():
                await self._async_checkpoint()

    def _checkpoint_due(self) -> bool:
        return self._checkpoints.is_due(self.fold, self._tail.oldest_offset, self._clock.now())

    async def _async_checkpoint(self) -> None:
        record = checkpoint_record(self.fold, self._vm_id)
        response = await self._log.async_append(CONFIG_STREAM, [record])
        if isinstance(response, Err):
            self._record_drop(DROP_CHECKPOINT, detail=response.err_value.detail)


def _timeout_error() -> PlatformError:
    return PlatformError(PlatformReason.TIMEOUT, "the log did not answer in time")

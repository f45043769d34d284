"""Acquire and renew a lease through the store, and check whether this node still holds it."""

import random
import uuid
from datetime import timedelta

import msgspec
from result import Err, Ok

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.decode import decode_msgpack
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tail import PartitionTail, StoreHealth
from cranberryline.ports.store import SharedLog

from .const import (
    ACQUIRE_POLL_INTERVAL,
    APPEND_TIMEOUT,
    HOLDER_SAFETY_MARGIN,
    RENEW_INTERVAL,
    TAKEOVER_MARGIN,
    TOPIC_LEASES,
)
from .model import LeaseBook, LeaseRecord

__all__ = ["LeaseKeeper"]

_LOGGER = get_logger(__name__)
_RECORD_DECODER = msgspec.msgpack.Decoder(LeaseRecord)


class LeaseKeeper:
    """Acquire and renew the lease for this node; `token` returns whether it may act right now.

    `node` names the VM. Two running processes must not share it, because a new process takes over
    from its predecessor on the same VM without waiting. `lease` is the duration of the lease. It
    must be the same for all nodes; it may differ only briefly, while a change is rolled out.

    `tail.async_run` and `async_run` must run as long as the node may hold the lease. Errors of the
    log raise nothing here; they delay acquisition and renewal. Setting `stopping` ends renewals and
    acquisitions.
    """

    def __init__(
        self,
        log: SharedLog,
        node: str,
        lease: timedelta,
        clock: Clock,
        health: StoreHealth,
    ) -> None:
        self.book = LeaseBook()
        self._node = node
        self.holder = f"{node}/{uuid.uuid4().hex[:8]}"
        self.tail = PartitionTail(log, TOPIC_LEASES, 0, clock, health, self._on_record)
        self.stopping = False
        self._log = log
        self._health = health
        self._lease = lease
        self._clock = clock
        self._token = 0
        self._valid_until = timedelta()
        self._last_logged_held = False

    def token(self) -> int | None:
        """Return the fencing token, or None if this node must not act.

        Call this directly before each action. This node counts the lease from before it sent the
        record, other nodes count from when they read it, and the margins allow for the time between
        this check and the arrival of the resulting message.
        """
        held = self._token > 0 and self._clock.elapsed() < self._valid_until
        if held != self._last_logged_held:
            self._last_logged_held = held
            _LOGGER.info("lease_held" if held else "lease_lapsed", fence=self._token)
        return self._token if held else None

    def set_length(self, lease: timedelta) -> None:
        """Set the duration of the lease, effective from the next renewal."""
        self._lease = lease

    async def async_run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        await self.tail.loaded.wait()
        while True:
            if self._is_holder():
                await self._async_renew()
                await self._clock.async_sleep(RENEW_INTERVAL)
                continue
            self._token = 0
            if self._may_acquire() and not self.stopping:
                await self._async_acquire()
            await self._clock.async_sleep(ACQUIRE_POLL_INTERVAL * (0.5 + random.random()))

    def _is_holder(self) -> bool:
        holding = self.book.holding
        return holding is not None and holding.holder == self.holder

    def _may_acquire(self) -> bool:
        """Return whether the lease has expired, so that this node may try to acquire it.

        An earlier process on this VM cannot hold it: this process could only start after the
        earlier one ended and released the VM's ports. The lease of another holder counts from when
        its last record was read here, which is later than when it was written. If this node has not
        been up to date with the store for the duration of the lease, the lease counts as held,
        since a renewal may be unread.
        """
        up_to_date_at = self.tail.current_at
        if up_to_date_at is None or self._clock.monotonic() - up_to_date_at > self._lease:
            return False
        holding = self.book.holding
        if holding is not None and holding.holder.rpartition("/")[0] == self._node:
            return True
        return (
            holding is None
            or self._clock.elapsed() - holding.seen_at > self._lease + TAKEOVER_MARGIN
        )

    async def _async_acquire(self) -> None:
        await self._async_append(LeaseRecord(self.holder))

    async def _async_renew(self) -> None:
        if self.stopping:
            return
        holding = self.book.holding
        if holding is None:
            return
        sent_at = self._clock.elapsed()
        if await self._async_append(LeaseRecord(self.holder, holding.token)):
            self._token = holding.token
            self._valid_until = sent_at + self._lease - HOLDER_SAFETY_MARGIN

    async def _async_append(self, record: LeaseRecord) -> bool:
        """Append a record if the partition has not changed since it was last read.

        Read the partition again in any case; return whether the append succeeded and this process
        is the holder.
        """
        data = msgspec.msgpack.encode(record)
        appended = await self._log.async_append(
            TOPIC_LEASES, 0, [data], APPEND_TIMEOUT, at=self.tail.offset
        )
        await self.tail.async_sync(APPEND_TIMEOUT)
        return isinstance(appended, Ok) and self._is_holder()

    def _on_record(self, offset: int, data: bytes) -> None:
        """Apply a record, or count it if it is invalid.

        Every node ignores the same invalid records, so the holder keeps the lease.
        """
        decoded = decode_msgpack(data, _RECORD_DECODER)
        if isinstance(decoded, Err):
            self._health.unsound(
                "lease_record_unreadable", offset=offset, detail=decoded.unwrap_err()
            )
        elif not self.book.apply(offset, decoded.unwrap(), self._clock.elapsed()):
            self._health.unsound("lease_record_unsound", offset=offset)

"""Acquire a lease through the store, renew it, and know for sure whether it is still held."""

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
    APPEND_TIMEOUT,
    HOLDER_MARGIN,
    LOOK_INTERVAL,
    RENEW_INTERVAL,
    TAKER_MARGIN,
    TOPIC_LEASES,
)
from .model import LeaseBook, LeaseRecord

__all__ = ["LeaseKeeper"]

_LOGGER = get_logger(__name__)
_RECORDS = msgspec.msgpack.Decoder(LeaseRecord)


class LeaseKeeper:
    """Hold the lease if this node is the one; `token` tells whether it may act right now."""

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
        self._was_held = False

    def token(self) -> int | None:
        """Return the fencing token, or None when this node must not act.

        Asked directly before each act. The lease counts from before the record was sent, others
        count from when they saw it, and the margins cover what lies between check and arrival.
        """
        held = self._token > 0 and self._clock.elapsed() < self._valid_until
        if held != self._was_held:
            self._was_held = held
            _LOGGER.info("lease_held" if held else "lease_lapsed", token=self._token)
        return self._token if held else None

    def set_length(self, lease: timedelta) -> None:
        """Take another length of the lease, from the next renewal on."""
        self._lease = lease

    async def async_run(self) -> None:
        """Acquire and renew until cancelled."""
        await self.tail.loaded.wait()
        while True:
            if self._mine():
                await self._async_renew()
                await self._clock.async_sleep(RENEW_INTERVAL)
                continue
            self._token = 0
            if self._free() and not self.stopping:
                await self._async_acquire()
            await self._clock.async_sleep(LOOK_INTERVAL * (0.5 + random.random()))

    def _mine(self) -> bool:
        holding = self.book.holding
        return holding is not None and holding.holder == self.holder

    def _free(self) -> bool:
        """Tell whether the last sign of the holder is older than the lease.

        An earlier process of this VM holds nothing any more: it held the VM's ports until it ended.
        The time runs from when the sign was seen here, which is later than when it was given, and
        only while this node hears the store: what it did not hear may have been a renewal.
        """
        current = self.tail.current_at
        if current is None or self._clock.monotonic() - current > self._lease:
            return False
        holding = self.book.holding
        if holding is not None and holding.holder.rpartition("/")[0] == self._node:
            return True
        return (
            holding is None or self._clock.elapsed() - holding.seen_at > self._lease + TAKER_MARGIN
        )

    async def _async_acquire(self) -> None:
        await self._async_append(LeaseRecord(self.holder))

    async def _async_renew(self) -> None:
        if self.stopping:
            return
        holding = self.book.holding
        if holding is None:
            return
        asked = self._clock.elapsed()
        if await self._async_append(LeaseRecord(self.holder, holding.token)):
            self._token = holding.token
            self._valid_until = asked + self._lease - HOLDER_MARGIN

    async def _async_append(self, record: LeaseRecord) -> bool:
        """Append if nothing came in between; read what stands now whatever the answer."""
        data = msgspec.msgpack.encode(record)
        taken = await self._log.async_append(
            TOPIC_LEASES, 0, [data], APPEND_TIMEOUT, at=self.tail.offset
        )
        await self.tail.async_sync(APPEND_TIMEOUT)
        return isinstance(taken, Ok) and self._mine()

    def _on_record(self, offset: int, data: bytes) -> None:
        """Take a record; foreign ones are passed over by every node alike, and the holder goes on holding."""
        read = decode_msgpack(data, _RECORDS)
        if isinstance(read, Err):
            self._health.unsound("lease_record_unreadable", offset=offset, detail=read.unwrap_err())
        elif not self.book.apply(offset, read.unwrap(), self._clock.elapsed()):
            self._health.unsound("lease_record_unsound", offset=offset)

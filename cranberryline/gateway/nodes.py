"""The nodes that live: each writes a sign to the store, all read them."""

import random
from collections.abc import Callable
from datetime import timedelta

import attrs
import msgspec
from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.decode import decode_msgpack
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.store import KeyedRecord, SharedLog
from cranberryline.settings.fields import Address

__all__ = ["NodeBook", "NodeSign"]

_LOGGER = get_logger(__name__)

_SIGN_INTERVAL = timedelta(milliseconds=800)
_SIGN_TIMEOUT = timedelta(milliseconds=900)
_SIGN_AGAIN = timedelta(milliseconds=150)
# Two signs and the time that a lost one takes to be written again. This node's own polls lag by up
# to a second, so a dead node is known after some three.
_DEAD_AFTER = timedelta(milliseconds=2200)
# The store keeps the last sign of a node for good. After a start everywhere at once each of them is heard for the
# first time, and a node that died minutes ago would be given its groups for another `_DEAD_AFTER`: items waited
# 2.6 s of a step that is due in 7.5. Its sign is that much older than the newest one of all, which is told from an
# outage, in which all grow old alike. Twice the five seconds by which the clocks of two VMs may differ.
_STALE_AFTER = timedelta(seconds=10)


class NodeSign(msgspec.Struct, array_like=True, frozen=True):
    """A node's sign of life; `written` is wall-clock time in seconds, 0 from a node that does not tell."""

    node: str
    data_center: str
    peer: str = ""
    stopping: bool = False
    written: float = 0.0


_SIGNS = msgspec.msgpack.Decoder(NodeSign)


@attrs.frozen
class _Seen:
    """A node's last sign, when it was heard, and since when the node has been stopping."""

    sign: NodeSign
    heard: timedelta
    stopping: timedelta | None


class NodeBook:
    """Write this node's sign, and know which nodes live."""

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        sign: NodeSign,
        clock: Clock,
        current_at: Callable[[], timedelta | None],
        on_change: Callable[[], None],
        health: StoreHealth,
    ) -> None:
        self.stopping = False
        self._log = log
        self._topic = topic
        self._sign = sign
        self._clock = clock
        self._current_at = current_at
        self._on_change = on_change
        self._health = health
        self._seen: dict[str, _Seen] = {}
        self._live: frozenset[str] = frozenset()

    def live(self, since: timedelta) -> frozenset[str]:
        """Return the nodes that do the work that came at `since`.

        A node is silent for the time between its last sign and the last moment at which this node
        was sure to have heard all: cut off from the store it would else take all others for dead,
        and run every group of every job by itself.

        A node that stops takes no new work and finishes what it has: work that came before its
        notice stays with it until it is silent, or other nodes would run all of it a second time.
        """
        sure = self._current_at()
        oldest = self._newest_written() - _STALE_AFTER.total_seconds()
        there = {
            node: seen
            for node, seen in self._seen.items()
            if (sure is None or sure - seen.heard < _DEAD_AFTER)
            and not 0 < seen.sign.written < oldest
        }
        self._note(frozenset(there))
        return frozenset(
            node for node, seen in there.items() if seen.stopping is None or seen.stopping > since
        )

    def _newest_written(self) -> float:
        return max((seen.sign.written for seen in self._seen.values()), default=0.0)

    def _note(self, live: frozenset[str]) -> None:
        if live != self._live:
            came, went = sorted(live - self._live), sorted(self._live - live)
            _LOGGER.info("nodes_live", came=came, went=went)
            self._live = live

    def signs(self) -> list[NodeSign]:
        """Return the last sign of each node that may still live."""
        return [seen.sign for seen in self._seen.values()]

    def take(self, record: KeyedRecord) -> None:
        """Take a sign from the store; one that is not sound is passed over, and the node's last one holds."""
        if not record.value:
            self._seen.pop(record.key, None)
            return
        read = _read_sign(record)
        if isinstance(read, Err):
            self._health.unsound("node_sign_unreadable", key=record.key, detail=read.unwrap_err())
            return
        sign = read.unwrap()
        now = self._clock.monotonic()
        known = self._seen.get(record.key)
        stopping = now if sign.stopping else None
        if known is not None and known.stopping is not None and sign.stopping:
            stopping = known.stopping
        self._seen[record.key] = _Seen(sign, now, stopping)
        if known is None or known.sign.stopping != sign.stopping:
            self._on_change()

    async def async_run(self) -> None:
        """Write signs until cancelled."""
        while True:
            written = await self.async_sign()
            pause = _SIGN_INTERVAL if written else _SIGN_AGAIN
            await self._clock.async_sleep(pause * (0.9 + 0.2 * random.random()))

    async def async_sign(self) -> bool:
        """Write one sign; False when it is not sure that it stands."""
        written = self._clock.now().timestamp()
        sign = msgspec.structs.replace(self._sign, stopping=self.stopping, written=written)
        record = self._log.pack_keyed(sign.node, msgspec.msgpack.encode(sign))
        return (await self._log.async_append(self._topic, 0, [record], _SIGN_TIMEOUT)).is_ok()


def _read_sign(record: KeyedRecord) -> Result[NodeSign, str]:
    """Read a sign that its own node wrote and whose peer address can be called.

    Peers are called for the store when it does not answer this node. An address that is none would raise
    in each call to the store just then, when nothing else is left.
    """
    read = decode_msgpack(record.value, _SIGNS)
    if isinstance(read, Err):
        return read
    sign = read.unwrap()
    if sign.node != record.key:
        return Err("the sign of another node")
    if sign.peer and Address().parse(sign.peer).is_err():
        return Err("no address of a peer")
    return Ok(sign)

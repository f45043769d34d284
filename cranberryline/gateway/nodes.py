"""Detects live nodes: each node writes heartbeats to the store and reads those of the others."""

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

__all__ = ["NodeHeartbeat", "NodeRegistry"]

_LOGGER = get_logger(__name__)

_HEARTBEAT_INTERVAL = timedelta(milliseconds=800)
_HEARTBEAT_TIMEOUT = timedelta(milliseconds=900)
_HEARTBEAT_RETRY_INTERVAL = timedelta(milliseconds=150)
# Two intervals and the time to rewrite a lost heartbeat. This node's polls lag by up to a second, so
# a dead node is detected after about three seconds.
_DEAD_AFTER = timedelta(milliseconds=2200)
# The store keeps the last heartbeat of a node forever. After a restart of all nodes it is received for
# the first time again, so a node that died minutes ago would be assigned groups for another
# `_DEAD_AFTER`: items waited 2.6 s of a step that is due in 7.5 s. Such a heartbeat is older than the
# newest one of any node; in an outage all heartbeats age alike. The limit is twice the 5 s by which
# the clocks of two VMs may differ.
_STALE_AFTER = timedelta(seconds=10)


class NodeHeartbeat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat of a node.

    `peer` is the address at which other nodes reach it. `written` is the Unix time in seconds, 0 if
    the node does not send it.
    """

    node: str
    data_center: str
    peer: str = ""
    stopping: bool = False
    written: float = 0.0


_DECODER = msgspec.msgpack.Decoder(NodeHeartbeat)


@attrs.frozen
class _NodeState:
    """The last heartbeat of a node.

    `received_at` and `stopping`, the time at which the node announced its stop, are on the monotonic
    clock of this node.
    """

    heartbeat: NodeHeartbeat
    received_at: timedelta
    stopping: timedelta | None


class NodeRegistry:
    """Writes the heartbeats of this node and tracks which nodes are alive.

    `current_at` returns the time up to which all heartbeats in the store have been read.
    """

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        heartbeat: NodeHeartbeat,
        clock: Clock,
        current_at: Callable[[], timedelta | None],
        on_change: Callable[[], None],
        health: StoreHealth,
    ) -> None:
        self.stopping = False
        self._log = log
        self._topic = topic
        self._heartbeat = heartbeat
        self._clock = clock
        self._current_at = current_at
        self._on_change = on_change
        self._health = health
        self._states: dict[str, _NodeState] = {}
        self._listeners: list[Callable[[NodeHeartbeat], None]] = []
        self._last_live: frozenset[str] = frozenset()

    def listen(self, listener: Callable[[NodeHeartbeat], None]) -> None:
        """Register a callback that is called with each heartbeat that is read."""
        self._listeners.append(listener)

    def live_nodes(self, since: timedelta) -> frozenset[str]:
        """Return the nodes that are responsible for work that arrived at `since` (monotonic).

        The age of a heartbeat is counted up to the time at which this node had read everything from
        the store. Otherwise a node that is cut off from the store would consider all others dead
        and run every group of every job by itself.

        A stopping node gets no new work. Work that arrived before it announced the stop stays
        assigned to it while it sends heartbeats, or other nodes would run it a second time.
        """
        current_at = self._current_at()
        oldest = self._newest_heartbeat_time() - _STALE_AFTER.total_seconds()
        alive = {
            node: state
            for node, state in self._states.items()
            if (current_at is None or current_at - state.received_at < _DEAD_AFTER)
            and not 0 < state.heartbeat.written < oldest
        }
        self._log_changes(frozenset(alive))
        return frozenset(
            node
            for node, state in alive.items()
            if state.stopping is None or state.stopping > since
        )

    def _newest_heartbeat_time(self) -> float:
        return max((state.heartbeat.written for state in self._states.values()), default=0.0)

    def _log_changes(self, live: frozenset[str]) -> None:
        if live != self._last_live:
            joined, left = sorted(live - self._last_live), sorted(self._last_live - live)
            _LOGGER.info("nodes_live", came=joined, went=left)
            self._last_live = live

    @property
    def live_count(self) -> int:
        """Return how many nodes were alive when that was last looked at."""
        return len(self._last_live)

    def heartbeats(self) -> list[NodeHeartbeat]:
        """Return the last heartbeat of each known node, which may be dead by now."""
        return [state.heartbeat for state in self._states.values()]

    def relay_peers(self) -> list[str]:
        """Return the peer addresses of the other known nodes that are not stopping."""
        return [
            heartbeat.peer
            for heartbeat in self.heartbeats()
            if heartbeat.peer and not heartbeat.stopping and heartbeat.node != self._heartbeat.node
        ]

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply a heartbeat from the store; an empty value removes the node.

        An invalid heartbeat is counted and ignored; the node's previous one stays in effect.
        """
        if not record.value:
            self._states.pop(record.key, None)
            return
        read = _decode_heartbeat(record)
        if isinstance(read, Err):
            self._health.unsound("node_sign_unreadable", key=record.key, detail=read.unwrap_err())
            return
        heartbeat = read.unwrap()
        for listener in self._listeners:
            listener(heartbeat)
        now = self._clock.monotonic()
        previous = self._states.get(record.key)
        stopping = now if heartbeat.stopping else None
        if previous is not None and previous.stopping is not None and heartbeat.stopping:
            stopping = previous.stopping
        self._states[record.key] = _NodeState(heartbeat, now, stopping)
        if previous is None or previous.heartbeat.stopping != heartbeat.stopping:
            self._on_change()

    async def async_run(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            written = await self.async_write_heartbeat()
            pause = _HEARTBEAT_INTERVAL if written else _HEARTBEAT_RETRY_INTERVAL
            await self._clock.async_sleep(pause * (0.9 + 0.2 * random.random()))

    async def async_write_heartbeat(self) -> bool:
        """Write one heartbeat; return whether the store confirmed it."""
        written = self._clock.now().timestamp()
        heartbeat = msgspec.structs.replace(
            self._heartbeat, stopping=self.stopping, written=written
        )
        record = self._log.pack_keyed(heartbeat.node, msgspec.msgpack.encode(heartbeat))
        return (await self._log.async_append(self._topic, 0, [record], _HEARTBEAT_TIMEOUT)).is_ok()


def _decode_heartbeat(record: KeyedRecord) -> Result[NodeHeartbeat, str]:
    """Decode a heartbeat; the error says why it is invalid.

    It has to be of the node under whose key it is stored, and its peer address has to be valid.
    When the store does not answer this node, calls to the store are relayed through peers; an
    invalid address would make each of them raise in that situation.
    """
    read = decode_msgpack(record.value, _DECODER)
    if isinstance(read, Err):
        return read
    heartbeat = read.unwrap()
    if heartbeat.node != record.key:
        return Err("heartbeat belongs to another node")
    if heartbeat.peer and Address().parse(heartbeat.peer).is_err():
        return Err("peer address is invalid")
    return Ok(heartbeat)

"""Fakes of the log, and of connections that lose, delay and duplicate messages."""

import asyncio
import random
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from cranberryline.configs.checkpoint import CheckpointPolicy
from cranberryline.configs.fold import ConfigFold
from cranberryline.configs.publish import FoldSource
from cranberryline.configs.relay import ConfigRelay, RelayPort
from cranberryline.configs.tail import LogTail
from cranberryline.entry.config_sync import EntryConfigSync, SyncTimings
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import LogPage, LogPort, LogRecord
from cranberryline.side.config_sync import SideConfigSync
from cranberryline.transport.codec import decode, encode
from cranberryline.transport.model import Message
from tests.virtual_time import LoopClock

OUTAGE = PlatformError(PlatformReason.REFUSED, "outage", status=503)
LOST = PlatformError(PlatformReason.CUT, "answer lost")
UNREACHABLE = PlatformError(PlatformReason.UNREACHABLE, "no connection", may_have_run=False)


def weights_data(version: Any, amends: int = 0, name: str = "samplers") -> dict[str, Any]:
    """Return the data of a weights record."""
    spec = {"version": version}
    return {"kind": "weights", "name": name, "schema": 1, "amends": amends, "spec": spec}


def service_data(amends: int = 0, name: str = "samplers", **spec: Any) -> dict[str, Any]:
    """Return the data of a service record."""
    spec = {"type": "engine", "model": "m", **spec}
    return {"kind": "service", "name": name, "schema": 2, "amends": amends, "spec": spec}


class FakeLog(LogPort):
    """A log in memory with outages, lost responses, read latency and retention.

    `first` is the oldest offset that it keeps. While `in_outage` is set, each call fails as in an
    outage. The next `lose_answers` appends take effect, but their responses are lost. The next
    appends fail with `append_errors`, in order.
    """

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.records: list[LogRecord] = []
        self.first = 1
        self.in_outage = False
        self.latency = 0.002
        self.lose_answers = 0
        self.append_errors: list[PlatformError] = []
        self.appends = 0
        self.reads = 0
        self._grown = asyncio.Condition()

    @property
    def next(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def put(self, data: Any, record_id: str = "") -> int:
        """Append a record without waking readers, as if another process had written it."""
        offset = self.next
        record_id = record_id or f"put-{offset}"
        self.records.append(LogRecord(offset, self.clock.now(), record_id, data))
        return offset

    def forget(self, first: int) -> None:
        """Drop the records before an offset, as the log does after its retention."""
        self.records = [record for record in self.records if record.offset >= first]
        self.first = first

    async def async_put(self, data: Any, record_id: str = "") -> int:
        """Append a record and wake the readers."""
        offset = self.put(data, record_id)
        async with self._grown:
            self._grown.notify_all()
        return offset

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Append, or fail in an outage; return an error in place of a response that is lost."""
        self.appends += 1
        await asyncio.sleep(0.002)
        if self.in_outage:
            return Err(OUTAGE)
        if self.append_errors:
            return Err(self.append_errors.pop(0))
        offsets = [await self.async_put(data, record_id) for record_id, data in records]
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(LOST)
        return Ok(offsets)

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Read a page; with `wait`, wait up to that long for the first record."""
        self.reads += 1
        await asyncio.sleep(self.latency)
        if self.in_outage:
            return Err(OUTAGE)
        if wait and self.next <= start:
            try:
                async with asyncio.timeout(wait.total_seconds()), self._grown:
                    await self._grown.wait_for(lambda: self.next > start)
            except TimeoutError:
                pass
        if self.in_outage:
            return Err(OUTAGE)
        start = max(start, self.first)
        rows = [record for record in self.records if record.offset >= start][:limit]
        return Ok(LogPage(self.first, start + len(rows), tuple(rows)))


class SilentLog(FakeLog):
    """Another log behind a connection that transfers nothing while `silent` is set."""

    def __init__(self, wrapped_log: FakeLog) -> None:
        super().__init__()
        self.wrapped_log = wrapped_log
        self.silent = False

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Forward the call, or never return."""
        if self.silent:
            await asyncio.sleep(10**6)
        return await self.wrapped_log.async_append(stream, records)

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Forward the call, or never return; a response on its way is lost too."""
        answer = await self.wrapped_log.async_read(stream, start, limit, wait)
        if self.silent:
            await asyncio.sleep(10**6)
        return answer


class Node:
    """One process of the cluster, a gateway (entry) or a side process, and its task."""

    def __init__(self, name: str, sync: EntryConfigSync | SideConfigSync) -> None:
        self.name = name
        self.sync = sync
        self.alive = True
        self.offsets: list[int] = []
        self.task: asyncio.Task[None] | None = None

    @property
    def entry(self) -> bool:
        """Return whether the process is a gateway."""
        return isinstance(self.sync, EntryConfigSync)


class NodePort(RelayPort):
    """The connections of one node."""

    def __init__(self, cluster: "Cluster", name: str) -> None:
        self._cluster = cluster
        self._name = name

    def entry_peers(self) -> Iterable[str]:
        """Return the connected gateways."""
        return self._cluster.peers(self._name, entries=True)

    def side_peers(self) -> Iterable[str]:
        """Return the connected side processes."""
        return self._cluster.peers(self._name, entries=False)

    def send(self, peer: str, message: Message) -> None:
        """Send a message over the network of the cluster."""
        self._cluster.transfer(self._name, peer, message)


class Cluster:
    """Gateways and side processes, connected by a network that may lose messages.

    `loss` and `repeat` are the probabilities that a message is lost or delivered twice, `max_delay`
    its largest delay in seconds, `cut_connections` the pairs of nodes whose connection transfers
    nothing, and `listed` the gateways in the VM list.
    """

    def __init__(self, log: FakeLog, seed: int = 1) -> None:
        self.log = log
        self.clock = LoopClock()
        self.nodes: dict[str, Node] = {}
        self.loss = 0.0
        self.repeat = 0.0
        self.max_delay = 0.003
        self.cut_connections: set[frozenset[str]] = set()
        self.listed: list[str] = []
        self.metrics: dict[str, Metrics] = {}
        self.messages = 0
        self._rng = random.Random(seed)

    def add_entry(
        self,
        name: str,
        log: LogPort | None = None,
        timings: SyncTimings | None = None,
        checkpoints: CheckpointPolicy | None = None,
    ) -> EntryConfigSync:
        """Start a gateway."""
        self.metrics[name] = Metrics()
        sync = EntryConfigSync(
            name,
            log or self.log,
            NodePort(self, name),
            lambda: self.listed,
            self.clock,
            self.metrics[name],
            timings,
            checkpoints,
        )
        self.listed.append(name)
        self._start(name, sync)
        return sync

    def add_side(self, name: str) -> SideConfigSync:
        """Start a side process."""
        sync = SideConfigSync(NodePort(self, name), self.clock, Metrics())
        self._start(name, sync)
        return sync

    def kill(self, name: str, listed: bool = True) -> None:
        """Kill a process.

        The VM list is updated later, so a killed gateway stays in it unless `listed` is False.
        """
        node = self.nodes.pop(name)
        node.alive = False
        if node.task is not None:
            node.task.cancel()
        if not listed:
            self.listed.remove(name)
        for other in self.nodes.values():
            other.sync.on_peer_lost(name)

    def close(self) -> None:
        """Kill all processes."""
        for name in list(self.nodes):
            self.kill(name)

    def peers(self, name: str, entries: bool) -> list[str]:
        """Return the nodes that a node is connected to; side processes connect only to gateways."""
        if name not in self.nodes or (not entries and not self.nodes[name].entry):
            return []
        return [
            node.name for node in self.nodes.values() if node.name != name and node.entry == entries
        ]

    def transfer(self, source: str, target: str, message: Message) -> None:
        """Deliver a message after a delay; it may be lost or delivered twice."""
        self.messages += 1
        if source not in self.nodes or frozenset((source, target)) in self.cut_connections:
            return
        if self._rng.random() < self.loss:
            return
        message = decode(encode([message]))[0].unwrap()
        copies = 2 if self._rng.random() < self.repeat else 1
        for _ in range(copies):
            delay = self._rng.random() * self.max_delay
            asyncio.get_running_loop().call_later(delay, self._deliver, source, target, message)

    def offsets(self) -> dict[str, int]:
        """Return the fold's offset of each process."""
        return {node.name: node.sync.fold.offset for node in self.nodes.values()}

    def all_have(self, offset: int) -> bool:
        """Return whether every process has folded up to an offset."""
        return all(found >= offset for found in self.offsets().values())

    async def async_until_all_have(self, offset: int, within: float) -> float:
        """Wait until every process has folded up to an offset; return the seconds it took.

        Fail if it takes longer than `within` seconds.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not self.all_have(offset):
            assert loop.time() - start <= within, f"{offset} not in {within} s: {self.offsets()}"
            await asyncio.sleep(0.01)
        return loop.time() - start

    def check_agreement(self) -> None:
        """Check that processes at the same offset have the same state, and that no offset fell."""
        by_offset: dict[int, Any] = {}
        for node in self.nodes.values():
            snapshot = node.sync.fold.snapshot()
            assert by_offset.setdefault(snapshot["as_of"], snapshot) == snapshot
            assert node.offsets == sorted(node.offsets)

    def _start(self, name: str, sync: EntryConfigSync | SideConfigSync) -> None:
        node = Node(name, sync)
        self.nodes[name] = node
        node.task = asyncio.get_running_loop().create_task(sync.async_run())
        for other in self._connected_nodes(node):
            sync.on_peer(other.name, other.sync.fold.offset)
            other.sync.on_peer(name, sync.fold.offset)

    def _connected_nodes(self, node: Node) -> list[Node]:
        names = [*self.peers(node.name, entries=True), *self.peers(node.name, entries=False)]
        return [self.nodes[name] for name in names]

    def _deliver(self, source: str, target: str, message: Message) -> None:
        node = self.nodes.get(target)
        if node is None or source not in self.nodes:
            return
        node.sync.on_message(source, message)
        node.offsets.append(node.sync.fold.offset)


class DirectSource(FoldSource):
    """A source for the publisher whose fold reads the log directly and has no peers."""

    def __init__(self, log: FakeLog) -> None:
        self.relay = ConfigRelay(ConfigFold())
        self.tail = LogTail(log, self.relay, lambda record, rejected: None)

    @property
    def fold(self) -> ConfigFold:
        """Return the fold."""
        return self.relay.fold

    async def async_catch_up(self) -> Result[int, PlatformError]:
        """Fold the log up to its end."""
        read = await self.tail.async_read_to_end()
        return read if isinstance(read, Err) else Ok(self.fold.offset)

    def fold_next(self, record: LogRecord) -> None:
        """Fold the record if its offset is the next."""
        self.tail.fold_if_next(record)

    async def async_replicate(self, offset: int, wait: timedelta) -> int:
        """Return 0, because there are no peers to push to."""
        return 0

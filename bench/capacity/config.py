"""Time, messages and bytes for a change of configuration to be in force everywhere.

The real synchronisation of entries and side processes runs over connections in memory, in one
process: its times hold the processor time of all of them, which a fleet spends side by side.
"""

import asyncio
import gc
import time
from collections import Counter
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

from result import Ok, Result

from cranberryline.configs import Revision
from cranberryline.configs.fold import ConfigFold
from cranberryline.configs.push import TailerRanking
from cranberryline.configs.relay import RelayPort
from cranberryline.decisions import rendezvous
from cranberryline.entry.config_sync import EntryConfigSync
from cranberryline.entry.mesh import MAX_FULL_MESH_PEERS, TAILERS_DIALLED
from cranberryline.entry.rollouts import FoldRolloutConfig
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import LogPage, LogPort, LogRecord
from cranberryline.side.config_sync import SideConfigSync
from cranberryline.transport import encode
from cranberryline.transport.model import ConfigDelta, Message

from .report import print_fits, print_line
from .target import ENTRIES, PER_UPSTREAM

__all__ = ["measure"]

_PART = "config"
_SIZES = (12, 24, 48, 96)
_QUICK_SIZES = (4, 10, 20)
_SIDES_PER_ENTRY = 4
_CHANGES = 5
_IDLE_S = 10.0
_DELAY_S = 0.001
_TRAINER = "trainer-1"
_FOLD_SIZES = (100, 400, 1600)


class _Log(LogPort):
    """A log in memory that counts what it is asked."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.appends = 0
        self.reads = 0
        self._grown = asyncio.Condition()

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Append and wake the readers."""
        self.appends += 1
        before = len(self.records)
        for record_id, data in records:
            offset = len(self.records) + 1
            self.records.append(LogRecord(offset, datetime.now(UTC), record_id, data))
        async with self._grown:
            self._grown.notify_all()
        return Ok(list(range(before + 1, len(self.records) + 1)))

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Read, holding the call open until there is something."""
        self.reads += 1
        await asyncio.sleep(_DELAY_S)
        try:
            async with asyncio.timeout(wait.total_seconds()), self._grown:
                await self._grown.wait_for(lambda: len(self.records) >= start)
        except TimeoutError:
            pass
        rows = tuple(self.records[start - 1 : start - 1 + limit])
        return Ok(LogPage(1, start + len(rows), rows))


class _Port(RelayPort):
    """One process's connections."""

    def __init__(self, fleet: "_Fleet", name: str) -> None:
        self._fleet = fleet
        self._name = name
        self.entries: list[str] = []
        self.sides: list[str] = []

    def entry_peers(self) -> Iterable[str]:
        """Return the connected entries."""
        return self.entries

    def side_peers(self) -> Iterable[str]:
        """Return the connected side processes."""
        return self.sides

    def send(self, peer: str, message: Message) -> None:
        """Carry a message."""
        self._fleet.carry(self._name, peer, message)


class _Fleet:
    """Entries and side processes, connected as the mesh and the subsets connect them."""

    def __init__(self, entries: int, sides: int) -> None:
        self.log = _Log()
        self.entry_names = [f"entry-{n}" for n in range(entries)]
        self.side_names = [f"sampler-{n}" for n in range(sides)]
        self.ports = {name: _Port(self, name) for name in [*self.entry_names, *self.side_names]}
        ranking = TailerRanking(self.entry_names[0], lambda: self.entry_names, TAILERS_DIALLED)
        self.tailers = ranking.tailers()
        self._connect()
        self.syncs: dict[str, EntryConfigSync | SideConfigSync] = {}
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        clock = SystemClock()
        for name in self.entry_names:
            self.syncs[name] = EntryConfigSync(
                name, self.log, self.ports[name], self._live_entries, clock, Metrics()
            )
        for name in self.side_names:
            self.syncs[name] = SideConfigSync(self.ports[name], clock, Metrics())
        self._in_force: Counter[int] = Counter()
        self._awaited = 0
        self._everywhere = asyncio.Event()
        for sync in self.syncs.values():
            sync.fold.listen(self._on_revision)
        self._tasks = [asyncio.ensure_future(sync.async_run()) for sync in self.syncs.values()]

    def carry(self, source: str, target: str, message: Message) -> None:
        """Count a message at both ends and deliver it after the network's delay."""
        size = sum(map(len, encode([message])))
        for name in (source, target):
            self.messages[name] += 1
            self.bytes[name] += size
        deliver = self.syncs[target].on_message
        asyncio.get_running_loop().call_later(_DELAY_S, deliver, source, message)

    def greet(self) -> None:
        """Let both ends of each connection name their offsets, as greetings do."""
        for name, port in self.ports.items():
            for peer in [*port.entries, *port.sides]:
                self.syncs[name].on_peer(peer, self.syncs[peer].fold.offset)

    async def async_until(self, offset: int) -> None:
        """Wait until the offset is in force everywhere."""
        if self._in_force[offset] < len(self.syncs):
            self._awaited = offset
            self._everywhere.clear()
            await self._everywhere.wait()

    def close(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.cancel()

    def _live_entries(self) -> list[str]:
        return self.entry_names

    def _on_revision(self, revision: Revision) -> None:
        self._in_force[revision.offset] += 1
        if revision.offset == self._awaited and self._in_force[self._awaited] == len(self.syncs):
            self._everywhere.set()

    def _connect(self) -> None:
        full = len(self.entry_names) - 1 <= MAX_FULL_MESH_PEERS
        for name in self.entry_names:
            for peer in self.entry_names if full else self.tailers:
                if peer != name and peer not in self.ports[name].entries:
                    self.ports[name].entries.append(peer)
                    if name not in self.ports[peer].entries:
                        self.ports[peer].entries.append(name)
        for side in self.side_names:
            for name in rendezvous.rank(side, self.entry_names)[:PER_UPSTREAM]:
                self.ports[name].sides.append(side)
                self.ports[side].entries.append(name)


def _service(number: int, amends: int = 0, seconds: int = 10) -> dict[str, Any]:
    spec = {"type": "plain", "concurrency": 8, "queue": {"seconds": seconds}}
    return {
        "kind": "service",
        "name": f"service-{number}",
        "schema": 2,
        "amends": amends,
        "spec": spec,
    }


async def _async_size(entries: int) -> dict[str, float]:
    fleet = _Fleet(entries, entries * _SIDES_PER_ENTRY)
    await fleet.log.async_append("config", [(f"first-{n}", _service(n)) for n in range(20)])
    fleet.greet()
    await fleet.async_until(20)
    await asyncio.sleep(1.0)
    idle = await _async_idle(fleet)
    times, cpu = [], time.process_time()
    before, bytes_before = Counter(fleet.messages), Counter(fleet.bytes)
    reads, appends = fleet.log.reads, fleet.log.appends
    for number in range(_CHANGES):
        began = time.monotonic()
        change = _service(number, number + 1, 20)
        await fleet.log.async_append("config", [(f"change-{number}", change)])
        await fleet.async_until(21 + number)
        times.append(time.monotonic() - began)
        await asyncio.sleep(0.2)
    cpu_s = time.process_time() - cpu
    tailer, side = fleet.tailers[0], fleet.side_names[0]
    other = next(name for name in fleet.entry_names if name not in fleet.tailers)
    sent = fleet.messages - before
    carried = fleet.bytes - bytes_before
    fleet.close()
    return {
        "entries": entries,
        "sides": len(fleet.side_names),
        "worst_ms": round(1000 * max(times), 1),
        "cpu_ms_a_change_all": round(1000 * cpu_s / _CHANGES, 1),
        "tailer_messages": sent[tailer] / _CHANGES,
        "tailer_bytes": carried[tailer] / _CHANGES,
        "other_messages": sent[other] / _CHANGES,
        "other_bytes": carried[other] / _CHANGES,
        "side_messages": sent[side] / _CHANGES,
        "side_bytes": carried[side] / _CHANGES,
        "log_reads": (fleet.log.reads - reads) / _CHANGES,
        "log_appends": (fleet.log.appends - appends) / _CHANGES,
        **idle,
    }


async def _async_idle(fleet: _Fleet) -> dict[str, float]:
    """Return what is sent while nothing changes."""
    before, bytes_before, reads = Counter(fleet.messages), Counter(fleet.bytes), fleet.log.reads
    await asyncio.sleep(_IDLE_S)
    tailer = fleet.tailers[0]
    return {
        "tailer_idle_messages_per_s": (fleet.messages - before)[tailer] / _IDLE_S,
        "tailer_idle_bytes_per_s": (fleet.bytes - bytes_before)[tailer] / _IDLE_S,
        "log_idle_reads_per_s": (fleet.log.reads - reads) / _IDLE_S,
    }


def _measure_fold(records: int) -> dict[str, float]:
    """Return what a fold costs by the records in force."""
    fold = ConfigFold()
    now = datetime.now(UTC)
    gc.collect()
    trainer = {"kind": "trainer", "name": _TRAINER, "schema": 1, "amends": 0}
    fold.apply(LogRecord(1, now, "r", {**trainer, "spec": {"service": "service-0"}}))
    began = time.process_time()
    for n in range(records):
        fold.apply(LogRecord(n + 2, now, f"r{n}", _service(n)))
    applied = time.process_time()
    for _ in range(20):
        fold.services()
    read = time.process_time()
    rollouts = FoldRolloutConfig(fold)
    for _ in range(20):
        rollouts.limits(_TRAINER, "service-0")
    looked_up = time.process_time()
    size = sum(map(len, _encode_snapshot(fold)))
    return {
        "records": records,
        "apply_us_each": round(1e6 * (applied - began) / records, 1),
        "services_us": round(1e6 * (read - applied) / 20, 1),
        "limits_us": round(1e6 * (looked_up - read) / 20, 1),
        "snapshot_bytes": size,
    }


def _encode_snapshot(fold: ConfigFold) -> list[bytes]:
    """Return the frames that carry a whole fold."""
    after = fold.offset + 1
    return encode([ConfigDelta(after, after, (), fold.snapshot())])


def measure(quick: bool) -> None:
    """Measure each size in turn."""
    rows = []
    for size in _QUICK_SIZES if quick else _SIZES:
        row = asyncio.run(_async_size(size))
        rows.append(row)
        print_line(_PART, **row)
    names = [name for name in rows[0] if name not in ("entries", "sides")]
    print_fits(_PART, rows, "entries", names, ENTRIES)
    folds = [_measure_fold(size) for size in _FOLD_SIZES]
    for row in folds:
        print_line(_PART, **row)
    names = ["apply_us_each", "services_us", "limits_us", "snapshot_bytes"]
    print_fits(f"{_PART} fold", folds, "records", names, 1000)

"""Measure what a gateway spends on the work of all the others: records, wakes, polls, a start."""

import argparse
import asyncio
import cProfile
import gc
import json
import pstats
import tempfile
import time
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import attrs
import yaml
from tornado.httpclient import AsyncHTTPClient

from cranberryline.gateway.app import GatewayProcess
from cranberryline.gateway.nodes import NodeRegistry
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs import JobEnded, decode_record, encode_records
from cranberryline.jobs.runner import JobRunner, RunnerDependencies
from cranberryline.jobs.service import JobService
from cranberryline.platform.adapter import UsersPlatform
from cranberryline.ports.store import KeyedRecord
from cranberryline.settings import GatewaySettings
from stand_ins.process import Process, free_ports

from .fold_load import PARTS, Load
from .fold_store import StoreProcess

__all__ = ["main"]

_KEEP = timedelta(seconds=180)
_REPEATS = 20
_READY_TRIES = 10_000
_READY_PAUSE = 0.005
_PROCESS_PAUSE = 0.05
_CLOCK_OF_PROCESS = 2
_CONFIG = {
    "version": 1,
    "routes": [
        {"name": "j", "host": "host.example", "path_prefix": "/p/", "kind": "rollout"}
        | {"service": "engines", "timeout_ms": 5000, "goal_ms": 1000, "max_attempts": 2}
    ],
    "services": [{"name": "engines", "engine": {"slots": 8, "models": []}}],
}


def _tell(what: str, **figures: Any) -> None:
    print(json.dumps({"bench": "fold", "what": what, **figures}), flush=True)


def _microseconds(work: Callable[[], object], count: int) -> float:
    """Return the processor time of each of `count` things that the work does."""
    began = time.process_time()
    work()
    return round((time.process_time() - began) / count * 1e6, 1)


class _Node:
    """A node's fold and runner, without store or network."""

    def __init__(self, load: Load) -> None:
        clock, metrics = SystemClock(), Metrics()
        self.jobs = JobService(cast(Any, None), PARTS, clock, StoreHealth(clock), metrics, _KEEP)
        self.names = frozenset(f"front-{node}" for node in range(load.nodes))
        parts = RunnerDependencies(
            self.jobs,
            cast(Any, SimpleNamespace(table=object())),
            cast(Any, SimpleNamespace(total_slots=lambda _service: 1)),
            cast(Any, None),
            cast(Any, None),
            clock,
            metrics,
            load.bystander(),
            lambda _since: self.names,
        )
        self.runner = JobRunner(parts)
        for tail in self.jobs.tails:
            tail.at_end, tail.current_at = True, clock.monotonic()

    def take(self, records: list[bytes]) -> None:
        """Fold records."""
        for record in records:
            taken = decode_record(record)
            if taken is not None:
                self.jobs.book.apply(taken)


def _records(load: Load) -> None:
    """Tell what a record of each kind costs."""
    jobs = [load.job_records(0, step) for step in range(_REPEATS)]
    results = [load.result_records(0, step) for step in range(_REPEATS)]
    ends = [encode_records([JobEnded(f"job-0-{step}")]) for step in range(_REPEATS)]
    node = _Node(load)
    for what, batches in (("job", jobs), ("result", results), ("end", ends)):
        count = _REPEATS if what == "job" else sum(len(batch) for batch in batches)
        size = sum(len(record) for batch in batches for record in batch) // count
        spent = _microseconds(lambda: [node.take(batch) for batch in batches], count)  # noqa: B023
        _tell("record", kind=what, us=spent, bytes=size)
    clock = SystemClock()
    health = StoreHealth(clock, Metrics())
    nobody = cast(Any, None)
    book = NodeRegistry(nobody, "t", nobody, clock, lambda: None, lambda: None, health)
    signs = [KeyedRecord(*load.sign(number), 0) for number in range(load.nodes)] * _REPEATS
    spent = _microseconds(lambda: [book.apply_record(sign) for sign in signs], len(signs))
    _tell("record", kind="sign", us=spent)


def _wakes() -> None:
    """Tell what one look for due items costs, by jobs that are open and over, and by nodes."""
    for open_jobs, ended, nodes in (
        (1, 0, 26),
        (3, 0, 26),
        (6, 0, 26),
        (3, 60, 26),
        (3, 0, 9),
        (3, 0, 104),
    ):
        load = Load(nodes=nodes)
        node = _Node(load)
        for record in [*load.past(ended), *Load(nodes=nodes).past(open_jobs + ended, ended=False)]:
            node.take(record.records)
        look = node.runner._scan_all  # noqa: SLF001 - what a wake does
        look()
        spent = _microseconds(lambda: [look() for _ in range(_REPEATS)], _REPEATS)  # noqa: B023
        _tell("wake", open_jobs=open_jobs, ended_jobs=ended, nodes=nodes, us=spent)


def _gateway(store: str, node: str) -> GatewayProcess:
    front, ready, peer = (f"127.0.0.1:{port}" for port in free_ports(3))
    cfg = GatewaySettings(
        vm_id=node,
        data_center="levis",
        store=store,
        listen=front,
        ready_listen=ready,
        peer=peer,
        partitions=PARTS,
    )
    return GatewayProcess(cfg, UsersPlatform(cfg.store), SystemClock())


@attrs.define
class _Day:
    """A gateway that is started, and hears a load."""

    load: Load
    seconds: float
    past: int
    profile: cProfile.Profile | None = None

    async def async_run(self) -> None:
        """Start it before the jobs of the past, then let it hear what the others do."""
        store = StoreProcess(self.load, self.past, self.seconds, _CONFIG)
        gateway = _gateway(store.address, self.load.bystander())
        await self._async_ready(gateway)
        if self.seconds:
            await self._async_hear(store)
        await gateway.async_close()
        store.stop()

    async def _async_ready(self, gateway: GatewayProcess) -> None:
        cpu, wall = time.thread_time(), time.monotonic()
        gateway.start()
        for _ in range(_READY_TRIES):
            if gateway.ready:
                break
            await asyncio.sleep(_READY_PAUSE)
        cpu, wall = time.thread_time() - cpu, time.monotonic() - wall
        _tell(
            "start",
            past_jobs=self.past,
            ready=gateway.ready,
            cpu_ms=round(cpu * 1e3, 1),
            wall_ms=round(wall * 1e3, 1),
        )

    async def _async_hear(self, store: StoreProcess) -> None:
        calls = store.calls()
        cpu = time.thread_time()
        if self.profile is not None:
            self.profile.enable()
        store.play()
        await asyncio.sleep(self.seconds)
        if self.profile is not None:
            self.profile.disable()
        cpu = time.thread_time() - cpu
        spent = {name: count - calls.get(name, 0) for name, count in store.calls().items()}
        _tell(
            "hear",
            **{"trainers": self.load.trainers, "nodes": self.load.nodes, "items": self.load.items},
            seconds=self.seconds,
            cpu_ms_per_s=round(cpu * 1e3 / self.seconds, 1),
            **{f"store_{name}_per_s": round(n / self.seconds, 1) for name, n in spent.items()},
        )


async def _async_process_start(load: Load, past: int) -> None:
    """Tell what a process spends from its start to ready, imports and all."""
    store = StoreProcess(load, past, 0.0, _CONFIG)
    front, ready, peer = (f"127.0.0.1:{port}" for port in free_ports(3))
    settings = {
        "vm_id": load.bystander(),
        "data_center": "levis",
        "store": store.address,
        "listen": front,
        "ready": ready,
        "peer": peer,
        "partitions": PARTS,
    }
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "gateway.yaml"
        file.write_text(yaml.safe_dump(settings))
        args = ["cranberryline", "gateway", str(file)]
        process = Process("gateway", args, Path(folder) / "g.log")
        process.start()
        try:
            await _async_answers(f"http://{ready}/ready")
            cpu = time.clock_gettime((~process.pid << 3) | _CLOCK_OF_PROCESS)
            _tell("process_start", past_jobs=past, cpu_ms=round(cpu * 1e3, 1))
        finally:
            process.kill()
            store.stop()


async def _async_answers(url: str) -> None:
    for _ in range(_READY_TRIES):
        try:
            if (await AsyncHTTPClient().fetch(url, raise_error=False)).code == HTTPStatus.OK:
                return
        except OSError:
            pass
        await asyncio.sleep(_PROCESS_PAUSE)
    raise TimeoutError("the gateway is not ready")


def main(argv: list[str]) -> int:
    """Run the measurement; each line is JSON, a profile follows on request."""
    parser = argparse.ArgumentParser(prog="script/bench fold", description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0, help="how long loads are heard")
    parser.add_argument("--past", type=int, default=60, help="jobs in the store at a start")
    parser.add_argument("--profile", type=int, default=0, help="lines of the profile to print")
    args = parser.parse_args(argv)
    # As a gateway does when it starts.
    gc.freeze()
    _records(Load())
    _wakes()
    for past in (0, args.past):
        asyncio.run(_async_process_start(Load(), past))
    loads = (Load(), Load(trainers=0), Load(trainers=0, nodes=9))
    for load in loads:
        profile = cProfile.Profile() if args.profile and load.trainers else None
        past = args.past if load.trainers else 0
        asyncio.run(_Day(load, args.seconds, past, profile).async_run())
        if profile is not None:
            pstats.Stats(profile).sort_stats("tottime").print_stats(args.profile)
    return 0

"""Run one real entry or side process among hosted peers, and read what it costs."""

import contextlib
import http.client
import json
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs

from bench.idle import Relays, relays_running
from bench.processes import (
    Process,
    free_port,
    started,
    wait_for_port,
    wait_until_ready,
    write_settings,
)
from cranberryline.configs.push import TAILER_KEY
from cranberryline.decisions import rendezvous
from stand_ins.process import free_ports

from .peers import SERVICE_RECORD, entry_name, side_name

__all__ = ["Node", "Setup", "running_entry", "running_list", "running_mesh", "running_side"]

_HOST = "127.0.0.1"
_TRIES = 10_000


@attrs.frozen
class Node:
    """The process that is measured, and where callers reach it."""

    process: Process
    http_port: int
    counted: Counter[str]

    def measure(self, seconds: float) -> dict[str, float]:
        """Return processor time, bytes and memory over a time."""
        cpu, carried, began = self.process.cpu_seconds(), Counter(self.counted), time.monotonic()
        time.sleep(seconds)
        wall = time.monotonic() - began
        used = self.process.cpu_seconds() - cpu
        bytes_moved = (self.counted - carried).total()
        return {
            "cpu_percent": round(100 * used / wall, 3),
            "bytes_per_s": round(bytes_moved / wall, 1),
            "resident_mib": round(self.process.resident_mib(), 2),
        }

    def hold_requests(self, stack: contextlib.ExitStack, count: int) -> None:
        """Send that many requests that stay outstanding."""
        request = b"GET /services/bench/x HTTP/1.1\r\nHost: b\r\nX-Deadline-Ms: 120000\r\n\r\n"
        for _ in range(count):
            conn = stack.enter_context(socket.create_connection((_HOST, self.http_port)))
            conn.sendall(request)


@attrs.frozen
class Setup:
    """What a measured process stands in."""

    stack: contextlib.ExitStack
    folder: Path
    relays: Relays
    log: int


@contextlib.contextmanager
def _setup() -> Iterator[Setup]:
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        relays = stack.enter_context(relays_running())
        log = free_port()
        process = stack.enter_context(started("log", "stand_ins", "log", f"--port={log}"))
        wait_for_port(process, log)
        _append(log, SERVICE_RECORD)
        yield Setup(stack, folder, relays, log)


def _append(log: int, record: dict[str, Any]) -> None:
    _post(log, "/streams/config/records", {"records": [{"id": "bench", "data": record}]})


def _post(port: int, path: str, data: dict[str, Any]) -> None:
    conn = http.client.HTTPConnection(_HOST, port, timeout=5)
    conn.request("POST", path, json.dumps(data), {"Content-Type": "application/json"})
    conn.getresponse().read()
    conn.close()


def _row(vm_id: str, role: str, peer: int) -> dict[str, str]:
    side = role == "upstream"
    return {
        "id": vm_id,
        "role": role,
        "state": "live",
        "data_center": "one",
        "peer": f"tcp://{_HOST}:{peer}",
        "address": f"http://{_HOST}:1" if side else "",
        "service": "bench" if side else "",
    }


def _start_entry(setup: Setup, vm_id: str, peer: int, rows: list[dict[str, str]]) -> Node:
    vms, listen = free_port(), free_port()
    listing = started("vms", "stand_ins", "vms", f"--port={vms}")
    wait_for_port(setup.stack.enter_context(listing), vms)
    _post(vms, "/_control", {"vms": [*rows, _row(vm_id, "entry", peer)]})
    settings = {
        "vm_id": vm_id,
        "data_center": "one",
        "listen": f"{_HOST}:{listen}",
        "peer": f"tcp://{_HOST}:{peer}",
        "log": f"http://{_HOST}:{setup.relays.route('log', setup.log)}",
        "vm_list": f"http://{_HOST}:{setup.relays.route('vms', vms)}",
    }
    path = write_settings(setup.folder, "entry", settings)
    process = setup.stack.enter_context(started("entry", "cranberryline", "entry", path))
    wait_until_ready(process, listen, "/ready")
    return Node(process, listen, setup.relays.counted)


@contextlib.contextmanager
def running_entry(sides: int) -> Iterator[Node]:
    """Run an entry before hosted side processes."""
    with _setup() as setup:
        ports = free_ports(sides)
        hosted = started("peers", "bench.capacity.peers", "sides", *map(str, ports))
        wait_for_port(setup.stack.enter_context(hosted), ports[-1])
        rows = [
            _row(side_name(n), "upstream", setup.relays.route("peer", port))
            for n, port in enumerate(ports)
        ]
        yield _start_entry(setup, "entry-1", free_port(), rows)


@contextlib.contextmanager
def running_mesh(entries: int) -> Iterator[Node]:
    """Run an entry that tails the log, dialled by hosted entries that do not."""
    with _setup() as setup:
        peer, listen = free_port(), free_port()
        dial = setup.relays.route("peer", peer)
        arguments = map(str, (listen, dial, entries))
        hosted = started("peers", "bench.capacity.peers", "entries", *arguments)
        wait_for_port(setup.stack.enter_context(hosted), listen)
        names = [entry_name(n) for n in range(entries)]
        rows = [_row(name, "entry", listen) for name in names]
        yield _start_entry(setup, _first_tailer(names), peer, rows)


@contextlib.contextmanager
def running_list(rows: int) -> Iterator[Node]:
    """Run an entry with a VM list of that many other entries, none of which answers."""
    with _setup() as setup:
        closed = free_port()
        others = [_row(f"other-{n:05}", "entry", closed) for n in range(rows)]
        yield _start_entry(setup, "entry-1", free_port(), others)


def _first_tailer(names: list[str]) -> str:
    """Return an id that ranks before all names."""
    best = max(rendezvous.score(TAILER_KEY, name) for name in names)
    tried = (f"entry-{n}" for n in range(_TRIES))
    return next(name for name in tried if rendezvous.score(TAILER_KEY, name) > best)


@contextlib.contextmanager
def running_side(entries: int) -> Iterator[Node]:
    """Run a side process that hosted entries dial."""
    with _setup() as setup:
        peer, listen, hosted_port = free_port(), free_port(), free_port()
        dial = setup.relays.route("peer", peer)
        settings = {
            "vm_id": side_name(0),
            "data_center": "one",
            "service": "bench",
            "listen": f"{_HOST}:{listen}",
            "peer": f"tcp://{_HOST}:{peer}",
            "log": f"http://{_HOST}:{setup.log}",
            "upstream": f"http://{_HOST}:1",
        }
        path = write_settings(setup.folder, "side", settings)
        process = setup.stack.enter_context(started("side", "cranberryline", "side", path))
        wait_for_port(process, peer)
        arguments = map(str, (hosted_port, dial, entries))
        setup.stack.enter_context(started("peers", "bench.capacity.peers", "entries", *arguments))
        wait_until_ready(process, listen, "/ready")
        yield Node(process, listen, setup.relays.counted)

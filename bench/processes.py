"""Start the processes of a benchmark, end them, and read what they cost."""

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import attrs
import yaml

__all__ = [
    "SERVICE",
    "Process",
    "RunningPath",
    "free_port",
    "running_path",
    "started",
    "wait_for_port",
    "wait_until_ready",
    "write_settings",
]

_REPOSITORY = Path(__file__).resolve().parent.parent
_CLOCK_OF_PROCESS = 2
_KIB = 1024
_STOP_SECONDS = 20
SERVICE = "bench"
_SIDE_ID = "bench-1"
_ENTRY_ID = "entry-1"


@attrs.frozen
class Process:
    """A process that this benchmark started."""

    name: str
    popen: "subprocess.Popen[bytes]"
    started_at: float

    def cpu_seconds(self) -> float:
        """Return the CPU time of all its threads.

        The clock of the process is read in place of the process table, whose unit of 10 ms is a
        tenth of what an idle process may spend in a minute.
        """
        return time.clock_gettime((~self.popen.pid << 3) | _CLOCK_OF_PROCESS)

    def resident_mib(self) -> float:
        """Return the resident memory in MiB."""
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / _KIB


def free_port() -> int:
    """Return a port of the loopback address that was free just now."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


@contextlib.contextmanager
def started(name: str, *args: str) -> Iterator[Process]:
    """Run a Python module while the block runs, and end it afterwards."""
    env = {**os.environ, "PYTHONPATH": str(_REPOSITORY)}
    started_at = time.monotonic()
    with tempfile.TemporaryFile() as output:
        popen = subprocess.Popen(
            [sys.executable, "-m", *args],
            cwd=_REPOSITORY,
            env=env,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        try:
            yield Process(name, popen, started_at)
        except BaseException:
            output.seek(0)
            tail = output.read()[-2000:].decode(errors="replace")
            print(f"{name} had written: {tail}", file=sys.stderr)
            raise
        finally:
            _end(popen)


def _end(popen: "subprocess.Popen[bytes]") -> None:
    """End a process, by force if it does not stop."""
    popen.send_signal(signal.SIGTERM)
    try:
        popen.wait(_STOP_SECONDS)
    except subprocess.TimeoutExpired:
        popen.kill()
        popen.wait()


def wait_until_ready(process: Process, port: int, path: str, timeout_s: float = 20.0) -> float:
    """Ask until the answer is 200, and return the seconds since the process was started."""
    while process.popen.poll() is None and time.monotonic() - process.started_at < timeout_s:
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
        try:
            conn.request("GET", path)
            if conn.getresponse().status == http.HTTPStatus.OK:
                return time.monotonic() - process.started_at
        except OSError:
            pass
        finally:
            conn.close()
        time.sleep(0.01)
    raise TimeoutError(f"{process.name} is not ready at {path} after {timeout_s} s")


def write_settings(folder: Path, name: str, settings: dict[str, Any]) -> str:
    """Write a settings file and return its path."""
    path = folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    return str(path)


def _vm(vm_id: str, role: str, peer: int, upstream: int = 0) -> dict[str, str]:
    """Return a row of the VM list."""
    return {
        "id": vm_id,
        "role": role,
        "state": "live",
        "data_center": "one",
        "peer": f"tcp://127.0.0.1:{peer}",
        "address": f"http://127.0.0.1:{upstream}" if upstream else "",
        "service": SERVICE if upstream else "",
    }


def _publish_service(log: int) -> None:
    """Append the record of the one service, as an entry would."""
    spec = {"type": "plain", "concurrency": 64}
    data = {"kind": "service", "name": SERVICE, "schema": 1, "amends": 0, "spec": spec}
    body = json.dumps({"records": [{"id": "bench", "data": data}]})
    conn = http.client.HTTPConnection("127.0.0.1", log, timeout=5)
    conn.request("POST", "/streams/config/records", body, {"Content-Type": "application/json"})
    conn.getresponse().read()
    conn.close()


@attrs.frozen
class RunningPath:
    """A running path: an entry, a side process, and where callers reach the entry."""

    entry: Process
    side: Process
    entry_port: int
    entry_ready_s: float
    side_ready_s: float

    @property
    def base_path(self) -> str:
        """Return the path under which the entry serves the upstream."""
        return f"/services/{SERVICE}"


@contextlib.contextmanager
def running_path(upstream: int, route: Callable[[str, int], int]) -> Iterator[RunningPath]:
    """Run stand-ins, a side process and an entry; `route` may put a relay before a port."""
    log, vms, side_peer, side_http, entry_peer, entry_http = (free_port() for _ in range(6))
    side_row = _vm(_SIDE_ID, "upstream", route("peer", side_peer), upstream)
    shown = json.dumps([side_row, _vm(_ENTRY_ID, "entry", entry_peer)])
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        stand_in = stack.enter_context(started("log", "stand_ins", "log", f"--port={log}"))
        wait_for_port(stand_in, log)
        _publish_service(log)
        listing = started("vms", "stand_ins", "vms", f"--port={vms}", f"--vms={shown}")
        wait_for_port(stack.enter_context(listing), vms)
        side_settings = {
            "vm_id": _SIDE_ID,
            "data_center": "one",
            "service": SERVICE,
            "listen": f"127.0.0.1:{side_http}",
            "peer": f"tcp://127.0.0.1:{side_peer}",
            "log": f"http://127.0.0.1:{route('side_log', log)}",
            "upstream": f"http://127.0.0.1:{upstream}",
        }
        entry_settings = {
            "vm_id": _ENTRY_ID,
            "data_center": "one",
            "listen": f"127.0.0.1:{entry_http}",
            "peer": f"tcp://127.0.0.1:{entry_peer}",
            "log": f"http://127.0.0.1:{route('entry_log', log)}",
            "vm_list": f"http://127.0.0.1:{route('vms', vms)}",
        }
        # A side process is ready once an entry has told it the configuration, so neither can wait
        # for the other here.
        settings = write_settings(folder, "side", side_settings)
        side = stack.enter_context(started("side", "cranberryline", "side", settings))
        settings = write_settings(folder, "entry", entry_settings)
        entry = stack.enter_context(started("entry", "cranberryline", "entry", settings))
        entry_ready_s = wait_until_ready(entry, entry_http, "/ready")
        side_ready_s = wait_until_ready(side, side_http, "/ready")
        yield RunningPath(entry, side, entry_http, entry_ready_s, side_ready_s)


def wait_for_port(process: Process, port: int, timeout_s: float = 20.0) -> None:
    """Wait until something listens."""
    while time.monotonic() - process.started_at < timeout_s:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1):
            return
        time.sleep(0.01)
    raise TimeoutError(f"{process.name} does not listen after {timeout_s} s")

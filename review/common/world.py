"""A small deployment: real gateways, and a store and samplers in this process.

The store is the project's own stand-in, to which the page's limits of one call are added. The gateways
are started by the command of the deploy file, with settings as its template makes them.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

import yaml

from stand_ins.platform_store import PlatformStore

from .link import Link
from .sampler import Sampler

ROOT = Path(__file__).resolve().parent.parent.parent
BEAT_S = 1.2
READY_S = 30.0
HOST = "review.example"


def free_port() -> int:
    """Return a port of loopback on which nobody listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Record:
    """Lines of record.txt, each with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._out = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def line(self, what: str, **fields: Any) -> None:
        """Write one line."""
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        self._out.write(f"{self.now():8.3f} {what} {told}\n")
        self._out.flush()


class Gateway:
    """One gateway, a process of the deploy file's command."""

    def __init__(self, name: str, store: str, folder: Path, record: Record) -> None:
        self.name = name
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        self._folder = folder
        self._record = record
        self._popen: subprocess.Popen[bytes] | None = None
        settings = {
            "vm_id": name,
            "data_center": "levis",
            "store": store,
            "listen": f"127.0.0.1:{self.front}",
            "ready": f"127.0.0.1:{self.ready}",
            "peer": f"127.0.0.1:{self.peer}",
            "partitions": 8,
            "store_reads_per_second": 2000,
            "lease_ms": 3000,
            "stop_seconds": 8,
            "slot_sharing": "auto",
            "max_body_bytes": 33554432,
            "config_max_age_ms": 2000,
        }
        self._file = folder / f"{name}.yaml"
        self._file.write_text(yaml.safe_dump(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{self.name}.log").open("ab") as out:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "cranberryline", "gateway", str(self._file)],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=env,
                cwd=ROOT,
            )
        self._record.line("gateway_started", name=self.name)

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signum)
            self._record.line("gateway_signalled", name=self.name, signal=signum.name)

    def end(self) -> None:
        """End the process."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
            self._popen.wait()


class World:
    """The deployment of one script."""

    def __init__(self, record: Record, gateways: int) -> None:
        self.record = record
        self.store = PlatformStore()
        self.store.page = 500
        self.samplers: list[Sampler] = []
        self.gateways: list[Gateway] = []
        self.store_links: list[Link] = []
        self._count = gateways
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0

    async def async_start(self, config: dict[str, Any]) -> None:
        """Start all, and wait until each gateway says that it is ready."""
        self.store.start()
        self.configure(config)
        self._tasks.append(asyncio.ensure_future(self._async_beat()))
        for number in range(1, self._count + 1):
            link = Link(self.store.address)
            await link.async_heal()
            self.store_links.append(link)
            gateway = Gateway(
                f"front-levis-{number}", link.address, Path(self._folder.name), self.record
            )
            gateway.start()
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await self.async_ready(gateway)

    async def async_ready(self, gateway: Gateway) -> None:
        """Wait until a gateway says that it is ready."""
        give_up = time.monotonic() + READY_S
        while not await self._async_is_ready(gateway):
            if time.monotonic() > give_up:
                raise TimeoutError(f"{gateway.name} is not ready; see its log")
            await asyncio.sleep(0.1)
        self.record.line("gateway_ready", name=gateway.name)

    def configure(self, config: dict[str, Any]) -> None:
        """Write the next version of the configuration, as the operator does."""
        self._version += 7
        self.store.put("keyed.op", "config", {"version": self._version, **config})
        self.record.line("configuration_acknowledged", version=self._version)

    def add(self, sampler: Sampler) -> Sampler:
        """Let a sampler that has started tell of itself in the store from now on."""
        self.samplers.append(sampler)
        self.store.put("keyed.servers", sampler.id, sampler.entry())
        self.record.line("sampler_started", id=sampler.id, service=sampler.service)
        return sampler

    def remove(self, sampler: Sampler) -> None:
        """Remove the entry of a sampler that leaves without having told that it drains."""
        self.samplers.remove(sampler)
        self.store.put("keyed.servers", sampler.id, None)
        self.record.line("entry_removed", id=sampler.id)

    def record_runs(self) -> None:
        """Write down what each sampler ran."""
        for sampler in self.samplers:
            for run in sampler.runs:
                at = f"{run.began:.3f}"
                self.record.line("run", id=run.id, sampler=sampler.id, at=at, status=run.status)

    async def async_stop(self) -> None:
        """End everything that was started."""
        for gateway in self.gateways:
            gateway.end()
        for task in self._tasks:
            task.cancel()
        for link in self.store_links:
            link.cut()
        for sampler in self.samplers:
            sampler.stop()
        self.store.stop()
        # What still serves a channel ends in these turns of the loop.
        await asyncio.sleep(0.2)
        self._folder.cleanup()

    async def _async_beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for sampler in self.samplers:
                self.store.put("keyed.servers", sampler.id, sampler.entry())

    async def _async_is_ready(self, gateway: Gateway) -> bool:
        answer = await async_call(gateway.ready, "GET", "/api/ready", {}, b"", 1.0)
        return answer is not None and answer.status == HTTPStatus.OK


class Answer:
    """A whole answer as a client read it."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the body's JSON."""
        return json.loads(self.body)


async def async_call(
    port: int, method: str, path: str, headers: dict[str, str], body: bytes, seconds: float
) -> Answer | None:
    """Make one call on a channel of its own; None when no whole answer came in time."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            told = {"Host": HOST, "Connection": "close", **headers}
            if body or method == "POST":
                told["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in told.items())]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await _async_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def _async_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split()[1])
    fields = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
    lower = {name.lower(): value for name, value in fields.items()}
    if lower.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return Answer(status, lower, b"".join(parts))
    return Answer(status, lower, await reader.readexactly(int(lower.get("content-length", "0"))))

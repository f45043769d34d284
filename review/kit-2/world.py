# ruff: noqa: ANN001, ANN201, ANN202, ANN204, PLR2004 - a script of one review, not of the product
"""Stand-ins of the platform, its store, its samplers and its clients, in Python's own library only.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). The gateways are the project's own processes, started
with the command of deploy/system.toml.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
STORED_BYTES = 400_000_000
LENGTH = struct.Struct(">I")
POSITIONS = struct.Struct(">QQ")


def free_ports(count):
    """Return ports of loopback that are free just now, below those of outgoing channels."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            if port not in ports:
                ports.append(port)
    return ports


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.2f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)

    def note(self, text):
        """Write a line of the many: a request that was sent, answered or run."""
        print(f"{time.monotonic() - self.began:8.2f} {text}", file=self.file)


async def read_head(reader):
    """Read the head of a message; return its first line's words and its headers, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers):
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                await reader.readuntil(b"\r\n")
                return b"".join(parts)
            parts.append((await reader.readexactly(size + 2))[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0") or 0))


def message(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


class Server:
    """An HTTP/1.1 server with kept channels, of which each handles one request at a time."""

    def __init__(self, port=0):
        self.port = port
        self.address = ""
        self.writers = set()

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                (method, target, _), headers = head
                body = await read_body(reader, headers)
                if not await self.answer(method, target, headers, body, reader, writer):
                    break
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: a log, whose answers are linearizable; it loses nothing."""

    def __init__(self):
        super().__init__()
        self.records = defaultdict(list)
        self.locks = defaultdict(asyncio.Lock)
        self.grown = defaultdict(asyncio.Event)
        self.stored = 0
        self.refused = 0
        self.down = False

    def append(self, where, records):
        """Append, and wake who waits."""
        kept = self.records[where]
        offset = len(kept)
        kept += records
        self.stored += sum(map(len, records))
        event = self.grown.pop(where, None)
        if event is not None:
            event.set()
        return offset, len(kept)

    def put(self, topic, key, value):
        """Write the newest record of a key, as the operator, a trainer or a sampler does."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self.append((topic, 0), [bytes([len(name)]) + name + data])

    async def answer(self, method, target, headers, body, reader, writer):
        """Answer one call."""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        where = (query.get("topic", ""), int(query.get("part", "0")))
        call = parts.path.rpartition("/")[2]
        if self.down:
            status, data = 503, b"{}"
        elif call == "log-append":
            status, data = await self._append(where, query, body)
        elif call == "log-read":
            status, data = await self._read(where, query)
        elif call == "log-newest":
            status, data = self._newest(where, query)
        else:
            status, data = 200, b"{}"
        writer.write(message(f"HTTP/1.1 {status} X", [], data))
        await writer.drain()
        return True

    async def _append(self, where, query, body):
        records, at = [], 0
        while at < len(body):
            (size,) = LENGTH.unpack_from(body, at)
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        if len(body) > CALL_BYTES or any(len(each) > RECORD_BYTES for each in records):
            self.refused += 1
            return 413, b"{}"
        if self.stored > STORED_BYTES:
            self.refused += 1
            return 507, b"{}"
        async with self.locks[where]:
            await asyncio.sleep(0.004 + len(body) / 20e6)
            end = len(self.records[where])
            if "at" in query and int(query["at"]) != end:
                return 412, json.dumps({"end": end}).encode()
            offset, end = self.append(where, records)
        return 200, json.dumps({"offset": offset, "end": end}).encode()

    async def _read(self, where, query):
        start, give_up = int(query["from"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        kept = self.records[where]
        while len(kept) <= start and (left := give_up - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.grown[where].wait(), left)
        pieces, size, most = [], 0, 1024 * int(query.get("max_kb", 1024))
        for record in kept[start : start + 5000]:
            if pieces and size + len(record) + 4 > most:
                break
            pieces += (LENGTH.pack(len(record)), record)
            size += len(record) + 4
        return 200, POSITIONS.pack(len(kept), 0) + b"".join(pieces)

    def _newest(self, where, query):
        rows = {}
        for offset, record in enumerate(self.records[where]):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            rows.pop(key, None)
            if value:
                told = base64.b64encode(value).decode()
                rows[key] = {"key": key, "value": told, "offset": offset}
        left = [rows[key] for key in sorted(rows) if key > query.get("after", "")]
        answer = {"items": left[:500], "has_more": len(left) > 500, "end": len(self.records[where])}
        return 200, json.dumps(answer).encode()


class Sampler(Server):
    """A plain service's sampler, or a model sampler where `model` is given."""

    def __init__(self, service, name, zone="levis", model="", slots=6, work_s=0.03, events=5):
        super().__init__()
        self.service, self.name, self.zone, self.model, self.slots = (
            service,
            name,
            zone,
            model,
            slots,
        )
        self.work_s, self.events = work_s, events
        # Runs of a model sampler differ in speed by this share, up or down.
        self.spread = 0.0
        self.version, self.seq, self.fence, self.beats = 1, 0, 0, 0
        self.turns = asyncio.Semaphore(slots)
        # While it is dark, it neither answers nor closes; what came meanwhile is lost.
        self.dark = False
        self.note = lambda text: None
        self.waiting = 0
        self.began, self.ended, self.arrived = {}, {}, []
        self.answer_body = lambda path, body: b"x" * 800
        self.event_data = lambda name, number: f"{name}.{number}"
        self.never = lambda path: False
        self.refused = defaultdict(list)

    def entry(self, state="ready"):
        """Return what the sampler writes to the store of itself."""
        self.beats += 1
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        told = {"service": self.service, "address": self.address, "zone": self.zone}
        told |= {"version": "1", "slots": self.slots, "state": state, "cold_left_ms": 0}
        return told | {"seq": self.beats} | ({"models": models} if self.model else {})

    async def answer(self, method, target, headers, body, reader, writer):
        """Answer one request; return whether the channel goes on."""
        own = [("Attempt-Id", headers["attempt-id"])] if "attempt-id" in headers else []
        if self.dark:
            self.arrived.append((time.monotonic(), headers.get("attempt-id", "")))
            while self.dark:  # noqa: ASYNC110 - cases set it
                await asyncio.sleep(0.05)
            return False
        if headers.get("target-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 X", own))
        elif target == "/api/report":
            report = {"stage": "hybrid", "busy": False, "seq": self.seq, "running": 0, "waiting": 0}
            report["models"] = [{"name": self.model, "version": self.version, "adapters": []}]
            writer.write(message("HTTP/1.1 200 X", own, json.dumps(report).encode()))
        elif target == "/api/order":
            writer.write(message(f"HTTP/1.1 {self._order(json.loads(body))} X", own))
        elif self.waiting >= 4 * self.slots:
            writer.write(message("HTTP/1.1 503 X", [*own, ("Not-Run", "1")]))
        else:
            return await self._run(target, headers, body, own, reader, writer)
        await writer.drain()
        return True

    def _order(self, order):
        if order["fencing_token"] < self.fence:
            return 412
        if order.get("precondition", self.seq) != self.seq:
            return 409
        if order["version"] == self.version:
            return 200
        self.fence, self.version, self.seq = order["fencing_token"], order["version"], self.seq + 1
        return 202

    async def _run(self, target, headers, body, own, reader, writer):
        name = headers.get("attempt-id", "")
        self.arrived.append((time.monotonic(), name))
        self.waiting += 1
        work = asyncio.ensure_future(self._work(name, target, headers, body, own, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
            gone.cancel()
            if work.done():
                work.result()
                return not gone.done()
            return False
        finally:
            self.waiting -= 1
            work.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)

    async def _work(self, name, target, headers, body, own, writer):
        async with self.turns:
            self.began.setdefault(name, time.monotonic())
            self.note(f"{self.name} runs {name}")
            own = [*own, ("Response-Seal", f"seal.{name}")]
            if self.never(target):
                self.refused[name].append(time.monotonic())
                writer.write(message("HTTP/1.1 422 X", own))
                await writer.drain()
            elif not self.model:
                await asyncio.sleep(self.work_s)
                writer.write(message("HTTP/1.1 200 X", own, self.answer_body(target, body)))
                await writer.drain()
            else:
                head = ["HTTP/1.1 200 X", "Content-Type: text/event-stream"]
                head += [f"{key}: {value}" for key, value in own]
                head += [f"Weight-Versions: {self.version}", "Transfer-Encoding: chunked"]
                writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
                pause = self.work_s * random.uniform(1 - self.spread, 1 + self.spread)
                for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
                    await asyncio.sleep(pause)
                    event = f"id: {number}\ndata: {self.event_data(name, number)}\n\n".encode()
                    writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self.ended.setdefault(name, time.monotonic())


class Gateway:
    """A gateway's process, started again after each end, as the platform does."""

    def __init__(self, name, zone, store, folder, seeds, record):
        self.name, self.zone, self.store, self.folder = name, zone, store, folder
        self.front, self.ready, self.control = free_ports(3)
        self.seeds, self.record = seeds, record
        self.process = None
        self.kills, self.ends, self.peak = 0, 0, 0
        self.up = True

    def write_settings(self):
        """Fill in deploy/gateway.yaml as the platform would for a small deployment."""
        text = (ROOT / "deploy" / "gateway.yaml").read_text()
        values = {
            "node_name|json": json.dumps(self.name),
            "zone|json": json.dumps(self.zone),
            "platform.address|json": json.dumps(self.store.address),
            "listen.front|json": json.dumps(f"{HOST}:{self.front}"),
            "listen.ready|json": json.dumps(f"{HOST}:{self.ready}"),
            "listen.control|json": json.dumps(f"{HOST}:{self.control}"),
            "seeds|json": json.dumps(self.seeds),
            "platform.parts": "8",
            "platform.reads_per_s": "2000",
            "bounds.lease_ms": "3000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.drain_ms": "2000",
        }
        absent = ("bounds.revoke_strict", "cloud.address", "bounds.usage_window_s")
        for name in absent:
            start, end = "{{#" + name + "}}", "{{/" + name + "}}"
            while start in text:
                before, _, rest = text.partition(start)
                text = before + rest.partition(end)[2]
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        lines = []
        for line in text.split("\n"):
            left = line
            while "{{" in left:
                before, _, rest = left.partition("{{")
                left = before + rest.partition("}}")[2]
            lines.append(left)
        self.path = Path(self.folder) / f"{self.name}.yaml"
        self.path.write_text("\n".join(lines))

    def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log = (Path(self.folder) / f"{self.name}.log").open("ab")
        command = ["python3", "-m", "cranberryline", "gateway", str(self.path)]
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )

    def memory_mb(self):
        """Return the anonymous memory that the process holds; files that it maps aren't counted."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.split("\n"):
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def keep_running(self, memory_mb=None):
        """Start the process again after each end; kill it where it exceeds the memory it may have."""
        while self.up:
            await asyncio.sleep(0.02)
            held = self.memory_mb()
            self.peak = max(self.peak, held)
            if memory_mb is not None and held > memory_mb and self.process.poll() is None:
                self.kills += 1
                self.record(f"{self.name} holds {held:.0f} MB, over {memory_mb} MB: killed")
                self.process.kill()
            if self.process.poll() is not None and self.up:
                self.ends += 1
                self.record(f"{self.name} has ended with {self.process.returncode}; started again")
                self.process.wait()
                await asyncio.sleep(0.3)
                if self.up:
                    self.start()

    def signal(self, number):
        """Send a signal to the process."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def stop(self):
        """End the process for good."""
        self.up = False
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Channel:
    """A client's channel to a gateway."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None
        self.answered = 0

    async def open(self, receive_bytes=None):
        """Connect; `receive_bytes` is the size of the client's own buffer."""
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        await asyncio.wait_for(
            asyncio.get_running_loop().sock_connect(sock, (HOST, self.port)), 1.0
        )
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=receive_bytes or 1 << 20
        )

    async def send(self, method, path, headers, body=b""):
        """Send a request."""
        self.writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
        await self.writer.drain()

    async def receive(self):
        """Return status, headers and body of an answer; None where the channel ended before its end."""
        try:
            head = await read_head(self.reader)
            if head is None:
                return None
            (_, status, *_), headers = head
            body = await read_body(self.reader, headers)
        except (ConnectionError, asyncio.IncompleteReadError):
            return None
        self.answered += 1
        return int(status), headers, body

    def close(self):
        """Let go."""
        if self.writer is not None:
            self.writer.close()


async def call(port, method, path, headers, body=b"", seconds=10.0):
    """Make one call on a new channel; return status, headers and body, or None."""
    channel = Channel(port)
    try:
        async with asyncio.timeout(seconds):
            await channel.open()
            await channel.send(method, path, headers, body)
            return await channel.receive()
    except (OSError, TimeoutError):
        return None
    finally:
        channel.close()


def new_id():
    """Return an id as clients make them."""
    return f"{random.getrandbits(64):016x}"


class World:
    """A small deployment."""

    def __init__(self, folder, gateways=3, zones=("levis", "sainte-foy", "charlesbourg")):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.samplers = []
        self.gateways = []
        self.count, self.zones = gateways, zones
        self.tasks = []

    async def start(self, config, samplers, memory_mb=None):
        """Start the store, the samplers and the gateways, and wait until all gateways are ready."""
        await self.store.start()
        self.samplers = samplers
        for sampler in samplers:
            sampler.note = self.record.note
            await sampler.start()
        for number in range(self.count):
            zone = self.zones[number % len(self.zones)]
            name = f"front-{zone}-{number // len(self.zones) + 1}"
            self.gateways.append(Gateway(name, zone, self.store, self.folder, [], self.record))
        seeds = [f"{HOST}:{each.control}" for each in self.gateways[:3]]
        self.store.put("keyed.op", "config", config)
        for sampler in samplers:
            self.store.put("keyed.servers", sampler.name, sampler.entry())
        for gateway in self.gateways:
            gateway.seeds = seeds
            gateway.start()
        self.tasks.append(asyncio.ensure_future(self._beat()))
        self.tasks += [
            asyncio.ensure_future(each.keep_running(memory_mb)) for each in self.gateways
        ]
        until = time.monotonic() + 20
        for gateway in self.gateways:
            while not await self.ready(gateway):
                if time.monotonic() > until:
                    raise TimeoutError(f"{gateway.name} isn't ready")
                await asyncio.sleep(0.2)
        self.record(f"{len(self.gateways)} gateways are ready")

    async def ready(self, gateway):
        """Ask a gateway's ready address, as the platform does."""
        answer = await call(gateway.ready, "GET", "/api/ready", [("Host", "x")], seconds=1.0)
        return answer is not None and answer[0] == 200

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            for sampler in self.samplers:
                if not sampler.dark:
                    self.store.put("keyed.servers", sampler.name, sampler.entry())

    def stop(self):
        """End all processes that were started, and remove the temporary folder."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder, gateways=3):
    """Run a case, which returns whether the rule held; exit 0 if so, 1 if not, 2 if it couldn't run."""
    world = World(folder, gateways)

    async def play():
        code = 2
        try:
            held = await asyncio.wait_for(case(world), 112)
            world.record("the rule held" if held else "the rule was broken")
            code = 0 if held else 1
        except Exception as exc:  # noqa: BLE001 - whatever it is, the case couldn't run
            world.record(f"couldn't run: {exc!r}")
        finally:
            world.stop()
            # Channels that are still open would be ended one by one, each with a line.
            os._exit(code)

    asyncio.run(play())


__all__ = [
    "Channel",
    "Gateway",
    "Sampler",
    "World",
    "call",
    "new_id",
    "read_body",
    "read_head",
    "run",
]

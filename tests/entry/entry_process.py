"""Runs complete entries in the test's event loop, with fakes of the platform and the upstreams."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import attrs
import pytest
from result import Ok, Result

from cranberryline.dispatch import direct
from cranberryline.entry import app as entry_app
from cranberryline.entry.app import EntryProcess
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.tokens import Identity, Role, TokenTable
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import (
    UpstreamBody,
    UpstreamRequest,
    VmEntry,
    VmList,
    VmListPort,
    VmRole,
    VmState,
)
from cranberryline.settings import EntrySettings
from stand_ins.process import free_ports
from tests.configs.config_fakes import FakeLog
from tests.execution.conftest import FakeUpstream

SERVICE = "dossiers"
ENGINES = "redacteurs"
TRAINER = "correcteur"
OPERATOR_TOKEN = "an-operator-s-token"
TRAINER_TOKEN = "a-trainer-s-token"
_TOKENS = TokenTable.of(
    [
        (OPERATOR_TOKEN, Identity("operatrice", Role.OPERATOR)),
        (TRAINER_TOKEN, Identity(TRAINER, Role.TRAINER)),
    ]
)
_SETTLE_TIMEOUT_S = 10.0


class SlowUpstream(FakeUpstream):
    """An upstream that responds after a delay and records the requests it has received."""

    delay_s = 0.0

    @property
    def paths(self) -> list[str]:
        """Return the paths of the received requests."""
        return [run.path for run in self.runs]

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Record the request, and respond after the delay."""
        result = await super().async_send(req, timeout)
        await asyncio.sleep(self.delay_s)
        return result


class SlowLog(FakeLog):
    """A log whose appends are confirmed after a delay."""

    append_delay_s = 0.0

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Append, and confirm after the delay."""
        result = await super().async_append(stream, records)
        await asyncio.sleep(self.append_delay_s)
        return result


class _FixedVmList(VmListPort):
    """A VM list that never changes."""

    def __init__(self, vms: list[VmEntry]) -> None:
        self._vms = tuple(vms)

    async def async_list(
        self, known_version: int = 0, wait: timedelta = timedelta()
    ) -> Result[VmList | None, PlatformError]:
        """Return the list once, then wait for the requested time without a change."""
        if known_version:
            await asyncio.sleep(wait.total_seconds())
            return Ok(None)
        return Ok(VmList(1, self._vms))


@attrs.define
class Caller:
    """A caller with its own connection to an entry."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def async_connect(cls, entry: "Entry", limit: int = 2**16) -> "Caller":
        """Open a connection to an entry."""
        host, _, port = entry.cfg.listen.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=limit))

    def send(self, path: str, method: str = "GET", token: str = "", body: Any = None) -> None:
        """Send a complete request."""
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Content-Length: {len(data)}"]
        if token:
            lines.append(f"Authorization: Bearer {token}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + data)

    async def async_read_response(self) -> tuple[int, bytes] | None:
        """Return the status and body, or None if the response ended prematurely."""
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
            if "transfer-encoding: chunked" in head:
                return int(head[0].split()[1]), await self._async_read_chunked_body()
            (length,) = (int(ln.split(":")[1]) for ln in head if ln.startswith("content-length:"))
            return int(head[0].split()[1]), await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    async def async_call(self, path: str, **request: Any) -> tuple[int, bytes] | None:
        """Send a request and return its response."""
        self.send(path, **request)
        return await self.async_read_response()

    async def _async_read_chunked_body(self) -> bytes:
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return body


@attrs.define
class Entry:
    """A running entry and its settings."""

    cfg: EntrySettings
    process: EntryProcess

    async def async_terminate(self) -> None:
        """Close all sockets as the end of the process does, even with unsent data."""
        await self.process.async_close()
        server = self.process._http
        if server is not None:
            server.stop()
            await server.close_all_connections()


@attrs.define
class EntryCluster:
    """Entries that are connected to each other, a log, and one upstream per service."""

    log: SlowLog
    entries: list[Entry]
    upstreams: dict[str, SlowUpstream]

    @property
    def service(self) -> SlowUpstream:
        """Return the upstream of the plain service."""
        return self.upstreams[SERVICE]


async def async_until(condition: Callable[[], Any]) -> None:
    """Wait until the condition is true; raise TimeoutError after `_SETTLE_TIMEOUT_S` seconds."""
    async with asyncio.timeout(_SETTLE_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110 - fakes have no event to wait for
            await asyncio.sleep(0.001)


def _put_records(log: FakeLog) -> None:
    records = [
        ("service", SERVICE, {"type": "plain", "concurrency": 32}),
        ("service", ENGINES, {"type": "engine", "model": "m", "concurrency": 32}),
        ("weights", ENGINES, {"version": 1}),
        ("trainer", TRAINER, {"service": ENGINES, "staleness_bound": 2, "max_in_flight": 4}),
    ]
    for kind, name, spec in records:
        log.put({"kind": kind, "name": name, "schema": 1, "amends": 0, "spec": spec})


def _url(service: str) -> str:
    return f"http://{service}"


def _settings(vm_id: str, stop_timeout: timedelta) -> EntrySettings:
    listen, peer = free_ports(2)
    return EntrySettings(
        vm_id=vm_id,
        data_center="levis",
        log_url="http://127.0.0.1:1",
        vm_list_url="http://127.0.0.1:1",
        listen=f"127.0.0.1:{listen}",
        peer=f"tcp://127.0.0.1:{peer}",
        stop_timeout=stop_timeout,
    )


@asynccontextmanager
async def async_start_cluster(
    monkeypatch: pytest.MonkeyPatch,
    entries: int = 1,
    stop_timeout: timedelta = timedelta(seconds=30),
) -> AsyncIterator[EntryCluster]:
    """Start entries whose upstreams have no side process.

    On a shutdown they do not wait for the load balancer to notice it.
    """
    cfgs = [_settings(f"entry-{n}", stop_timeout) for n in range(1, entries + 1)]
    vms = [VmEntry(cfg.vm_id, VmRole.ENTRY, VmState.LIVE, "levis", cfg.peer) for cfg in cfgs]
    upstreams = {}
    for service in (SERVICE, ENGINES):
        upstreams[service] = SlowUpstream()
        row = (f"{service}-1", VmRole.UPSTREAM, VmState.LIVE, "levis", "", _url(service), service)
        vms.append(VmEntry(*row))
    log = SlowLog()
    _put_records(log)
    monkeypatch.setattr(entry_app, "_LOAD_BALANCER_DELAY", timedelta())
    monkeypatch.setattr(entry_app, "HttpLog", lambda _: log)
    monkeypatch.setattr(entry_app, "HttpVmList", lambda _: _FixedVmList(vms))
    by_url = {_url(service): upstream for service, upstream in upstreams.items()}
    monkeypatch.setattr(direct, "HttpPlainService", by_url.__getitem__)
    running = [Entry(cfg, EntryProcess(cfg, _TOKENS, SystemClock())) for cfg in cfgs]
    for entry in running:
        entry.process.start()
    for entry in running:
        await async_until(
            lambda process=entry.process: process.ready and process.table.usable(SERVICE)
        )
    try:
        yield EntryCluster(log, running, upstreams)
    finally:
        for entry in running:
            await entry.async_terminate()

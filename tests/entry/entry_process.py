"""A whole entry in the test's own loop, over fakes of the platform and of its upstreams."""

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
_SETTLE_S = 10.0


class SlowUpstream(FakeUpstream):
    """An upstream that takes a while over each run, and notes the paths that it ran."""

    delay_s = 0.0

    @property
    def paths(self) -> list[str]:
        """Return what was run."""
        return [run.path for run in self.runs]

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Note the run, and answer after the delay."""
        sent = await super().async_send(req, timeout)
        await asyncio.sleep(self.delay_s)
        return sent


class SlowLog(FakeLog):
    """A log whose appends can be made to take a while."""

    append_s = 0.0

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Append, and answer after the delay."""
        appended = await super().async_append(stream, records)
        await asyncio.sleep(self.append_s)
        return appended


class _FixedList(VmListPort):
    """A VM list that never changes."""

    def __init__(self, vms: list[VmEntry]) -> None:
        self._vms = tuple(vms)

    async def async_list(
        self, known_version: int = 0, wait: timedelta = timedelta()
    ) -> Result[VmList | None, PlatformError]:
        """Return the list once, then wait as told."""
        if known_version:
            await asyncio.sleep(wait.total_seconds())
            return Ok(None)
        return Ok(VmList(1, self._vms))


@attrs.define
class Caller:
    """A caller with a connection of its own."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def async_dial(cls, entry: "Entry", limit: int = 2**16) -> "Caller":
        """Open a connection to an entry."""
        host, _, port = entry.cfg.listen.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=limit))

    def send(self, path: str, method: str = "GET", token: str = "", body: Any = None) -> None:
        """Send a whole request."""
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Content-Length: {len(data)}"]
        if token:
            lines.append(f"Authorization: Bearer {token}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + data)

    async def async_answer(self) -> tuple[int, bytes] | None:
        """Return status and body, or None when the connection ended before the answer was whole."""
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
            if "transfer-encoding: chunked" in head:
                return int(head[0].split()[1]), await self._async_chunks()
            (length,) = (int(ln.split(":")[1]) for ln in head if ln.startswith("content-length:"))
            return int(head[0].split()[1]), await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    async def async_call(self, path: str, **request: Any) -> tuple[int, bytes] | None:
        """Send a request and return its answer."""
        self.send(path, **request)
        return await self.async_answer()

    async def _async_chunks(self) -> bytes:
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return body


@attrs.define
class Entry:
    """An entry and its settings."""

    cfg: EntrySettings
    process: EntryProcess

    async def async_end(self) -> None:
        """End as a process does: its sockets close, whatever they still had."""
        await self.process.async_close()
        server = self.process._http
        if server is not None:
            server.stop()
            await server.close_all_connections()


@attrs.define
class Stage:
    """Entries that know each other, a log, and an upstream for each service."""

    log: SlowLog
    entries: list[Entry]
    upstreams: dict[str, SlowUpstream]

    @property
    def service(self) -> SlowUpstream:
        """Return the upstream of the plain service."""
        return self.upstreams[SERVICE]


async def async_until(condition: Callable[[], Any]) -> None:
    """Wait until something is so."""
    async with asyncio.timeout(_SETTLE_S):
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
async def async_stage(
    monkeypatch: pytest.MonkeyPatch,
    entries: int = 1,
    stop_timeout: timedelta = timedelta(seconds=30),
) -> AsyncIterator[Stage]:
    """Start entries whose upstreams have no side process; the balancer's notice is left out."""
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
    monkeypatch.setattr(entry_app, "HttpVmList", lambda _: _FixedList(vms))
    by_url = {_url(service): upstream for service, upstream in upstreams.items()}
    monkeypatch.setattr(direct, "HttpPlainService", by_url.__getitem__)
    started = [Entry(cfg, EntryProcess(cfg, _TOKENS, SystemClock())) for cfg in cfgs]
    for entry in started:
        entry.process.start()
    for entry in started:
        await async_until(lambda ready=entry.process: ready.ready and ready.table.usable(SERVICE))
    try:
        yield Stage(log, started, upstreams)
    finally:
        for entry in started:
            await entry.async_end()

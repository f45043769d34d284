"""Test harness that runs items on fake engines through a gateway's directory, in virtual time."""

import asyncio
from collections.abc import AsyncIterator, Collection
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import attrs
from result import Ok, Result

from cranberryline.dispatch.direct import DirectUpstreams
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.gateway.links import DirectLinks
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs.book import JobState
from cranberryline.jobs.item import ItemRun
from cranberryline.jobs.item_context import ItemContext
from cranberryline.jobs.model import Item, ItemResult, ItemState, Job
from cranberryline.jobs.ports import AnswerHead
from cranberryline.jobs.scoring import ScoringSlots
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import (
    PlainServicePort,
    UpstreamBody,
    UpstreamHead,
    UpstreamRequest,
    VmEntry,
)
from cranberryline.routes import ActiveRoutes
from cranberryline.upstreams.directory import Directory, Registration
from tests.jobs.gateway_fake import make_routes
from tests.virtual_time import LoopClock

MODEL = "m"
EVENTS = 4
FIRST = Registration("e-1", "engines", "10.0.0.1:80", "levis", 4, False, {MODEL: 1}, 100)


@attrs.define
class FakeEngine(PlainServicePort):
    """One start of an engine.

    It generates `events` events at an interval of `event_s` seconds, which a test may change during
    a request. After the event `stop_at` it is silent for `silent_s` seconds. `requests` has the
    time of each request and the event after which it resumed; `closed` counts closed responses.
    """

    version: int = 1
    stop_at: int = 10_000
    silent_s: float = 60.0
    event_s: float = 0.02
    events: int = EVENTS
    requests: list[tuple[float, int]] = attrs.field(factory=list)
    closed: int = 0

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Answer with the events after the requested one."""
        last_event = int(dict(req.headers).get("last", "0"))
        self.requests.append((asyncio.get_running_loop().time(), last_event))
        await asyncio.sleep(0.01)
        return Ok(_EventBody(self, last_event))


class _EventBody(UpstreamBody):
    def __init__(self, engine: FakeEngine, last_event: int) -> None:
        self._engine = engine
        self._last_event = last_event

    @property
    def head(self) -> UpstreamHead:
        """Return the version that the text starts with; there is none if no events are left."""
        if self._last_event >= self._engine.events:
            return UpstreamHead(200, ())
        return UpstreamHead(200, (("version", str(self._engine.version)),))

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the events after the requested one."""
        for number in range(self._last_event + 1, self._engine.events + 1):
            delay = self._engine.event_s
            if number == self._engine.stop_at + 1:
                delay = self._engine.silent_s
            await asyncio.sleep(delay)
            yield f"id: {number}\ndata: v{self._engine.version}.{number}\n\n".encode()

        if self._engine.stop_at == self._engine.events > self._last_event:
            await asyncio.sleep(self._engine.silent_s)

    async def async_close(self) -> None:
        """Count closed responses."""
        self._engine.closed += 1


class EngineHarness:
    """A gateway's directory and dispatcher with connections to fake engines, for running items."""

    def __init__(self) -> None:
        clock, metrics = LoopClock(), Metrics()
        self.engines: dict[str, FakeEngine] = {}
        self.directory = Directory(clock, StoreHealth(clock))
        table = UpstreamTable(self.directory.served_versions)
        self.directory.listen_versions(table.versions_changed)
        routes = ActiveRoutes()
        directs = DirectUpstreams(
            clock,
            metrics,
            cast(Any, None),
            "life-1",
            iter(range(1, 10_000)).__next__,
            lambda _service: None,
            self._wake,
            self._connect,
        )
        self.dispatcher = Dispatcher(clock, Random(1), table, routes, metrics, "levis")
        links = DirectLinks(table, directs)

        def on_members(changed: Collection[str]) -> None:
            links.apply(self.directory.membership, changed)
            self._wake()

        self.directory.membership.listen(on_members)
        self.directory.listen_superseded(directs.abort_requests)
        self.directory.listen(lambda row: routes.set_slots(row.service, row.slots))
        self.context = ItemContext(
            cast(Any, make_routes()),
            self.dispatcher,
            cast(Any, _edge()),
            self.directory,
            clock,
            metrics,
            Random(1),
            ScoringSlots(self.dispatcher.total_slots),
            lambda *_: None,
            cast(Any, SimpleNamespace(is_fresh=lambda _job: True, age=lambda _job: timedelta())),
        )

    def add(self, row: Registration, **engine: Any) -> FakeEngine:
        """Register a new start of an engine."""
        fake_engine = self.engines[row.key] = FakeEngine(
            version=row.versions.get(MODEL, 1), **engine
        )
        self.directory.put(row).unwrap()
        return fake_engine

    def _wake(self) -> None:
        self.dispatcher.wake()

    def _connect(self, row: VmEntry) -> PlainServicePort:
        return self.engines[row.id]

    async def async_run_item(
        self, min_version: int = 1, name: str = "item-1", told_tokens: int = 0
    ) -> ItemResult:
        """Run an item until it is completed, and return its result."""
        result = await self.make_run(min_version, name, told_tokens).async_run()
        assert result is not None and result.state is ItemState.COMPLETED
        return result

    def make_run(self, min_version: int = 1, name: str = "item-1", told_tokens: int = 0) -> ItemRun:
        """Return the run of an item that is the only one of its job."""
        item = Item(name, "/p/x", (), b"b", 10, "g0", told_tokens=told_tokens)
        job = Job("j1", "h.example", "/p/1", (item,), 0.0, MODEL, 1, min_version, 1)
        return ItemRun(self.context, JobState.from_job(job, timedelta()), 0)


def _answer_head(headers: tuple[tuple[str, str], ...]) -> AnswerHead:
    version = dict(headers).get("version")
    return AnswerHead("", None if version is None else int(version))


def _edge() -> SimpleNamespace:
    def headers(_job: Job, _item: Item, last_event: int | None) -> tuple[tuple[str, str], ...]:
        return () if last_event is None else (("last", str(last_event)),)

    return SimpleNamespace(
        version_field="version",
        item_headers=headers,
        answer_head=_answer_head,
    )


def make_next_start(row: Registration, **change: Any) -> Registration:
    """Return the registration of an engine after a restart."""
    return attrs.evolve(row, born=row.born + 100, **change)

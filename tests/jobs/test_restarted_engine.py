"""An item at an engine that starts again under its id, in the middle of the item's text.

The machine lost power: the connection to its former start stays open and says nothing, or says
something late. The trainer sees a text that stands still until a time limit, a text with a hole or with an
event twice, or one made by a version that the engine no longer has. Decided with the engine's next
entry, the item goes on behind its last whole event, here or elsewhere.
"""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import attrs
from result import Ok, Result

from cranberryline.entry.direct import DirectUpstreams
from cranberryline.entry.dispatch import Dispatcher
from cranberryline.entry.upstreams import PeerTable
from cranberryline.gateway.links import DirectLinks
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs.book import JobState
from cranberryline.jobs.item import ItemRun, ItemTools
from cranberryline.jobs.model import Item, ItemResult, ItemState, Job
from cranberryline.jobs.scoring import ScoringPlaces
from cranberryline.ports.edge import AnswerHead
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import (
    PlainServicePort,
    UpstreamBody,
    UpstreamHead,
    UpstreamRequest,
    VmEntry,
)
from cranberryline.routes import RouteBook
from cranberryline.upstreams.directory import Directory, Registration
from tests.virtual_time import LoopClock, run_virtual

MODEL = "m"
EVENTS = 4
FIRST = Registration("e-1", "engines", "10.0.0.1:80", "levis", 4, False, {MODEL: 1}, 100)


@attrs.define
class _Engine(PlainServicePort):
    """One start of an engine; it falls silent for `silent_s` behind the event `stop_at`."""

    version: int = 1
    stop_at: int = EVENTS
    silent_s: float = 60.0
    asked: list[tuple[float, int]] = attrs.field(factory=list)
    closed: int = 0

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Answer with the events behind the one that was asked for."""
        last = int(dict(req.headers).get("last", "0"))
        self.asked.append((asyncio.get_running_loop().time(), last))
        await asyncio.sleep(0.01)
        return Ok(_Text(self, last))


class _Text(UpstreamBody):
    def __init__(self, engine: _Engine, last: int) -> None:
        self._engine = engine
        self._last = last

    @property
    def head(self) -> UpstreamHead:
        """Return the version that the text begins with."""
        return UpstreamHead(200, (("version", str(self._engine.version)),))

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield an event every 20 ms."""
        for number in range(self._last + 1, EVENTS + 1):
            silent = self._engine.silent_s if number == self._engine.stop_at + 1 else 0.02
            await asyncio.sleep(silent)
            yield f"id: {number}\ndata: v{self._engine.version}.{number}\n\n".encode()

    async def async_close(self) -> None:
        """Count what was let go of."""
        self._engine.closed += 1


class Scene:
    """A gateway's directory, its ways to engines and an item's run."""

    def __init__(self) -> None:
        clock, metrics, table = LoopClock(), Metrics(), PeerTable()
        self.engines: dict[str, _Engine] = {}
        self.directory = Directory(clock, StoreHealth(clock))
        routes = RouteBook()
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

        def on_members() -> None:
            links.apply(self.directory.membership)
            self._wake()

        self.directory.membership.listen(on_members)
        self.directory.listen_over(directs.end)
        self.directory.listen(lambda row: routes.set_slots(row.service, row.slots))
        self.tools = ItemTools(
            cast(Any, _routes()),
            self.dispatcher,
            cast(Any, _edge()),
            self.directory,
            clock,
            metrics,
            Random(1),
            ScoringPlaces(self.dispatcher.places),
            lambda _item: None,
            cast(Any, SimpleNamespace(suffices=lambda _job: True, age=lambda _job: timedelta())),
        )

    def add(self, row: Registration, **engine: Any) -> _Engine:
        """Let a start of an engine register."""
        made = self.engines[row.key] = _Engine(version=row.versions.get(MODEL, 1), **engine)
        self.directory.put(row).unwrap()
        return made

    def _wake(self) -> None:
        self.dispatcher.wake()

    def _connect(self, row: VmEntry) -> PlainServicePort:
        return self.engines[row.id]

    async def async_item(self, min_version: int = 1) -> ItemResult:
        """Run an item to its end."""
        item = Item("item-1", "/p/x", (), b"b", 10, "g0")
        job = Job("j1", "h.example", "/p/1", (item,), 0.0, MODEL, 1, min_version, 1)
        state = JobState(job, timedelta())
        result = await ItemRun(self.tools, state, 0).async_run()
        assert result is not None and result.state is ItemState.COMPLETED
        return result


def _routes() -> SimpleNamespace:
    route = SimpleNamespace(
        single_version=False,
        max_wait=None,
        max_attempts=3,
        goal=timedelta(seconds=1),
        choose_service=lambda _rng: "engines",
    )
    return SimpleNamespace(table=SimpleNamespace(match=lambda _host, _path: route))


def _edge() -> SimpleNamespace:
    def headers(_job: Job, _item: Item, last: int | None) -> tuple[tuple[str, str], ...]:
        return () if last is None else (("last", str(last)),)

    return SimpleNamespace(
        version_field="version",
        item_headers=headers,
        answer_head=lambda headers: AnswerHead("", int(dict(headers)["version"])),
    )


def _next(row: Registration, **change: Any) -> Registration:
    return attrs.evolve(row, born=row.born + 100, **change)


def test_the_item_goes_on_elsewhere_at_once_behind_its_last_event() -> None:
    """The engine's next start drains already, so it is not the one; another has room."""

    async def scene() -> None:
        made = Scene()
        former = made.add(FIRST, stop_at=2)
        asked = asyncio.ensure_future(made.async_item())
        await asyncio.sleep(0.3)
        other = made.add(attrs.evolve(FIRST, id="e-2"))
        made.add(_next(FIRST, draining=True))
        result = await asked
        assert result.text == "v1.1\nv1.2\nv1.3\nv1.4"
        ((at, last),) = other.asked
        assert last == 2 and at < 0.5
        assert (len(former.asked), former.closed > 0) == (1, True)

    run_virtual(scene())


def test_the_item_goes_on_at_the_new_start_which_owes_nothing_for_the_former_one() -> None:
    """It is the only engine. Neither the item's avoidance of the former start nor a rest holds it up."""

    async def scene() -> None:
        made = Scene()
        made.add(FIRST, stop_at=2)
        asked = asyncio.ensure_future(made.async_item())
        await asyncio.sleep(0.3)
        made.tools.turned_away.note(FIRST.key, made.tools.clock.monotonic())
        again = made.add(_next(FIRST))
        result = await asked
        assert result.text == "v1.1\nv1.2\nv1.3\nv1.4"
        ((at, last),) = again.asked
        assert last == 2 and at < 0.5

    run_virtual(scene())


def test_what_the_former_start_says_late_is_in_no_text() -> None:
    """Its next events come half a second after the new start's entry, in the middle of the new run."""

    async def scene() -> None:
        made = Scene()
        made.add(FIRST, stop_at=2, silent_s=0.33)
        asked = asyncio.ensure_future(made.async_item())
        await asyncio.sleep(0.3)
        made.add(_next(FIRST, versions={MODEL: 2}))
        result = await asked
        assert result.text == "v1.1\nv1.2\nv2.3\nv2.4" and result.versions == (1, 2)

    run_virtual(scene())


def test_an_engine_that_lost_its_version_gets_no_item_that_needs_it() -> None:
    """An answer had told version 3; the next start has 1, and the job allows nothing below 2."""

    async def scene() -> None:
        made = Scene()
        made.add(FIRST)
        made.directory.learn(FIRST.key, MODEL, 3)
        again = made.add(_next(FIRST))
        asked = asyncio.ensure_future(made.async_item(min_version=2))
        await asyncio.sleep(1)
        assert again.asked == [] and not asked.done()
        made.add(attrs.evolve(FIRST, id="e-2", versions={MODEL: 2}))
        assert (await asked).versions == (2,)

    run_virtual(scene())


def test_nothing_is_remembered_for_ever_of_starts_that_are_over() -> None:
    """A gateway runs for months, and engines start again: when one was last heard says nothing then."""

    async def scene() -> None:
        made = Scene()
        for number in range(11_000):
            made.tools.heard[f"e-{number}@1"] = timedelta()
        await asyncio.sleep(30)
        made.add(FIRST)
        await made.async_item()
        assert set(made.tools.heard) == {FIRST.key}

    run_virtual(scene())

"""Texts that engines answer with errors, reject in turn, or that can't be sent where granted."""

import asyncio
import itertools
from datetime import timedelta
from typing import Any, cast

import attrs
import pytest
from result import Err, Ok

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.jobs.model import ItemState
from cranberryline.jobs.text_slot import TextSlot
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import UpstreamHead
from cranberryline.slots import SlotGrant, SlotNeed
from tests.jobs.engine_harness import FIRST, MODEL, EngineHarness
from tests.jobs.slots_fake import FakeGrant, FakeSlots
from tests.virtual_time import run_virtual

NAMES = ("e-1", "e-2", "e-3")
KEYS = tuple(f"{name}@100" for name in NAMES)


class _KeeperThatAvoids(FakeSlots):
    """Grants the first upstream that a text need not avoid, else the first."""

    async def async_acquire(self, need: SlotNeed) -> SlotGrant | None:
        """Grant a slot at once."""
        self.asked.append(need)
        choice = [upstream for upstream in self.upstreams if upstream not in need.avoid]
        return FakeGrant(self, (choice or self.upstreams)[0])


class _Scene(EngineHarness):
    def __init__(self, slots: FakeSlots) -> None:
        super().__init__()
        self.context.slots = self.slots = slots
        self.started = [self.add(attrs.evolve(FIRST, id=name)) for name in NAMES]

    def answer_all(self, status: int) -> None:
        """Let all engines answer each text with a status."""

        async def async_send(*_args: Any) -> Any:
            await asyncio.sleep(0.01)
            return Ok(_Answer(status))

        for engine in self.started:
            cast(Any, engine).async_send = async_send

    def reject_all(self) -> None:
        """Let all engines reject each text."""

        async def async_send(*_args: Any) -> Any:
            await asyncio.sleep(0.01)
            return Err(PlatformError(PlatformReason.REFUSED, "full", 429, may_have_run=False))

        for engine in self.started:
            cast(Any, engine).async_send = async_send


class _Answer:
    def __init__(self, status: int) -> None:
        self.head = UpstreamHead(status, ())

    async def chunks(self) -> Any:
        """Yield a body that is no text."""
        yield b"{}"

    async def async_close(self) -> None:
        """Do nothing."""


async def _async_count_runs(scene: _Scene, seconds: float) -> int:
    """Return how many requests an item sends within a time."""
    run = scene.make_run()
    task = asyncio.ensure_future(run.async_run())
    await asyncio.sleep(seconds)
    assert not task.done()
    task.cancel()
    await asyncio.wait((task,))
    assert not scene.slots.held
    return run.runs


@pytest.mark.parametrize(("status", "end"), [(400, "done"), (404, "done"), (502, "failed")])
def test_error_of_the_request_does_not_fail_the_engine(status: int, end: str) -> None:
    """A bad item that every engine refuses to run would take them from all trainers."""

    async def scenario() -> None:
        scene = _Scene(FakeSlots.granting(KEYS * 200))
        scene.answer_all(status)
        task = asyncio.ensure_future(scene.make_run().async_run())
        await asyncio.sleep(4)
        task.cancel()
        await asyncio.wait((task,))
        # The last request may be cut while it runs.
        assert {ended for _, ended in scene.slots.ends[:-1]} == {end}
        assert not scene.slots.held

    run_virtual(scenario())


@pytest.mark.parametrize("status", [400, 502])
def test_item_that_every_engine_answers_with_an_error_is_sent_with_pauses(status: int) -> None:
    """Without a delay it would run through all engines again and again until its job ends."""

    async def scenario() -> None:
        scene = _Scene(FakeSlots.granting(KEYS * 200))
        scene.answer_all(status)
        assert 5 < await _async_count_runs(scene, 4) < 60

    run_virtual(scenario())


def test_item_that_every_engine_fails_is_sent_as_often_as_its_route_allows() -> None:
    """It must not be sent on and on, nor use up its attempts before engines can recover."""

    async def scenario() -> None:
        scene = _Scene(FakeSlots.granting(KEYS * 200))
        scene.answer_all(500)
        run = scene.make_run()
        result = await run.async_run()
        assert result is not None and result.state is ItemState.DEAD
        route = scene.context.routes.table.match("h.example", "/p/x")  # type: ignore[union-attr]
        assert route is not None and run.runs == route.max_attempts == len(scene.slots.ends)
        waits = [after - before for before, after in itertools.pairwise(scene.slots.asked_at)]
        assert min(waits) >= 0.03

    run_virtual(scenario())


def test_engines_that_reject_a_text_in_turn_are_asked_with_pauses() -> None:
    """Each of two engines is another one than the last; without a delay, they would spin."""

    async def scenario() -> None:
        scene = _Scene(FakeSlots.granting(KEYS[:2] * 400))
        scene.reject_all()
        assert 5 < await _async_count_runs(scene, 4) < 60

    run_virtual(scenario())


def test_upstream_that_gets_no_request_here_is_avoided_by_the_next_need() -> None:
    """Only this gateway knows of it; the keeper would grant it on and on, while others are free."""

    async def scenario() -> None:
        scene = _Scene(_KeeperThatAvoids(list(KEYS)))
        scene.directory.put(attrs.evolve(FIRST, id=NAMES[0], draining=True)).unwrap()
        async with asyncio.timeout(5):
            await scene.async_run_item()
        assert scene.slots.ends == [(KEYS[0], RunEnd.UNUSED), (KEYS[1], RunEnd.DONE)]

    run_virtual(scenario())


@pytest.mark.parametrize("cause", ["gone", "old", "other"])
def test_text_stays_if_it_cannot_go_on_where_it_should_move(cause: str) -> None:
    """It would lose its engine, or with an answer of one version all of its events, for nothing."""

    async def scenario() -> None:
        scene = _Scene(FakeSlots.granting(KEYS))
        scene.started[0].events, scene.started[0].event_s = 20, 0.1
        if cause == "gone":
            scene.directory.put(attrs.evolve(FIRST, id=NAMES[1], draining=True)).unwrap()
        if cause == "old":
            scene.directory.record_version(KEYS[1], MODEL, 0)
        if cause == "other":
            route = scene.context.routes.table.match("h.example", "/p/x")  # type: ignore[union-attr]
            cast(Any, route).single_version = True
            scene.directory.record_version(KEYS[1], MODEL, 2)
        offered: list[bool] = []
        loop = asyncio.get_running_loop()
        for at in (0.5, 1.5):
            loop.call_later(at, lambda: offered.append(scene.slots.asked[0].may_move()))
        loop.call_later(0.6, setattr, scene.slots, "move_to", KEYS[1])
        run = scene.make_run()
        result = await run.async_run()
        assert result is not None and result.text.count("v1.") == 20
        assert run.cuts == [] and run.runs == 1
        assert scene.slots.ends == [(KEYS[0], RunEnd.DONE)]
        assert offered[0] and not offered[-1]

    run_virtual(scenario())


def test_text_on_its_last_move_is_not_told_to_be_unmovable() -> None:
    """The keeper would withdraw the new slot while the request at the old one is being cancelled."""

    async def scenario() -> None:
        scene = _Scene(FakeSlots.granting(KEYS))
        need = SlotNeed("engines", MODEL, timedelta(), lambda: 1.0, lambda: 1.0)
        slot = TextSlot(scene.slots, need, scene.context.clock, scene.context.metrics)
        assert await slot.async_acquire(lambda: True)
        assert not scene.slots.asked[0].may_move()
        slot.moving = True
        assert scene.slots.asked[0].may_move()
        slot.release()

    run_virtual(scenario())

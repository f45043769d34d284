"""A long text at an engine that turns several times slower in the middle of it.

The trainer waits for its step; one text of it stands at an engine that answers, so no time limit and no
health leaves it, and makes an event where the others make five. Left there, the text decides when the step is
over. It goes on behind its last whole event at an engine that was heard to be faster and has a place.
"""

import asyncio

import attrs
import pytest

from cranberryline.jobs.model import ItemResult
from tests.jobs.engine_scene import FIRST, FakeEngine, Scene
from tests.virtual_time import run_virtual

LONG, SHORT = 160, 60
EVENT_S = 0.04


async def _async_warm(scene: Scene) -> None:
    """Let short texts show the pace of both engines, and what an event has of tokens."""
    names = [f"warm-{number}" for number in range(8)]
    await asyncio.gather(*(scene.async_item(name=name, told_tokens=SHORT * 50) for name in names))


async def _async_long(scene: Scene, engines: list[FakeEngine], slow: float) -> ItemResult:
    """Run a long text whose engine turns slow after a second."""
    for engine in engines:
        engine.events = LONG
    asked = asyncio.ensure_future(scene.async_item(name="long", told_tokens=LONG * 50))
    await asyncio.sleep(1)
    holder = max(engines, key=lambda engine: engine.asked[-1][0])
    holder.event_s = slow
    return await asked


def _engines(scene: Scene) -> list[FakeEngine]:
    rows = [attrs.evolve(FIRST, id=name, slots=16) for name in ("e-1", "e-2")]
    return [scene.add(row, event_s=EVENT_S, events=SHORT) for row in rows]


def test_a_long_text_leaves_an_engine_that_turned_slow() -> None:
    """An event in 0.2 s instead of 0.04: 135 events would take 27 s, and take 6 elsewhere."""

    async def scene() -> None:
        made = Scene()
        engines = _engines(made)
        await _async_warm(made)
        began = asyncio.get_running_loop().time()
        keeping = asyncio.ensure_future(_async_others(made))
        result = await _async_long(made, engines, EVENT_S * 5)
        keeping.cancel()
        took = asyncio.get_running_loop().time() - began
        assert result.text == "\n".join(f"v1.{number}" for number in range(1, LONG + 1))
        assert took < 9.5

    run_virtual(scene())


async def _async_others(scene: Scene) -> None:
    """Keep other texts going, so that both engines are heard."""
    number = 0
    while True:
        number += 1
        await scene.async_item(name=f"other-{number}", told_tokens=SHORT * 50)


@pytest.mark.parametrize("times", [1.0, 1.1])
def test_a_text_stays_where_another_engine_would_save_little(times: float) -> None:
    """Engines of like pace: a move would cost a connection and the prompt for nothing."""

    async def scene() -> None:
        made = Scene()
        engines = _engines(made)
        await _async_warm(made)
        before = sum(len(engine.asked) for engine in engines)
        await _async_long(made, engines, EVENT_S * times)
        assert sum(len(engine.asked) for engine in engines) == before + 1

    run_virtual(scene())


def test_a_slow_engine_keeps_its_text_where_there_is_no_other() -> None:
    """The only engine is left to its work: nothing is heard from elsewhere."""

    async def scene() -> None:
        made = Scene()
        engine = made.add(attrs.evolve(FIRST, slots=16), event_s=EVENT_S, events=SHORT)
        await _async_warm(made)
        before = len(engine.asked)
        await _async_long(made, [engine], EVENT_S * 1.4)
        assert len(engine.asked) == before + 1

    run_virtual(scene())

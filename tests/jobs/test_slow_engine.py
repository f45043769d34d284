"""Long texts on an engine that becomes several times slower while it generates them.

The engine still responds, so neither timeouts nor health checks abandon it, but it generates one
event in the time of five events elsewhere. The text would then determine the duration of the
trainer's step. It must resume after its last complete event at an engine that is known to be faster
and has a free slot.
"""

import asyncio

import attrs
import pytest

from cranberryline.jobs.model import ItemResult
from tests.jobs.engine_harness import FIRST, EngineHarness, FakeEngine
from tests.virtual_time import run_virtual

LONG, SHORT = 160, 60
EVENT_S = 0.04


async def _async_learn_paces(harness: EngineHarness) -> None:
    """Run short texts to learn the pace of both engines and the number of tokens per event."""
    names = [f"warm-{number}" for number in range(8)]
    await asyncio.gather(
        *(harness.async_run_item(name=name, told_tokens=SHORT * 50) for name in names)
    )


async def _async_run_long_text(
    harness: EngineHarness, engines: list[FakeEngine], slow_event_s: float
) -> ItemResult:
    """Run a long text whose engine becomes slow after a second."""
    for engine in engines:
        engine.events = LONG
    item_task = asyncio.ensure_future(harness.async_run_item(name="long", told_tokens=LONG * 50))
    await asyncio.sleep(1)
    serving_engine = max(engines, key=lambda engine: engine.requests[-1][0])
    serving_engine.event_s = slow_event_s
    return await item_task


def _add_engines(harness: EngineHarness) -> list[FakeEngine]:
    rows = [attrs.evolve(FIRST, id=name, slots=16) for name in ("e-1", "e-2")]
    return [harness.add(row, event_s=EVENT_S, events=SHORT) for row in rows]


def test_long_text_moves_away_from_an_engine_that_became_slow() -> None:
    """At 0.2 s instead of 0.04 s, 135 events would take 27 s; another engine needs 6 s."""

    async def scenario() -> None:
        harness = EngineHarness()
        engines = _add_engines(harness)
        await _async_learn_paces(harness)
        began_at = asyncio.get_running_loop().time()
        other_texts = asyncio.ensure_future(_async_run_other_texts(harness))
        result = await _async_run_long_text(harness, engines, EVENT_S * 5)
        other_texts.cancel()
        duration = asyncio.get_running_loop().time() - began_at
        assert result.text == "\n".join(f"v1.{number}" for number in range(1, LONG + 1))
        assert duration < 9.5

    run_virtual(scenario())


async def _async_run_other_texts(harness: EngineHarness) -> None:
    """Run other texts continuously, so that the pace of both engines is known."""
    number = 0
    while True:
        number += 1
        await harness.async_run_item(name=f"other-{number}", told_tokens=SHORT * 50)


@pytest.mark.parametrize("factor", [1.0, 1.1])
def test_text_does_not_move_if_another_engine_saves_little_time(factor: float) -> None:
    """At similar paces, a move costs a new connection and another read of the prompt."""

    async def scenario() -> None:
        harness = EngineHarness()
        engines = _add_engines(harness)
        await _async_learn_paces(harness)
        before = sum(len(engine.requests) for engine in engines)
        await _async_run_long_text(harness, engines, EVENT_S * factor)
        assert sum(len(engine.requests) for engine in engines) == before + 1

    run_virtual(scenario())


def test_text_stays_on_a_slow_engine_if_there_is_no_other() -> None:
    """The only engine must not be abandoned, since no faster one is known."""

    async def scenario() -> None:
        harness = EngineHarness()
        engine = harness.add(attrs.evolve(FIRST, slots=16), event_s=EVENT_S, events=SHORT)
        await _async_learn_paces(harness)
        before = len(engine.requests)
        await _async_run_long_text(harness, [engine], EVENT_S * 1.4)
        assert len(engine.requests) == before + 1

    run_virtual(scenario())

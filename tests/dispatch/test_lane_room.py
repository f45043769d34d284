"""What an entry takes of its upstreams when another entry sends work to them too."""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.dispatch.model import CollectingSink
from cranberryline.helpers.clock import SystemClock
from cranberryline.transport.model import Load

from .conftest import Bench, FakeSide, silent

CONCURRENCY = 8


@pytest.fixture
def wide() -> Bench:
    """Return a dispatcher whose service runs eight requests at a time on each upstream."""
    return Bench(SystemClock(), concurrency=CONCURRENCY)


def _report(side: FakeSide, others: int) -> None:
    """Let a side process tell that another entry has so many requests there."""
    side.outstanding_at_load = side.outstanding
    side.load_at = SystemClock().monotonic()
    side.load = Load(side.outstanding + others, 0, 0, CONCURRENCY, None, 0)


def _ask(bench: Bench, caller: str, count: int) -> list[asyncio.Task[object]]:
    return [
        asyncio.ensure_future(
            bench.dispatcher.async_run(bench.request(caller=caller), CollectingSink())
        )
        for _ in range(count)
    ]


async def _async_end(tasks: list[asyncio.Task[object]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def test_freed_places_are_given_once(wide: Bench) -> None:
    """A report that shows one free place on each of two upstreams lets one request go to each.

    Turns are given in one go, before any of their requests has left; one that is given counts.
    """
    sides = [wide.side("up-1", silent), wide.side("up-2", silent)]

    async def async_case() -> None:
        for side in sides:
            _report(side, CONCURRENCY)
        tasks = _ask(wide, "inspecteur", 10)
        await asyncio.sleep(0.01)
        assert [len(side.submits) for side in sides] == [0, 0]
        for side in sides:
            _report(side, CONCURRENCY - 1)
        wide.dispatcher.wake()
        await asyncio.sleep(0.01)
        assert [len(side.submits) for side in sides] == [1, 1]
        await _async_end(tasks)

    asyncio.run(async_case())


def test_a_heavy_caller_leaves_the_last_place_though_another_entry_has_half(wide: Bench) -> None:
    """The reserve is kept of the places that this entry can have, not of those that exist.

    Another entry holds half of each upstream. The heavy caller may take all of the rest but the
    reserve, and a caller with little work starts at once.
    """
    sides = [wide.side("up-1", silent), wide.side("up-2", silent)]

    async def async_case() -> None:
        for side in sides:
            _report(side, CONCURRENCY // 2)
        light = _ask(wide, "light", 1)
        await asyncio.sleep(0.01)
        heavy = _ask(wide, "heavy", 20)
        await asyncio.sleep(0.01)
        assert sum(len(side.submits) for side in sides) == CONCURRENCY - 1
        late = _ask(wide, "light", 1)
        await asyncio.sleep(0.01)
        assert sum(len(side.submits) for side in sides) == CONCURRENCY
        await _async_end(light + heavy + late)

    asyncio.run(async_case())


def test_a_turn_that_nobody_takes_frees_its_place(wide: Bench) -> None:
    """Whoever leaves in the moment in which the turn is given leaves nothing held."""
    side = wide.side("up-1", silent)

    async def async_case() -> None:
        _report(side, CONCURRENCY)
        gone = _ask(wide, "inspecteur", CONCURRENCY)
        await asyncio.sleep(0.01)
        _report(side, 0)
        wide.dispatcher.wake()
        await _async_end(gone)
        assert not side.submits
        tasks = _ask(wide, "inspecteur", CONCURRENCY)
        await asyncio.sleep(0.01)
        assert len(side.submits) == CONCURRENCY
        await _async_end(tasks)

    asyncio.run(async_case())


def test_an_old_report_of_full_upstreams_does_not_keep_a_caller_waiting(wide: Bench) -> None:
    """The caller of an idle entry is served though its last report, seconds ago, showed no place.

    An idle connection is probed every five seconds; the other entry's work may be long over.
    """
    side = wide.side("up-1")

    async def async_case() -> None:
        _report(side, CONCURRENCY)
        side.load_at -= timedelta(seconds=1.8)
        task = _ask(wide, "inspecteur", 1)[0]
        await asyncio.sleep(0.01)
        assert not side.submits
        assert (await task).is_ok()  # type: ignore[attr-defined]

    asyncio.run(async_case())

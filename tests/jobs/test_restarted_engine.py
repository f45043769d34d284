"""An item at an engine that starts again under its id, in the middle of the item's text.

The machine lost power: the connection to its former start stays open and says nothing, or says
something late. The trainer sees a text that stands still until a time limit, a text with a hole or with an
event twice, or one made by a version that the engine no longer has. Decided with the engine's next
entry, the item goes on behind its last whole event, here or elsewhere.
"""

import asyncio
from datetime import timedelta

import attrs

from tests.jobs.engine_scene import FIRST, MODEL, Scene, next_start
from tests.virtual_time import run_virtual


def test_the_item_goes_on_elsewhere_at_once_behind_its_last_event() -> None:
    """The engine's next start drains already, so it is not the one; another has room."""

    async def scene() -> None:
        made = Scene()
        former = made.add(FIRST, stop_at=2)
        asked = asyncio.ensure_future(made.async_item())
        await asyncio.sleep(0.3)
        other = made.add(attrs.evolve(FIRST, id="e-2"))
        made.add(next_start(FIRST, draining=True))
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
        again = made.add(next_start(FIRST))
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
        made.add(next_start(FIRST, versions={MODEL: 2}))
        result = await asked
        assert result.text == "v1.1\nv1.2\nv2.3\nv2.4" and result.versions == (1, 2)

    run_virtual(scene())


def test_an_engine_that_lost_its_version_gets_no_item_that_needs_it() -> None:
    """An answer had told version 3; the next start has 1, and the job allows nothing below 2."""

    async def scene() -> None:
        made = Scene()
        made.add(FIRST)
        made.directory.learn(FIRST.key, MODEL, 3)
        again = made.add(next_start(FIRST))
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

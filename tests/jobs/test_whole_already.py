"""A text whose last event came and whose end did not.

Its engine fell silent or its node was killed just then. Asked to go on behind the last event, another engine
has nothing to make: a whole answer without an event and without a version. Taken for a bad one, the item goes
from engine to engine until its step runs out of time, and the trainer waits for a text that is there.
"""

import asyncio

import attrs
import pytest

from tests.jobs.engine_scene import EVENTS, FIRST, Scene
from tests.virtual_time import run_virtual


def test_a_text_that_lacked_only_its_end_is_whole() -> None:
    """The first engine falls silent behind the last event; the other one says that nothing follows."""

    async def scene() -> None:
        made = Scene()
        first = made.add(FIRST, stop_at=EVENTS)
        asked = asyncio.ensure_future(made.async_item())
        await asyncio.sleep(0.3)
        other = made.add(attrs.evolve(FIRST, id="e-2"))
        result = await asyncio.wait_for(asked, 5)
        assert result.text == "v1.1\nv1.2\nv1.3\nv1.4" and result.versions == (1,)
        assert ([last for _, last in first.asked], [last for _, last in other.asked]) == ([0], [4])

    run_virtual(scene())


def test_an_answer_without_a_version_is_no_text_from_its_beginning() -> None:
    """Nothing was made yet: a whole answer without an event is a bad one, and the item goes elsewhere."""

    async def scene() -> None:
        made = Scene()
        empty = made.add(FIRST, events=0)
        asked = asyncio.ensure_future(made.async_item())
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(asked), 0.5)
        made.add(attrs.evolve(FIRST, id="e-2"))
        result = await asyncio.wait_for(asked, 5)
        assert result.text == "v1.1\nv1.2\nv1.3\nv1.4"
        assert empty.asked

    run_virtual(scene())

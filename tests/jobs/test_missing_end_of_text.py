"""Texts whose last event was received, but not the end of the stream.

The engine fell silent or its node was killed at that moment. Another engine, asked to resume after
the last event, has nothing left to generate, so its response is complete but has no event and no
version. If this was treated as an invalid response, the item would be retried at one engine after
the other until its step times out, although its text is complete.
"""

import asyncio

import attrs
import pytest

from tests.jobs.engine_harness import EVENTS, FIRST, EngineHarness
from tests.virtual_time import run_virtual


def test_empty_response_after_the_last_event_completes_the_text() -> None:
    """The first engine is silent after the last event; the other one has no further events."""

    async def scenario() -> None:
        harness = EngineHarness()
        first = harness.add(FIRST, stop_at=EVENTS)
        item_task = asyncio.ensure_future(harness.async_run_item())
        await asyncio.sleep(0.3)
        other = harness.add(attrs.evolve(FIRST, id="e-2"))
        result = await asyncio.wait_for(item_task, 5)
        assert result.text == "v1.1\nv1.2\nv1.3\nv1.4" and result.versions == (1,)
        assert (
            [last_event for _, last_event in first.requests],
            [last_event for _, last_event in other.requests],
        ) == ([0], [4])

    run_virtual(scenario())


def test_empty_response_to_a_new_request_is_retried_at_another_engine() -> None:
    """Without earlier events, an empty response is invalid and must be retried."""

    async def scenario() -> None:
        harness = EngineHarness()
        empty = harness.add(FIRST, events=0)
        item_task = asyncio.ensure_future(harness.async_run_item())
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(item_task), 0.5)
        harness.add(attrs.evolve(FIRST, id="e-2"))
        result = await asyncio.wait_for(item_task, 5)
        assert result.text == "v1.1\nv1.2\nv1.3\nv1.4"
        assert empty.requests

    run_virtual(scenario())

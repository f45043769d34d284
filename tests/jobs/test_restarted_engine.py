"""Items whose engine restarts under the same id while it generates the item's text.

After a power failure the connection to the previous start stays open, and is silent or delivers
late events. The text would stall until a timeout, lack or repeat events, or have a version that the
engine no longer serves. When the restarted engine registers, the item must resume after its last
complete event.
"""

import asyncio
from datetime import timedelta

import attrs

from tests.jobs.engine_harness import FIRST, MODEL, EngineHarness, make_next_start
from tests.virtual_time import run_virtual


def test_item_resumes_at_another_engine_without_waiting_for_a_timeout() -> None:
    """The restarted engine is draining, so the item has to resume at another engine."""

    async def scenario() -> None:
        harness = EngineHarness()
        previous = harness.add(FIRST, stop_at=2)
        item_task = asyncio.ensure_future(harness.async_run_item())
        await asyncio.sleep(0.3)
        other = harness.add(attrs.evolve(FIRST, id="e-2"))
        harness.add(make_next_start(FIRST, draining=True))
        result = await item_task
        assert result.text == "v1.1\nv1.2\nv1.3\nv1.4"
        ((at, last_event),) = other.requests
        assert last_event == 2 and at < 0.5
        assert (len(previous.requests), previous.closed > 0) == (1, True)

    run_virtual(scenario())


def test_restarted_engine_does_not_inherit_avoidance_and_cooldown() -> None:
    """The restarted engine is the only one.

    Neither the item's avoidance of the previous start nor its cooldown after a rejection may delay
    it.
    """

    async def scenario() -> None:
        harness = EngineHarness()
        harness.add(FIRST, stop_at=2)
        item_task = asyncio.ensure_future(harness.async_run_item())
        await asyncio.sleep(0.3)
        harness.context.rejecting_upstreams.start(FIRST.key, harness.context.clock.monotonic())
        restarted = harness.add(make_next_start(FIRST))
        result = await item_task
        assert result.text == "v1.1\nv1.2\nv1.3\nv1.4"
        ((at, last_event),) = restarted.requests
        assert last_event == 2 and at < 0.5

    run_virtual(scenario())


def test_late_events_of_the_previous_start_are_not_added_to_the_text() -> None:
    """The previous start sends its next event after 0.33 s, during the new request."""

    async def scenario() -> None:
        harness = EngineHarness()
        harness.add(FIRST, stop_at=2, silent_s=0.33)
        item_task = asyncio.ensure_future(harness.async_run_item())
        await asyncio.sleep(0.3)
        harness.add(make_next_start(FIRST, versions={MODEL: 2}))
        result = await item_task
        assert result.text == "v1.1\nv1.2\nv2.3\nv2.4" and result.versions == (1, 2)

    run_virtual(scenario())


def test_item_is_not_sent_to_a_restarted_engine_with_an_older_version() -> None:
    """A response had version 3; the restarted engine has 1, and the job requires at least 2."""

    async def scenario() -> None:
        harness = EngineHarness()
        harness.add(FIRST)
        harness.directory.record_version(FIRST.key, MODEL, 3)
        restarted = harness.add(make_next_start(FIRST))
        item_task = asyncio.ensure_future(harness.async_run_item(min_version=2))
        await asyncio.sleep(1)
        assert restarted.requests == [] and not item_task.done()
        harness.add(attrs.evolve(FIRST, id="e-2", versions={MODEL: 2}))
        assert (await item_task).versions == (2,)

    run_virtual(scenario())


def test_receive_times_of_past_engine_starts_do_not_accumulate() -> None:
    """Engines restart during months of a gateway's uptime, so stale entries would leak memory."""

    async def scenario() -> None:
        harness = EngineHarness()
        for number in range(11_000):
            harness.context.last_received_at[f"e-{number}@1"] = timedelta()
        await asyncio.sleep(30)
        harness.add(FIRST)
        await harness.async_run_item()
        assert set(harness.context.last_received_at) == {FIRST.key}

    run_virtual(scenario())

"""Items whose route this node does not know: added since, or ended."""

import asyncio
from datetime import timedelta
from typing import Any, cast

import pytest

from cranberryline.jobs.model import ItemState
from tests.virtual_time import run_virtual

from .engine_harness import FIRST, EngineHarness


def _make_harness(knows_all: bool) -> tuple[EngineHarness, Any]:
    """Return a harness without routes, and the table's `match` to put back."""
    harness = EngineHarness()
    harness.add(FIRST)
    table = cast(Any, harness.context.routes.table)
    match, table.match = table.match, lambda _host, _path: None

    async def async_have_routes_since(_moment: timedelta) -> bool:
        return knows_all

    harness.context.async_have_routes_since = async_have_routes_since
    return harness, match


@pytest.mark.parametrize("no_table", [False, True])
def test_an_item_waits_for_a_route_that_was_added_since(no_table: bool) -> None:
    """Guards against an accepted item that is listed as dead by a node that is behind."""

    async def scenario() -> None:
        harness, match = _make_harness(knows_all=False)
        routes = cast(Any, harness.context.routes)
        table = routes.table
        if no_table:
            routes.table = None
        running = asyncio.ensure_future(harness.make_run().async_run())
        await asyncio.sleep(5)
        assert not running.done()
        routes.table, table.match = table, match
        result = await running
        assert result is not None and result.state is ItemState.COMPLETED

    run_virtual(scenario())


def test_an_item_is_dead_once_its_route_has_ended() -> None:
    """Guards against items that are tried for ever after the operator has removed their route."""

    async def scenario() -> None:
        harness, _ = _make_harness(knows_all=True)
        result = await harness.make_run().async_run()
        assert result is not None and result.state is ItemState.DEAD

    run_virtual(scenario())


def test_a_route_that_the_confirming_read_brings_is_used() -> None:
    """Guards against an item that is listed as dead by the table from before the read."""

    async def scenario() -> None:
        harness, match = _make_harness(knows_all=True)

        async def async_read_routes(_moment: timedelta) -> bool:
            cast(Any, harness.context.routes.table).match = match
            return True

        harness.context.async_have_routes_since = async_read_routes
        result = await harness.make_run().async_run()
        assert result is not None and result.state is ItemState.COMPLETED

    run_virtual(scenario())

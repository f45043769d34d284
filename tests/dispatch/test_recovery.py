"""Upstreams that were cut off for a while come back into use, whatever kind of request is left."""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.dispatch.model import CollectingSink
from cranberryline.transport import Exchange
from cranberryline.transport.model import NotRun, Submit
from tests.virtual_time import LoopClock, run_virtual

from .conftest import DispatcherHarness, FakeSideProcess, echo_response

CUT_S, THEN_S, EVERY_S = 5.5, 20.0, 0.1


def _unreachable(_side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    exchange.push(NotRun(msg.id, "upstream_unreachable", 0))


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_service_is_served_again_after_a_cut(idempotent: bool) -> None:
    """Guards against a service that stays refused since none of its requests may be a probe."""

    async def scenario() -> None:
        clock = LoopClock()
        harness = DispatcherHarness(clock)
        sides = [harness.add_upstream(f"up-{number}", _unreachable) for number in range(4)]
        served: list[bool] = []

        async def async_call() -> None:
            deadline = clock.monotonic() + timedelta(seconds=1)
            req = harness.request(idempotent=idempotent, deadline=deadline)
            served.append((await harness.dispatcher.async_run(req, CollectingSink())).is_ok())

        async def async_load(seconds: float) -> None:
            for _ in range(int(seconds / EVERY_S)):
                asyncio.ensure_future(async_call())
                await asyncio.sleep(EVERY_S)

        await async_load(CUT_S)
        for side in sides:
            side.script = echo_response
        served.clear()
        await async_load(THEN_S)
        assert sum(served) > 0.75 * len(served)

    run_virtual(scenario())

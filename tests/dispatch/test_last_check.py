"""Whether a request may go to an upstream is asked again after its turn, directly before it goes."""

import asyncio
import itertools
from types import SimpleNamespace
from typing import Any, cast

from cranberryline.dispatch.direct import DirectUpstreams
from cranberryline.gateway.app import GatewayProcess
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.routes import ActiveRoutes
from cranberryline.upstreams.directory import Registration
from tests.execution.conftest import FakeUpstream

from .conftest import Bench
from .test_direct import Direct, direct_row, play


def test_what_is_no_longer_allowed_after_its_turn_does_not_reach_the_upstream(bench: Bench) -> None:
    """The turn is given; before the request is written the loop does other work, for any time.

    Each question is answered by what held before the loop went on: the request may go when its turn is
    given, and not any more at every later moment.
    """

    async def scene() -> None:
        direct = Direct(bench)
        _, upstream = direct.add("vm-1")
        allowed = True

        def forbid() -> None:
            nonlocal allowed
            allowed = False

        def eligible(_upstream: str) -> bool:
            asyncio.get_running_loop().call_soon(forbid)
            return allowed

        reached = []
        send = upstream.async_send

        async def note(*args: Any) -> Any:
            reached.append(allowed)
            return await send(*args)

        upstream.async_send = note  # type: ignore[method-assign]
        await direct.async_ask(eligible=eligible)
        assert reached in ([], [True])

    play(scene())


def test_a_way_to_an_upstream_lets_as_many_run_as_the_lane_sends() -> None:
    """Upstreams of a service register with more slots; the ways that exist keep the former limit.

    The lane then gives turns that wait in the way's own queue, where nothing asks again.
    """
    routes, clock = ActiveRoutes(), SystemClock()
    directs = DirectUpstreams(
        clock,
        Metrics(),
        cast(Any, None),
        "life",
        itertools.count(1).__next__,
        routes.spec,
        lambda: None,
        lambda _row: cast(Any, FakeUpstream()),
    )
    routes.set_slots("engines", 2)
    link = directs.make(direct_row("vm-1", "engines"))
    row = Registration("vm-2", "engines", "10.0.0.1:1", "levis", 6, False, {})
    GatewayProcess._on_registration(cast(Any, SimpleNamespace(routes=routes, directs=directs)), row)
    assert link.runner.concurrency == routes.spec("engines").concurrency

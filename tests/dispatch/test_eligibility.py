"""The eligibility of an upstream is checked again immediately before a request is sent."""

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

from .conftest import DispatcherHarness
from .test_direct import DirectHarness, direct_vm, run_test


def test_request_that_became_ineligible_after_its_reservation_is_not_sent(
    harness: DispatcherHarness,
) -> None:
    """A request is sent to an upstream that became ineligible after the slot was reserved.

    The event loop may do other work between the reservation and the sending. Here the upstream is
    eligible at the first check and becomes ineligible in the next iteration of the loop.
    """

    async def async_main() -> None:
        direct = DirectHarness(harness)
        _, upstream = direct.add("vm-1")
        is_eligible = True

        def make_ineligible() -> None:
            nonlocal is_eligible
            is_eligible = False

        def eligible(_upstream: str) -> bool:
            asyncio.get_running_loop().call_soon(make_ineligible)
            return is_eligible

        eligible_when_sent = []
        original_send = upstream.async_send

        async def async_send(*args: Any) -> Any:
            eligible_when_sent.append(is_eligible)
            return await original_send(*args)

        upstream.async_send = async_send  # type: ignore[method-assign]
        await direct.async_run_request(eligible=eligible)
        assert eligible_when_sent in ([], [True])

    run_test(async_main())


def test_direct_link_runs_as_many_requests_as_the_scheduler_sends() -> None:
    """Existing direct links keep their limit when upstreams register with more slots.

    The scheduler then sends requests that wait in the link's own queue, where eligibility is not
    checked again.
    """
    routes, clock = ActiveRoutes(), SystemClock()
    direct_links = DirectUpstreams(
        clock,
        Metrics(),
        cast(Any, None),
        "life",
        itertools.count(1).__next__,
        routes.spec,
        lambda: None,
        lambda _vm: cast(Any, FakeUpstream()),
    )
    routes.set_slots("engines", 2)
    link = direct_links.make(direct_vm("vm-1", "engines"))
    registration = Registration("vm-2", "engines", "10.0.0.1:1", "levis", 6, False, {})
    GatewayProcess._on_registration(
        cast(Any, SimpleNamespace(routes=routes, direct_upstreams=direct_links)), registration
    )
    assert link.runner.concurrency == routes.spec("engines").concurrency

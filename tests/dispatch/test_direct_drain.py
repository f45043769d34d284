"""Requests that were handed to an upstream before it left, and had not been sent to it yet."""

import asyncio
from typing import Any

import pytest
from result import Err

from cranberryline.dispatch.direct import DirectUpstream
from cranberryline.ports.errors import PlatformError, PlatformReason

from .conftest import DispatcherHarness
from .test_direct import DirectHarness, async_until, run_test

_WITHHELD = PlatformError(PlatformReason.WITHHELD, may_have_run=False)


@pytest.fixture
def direct(harness: DispatcherHarness) -> DirectHarness:
    """Return a dispatcher without upstreams."""
    return DirectHarness(harness)


def leave(direct: DirectHarness, link: DirectUpstream) -> None:
    """Take an upstream out of use, as the directory's listener does when it leaves."""
    direct.harness.table.remove(link.vm_id)
    direct.direct_links.drain(link)


@pytest.mark.parametrize("idempotent", [True, False])
def test_request_that_waits_for_a_connection_to_a_leaving_upstream_runs_elsewhere(
    direct: DirectHarness, idempotent: bool
) -> None:
    """Guards against sending a request to an upstream that left while its connection was being made."""

    async def async_main() -> None:
        link, leaving = direct.add("up-1")
        connected = asyncio.Event()
        answer = leaving.async_send

        async def async_send(req: Any, timeout: Any) -> Any:
            await connected.wait()
            if req.may_send is not None and not req.may_send():
                return Err(_WITHHELD)
            return await answer(req, timeout)

        leaving.async_send = async_send  # type: ignore[method-assign]
        request = asyncio.ensure_future(direct.async_run_request(idempotent=idempotent))
        await async_until(lambda: link.outstanding == 1)
        direct.add("up-2")
        leave(direct, link)
        connected.set()
        assert (await request).unwrap() == "up-2"
        assert not leaving.runs and link.outstanding == 0

    run_test(async_main())


def test_request_that_waits_behind_others_at_a_leaving_upstream_runs_elsewhere_at_once(
    direct: DirectHarness,
) -> None:
    """Guards against sending queued requests to an upstream that left before their turn came."""

    async def async_main() -> None:
        link, leaving = direct.add("up-1")
        link.runner.set_concurrency(1)
        leaving.gate.clear()
        first = asyncio.ensure_future(direct.async_run_request())
        await async_until(lambda: len(leaving.runs) == 1)
        second = asyncio.ensure_future(direct.async_run_request(idempotent=False))
        await async_until(lambda: link.outstanding == 2)
        direct.add("up-2")
        leave(direct, link)
        async with asyncio.timeout(1):
            assert (await second).unwrap() == "up-2"
        leaving.gate.set()
        assert (await first).unwrap() == "up-1"
        assert len(leaving.runs) == 1

    run_test(async_main())


def test_upstreams_that_leave_one_after_the_other_use_up_no_attempts(
    direct: DirectHarness,
) -> None:
    """Guards against refusing a request, never sent, since several of its upstreams left in turn."""

    async def async_main() -> None:
        links = [direct.add(f"up-{number}")[0] for number in range(5)]

        async def async_send_once_left(link: DirectUpstream, req: Any) -> Any:
            leave(direct, link)
            return Err(_WITHHELD) if not req.may_send() else None

        for link in links:
            upstream = direct.upstreams[f"http://{link.vm_id}"]
            upstream.async_send = (  # type: ignore[method-assign]
                lambda req, _timeout, link=link: async_send_once_left(link, req)
            )
        direct.add("last")
        result = await direct.async_run_request(idempotent=False, max_attempts=2)
        assert result.unwrap() == "last"

    run_test(async_main())

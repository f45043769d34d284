"""Tests of requests that are pinned to the upstream on which a slot was granted."""

import asyncio
from datetime import timedelta
from random import Random

import pytest

from cranberryline.decisions import RouteRequest
from cranberryline.dispatch.candidates import choose_upstream
from cranberryline.dispatch.model import CallerRequest, CollectingSink
from cranberryline.transport import Exchange
from cranberryline.transport.model import NotRun, Submit

from .conftest import DispatcherHarness, FakeSideProcess
from .test_pool import CONCURRENCY, LATER, NOW, Fleet

PINNED = "vm-1"


def _reject(_side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    exchange.push(NotRun(msg.id, "upstream_unreachable", 0))


def _choose(fleet: Fleet, ineligible: str = "", now: timedelta = NOW) -> str | None:
    fleet.pool.update(CONCURRENCY, now)
    req = CallerRequest(
        "files",
        "GET",
        "/",
        (),
        b"",
        now + LATER,
        "caller",
        upstream=PINNED,
        eligible=lambda vm_id: vm_id != ineligible,
    )
    routed = RouteRequest(tokens=1, excluded=frozenset((PINNED,)), may_probe=True)
    chosen = choose_upstream(fleet.pool, req, routed, now, Random(1))
    return None if chosen is None else chosen.id


def _fail(fleet: Fleet, vm_id: str) -> None:
    """Let an upstream fail until it gets no requests except probes."""
    for number in range(8):
        at = NOW - timedelta(milliseconds=10 - number)
        fleet.upstream(vm_id).attempt_failed(at, at)


def test_request_goes_to_the_upstream_it_is_pinned_to() -> None:
    """A granted slot is used only if the text goes to its engine, also one that it avoids."""
    assert _choose(Fleet(4)) == PINNED


def test_pinned_request_gets_no_other_upstream() -> None:
    """On another engine it would take a slot that was granted to another text."""
    fleet = Fleet(4)
    assert _choose(fleet, ineligible=PINNED) is None
    for _ in range(CONCURRENCY):
        fleet.upstream(PINNED).reserve(NOW)
    assert _choose(fleet) is None
    fleet.pool.remove(PINNED)
    assert _choose(fleet) is None


def test_pinned_request_probes_a_failing_upstream_only_when_due() -> None:
    """A grant must not send texts to an engine that fails all of them."""
    fleet = Fleet(4)
    _fail(fleet, PINNED)
    assert _choose(fleet) is None
    assert _choose(fleet, now=NOW + timedelta(seconds=60)) == PINNED


def test_pinned_request_does_not_probe_another_upstream() -> None:
    """A probe of another failing engine would leave the granted slot unused."""
    fleet = Fleet(4)
    _fail(fleet, "vm-2")
    assert _choose(fleet, now=NOW + timedelta(seconds=60)) == PINNED


@pytest.mark.parametrize("pinned", ["u1", "u2"])
def test_rejected_pinned_request_is_not_repeated(harness: DispatcherHarness, pinned: str) -> None:
    """A stale registration rejects at once; a repetition without a delay would spin there."""

    async def scenario() -> None:
        sides = {name: harness.add_upstream(name, _reject) for name in ("u1", "u2")}
        req = harness.request(upstream=pinned, max_attempts=1)
        refused = await harness.dispatcher.async_run(req, CollectingSink())
        assert refused.unwrap_err().detail == "upstream_unreachable"
        assert {name: len(side.submits) for name, side in sides.items()} == {
            name: int(name == pinned) for name in sides
        }

    asyncio.run(scenario())

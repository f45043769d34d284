"""Requests over direct links: results for callers, and the requests that upstreams receive."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import attrs
import pytest
import zmq
from result import Err

from cranberryline.dispatch.direct import DirectUpstream, DirectUpstreams
from cranberryline.dispatch.errors import RefusalReason
from cranberryline.dispatch.model import CollectingSink
from cranberryline.entry.dialing import DialContext
from cranberryline.entry.links import UpstreamLinks
from cranberryline.helpers.clock import FakeClock, SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import VmEntry, VmList, VmRole, VmState
from cranberryline.requests import Ran
from cranberryline.transport import Dialer, DialerEvents
from cranberryline.transport.model import Hello
from cranberryline.upstreams import Membership
from tests.execution.conftest import FakeUpstream
from tests.requests.scripted_log import ScriptedLog

from .conftest import DispatcherHarness

_DEFAULT_TIMEOUT = timedelta(seconds=5)
_CUT = PlatformError(PlatformReason.CUT, may_have_run=True)
_UNREACHABLE = PlatformError(PlatformReason.UNREACHABLE, may_have_run=False)


class DirectHarness:
    """A dispatcher with direct links to fake upstreams and a scripted log."""

    def __init__(self, harness: DispatcherHarness) -> None:
        self.harness = harness
        self.log = ScriptedLog(FakeClock())
        self.log.script = []
        self.upstreams: dict[str, FakeUpstream] = {}
        self.direct_links = DirectUpstreams(
            harness.clock,
            harness.metrics,
            self.log,
            "life-1",
            itertools.count(1).__next__,
            harness.fold.service,
            harness.dispatcher.wake,
            lambda vm: self.upstreams[vm.address],
        )

    def add(self, vm_id: str) -> tuple[DirectUpstream, FakeUpstream]:
        """Add an upstream with a direct link."""
        upstream = self.upstreams[address_of(vm_id)] = FakeUpstream()
        link = self.direct_links.make(direct_vm(vm_id, self.harness.service))
        self.harness.table.add(self.harness.service, link, "levis")
        return link, upstream

    async def async_run_request(self, sink: CollectingSink | None = None, **overrides: Any) -> Any:
        """Run a request to its end; its deadline is in five seconds by default."""
        req = self.harness.request(
            **{"deadline": self.harness.clock.monotonic() + _DEFAULT_TIMEOUT, **overrides}
        )
        return await self.harness.dispatcher.async_run(req, sink or CollectingSink())


def address_of(vm_id: str) -> str:
    """Return the address of an upstream."""
    return f"http://{vm_id}"


def direct_vm(vm_id: str, service: str) -> VmEntry:
    """Return the VM entry of an upstream without a side process."""
    return VmEntry(vm_id, VmRole.UPSTREAM, VmState.LIVE, "levis", "", address_of(vm_id), service)


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait up to five seconds until a condition is true."""
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110 - fakes have no event to wait for
            await asyncio.sleep(0.001)


def run_test(coro: Coroutine[Any, Any, None]) -> None:
    """Run the coroutine of a test."""
    asyncio.run(coro)


@pytest.fixture
def direct(harness: DispatcherHarness) -> DirectHarness:
    """Return a dispatcher without upstreams."""
    return DirectHarness(harness)


def test_complete_response_reaches_the_caller(direct: DirectHarness) -> None:
    """The response arrives incomplete, or the request stays counted as outstanding after it."""

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.parts = [b"who", b"le"]
        sink = CollectingSink()
        result = await direct.async_run_request(sink)
        assert result.unwrap() == "up-1"
        assert (sink.status, sink.body) == (200, b"whole")
        assert (link.outstanding, link.outstanding_tokens) == (0, 0)

    run_test(async_main())


def test_response_larger_than_the_flow_control_window_is_complete(direct: DirectHarness) -> None:
    """The response stalls, because a direct link grants no credit while the caller reads."""

    async def async_main() -> None:
        _, upstream = direct.add("up-1")
        upstream.parts = [bytes([n]) * 65536 for n in range(40)]
        sink = CollectingSink()
        assert (await direct.async_run_request(sink)).is_ok()
        assert sink.body == b"".join(upstream.parts)

    run_test(async_main())


def test_request_to_an_unreachable_upstream_runs_at_another_one(direct: DirectHarness) -> None:
    """A non-idempotent call fails although no byte was sent and another upstream could run it."""

    async def async_main() -> None:
        _, unreachable = direct.add("up-1")
        _, reachable = direct.add("up-2")
        unreachable.error = _UNREACHABLE
        for _ in range(6):
            result = await direct.async_run_request(method="POST", idempotent=False)
            assert result.unwrap() == "up-2"
        assert len(reachable.runs) == 6

    run_test(async_main())


@pytest.mark.parametrize("idempotent", [True, False])
def test_request_cut_after_it_was_sent_is_reported_as_unknown(
    direct: DirectHarness, idempotent: bool
) -> None:
    """The upstream fails after it was sent a request, which may have run.

    The caller reads that it was not run, or a non-idempotent request is run twice.
    """

    async def async_main() -> None:
        attempts: list[str] = []
        for vm_id in ("up-1", "up-2"):
            _, upstream = direct.add(vm_id)
            upstream.async_send = _cut_and_record(attempts, vm_id)  # type: ignore[method-assign]
        refusal = (await direct.async_run_request(idempotent=idempotent)).unwrap_err()
        assert refusal.ran is Ran.UNKNOWN
        assert (len(attempts) == 1) is not idempotent

    run_test(async_main())


def _cut_and_record(attempts: list[str], vm_id: str) -> Callable[..., Any]:
    async def async_send(*_: Any) -> Any:
        attempts.append(vm_id)
        return Err(_CUT)

    return async_send


def test_cut_response_is_reported_as_run_and_started(direct: DirectHarness) -> None:
    """A caller that received a part of a response treats it as complete, or retries the call."""

    class _CallerSink(CollectingSink):
        can_restart = False

    async def async_main() -> None:
        _, upstream = direct.add("up-1")
        upstream.cut = True
        refusal = (await direct.async_run_request(_CallerSink(), idempotent=False)).unwrap_err()
        assert (refusal.ran, refusal.response_started) == (Ran.YES, True)

    run_test(async_main())


def test_non_idempotent_call_keeps_its_slot_after_its_caller_left(direct: DirectHarness) -> None:
    """An upstream gets more requests than its concurrency, or the queue is not woken later.

    The caller of a non-idempotent call disconnects while the upstream still runs it. A request sent
    in the meantime must wait for the slot, and start when the run ends without any other event.
    """
    direct.harness.amend_service(concurrency=1)

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.gate.clear()
        soon = direct.harness.clock.monotonic() + timedelta(milliseconds=300)
        first = asyncio.ensure_future(direct.async_run_request(method="POST", idempotent=False))
        await async_until(lambda: len(upstream.runs) == 1)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        assert link.outstanding == 1
        late = await direct.async_run_request(deadline=soon)
        assert (late.unwrap_err().ran, len(upstream.runs)) == (Ran.NO, 1)
        second = asyncio.ensure_future(direct.async_run_request())
        await asyncio.sleep(0.05)
        assert len(upstream.runs) == 1
        upstream.gate.set()
        assert (await second).is_ok()
        assert link.outstanding == 0

    run_test(async_main())


def test_idempotent_run_is_cancelled_when_its_caller_disconnects(direct: DirectHarness) -> None:
    """The run continues, and keeps its slot, although nobody awaits the response."""

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.gate.clear()
        task = asyncio.ensure_future(direct.async_run_request())
        await async_until(lambda: len(upstream.bodies) == 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await async_until(lambda: link.outstanding == 0)
        assert upstream.bodies[0].closed

    run_test(async_main())


def test_second_call_with_an_idempotency_key_gets_the_stored_response(
    direct: DirectHarness,
) -> None:
    """A repeated call with the same idempotency key is run again instead of being replayed."""

    async def async_main() -> None:
        _, upstream = direct.add("up-1")
        keyed = {"method": "POST", "idempotent": False, "key": "booking-1"}
        first, second = CollectingSink(), CollectingSink()
        assert (await direct.async_run_request(first, **keyed)).is_ok()
        assert (await direct.async_run_request(second, **keyed)).is_ok()
        assert (first.body, second.body) == (b"whole", b"whole")
        assert len(upstream.runs) == 1
        await direct.direct_links.async_stop()

    run_test(async_main())


def test_call_with_an_idempotency_key_is_refused_without_the_log(direct: DirectHarness) -> None:
    """The log is unavailable, and the call runs without a claim on its idempotency key."""

    async def async_main() -> None:
        _, upstream = direct.add("up-1")
        direct.log.script = ["refused"] * 10
        result = await direct.async_run_request(method="POST", idempotent=False, key="booking-1")
        refusal = result.unwrap_err()
        assert (refusal.reason, refusal.ran) == (RefusalReason.LOG_UNAVAILABLE, Ran.NO)
        assert upstream.runs == []

    run_test(async_main())


def test_planned_shutdown_waits_for_a_run_without_a_caller(direct: DirectHarness) -> None:
    """The shutdown cuts a run whose caller has disconnected, or a new request starts during it."""

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.gate.clear()
        task = asyncio.ensure_future(direct.async_run_request(method="POST", idempotent=False))
        await async_until(lambda: len(upstream.bodies) == 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        stop = asyncio.ensure_future(direct.direct_links.async_stop())
        await asyncio.sleep(0.02)
        assert not stop.done()
        assert not link.usable
        upstream.gate.set()
        await asyncio.wait_for(stop, 2)
        assert upstream.bodies[0].closed

    run_test(async_main())


def test_member_list_selects_direct_link_or_side_process(direct: DirectHarness) -> None:
    """The link to an upstream does not match its entry in the member list.

    An empty `peer` means a direct link. When a side process is added, a connection to it replaces
    the direct link, which accepts no new requests while its running ones finish.
    """
    harness = direct.harness
    direct.upstreams[address_of("up-1")] = FakeUpstream()

    async def async_main() -> None:
        ctx = zmq.Context()
        links = UpstreamLinks(
            DialContext(
                ctx,
                SystemClock(),
                "entry-1",
                lambda: Hello("entry-1", "life-1", "entry", "levis", 0),
                itertools.count(1).__next__,
            ),
            DialerEvents(),
            harness.table,
            Metrics(),
            direct.direct_links,
        )
        members, vm = Membership(), direct_vm("up-1", harness.service)
        members.apply_list(VmList(1, (vm,)))
        links.apply(members)
        first = links.get("up-1")
        assert isinstance(first, DirectUpstream)
        assert (first.usable, links.connected()) == (True, [])
        links.apply(members)
        assert links.get("up-1") is first
        members.apply_list(VmList(2, (attrs.evolve(vm, peer="tcp://127.0.0.1:9"),)))
        links.apply(members)
        assert isinstance(links.get("up-1"), Dialer)
        assert not first.usable
        members.apply_list(VmList(3, (vm,)))
        links.apply(members)
        assert isinstance(links.get("up-1"), DirectUpstream)
        members.apply_list(VmList(4, (attrs.evolve(vm, state=VmState.LEAVING),)))
        links.apply(members)
        assert links.get("up-1") is None
        assert harness.table.usable(harness.service) == []
        await links.async_close()
        ctx.destroy(linger=0)

    run_test(async_main())


def test_changed_concurrency_is_applied_to_existing_links(direct: DirectHarness) -> None:
    """A changed concurrency in the configuration does not reach the links that exist."""
    link, _ = direct.add("up-1")
    assert link.runner.concurrency == 2
    direct.harness.amend_service(concurrency=5)
    direct.direct_links.update_concurrency()
    assert link.runner.concurrency == 5


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("started", [True, False])
def test_requests_at_a_replaced_upstream_end_immediately(
    direct: DirectHarness, idempotent: bool, started: bool
) -> None:
    """The upstream's process was replaced, and the connection to the old one stays open and silent.

    Without the abort, the caller waits until its deadline of five seconds. An idempotent request
    must go to another upstream, and a non-idempotent one must end as unknown, within half a second.
    This includes a request whose sending has not started yet.
    """

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.gate.clear()
        task = asyncio.ensure_future(direct.async_run_request(idempotent=idempotent))
        while not (upstream.bodies if started else link.outstanding):  # noqa: ASYNC110 - loop steps
            await asyncio.sleep(0)
        assert started == bool(upstream.runs)
        _, other = direct.add("up-2")
        direct.harness.table.remove("up-1")
        direct.direct_links.drain(link)
        direct.direct_links.abort_requests("up-1")
        async with asyncio.timeout(0.5):
            result = await task
        if idempotent:
            assert result.unwrap() == "up-2" and len(other.runs) == 1
        else:
            refusal = result.unwrap_err()
            assert refusal.ran is not Ran.NO and other.runs == []
        assert link.outstanding == 0
        assert all(body.closed for body in upstream.bodies)

    run_test(async_main())


def test_requests_at_a_link_removed_long_ago_are_still_aborted(direct: DirectHarness) -> None:
    """A draining link with a running request is dropped while many others come and go."""

    async def async_main() -> None:
        link, upstream = direct.add("up-0")
        upstream.gate.clear()
        task = asyncio.ensure_future(direct.async_run_request(idempotent=False))
        await async_until(lambda: bool(upstream.bodies))
        direct.harness.table.remove("up-0")
        direct.direct_links.drain(link)
        for number in range(1, 9):
            removed, _ = direct.add(f"up-{number}")
            direct.harness.table.remove(f"up-{number}")
            direct.direct_links.drain(removed)
        assert len(direct.direct_links._links) < 9
        direct.direct_links.abort_requests("up-0")
        async with asyncio.timeout(0.5):
            assert (await task).unwrap_err().ran is not Ran.NO

    run_test(async_main())

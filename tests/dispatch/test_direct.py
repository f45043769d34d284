"""Requests to an upstream without a side process: what callers are told, what the upstream sees."""

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
from cranberryline.entry.dialing import Dialing
from cranberryline.entry.links import SideLinks
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

from .conftest import Bench

_SOON = timedelta(seconds=5)
_CUT_OFF = PlatformError(PlatformReason.CUT, may_have_run=True)
_UNREACHABLE = PlatformError(PlatformReason.UNREACHABLE, may_have_run=False)


class Direct:
    """A dispatcher whose upstreams are reached directly, over fakes of the upstreams and the log."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.log = ScriptedLog(FakeClock())
        self.log.script = []
        self.upstreams: dict[str, FakeUpstream] = {}
        self.made = DirectUpstreams(
            bench.clock,
            bench.metrics,
            self.log,
            "life-1",
            itertools.count(1).__next__,
            bench.fold.service,
            bench.dispatcher.wake,
            lambda row: self.upstreams[row.address],
        )

    def add(self, vm_id: str) -> tuple[DirectUpstream, FakeUpstream]:
        """Reach one more upstream."""
        upstream = self.upstreams[address_of(vm_id)] = FakeUpstream()
        link = self.made.make(direct_row(vm_id, self.bench.service))
        self.bench.table.add(self.bench.service, link, "levis")
        return link, upstream

    async def async_ask(self, sink: CollectingSink | None = None, **change: Any) -> Any:
        """Run a request to its end."""
        req = self.bench.request(**{"deadline": self.bench.clock.monotonic() + _SOON, **change})
        return await self.bench.dispatcher.async_run(req, sink or CollectingSink())


def address_of(vm_id: str) -> str:
    """Return an upstream's own address."""
    return f"http://{vm_id}"


def direct_row(vm_id: str, service: str) -> VmEntry:
    """Return the row of an upstream without a side process."""
    return VmEntry(vm_id, VmRole.UPSTREAM, VmState.LIVE, "levis", "", address_of(vm_id), service)


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait until something is so."""
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110 - fakes have no event to wait for
            await asyncio.sleep(0.001)


def play(coro: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine."""
    asyncio.run(coro)


@pytest.fixture
def direct(bench: Bench) -> Direct:
    """Return a dispatcher without upstreams yet."""
    return Direct(bench)


def test_a_whole_answer_reaches_the_caller(direct: Direct) -> None:
    """The caller gets the upstream's answer, part by part, and nothing stays outstanding."""

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.parts = [b"who", b"le"]
        sink = CollectingSink()
        result = await direct.async_ask(sink)
        assert result.unwrap() == "up-1"
        assert (sink.status, sink.body) == (200, b"whole")
        assert (link.outstanding, link.outstanding_tokens) == (0, 0)

    play(async_main())


def test_an_answer_larger_than_the_window_comes_whole(direct: Direct) -> None:
    """The entry grants itself more as the caller reads, as it would a side process."""

    async def async_main() -> None:
        _, upstream = direct.add("up-1")
        upstream.parts = [bytes([n]) * 65536 for n in range(40)]
        sink = CollectingSink()
        assert (await direct.async_ask(sink)).is_ok()
        assert sink.body == b"".join(upstream.parts)

    play(async_main())


def test_an_unreachable_upstream_is_vouched_for_and_another_one_runs(direct: Direct) -> None:
    """No byte was sent, so even a call that must not run twice goes to the other upstream."""

    async def async_main() -> None:
        _, dead = direct.add("up-1")
        _, good = direct.add("up-2")
        dead.error = _UNREACHABLE
        for _ in range(6):
            result = await direct.async_ask(method="POST", idempotent=False)
            assert result.unwrap() == "up-2"
        assert len(good.runs) == 6

    play(async_main())


@pytest.mark.parametrize("idempotent", [True, False])
def test_an_upstream_lost_in_a_run_is_told_truthfully(direct: Direct, idempotent: bool) -> None:
    """The upstream dies after bytes were sent: `unknown`, and only the repeatable is repeated."""

    async def async_main() -> None:
        tries: list[str] = []
        for vm_id in ("up-1", "up-2"):
            _, upstream = direct.add(vm_id)
            upstream.async_send = _lose_noting(tries, vm_id)  # type: ignore[method-assign]
        refusal = (await direct.async_ask(idempotent=idempotent)).unwrap_err()
        assert refusal.ran is Ran.UNKNOWN
        assert (len(tries) == 1) is not idempotent

    play(async_main())


def _lose_noting(tries: list[str], vm_id: str) -> Callable[..., Any]:
    async def async_send(*_: Any) -> Any:
        tries.append(vm_id)
        return Err(_CUT_OFF)

    return async_send


def test_a_cut_answer_is_an_error(direct: Direct) -> None:
    """A caller that has a part of a cut answer is told that it ran and broke."""

    class _CallerSink(CollectingSink):
        can_restart = False

    async def async_main() -> None:
        _, upstream = direct.add("up-1")
        upstream.cut = True
        refusal = (await direct.async_ask(_CallerSink(), idempotent=False)).unwrap_err()
        assert (refusal.ran, refusal.begun) == (Ran.YES, True)

    play(async_main())


def test_a_call_that_is_not_stopped_keeps_its_place(direct: Direct) -> None:
    """The caller of a non-idempotent call gives up; the upstream goes on, and so counts as taken.

    First the caller is told `unknown`, for the run had begun. What is sent meanwhile waits for the
    place, and gets it as soon as the run is over, with nobody else to wake the queue.
    """
    direct.bench.publish_again(concurrency=1)

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.gate.clear()
        soon = direct.bench.clock.monotonic() + timedelta(milliseconds=300)
        first = asyncio.ensure_future(direct.async_ask(method="POST", idempotent=False))
        await async_until(lambda: len(upstream.runs) == 1)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        assert link.outstanding == 1
        late = await direct.async_ask(deadline=soon)
        assert (late.unwrap_err().ran, len(upstream.runs)) == (Ran.NO, 1)
        second = asyncio.ensure_future(direct.async_ask())
        await asyncio.sleep(0.05)
        assert len(upstream.runs) == 1
        upstream.gate.set()
        assert (await second).is_ok()
        assert link.outstanding == 0

    play(async_main())


def test_an_idempotent_run_is_stopped_when_its_caller_leaves(direct: Direct) -> None:
    """Nobody awaits the answer, so the place is free at once."""

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.gate.clear()
        asked = asyncio.ensure_future(direct.async_ask())
        await async_until(lambda: len(upstream.bodies) == 1)
        asked.cancel()
        await asyncio.gather(asked, return_exceptions=True)
        await async_until(lambda: link.outstanding == 0)
        assert upstream.bodies[0].closed

    play(async_main())


def test_a_keyed_call_is_claimed_on_the_log(direct: Direct) -> None:
    """The second call of a key gets the first one's answer, and the upstream has one run."""

    async def async_main() -> None:
        _, upstream = direct.add("up-1")
        keyed = {"method": "POST", "idempotent": False, "key": "booking-1"}
        first, second = CollectingSink(), CollectingSink()
        assert (await direct.async_ask(first, **keyed)).is_ok()
        assert (await direct.async_ask(second, **keyed)).is_ok()
        assert (first.body, second.body) == (b"whole", b"whole")
        assert len(upstream.runs) == 1
        await direct.made.async_stop()

    play(async_main())


def test_a_keyed_call_is_refused_while_the_log_is_out(direct: Direct) -> None:
    """Without the log there is no claim, and without a claim no run."""

    async def async_main() -> None:
        _, upstream = direct.add("up-1")
        direct.log.script = ["refused"] * 10
        result = await direct.async_ask(method="POST", idempotent=False, key="booking-1")
        refusal = result.unwrap_err()
        assert (refusal.reason, refusal.ran) == (RefusalReason.LOG_UNAVAILABLE, Ran.NO)
        assert upstream.runs == []

    play(async_main())


def test_a_planned_stop_waits_for_what_runs(direct: Direct) -> None:
    """The stop ends after the run that its caller left, not before, and nothing new begins."""

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.gate.clear()
        asked = asyncio.ensure_future(direct.async_ask(method="POST", idempotent=False))
        await async_until(lambda: len(upstream.bodies) == 1)
        asked.cancel()
        await asyncio.gather(asked, return_exceptions=True)
        stop = asyncio.ensure_future(direct.made.async_stop())
        await asyncio.sleep(0.02)
        assert not stop.done()
        assert not link.usable
        upstream.gate.set()
        await asyncio.wait_for(stop, 2)
        assert upstream.bodies[0].closed

    play(async_main())


def test_the_list_decides_how_an_upstream_is_reached(direct: Direct) -> None:
    """An empty peer means directly; a side process that appears is dialled in its place.

    What runs directly at that moment goes on to its end, and a stop still waits for it.
    """
    bench = direct.bench
    direct.upstreams[address_of("up-1")] = FakeUpstream()

    async def async_main() -> None:
        ctx = zmq.Context()
        links = SideLinks(
            Dialing(
                ctx,
                SystemClock(),
                "entry-1",
                lambda: Hello("entry-1", "life-1", "entry", "levis", 0),
                itertools.count(1).__next__,
            ),
            DialerEvents(),
            bench.table,
            Metrics(),
            direct.made,
        )
        members, row = Membership(), direct_row("up-1", bench.service)
        members.apply_list(VmList(1, (row,)))
        links.apply(members)
        first = links.get("up-1")
        assert isinstance(first, DirectUpstream)
        assert (first.usable, links.connected()) == (True, [])
        links.apply(members)
        assert links.get("up-1") is first
        members.apply_list(VmList(2, (attrs.evolve(row, peer="tcp://127.0.0.1:9"),)))
        links.apply(members)
        assert isinstance(links.get("up-1"), Dialer)
        assert not first.usable
        members.apply_list(VmList(3, (row,)))
        links.apply(members)
        assert isinstance(links.get("up-1"), DirectUpstream)
        members.apply_list(VmList(4, (attrs.evolve(row, state=VmState.LEAVING),)))
        links.apply(members)
        assert links.get("up-1") is None
        assert bench.table.usable(bench.service) == []
        await links.async_close()
        ctx.destroy(linger=0)

    play(async_main())


def test_concurrency_follows_the_configuration(direct: Direct) -> None:
    """A revision of the service changes how many run at once."""
    link, _ = direct.add("up-1")
    assert link.runner.concurrency == 2
    direct.bench.publish_again(concurrency=5)
    direct.made.on_revision()
    assert link.runner.concurrency == 5


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("begun", [True, False])
def test_what_runs_at_an_upstream_that_is_no_more_is_decided_at_once(
    direct: Direct, idempotent: bool, begun: bool
) -> None:
    """The upstream has started again; its former start's connection stays open and silent.

    Told by the time limit, the caller waits for five seconds. A call that may be repeated goes to
    another upstream now; the other kind is told as unknown now. So it is for one that this entry was
    just about to send, of which no step had run yet.
    """

    async def async_main() -> None:
        link, upstream = direct.add("up-1")
        upstream.gate.clear()
        asked = asyncio.ensure_future(direct.async_ask(idempotent=idempotent))
        while not (upstream.bodies if begun else link.outstanding):  # noqa: ASYNC110 - single turns
            await asyncio.sleep(0)
        assert begun == bool(upstream.runs)
        _, other = direct.add("up-2")
        direct.bench.table.remove("up-1")
        direct.made.retire(link)
        direct.made.end("up-1")
        async with asyncio.timeout(0.5):
            result = await asked
        if idempotent:
            assert result.unwrap() == "up-2" and len(other.runs) == 1
        else:
            refusal = result.unwrap_err()
            assert refusal.ran is not Ran.NO and other.runs == []
        assert link.outstanding == 0
        assert all(body.closed for body in upstream.bodies)

    play(async_main())


def test_an_upstream_that_left_long_ago_is_still_ended(direct: Direct) -> None:
    """It drains with a run under way, and many others come and go before its next start."""

    async def async_main() -> None:
        link, upstream = direct.add("up-0")
        upstream.gate.clear()
        asked = asyncio.ensure_future(direct.async_ask(idempotent=False))
        await async_until(lambda: bool(upstream.bodies))
        direct.bench.table.remove("up-0")
        direct.made.retire(link)
        for number in range(1, 9):
            gone, _ = direct.add(f"up-{number}")
            direct.bench.table.remove(f"up-{number}")
            direct.made.retire(gone)
        assert len(direct.made._links) < 9
        direct.made.end("up-0")
        async with asyncio.timeout(0.5):
            assert (await asked).unwrap_err().ran is not Ran.NO

    play(async_main())

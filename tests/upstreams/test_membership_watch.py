"""The task that polls the VM list: invalid input, back-off, and notices of processes."""

import asyncio
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.entry.membership import MembershipWatch
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import VmEntry, VmList, VmListPort, VmRole, VmState
from cranberryline.transport.model import Drain, Welcome
from tests.virtual_time import LoopClock, run_virtual

DOWN = PlatformError(PlatformReason.UNREACHABLE)


class ScriptedList(VmListPort):
    """Returns the given responses in order, then "unchanged" without delay."""

    def __init__(self, responses: list[Result[VmList | None, PlatformError]]) -> None:
        self.responses = responses
        self.calls = 0

    async def async_list(
        self, known_version: int = 0, wait: timedelta = timedelta()
    ) -> Result[VmList | None, PlatformError]:
        """Return the next response."""
        self.calls += 1
        await asyncio.sleep(0)
        return self.responses.pop(0) if self.responses else Ok(None)


def make_row(vm_id: str) -> VmEntry:
    """Return the row of an upstream."""
    return VmEntry(
        vm_id, VmRole.UPSTREAM, VmState.LIVE, "dc", "tcp://127.0.0.1:1", "http://127.0.0.1:2", "s"
    )


def run_watch(vm_list: ScriptedList, seconds: float) -> tuple[MembershipWatch, Metrics]:
    """Run the task for some seconds of virtual time."""

    async def async_run() -> tuple[MembershipWatch, Metrics]:
        metrics = Metrics()
        watch = MembershipWatch(vm_list, LoopClock(), metrics)
        task = asyncio.create_task(watch.async_run())
        await asyncio.sleep(seconds)
        assert not task.done()
        task.cancel()
        return watch, metrics

    return run_virtual(async_run())


def test_outage_keeps_the_last_list_and_backs_off() -> None:
    """The list service fails for half a minute.

    The members must stay, and requests must back off to fewer than one per second.
    """
    vm_list = ScriptedList([Ok(VmList(1, (make_row("a"),))), *[Err(DOWN)] * 1000])
    watch, metrics = run_watch(vm_list, 30)
    assert [vm.id for vm in watch.membership.upstreams()] == ["a"]
    assert vm_list.calls < 30
    dropped = metrics.value("cranberryline_drops_total", reason="membership_list_unreachable")
    assert dropped == vm_list.calls - 1


def test_invalid_lists_and_rows_are_counted_by_reason() -> None:
    """An outdated list and an invalid row are counted; the valid row must still apply."""
    bad = VmEntry("", VmRole.UPSTREAM, VmState.LIVE, "dc", "x")
    vm_list = ScriptedList([Ok(VmList(5, (make_row("a"), bad))), Ok(VmList(4, ()))])
    watch, metrics = run_watch(vm_list, 1)
    assert [vm.id for vm in watch.membership.upstreams()] == ["a"]
    assert metrics.value("cranberryline_drops_total", reason="membership_bad_row") == 1
    assert metrics.value("cranberryline_drops_total", reason="membership_old_version") == 1


def test_service_without_long_polling_is_not_polled_in_a_tight_loop() -> None:
    """Each poll returns "unchanged" at once; at most five polls per second are permitted."""
    vm_list = ScriptedList([])
    run_watch(vm_list, 10)
    assert vm_list.calls <= 51


def test_notices_of_processes_are_applied() -> None:
    """A drain makes a VM unusable until its next incarnation sends a welcome."""
    watch, metrics = run_watch(ScriptedList([Ok(VmList(1, (make_row("a"),)))]), 1)
    watch.on_welcome(Welcome("a", "life-1", "s", "dc", 0, False))
    watch.on_drain("a", Drain("life-1", 1000))
    assert not watch.membership.usable("a")
    watch.on_welcome(Welcome("a", "life-2", "s", "dc", 0, False))
    assert watch.membership.usable("a")
    watch.on_drain("a", Drain("life-1", 1000))
    assert watch.membership.usable("a")
    assert metrics.value("cranberryline_drops_total", reason="membership_superseded") == 1

"""The task that follows the VM list: nonsense counted, no hot loop, drains taken in."""

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
    """Answer from a script, then "unchanged" at once for ever."""

    def __init__(self, answers: list[Result[VmList | None, PlatformError]]) -> None:
        self.answers = answers
        self.calls = 0

    async def async_list(
        self, known_version: int = 0, wait: timedelta = timedelta()
    ) -> Result[VmList | None, PlatformError]:
        """Return the next answer."""
        self.calls += 1
        await asyncio.sleep(0)
        return self.answers.pop(0) if self.answers else Ok(None)


def row(vm_id: str) -> VmEntry:
    """Return an upstream's row."""
    return VmEntry(
        vm_id, VmRole.UPSTREAM, VmState.LIVE, "dc", "tcp://127.0.0.1:1", "http://127.0.0.1:2", "s"
    )


def follow(vm_list: ScriptedList, seconds: float) -> tuple[MembershipWatch, Metrics]:
    """Run the watch for a while."""

    async def async_case() -> tuple[MembershipWatch, Metrics]:
        metrics = Metrics()
        watch = MembershipWatch(vm_list, LoopClock(), metrics)
        task = asyncio.create_task(watch.async_run())
        await asyncio.sleep(seconds)
        assert not task.done()
        task.cancel()
        return watch, metrics

    return run_virtual(async_case())


def test_outage_keeps_the_last_list_and_backs_off() -> None:
    """The list service fails for half a minute: the members stay, and it is not hammered."""
    vm_list = ScriptedList([Ok(VmList(1, (row("a"),))), *[Err(DOWN)] * 1000])
    watch, metrics = follow(vm_list, 30)
    assert [vm.id for vm in watch.membership.upstreams()] == ["a"]
    assert vm_list.calls < 30
    dropped = metrics.value("cranberryline_drops_total", reason="membership_list_unreachable")
    assert dropped == vm_list.calls - 1


def test_nonsense_is_counted_by_reason() -> None:
    """A list that went back and a bad row are counted; what is good is taken."""
    bad = VmEntry("", VmRole.UPSTREAM, VmState.LIVE, "dc", "x")
    vm_list = ScriptedList([Ok(VmList(5, (row("a"), bad))), Ok(VmList(4, ()))])
    watch, metrics = follow(vm_list, 1)
    assert [vm.id for vm in watch.membership.upstreams()] == ["a"]
    assert metrics.value("cranberryline_drops_total", reason="membership_bad_row") == 1
    assert metrics.value("cranberryline_drops_total", reason="membership_old_version") == 1


def test_service_that_does_not_hold_polls_open_is_not_asked_in_a_loop() -> None:
    """Each poll is answered "unchanged" at once: at most five are made a second."""
    vm_list = ScriptedList([])
    follow(vm_list, 10)
    assert vm_list.calls <= 51


def test_notices_of_processes_are_taken_in() -> None:
    """A drain takes a VM out of use until its next life says welcome."""
    watch, metrics = follow(ScriptedList([Ok(VmList(1, (row("a"),)))]), 1)
    watch.on_welcome(Welcome("a", "life-1", "s", "dc", 0, False))
    watch.on_drain("a", Drain("life-1", 1000))
    assert not watch.membership.usable("a")
    watch.on_welcome(Welcome("a", "life-2", "s", "dc", 0, False))
    assert watch.membership.usable("a")
    watch.on_drain("a", Drain("life-1", 1000))
    assert watch.membership.usable("a")
    assert metrics.value("cranberryline_drops_total", reason="membership_superseded") == 1

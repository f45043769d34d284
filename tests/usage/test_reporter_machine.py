"""Stateful test of reports: one content a window, and no two holders with one token.

More examples: `pytest tests/usage/test_reporter_machine.py --hypothesis-profile deep`.
"""

import asyncio
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests.leases.lease_simulation import AppendFault, Pause
from tests.store_fake import FakeStore
from tests.virtual_time import VirtualLoop

from .conftest import FakeUsageService, UsageVm

STEP_SECONDS = 0.25
# Longer than a lease, a takeover and the time after which a window is settled.
RECOVERY_SECONDS = 20.0
# A VM that has just woken up may have a call on its way.
WOKEN_SECONDS = 0.3
CURRENT_HOLDER = -1
nodes = st.sampled_from((CURRENT_HOLDER, CURRENT_HOLDER, 0, 1, 2))
delays = st.integers(0, 6000).map(lambda milliseconds: timedelta(milliseconds=milliseconds))


class ReporterMachine(RuleBasedStateMachine):
    """Count, decide and send reports while nodes, the log and the service fail step by step."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.service = FakeUsageService()
        self.vms: list[UsageVm] = []
        self.woken: list[tuple[float, str]] = []
        self.holders: dict[int, str] = {}

    @initialize(fenced=st.booleans())
    def start(self, fenced: bool) -> None:
        """Start three nodes; some services do not check tokens."""
        self.service.fenced = fenced
        store = FakeStore()
        self.vms = [
            UsageVm(self.loop, store, f"front-{number}", self.service) for number in range(3)
        ]
        self._run(1.0)

    @rule(seconds=st.floats(0.5, 8.0))
    def advance_time(self, seconds: float) -> None:
        self._run(seconds)

    @rule(node=nodes, faults=st.lists(st.tuples(st.sampled_from(AppendFault), delays), max_size=4))
    def lose_appends(self, node: int, faults: list[tuple[AppendFault, timedelta]]) -> None:
        link = self._vm(node).link
        link.append_faults.clear()
        link.append_faults.extend(faults)

    @rule(node=nodes, lag=st.sampled_from((0, 300, 800)))
    def delay_reads(self, node: int, lag: int) -> None:
        self._vm(node).link.read_lag = timedelta(milliseconds=lag)

    @rule(node=nodes, refused=st.booleans())
    def cut_from_the_store(self, node: int, refused: bool) -> None:
        self._vm(node).link.refusing = lambda _topic, _part: refused

    @rule(silent=st.booleans(), late=delays)
    def lose_answers_of_the_service(self, silent: bool, late: timedelta) -> None:
        """Carry calls without an answer out up to six seconds later."""
        self.service.silent, self.service.late = silent, late

    @rule(refuse=st.booleans())
    def refuse_calls(self, refuse: bool) -> None:
        self.service.refuse = refuse

    @rule(node=nodes, pause=st.sampled_from(Pause))
    def freeze(self, node: int, pause: Pause) -> None:
        clock = self._vm(node).clock
        if not clock.paused:
            clock.pause(pause)

    @rule(node=nodes)
    def thaw(self, node: int) -> None:
        self._wake(self._vm(node))

    @rule(node=nodes)
    def kill(self, node: int) -> None:
        self._vm(node).kill()

    @rule(node=nodes)
    def restart(self, node: int) -> None:
        vm = self._vm(node)
        if not vm.tasks and not vm.clock.paused:
            vm.start()

    @invariant()
    def one_content_a_window(self) -> None:
        """Check what the service accepted so far."""
        contents = self.service.contents()
        assert all(len(found) == 1 for found in contents.values()), contents
        for report in self.service.accepted:
            assert self.holders.setdefault(report.token, report.holder) == report.holder

    @invariant()
    def holders_follow_each_other(self) -> None:
        """Check that no call has a lower token than one before; the service may not check it."""
        highest = 0
        for at, holder, token in self.service.arrived:
            if not self._just_woken(at, holder):
                assert token >= highest, self.service.arrived
            highest = max(highest, token)

    def teardown(self) -> None:
        """Check that reports continue once all faults have ended."""
        try:
            if self.vms:
                self._recover()
        finally:
            for vm in self.vms:
                vm.kill()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()

    def _recover(self) -> None:
        self.service.silent = self.service.refuse = False
        for vm in self.vms:
            vm.link.append_faults.clear()
            vm.link.read_lag = timedelta()
            vm.link.refusing = lambda _topic, _part: False
            self._wake(vm)
            if not vm.tasks:
                vm.start()
        before = len(self.service.contents())
        self._run(RECOVERY_SECONDS)
        assert len(self.service.contents()) > before

    def _wake(self, vm: UsageVm) -> None:
        if vm.clock.paused:
            vm.clock.wake()
            self.woken.append((self.loop.time(), f"front-{self.vms.index(vm)}"))

    def _just_woken(self, at: float, holder: str) -> bool:
        return any(
            name == holder and 0 <= at - woken <= WOKEN_SECONDS for woken, name in self.woken
        )

    def _vm(self, node: int) -> UsageVm:
        if node != CURRENT_HOLDER:
            return self.vms[node]
        return next((vm for vm in self.vms if vm.token() is not None), self.vms[0])

    def _run(self, seconds: float) -> None:
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            self.loop.run_until_complete(asyncio.sleep(STEP_SECONDS))
            for vm in self.vms:
                if vm.tasks and not vm.clock.paused:
                    vm.counter.count("a", vm.clock.elapsed())
        self.one_content_a_window()


def test_no_order_of_faults_gives_a_window_two_contents() -> None:
    """Holders are killed, frozen and cut off while appends and reports are lost or late."""
    half = settings(max_examples=settings().max_examples // 2)
    run_state_machine_as_test(ReporterMachine, settings=half)

"""One content a window under faults of the store, the service and the holder."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

import pytest

from tests.leases.lease_simulation import AppendFault, Pause
from tests.store_fake import FakeStore
from tests.virtual_time import START, VirtualLoop

from .conftest import WINDOWS, FakeUsageService, UsageVm


class Fleet:
    """Some gateways over one store and one service, in virtual time."""

    def __init__(self, nodes: int = 3) -> None:
        random.seed(1)
        self.loop = VirtualLoop()
        self.store = FakeStore()
        self.service = FakeUsageService()
        self.vms = [
            UsageVm(self.loop, self.store, f"front-{number}", self.service)
            for number in range(nodes)
        ]
        self.truth: dict[int, Counter[str]] = {}

    def run(self, seconds: float, rate: float = 4.0) -> None:
        """Let time pass while each running gateway serves requests."""
        rng = random.Random(seconds)
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            self.advance(1 / rate)
            for vm in self.vms:
                if vm.tasks and not vm.clock.paused:
                    workspace = rng.choice("abc")
                    window = WINDOWS.window_at(START.timestamp() + self.loop.time())
                    self.truth.setdefault(window, Counter())[workspace] += 1
                    vm.counter.count(workspace, vm.clock.elapsed())

    def advance(self, seconds: float) -> None:
        """Let time pass without requests."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @property
    def holder(self) -> UsageVm:
        """Return the VM that holds the lease."""
        return next(vm for vm in self.vms if vm.token() is not None)

    def close(self) -> None:
        """End all processes."""
        for vm in self.vms:
            vm.kill()
        self.advance(0)
        self.loop.close()

    def reported(self) -> dict[int, dict[str, int]]:
        """Return the reports, after checking that each window has one content."""
        contents = self.service.contents()
        assert all(len(found) == 1 for found in contents.values()), contents
        return {window: found[0] for window, found in contents.items()}


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Return three gateways."""
    made = Fleet()
    yield made
    made.close()


def _check_exact(fleet: Fleet, at_least: int, killed_in: int | None = None) -> None:
    """Check all reports; a kill loses at most a second of one VM's four requests a second."""
    reported = fleet.reported()
    whole = {window: counts for window, counts in fleet.truth.items() if window in reported}
    assert len(whole) >= at_least
    for window, counts in whole.items():
        if window == killed_in:
            assert 0 <= counts.total() - sum(reported[window].values()) <= 4
        else:
            assert reported[window] == counts, window


def test_each_window_is_reported_exactly_and_in_time(fleet: Fleet) -> None:
    """Without faults every window is reported once, before it is due."""
    fleet.run(42)
    fleet.advance(10)
    _check_exact(fleet, 8)
    assert len(fleet.service.accepted) == len(fleet.service.contents())


def test_a_successor_sends_what_its_predecessor_decided(fleet: Fleet) -> None:
    """The holder decides a window, loses the answer of its report and is killed."""
    fleet.run(12)
    fleet.service.silent = True
    fleet.run(7)
    fleet.holder.kill()
    killed_in = WINDOWS.window_at(START.timestamp() + fleet.loop.time())
    fleet.service.silent = False
    fleet.run(12)
    fleet.advance(10)
    _check_exact(fleet, 5, killed_in)
    assert len({report.token for report in fleet.service.accepted}) == 2


@pytest.mark.parametrize("pause", list(Pause))
def test_a_frozen_holder_does_not_report_under_its_old_token(fleet: Fleet, pause: Pause) -> None:
    """The holder is frozen for longer than its lease, in the middle of its work."""
    fleet.run(11)
    frozen = fleet.holder
    frozen.clock.pause(pause)
    fleet.run(9)
    frozen.clock.wake()
    fleet.run(12)
    fleet.advance(10)
    fleet.reported()
    assert not fleet.service.refused_tokens
    tokens = [report.token for report in fleet.service.accepted]
    assert tokens == sorted(tokens)


def test_a_holder_that_is_fenced_off_does_not_call_again(fleet: Fleet) -> None:
    """A call that had no answer is carried out late, under the next holder's token."""
    fleet.run(9)
    fleet.service._highest = 1_000_000
    calls = len(fleet.service.called)
    fleet.run(6)
    assert len(fleet.service.called) - calls <= 2
    assert len(fleet.service.refused_tokens) >= 1


@pytest.mark.parametrize(
    "fault",
    [AppendFault.NOT_APPENDED, AppendFault.RESPONSE_LOST, AppendFault.DELAYED],
)
def test_a_decision_without_an_answer_is_settled_by_reading(
    fleet: Fleet, fault: AppendFault
) -> None:
    """Appends of the holder have no answer; the report is what the log has."""
    fleet.run(8)
    for _ in range(3):
        fleet.holder.link.append_faults.extend([(fault, timedelta(seconds=2))] * 3)
        fleet.run(5)
    fleet.advance(12)
    fleet.reported()
    assert len(fleet.service.contents()) >= 4


def test_reports_that_are_in_time_go_before_late_ones(fleet: Fleet) -> None:
    """No report can be decided for longer than the time limit of one."""
    fleet.run(8)
    for vm in fleet.vms:
        vm.link.refusing = lambda topic, _part: topic == "usage_reports"
    fleet.run(22)
    for vm in fleet.vms:
        vm.link.refusing = lambda _topic, _part: False
    before, now = len(fleet.service.accepted), START.timestamp() + fleet.loop.time()
    fleet.advance(3)
    sent = [report.window for report in fleet.service.accepted[before:]]
    is_late = [WINDOWS.due(window) < now for window in sent]
    assert is_late == sorted(is_late) and True in is_late and False in is_late
    calls = Counter(report.window for report in fleet.service.accepted)
    assert max(calls.values()) == 1


def test_a_window_past_its_time_is_sent_once(fleet: Fleet) -> None:
    """The service is out for long; no call is repeated for a report that is late anyway."""
    fleet.run(8)
    fleet.service.refuse = True
    fleet.run(22)
    fleet.service.refuse = False
    fleet.advance(10)
    late_calls = Counter(window for at, window in fleet.service.called if at > WINDOWS.due(window))
    assert late_calls and max(late_calls.values()) == 1


def test_all_gateways_killed_at_once_lose_less_than_a_second_of_counts(fleet: Fleet) -> None:
    """Counts are stored within a second, and the next holder finds them."""
    fleet.run(10.5)
    for vm in fleet.vms:
        vm.kill()
    killed_at = START.timestamp() + fleet.loop.time()
    window = WINDOWS.window_at(killed_at)
    for vm in fleet.vms:
        vm.start()
    fleet.run(10)
    fleet.advance(10)
    reported = fleet.reported()
    lost = fleet.truth[window].total() - sum(reported[window].values())
    assert 0 <= lost <= 4 * 3
    assert reported[window - 1] == fleet.truth[window - 1]


def test_idle_gateways_write_no_counts(fleet: Fleet) -> None:
    """Nobody asks: no count is stored, only the short report of an empty window."""
    fleet.advance(30)
    assert not any(
        topic == "usage_counts" and rows for (topic, _), rows in fleet.store.records.items()
    )

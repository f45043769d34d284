"""Gateways' parts for reports of use, over one simulated log."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta

import attrs

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.store_health import StoreHealth
from cranberryline.usage import (
    PeerClock,
    ReportOutcome,
    UsageCounter,
    UsagePort,
    UsageReporter,
    UsageWindows,
    UsageWriter,
)
from cranberryline.usage.reporter import ReporterParts
from tests.leases.lease_simulation import SimulatedVm
from tests.store_fake import FakeStore
from tests.virtual_time import VirtualLoop

PARTITIONS = 2
WINDOWS = UsageWindows(timedelta(seconds=5), timedelta(seconds=10))


@attrs.frozen
class Accepted:
    """A report as the service accepted it."""

    window: int
    counts: dict[str, int]
    holder: str
    token: int


@attrs.define
class FakeUsageService:
    """Takes reports with fencing; `fenced` is whether it checks the token.

    `called` has the time and window of each call, `arrived` the time, holder and token of each that
    reached the service. `refuse` answers that nothing was done, `silent` loses the answer, and
    `late` is how much later a call without an answer is carried out.
    """

    fenced: bool = True
    refuse: bool = False
    silent: bool = False
    late: timedelta = timedelta()
    accepted: list[Accepted] = attrs.field(factory=list)
    called: list[tuple[float, int]] = attrs.field(factory=list)
    arrived: list[tuple[float, str, int]] = attrs.field(factory=list)
    refused_tokens: list[int] = attrs.field(factory=list)
    _highest: int = 0

    def take(self, report: Accepted) -> bool:
        """Carry a call out; return whether the token was high enough."""
        if self.fenced and report.token < self._highest:
            self.refused_tokens.append(report.token)
            return False
        self._highest = max(self._highest, report.token)
        self.accepted.append(report)
        return True

    def contents(self) -> dict[int, list[dict[str, int]]]:
        """Return the different contents that were accepted for each window."""
        found: dict[int, list[dict[str, int]]] = {}
        for report in self.accepted:
            known = found.setdefault(report.window, [])
            if report.counts not in known:
                known.append(report.counts)
        return found


class UsageLink(UsagePort):
    """One node's way to the service."""

    def __init__(self, service: FakeUsageService, vm: SimulatedVm) -> None:
        self._service = service
        self._vm = vm

    async def async_report(
        self, window: int, counts: Mapping[str, int], holder: str, token: int
    ) -> ReportOutcome:
        """Report under the faults in force."""
        service, clock = self._service, self._vm.clock
        service.called.append((clock.now().timestamp(), window))
        report = Accepted(window, dict(counts), holder, token)
        await clock.async_sleep(timedelta(milliseconds=3))
        service.arrived.append((asyncio.get_running_loop().time(), holder, token))
        if service.refuse:
            return ReportOutcome.REFUSED
        if service.silent:
            loop = asyncio.get_running_loop()
            loop.call_later(service.late.total_seconds(), service.take, report)
            await clock.async_sleep(timedelta(seconds=1.5))
            return ReportOutcome.UNKNOWN
        return ReportOutcome.ACCEPTED if service.take(report) else ReportOutcome.FENCED


class UsageVm(SimulatedVm):
    """A VM whose process counts requests and reports them while it holds the lease."""

    def __init__(
        self, loop: VirtualLoop, store: FakeStore, name: str, service: FakeUsageService
    ) -> None:
        self._service = service
        self.metrics = Metrics()
        super().__init__(loop, store, name)

    def start(self) -> None:
        """Start a new process."""
        super().start()
        peer_clock = PeerClock(self.clock)
        health = StoreHealth(self.clock, self.metrics)
        self.counter = UsageCounter(WINDOWS, peer_clock, self._name)
        writer = UsageWriter(self.counter, self.link, self._name, PARTITIONS, self.clock, lambda: 3)
        parts = ReporterParts(
            self._name,
            self.link,
            PARTITIONS,
            self.keeper,
            UsageLink(self._service, self),
            self.clock,
            peer_clock,
            health,
            self.metrics,
        )
        self.reporter = UsageReporter(parts, WINDOWS)
        self.tasks += [
            self._loop.create_task(part) for part in (writer.async_run(), self.reporter.async_run())
        ]

"""Idle connections to upstreams, each used by one of the requests of the same moment."""

import asyncio
from datetime import timedelta
from random import Random

import pytest
from result import Result

from cranberryline.decisions import RouteRequest
from cranberryline.dispatch.candidates import choose_upstream
from cranberryline.dispatch.model import CallerRequest
from cranberryline.dispatch.upstreams import Upstream
from cranberryline.helpers.clock import SystemClock
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import UpstreamBody, UpstreamRequest
from tests.execution.conftest import FakeUpstream

from .conftest import DispatcherHarness
from .test_direct import DirectHarness, address_of, async_until, direct_vm, run_test

CONCURRENCY = 8
UPSTREAMS = 12


class _KeepingUpstream(FakeUpstream):
    """An upstream that counts the connections which are opened to it."""

    def __init__(self, idle: int) -> None:
        super().__init__()
        self.idle = idle
        self.opened = 0
        self.gate.clear()

    def connected(self) -> bool:
        return self.idle > 0

    def idle_connections(self) -> int:
        return self.idle

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        if self.idle:
            self.idle -= 1
        else:
            self.opened += 1
        return await super().async_send(req, timeout)


class _Site:
    """A dispatcher whose upstreams have idle connections, counted or not."""

    def __init__(self, idle: int, connected: int, counted: bool = True) -> None:
        self.harness = DispatcherHarness(SystemClock(), concurrency=CONCURRENCY)
        self.direct = DirectHarness(self.harness)
        self.harness.table.count_connections(lambda: counted)
        self.ports: list[_KeepingUpstream] = []
        self.pool = self.harness.table.pool(self.harness.service)
        for number in range(UPSTREAMS):
            self._add(f"up-{number}", idle if number < connected else 0)

    def _add(self, vm_id: str, idle: int) -> None:
        port = self.direct.upstreams[address_of(vm_id)] = _KeepingUpstream(idle)
        self.ports.append(port)
        link = self.direct.direct_links.make(direct_vm(vm_id, self.harness.service))
        self.harness.table.add(self.harness.service, link, "levis")
        self.pool.record_ended(vm_id)

    def upstream(self, number: int = 0) -> Upstream:
        """Return an upstream as the pool knows it."""
        upstream = self.pool.get(f"up-{number}")
        assert upstream is not None
        return upstream

    @property
    def sent(self) -> int:
        """Return how many requests upstreams have received."""
        return sum(len(port.runs) for port in self.ports)

    async def async_run(self, count: int, gap: float | None = None) -> int:
        """Run requests at the same time, and return how many connections they opened."""
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.create_task(self.direct.async_run_request()))
            if gap is not None:
                await asyncio.sleep(gap)
        await async_until(lambda: self.sent == count)
        for port in self.ports:
            port.gate.set()
        results = await asyncio.gather(*tasks)
        assert all(result.is_ok() for result in results)
        return sum(port.opened for port in self.ports)


@pytest.mark.parametrize("gap", [None, 0.0])
@pytest.mark.parametrize(("idle", "connected"), [(1, 8), (4, 2), (2, 4)])
def test_requests_of_a_moment_open_no_connection(
    idle: int, connected: int, gap: float | None
) -> None:
    """Requests of the same turn, or of the next ones, choose an upstream for one connection."""

    async def async_main() -> None:
        assert await _Site(idle, connected).async_run(8, gap) == 0

    run_test(async_main())


def test_requests_without_a_connection_do_not_wait() -> None:
    """Requests wait for connections that others use, while slots are free."""

    async def async_main() -> None:
        assert await _Site(1, 3).async_run(10) == 7

    run_test(async_main())


@pytest.mark.parametrize("counted", [False, True])
def test_connections_are_counted_where_slots_are_shared(counted: bool) -> None:
    """Where they are not shared, requests are routed otherwise than before."""

    async def async_main() -> None:
        site = _Site(1, 2, counted)
        now = site.harness.clock.monotonic()
        req = CallerRequest("s", "GET", "/", (), b"", now + timedelta(seconds=9), "caller")
        chosen: list[str] = []
        for seed in range(4):
            site.pool.update(CONCURRENCY, now)
            routed = RouteRequest(tokens=1, short=True)
            upstream = choose_upstream(site.pool, req, routed, now, Random(seed))
            assert upstream is not None
            upstream.reserve(now)
            chosen.append(upstream.id)
        connected = {"up-0", "up-1"}
        if counted:
            assert set(chosen[:2]) == connected
        else:
            assert set(chosen) <= connected

    run_test(async_main())


def test_request_takes_a_connection_until_it_is_sent() -> None:
    """A request counts twice, reserved and on the connection, or not at all in between."""

    async def async_main() -> None:
        site = _Site(3, 1)
        upstream, port = site.upstream(), site.ports[0]
        upstream.reserve(site.harness.clock.monotonic())
        assert upstream.spare_connections == 2
        task = asyncio.create_task(site.direct.async_run_request(upstream="up-0"))
        spare = {upstream.spare_connections}
        while not port.runs:
            await asyncio.sleep(0)
            spare.add(upstream.spare_connections)
        # The first reservation stays without a request.
        assert spare == {1, 2}
        port.gate.set()
        await task
        assert upstream.spare_connections == 1
        upstream.release()
        assert upstream.spare_connections == 2

    run_test(async_main())

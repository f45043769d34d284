"""Test the controller in the side process that orders its engine to load weights."""

import asyncio
from datetime import timedelta
from typing import Any

import pytest
from result import Err, Ok, Result

from cranberryline.configs.model import ServiceSpec
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import EngineLoad, EnginePort, UpstreamBody, UpstreamRequest
from cranberryline.side.config_sync import SideConfigSync
from cranberryline.side.weights import StaggeredSwapDelay, SwapDelayPolicy, WeightsController
from tests.configs.config_fakes import Cluster, FakeLog, service_data, weights_data
from tests.virtual_time import run_virtual

STORE_BUSY = PlatformError(PlatformReason.REFUSED, "store busy", status=503, retry_after_s=2.0)
FAILED_MIDWAY = PlatformError(PlatformReason.REFUSED, "the swap failed half way", status=500)
STALE_FENCE = PlatformError(PlatformReason.STALE_FENCE, status=409)
SWAP_SECONDS = 0.5


class FakeEngine(EnginePort):
    """An engine that swaps or fails as set in `outcomes`; its reports are `lag` seconds old."""

    def __init__(self, version: int | None = 1, checks_fence: bool = True) -> None:
        self.version = version
        self.fence = 0
        self.checks_fence = checks_fence
        self.outcomes: list[Any] = []
        self.orders: list[tuple[int, int, float]] = []
        self.lag = 1.0
        self._reports: list[tuple[float, int | None, int]] = []

    async def async_send(
        self, req: UpstreamRequest, timeout: timedelta
    ) -> Result[UpstreamBody, PlatformError]:
        """Raise, since the controller sends no requests."""
        raise NotImplementedError

    async def async_cancel(self, request_id: str) -> Result[bool, PlatformError]:
        """Return False, since there are no requests to cancel."""
        return Ok(False)

    async def async_cache_events(
        self, after: int, wait: timedelta
    ) -> Result[list[dict[str, Any]], PlatformError]:
        """Return no events."""
        return Ok([])

    async def async_load_weights(
        self, model: str, version: int, fence: int, timeout: timedelta
    ) -> Result[int, PlatformError]:
        """Swap, or produce the next of `outcomes`."""
        loop = asyncio.get_running_loop()
        self.orders.append((version, fence, loop.time()))
        if self.checks_fence and fence < self.fence:
            return Err(STALE_FENCE)
        self.fence = max(self.fence, fence)
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if outcome is STORE_BUSY:
            return Err(STORE_BUSY)
        if isinstance(outcome, Exception):
            raise outcome
        await asyncio.sleep(SWAP_SECONDS)
        self.change(None if outcome is FAILED_MIDWAY else version)
        if isinstance(outcome, PlatformError):
            return Err(outcome)
        if isinstance(outcome, int):
            self.change(outcome)
            return Ok(outcome)
        return Ok(version)

    async def async_load(self) -> Result[EngineLoad, PlatformError]:
        """Return the load as it was `lag` seconds ago."""
        horizon = asyncio.get_running_loop().time() - self.lag
        seen = [row for row in self._reports if row[0] <= horizon]
        version, fence = seen[-1][1:] if seen else (self.first_version, 0)
        return Ok(EngineLoad(0, 0, 0, 4, version, fence))

    @property
    def first_version(self) -> int | None:
        """Return the version served before the first change."""
        return self._first if hasattr(self, "_first") else self.version

    def change(self, version: int | None) -> None:
        """Change the version that the engine serves."""
        if not hasattr(self, "_first"):
            self._first = self.version
        self.version = version
        self._reports.append((asyncio.get_running_loop().time(), version, self.fence))

    def restart(self, version: int) -> None:
        """Restart with the weights of the image and without a fencing token."""
        self.fence = 0
        self.change(version)


class FixedSlots(SwapDelayPolicy):
    """Give every engine the same swap delay."""

    def __init__(self, delay: float = 0.0) -> None:
        self._delay = timedelta(seconds=delay)

    def delay(self, spec: ServiceSpec, version: int) -> timedelta:
        """Return the fixed delay."""
        return self._delay


class Harness:
    """Two gateways (entries), one side process with its controller, and an engine."""

    def __init__(self, engine: FakeEngine, slots: SwapDelayPolicy | None = None) -> None:
        self.log = FakeLog()
        self.log.put(service_data())
        self.cluster = Cluster(self.log)
        for name in ("entry-0", "entry-1"):
            self.cluster.add_entry(name)
        self.side: SideConfigSync = self.cluster.add_side("side-0")
        self.engine = engine
        self.metrics = Metrics()
        self.controller = WeightsController(
            "samplers", self.side, engine, slots or FixedSlots(), self.cluster.clock, self.metrics
        )
        self.task = asyncio.create_task(self.controller.async_run())

    async def async_publish(self, version: int, amends: int = 0) -> int:
        """Publish a weights record and return its offset."""
        return await self.log.async_put(weights_data(version, amends))

    async def async_until_serving(self, version: int, within: float) -> float:
        """Wait until the engine serves a version and return the seconds it took."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while self.engine.version != version:
            assert loop.time() - start <= within, (self.engine.version, self.engine.orders)
            await asyncio.sleep(0.01)
        return loop.time() - start

    def close(self) -> None:
        """Cancel all tasks."""
        assert not self.task.done(), self.task
        self.task.cancel()
        self.cluster.close()


def test_weights_record_reaches_the_engine_with_its_offset_as_fence() -> None:
    """A record takes effect: the engine gets one order, with the record's offset as fencing token."""

    async def async_case() -> None:
        harness = Harness(FakeEngine())
        offset = await harness.async_publish(7)
        assert await harness.async_until_serving(7, 4.0) < 3.0
        await asyncio.sleep(30)
        assert [order[:2] for order in harness.engine.orders] == [(7, offset)]
        assert harness.controller.state.verified
        harness.close()

    run_virtual(async_case())


def test_swap_waits_for_its_scheduled_delay() -> None:
    """The engine's swap is scheduled 5 s after the version takes effect."""

    async def async_case() -> None:
        harness = Harness(FakeEngine(), FixedSlots(5.0))
        await asyncio.sleep(1)
        await harness.async_publish(7)
        assert 5.0 <= await harness.async_until_serving(7, 10.0) <= 6.5
        harness.close()

    run_virtual(async_case())


def test_newer_version_replaces_the_one_that_waits_for_its_delay() -> None:
    """A second version is published during the delay of the first: only the second is loaded."""

    async def async_case() -> None:
        harness = Harness(FakeEngine(), FixedSlots(5.0))
        await asyncio.sleep(1)
        offset = await harness.async_publish(7)
        await asyncio.sleep(2)
        await harness.async_publish(8, offset)
        await harness.async_until_serving(8, 10.0)
        assert [order[0] for order in harness.engine.orders] == [8]
        harness.close()

    run_virtual(async_case())


def test_busy_store_is_not_retried_before_its_retry_after_time() -> None:
    """The store rejects the fetch twice with Retry-After 2 s; each order waits that long and jitter."""

    async def async_case() -> None:
        harness = Harness(FakeEngine())
        harness.engine.outcomes = [STORE_BUSY, STORE_BUSY]
        await harness.async_publish(7)
        await harness.async_until_serving(7, 10.0)
        times = [order[2] for order in harness.engine.orders]
        assert len(times) == 3
        assert all(later - sooner >= 2.0 for sooner, later in zip(times, times[1:], strict=False))
        assert harness.metrics.value("cranberryline_weight_orders_total", outcome="store_busy") == 2
        harness.close()

    run_virtual(async_case())


@pytest.mark.parametrize("outcome", [FAILED_MIDWAY, PlatformError(PlatformReason.CUT), 3])
def test_failed_swap_is_ordered_again(outcome: Any) -> None:
    """A swap fails midway, its response is lost, or it loads another version than ordered.

    The engine serves the target version within seconds, ordered with the same fencing token.
    """

    async def async_case() -> None:
        harness = Harness(FakeEngine())
        harness.engine.outcomes = [outcome]
        offset = await harness.async_publish(7)
        await harness.async_until_serving(7, 4.0)
        await asyncio.sleep(15)
        assert harness.engine.version == 7
        assert harness.controller.state.verified
        assert {order[1] for order in harness.engine.orders} == {offset}
        harness.close()

    run_virtual(async_case())


def test_restarted_engine_is_ordered_to_load_the_target_version() -> None:
    """The engine crashes and restarts with version 1, two minutes after the swap.

    Without a new record it serves the target version again within a poll interval of 5 s, the lag
    of its report and the duration of a swap.
    """

    async def async_case() -> float:
        harness = Harness(FakeEngine())
        await harness.async_publish(7)
        await harness.async_until_serving(7, 4.0)
        await asyncio.sleep(120)
        harness.engine.restart(1)
        duration = await harness.async_until_serving(7, 10.0)
        harness.close()
        return duration

    assert run_virtual(async_case()) < 8.0


def test_restarted_side_process_does_not_order_the_version_already_served() -> None:
    """The engine already serves the target version when the side process starts."""

    async def async_case() -> None:
        engine = FakeEngine(version=7)
        harness = Harness(engine)
        await harness.async_publish(7)
        await asyncio.sleep(20)
        assert engine.orders == []
        assert harness.controller.state.verified
        harness.close()

    run_virtual(async_case())


def test_nothing_is_ordered_while_no_gateway_confirms_the_record() -> None:
    """The side process loses its connection to all gateways between a record and its swap.

    It orders nothing, since a newer record may exist. Within seconds of the reconnection it orders
    the version of the newest record.
    """

    async def async_case() -> None:
        harness = Harness(FakeEngine(), FixedSlots(1.0))
        await asyncio.sleep(1)
        offset = await harness.async_publish(7)
        await harness.cluster.async_until_all_have(offset, 2.0)
        harness.cluster.cut_connections = {
            frozenset(("entry-0", "side-0")),
            frozenset(("entry-1", "side-0")),
        }
        await harness.async_publish(8, offset)
        await asyncio.sleep(20)
        assert harness.engine.orders == []
        harness.cluster.cut_connections = set()
        await harness.async_until_serving(8, 10.0)
        assert [order[0] for order in harness.engine.orders] == [8]
        harness.close()

    run_virtual(async_case())


def test_order_is_not_sent_when_a_pause_made_its_confirmation_too_old() -> None:
    """The process is paused for a minute just after a gateway confirmed its configuration.

    A newer record takes effect meanwhile, and the engine does not check fencing tokens. The order
    for the older record is not sent; the process asks again and orders the newer version.
    """

    async def async_case() -> None:
        harness = Harness(FakeEngine(checks_fence=False))
        confirm = harness.side.async_confirm
        pauses: list[bool] = []

        async def async_confirm(wait: timedelta) -> Any:
            answer = await confirm(wait)
            if isinstance(answer, Ok) and not pauses:
                pauses.append(True)
                harness.cluster.cut_connections = {
                    frozenset((name, "side-0")) for name in ("entry-0", "entry-1")
                }
                await harness.async_publish(8, offset)
                await asyncio.sleep(60)
                harness.cluster.cut_connections = set()
            return answer

        harness.side.async_confirm = async_confirm  # type: ignore[method-assign]
        offset = await harness.async_publish(7)
        await harness.async_until_serving(8, 80.0)
        assert pauses
        assert [order[0] for order in harness.engine.orders] == [8]
        assert harness.metrics.value("cranberryline_retries_total", reason="weights_knowledge_old")
        harness.close()

    run_virtual(async_case())


def test_confirmation_is_dated_by_its_request_not_by_its_response() -> None:
    """The response to a confirmation request arrives 30 s late, as after a pause of the process.

    The confirmation has the time of the request, so it is too old to send an order.
    """

    async def async_case() -> None:
        harness = Harness(FakeEngine())
        await asyncio.sleep(1)
        side = harness.side
        before = harness.cluster.clock.monotonic()
        confirmed = await side.async_confirm(timedelta(seconds=1))
        assert confirmed.unwrap() - before < timedelta(seconds=0.2)
        harness.cluster.cut_connections = {
            frozenset(("entry-0", "side-0")),
            frozenset(("entry-1", "side-0")),
        }
        asked = asyncio.create_task(side.async_confirm(timedelta(seconds=60)))
        await asyncio.sleep(30)
        side.on_message("entry-0", harness.cluster.nodes["entry-0"].sync.relay.delta_since(99))
        answer = await asked
        assert harness.cluster.clock.monotonic() - answer.unwrap() >= timedelta(seconds=29)
        harness.close()

    run_virtual(async_case())


def test_order_is_sent_again_when_its_response_cannot_be_parsed() -> None:
    """The client raises for an unexpected response; the target is served a few seconds later."""

    async def async_case() -> None:
        harness = Harness(FakeEngine())
        harness.engine.outcomes = [KeyError("weight_version")]
        await harness.async_publish(7)
        await harness.async_until_serving(7, 10.0)
        assert harness.metrics.value("cranberryline_drops_total", reason="task_failed") == 1
        harness.close()

    run_virtual(async_case())


def test_order_with_a_stale_fencing_token_is_not_repeated() -> None:
    """The engine has accepted a higher fencing token from an earlier run of this process.

    At most one order is sent, then none until a newer record.
    """

    async def async_case() -> None:
        engine = FakeEngine()
        engine.fence = 50
        engine.lag = 1000.0
        harness = Harness(engine)
        offset = await harness.async_publish(7)
        await asyncio.sleep(3)
        assert len(engine.orders) <= 1
        assert engine.version == 1
        assert offset < 50
        harness.close()

    run_virtual(async_case())


def test_swap_delays_are_spread_at_the_rate_of_the_store() -> None:
    """Each of 20 engines computes its own delay; they are 0.25 s apart, as the store's rate allows."""
    names = [f"vm-{number}" for number in range(20)]
    spec = ServiceSpec("engine", "m", fetches_per_second=4.0, swap_fraction=1.0)
    delays = sorted(StaggeredSwapDelay(name, lambda: names).delay(spec, 7) for name in names)
    gaps = [later - sooner for sooner, later in zip(delays, delays[1:], strict=False)]
    assert delays[0] == timedelta()
    assert all(gap == timedelta(seconds=0.25) for gap in gaps)

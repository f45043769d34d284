"""The controller beside an engine: fenced, spread, verified, repaired, and never on old knowledge."""

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
from cranberryline.side.weights import ShiftSlots, SwapSlots, WeightsController
from tests.configs.config_fakes import Cluster, FakeLog, service_data, weights_data
from tests.virtual_time import run_virtual

BUSY = PlatformError(PlatformReason.REFUSED, "store busy", status=503, retry_after_s=2.0)
HALF = PlatformError(PlatformReason.REFUSED, "the swap failed half way", status=500)
STALE = PlatformError(PlatformReason.STALE_FENCE, status=409)
SWAP_SECONDS = 0.5


class FakeEngine(EnginePort):
    """An engine that swaps, fails as told, and reports with a lag."""

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
        """Serve no requests."""
        raise NotImplementedError

    async def async_cancel(self, request_id: str) -> Result[bool, PlatformError]:
        """Know no streams."""
        return Ok(False)

    async def async_cache_events(
        self, after: int, wait: timedelta
    ) -> Result[list[dict[str, Any]], PlatformError]:
        """Publish no events."""
        return Ok([])

    async def async_load_weights(
        self, model: str, version: int, fence: int, timeout: timedelta
    ) -> Result[int, PlatformError]:
        """Swap, or do as told."""
        loop = asyncio.get_running_loop()
        self.orders.append((version, fence, loop.time()))
        if self.checks_fence and fence < self.fence:
            return Err(STALE)
        self.fence = max(self.fence, fence)
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if outcome is BUSY:
            return Err(BUSY)
        if isinstance(outcome, Exception):
            raise outcome
        await asyncio.sleep(SWAP_SECONDS)
        self.change(None if outcome is HALF else version)
        if isinstance(outcome, PlatformError):
            return Err(outcome)
        if isinstance(outcome, int):
            self.change(outcome)
            return Ok(outcome)
        return Ok(version)

    async def async_load(self) -> Result[EngineLoad, PlatformError]:
        """Report what was so a while ago."""
        horizon = asyncio.get_running_loop().time() - self.lag
        seen = [row for row in self._reports if row[0] <= horizon]
        version, fence = seen[-1][1:] if seen else (self.first_version, 0)
        return Ok(EngineLoad(0, 0, 0, 4, version, fence))

    @property
    def first_version(self) -> int | None:
        """Return the version served before the first change."""
        return self._first if hasattr(self, "_first") else self.version

    def change(self, version: int | None) -> None:
        """Serve another version from now on."""
        if not hasattr(self, "_first"):
            self._first = self.version
        self.version = version
        self._reports.append((asyncio.get_running_loop().time(), version, self.fence))

    def restart(self, version: int) -> None:
        """Come back with the weights of the image and no memory of fences."""
        self.fence = 0
        self.change(version)


class FixedSlots(SwapSlots):
    """Give every sampler the same delay."""

    def __init__(self, delay: float = 0.0) -> None:
        self._delay = timedelta(seconds=delay)

    def delay(self, spec: ServiceSpec, version: int) -> timedelta:
        """Return the fixed delay."""
        return self._delay


class Bench:
    """Two entries, one side process with its controller, and an engine."""

    def __init__(self, engine: FakeEngine, slots: SwapSlots | None = None) -> None:
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
        """Publish weights and return the record's offset."""
        return await self.log.async_put(weights_data(version, amends))

    async def async_until_serving(self, version: int, within: float) -> float:
        """Wait until the engine serves a version."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while self.engine.version != version:
            assert loop.time() - start <= within, (self.engine.version, self.engine.orders)
            await asyncio.sleep(0.01)
        return loop.time() - start

    def close(self) -> None:
        """End all tasks."""
        assert not self.task.done(), self.task
        self.task.cancel()
        self.cluster.close()


def test_weights_record_reaches_the_engine_with_its_offset_as_fence() -> None:
    """A record comes into force; the engine gets one order, fenced by the record's offset."""

    async def async_case() -> None:
        bench = Bench(FakeEngine())
        offset = await bench.async_publish(7)
        assert await bench.async_until_serving(7, 4.0) < 3.0
        await asyncio.sleep(30)
        assert [order[:2] for order in bench.engine.orders] == [(7, offset)]
        assert bench.controller.state.verified
        bench.close()

    run_virtual(async_case())


def test_swap_waits_for_its_turn() -> None:
    """The sampler's turn comes 5 s after the version came into force."""

    async def async_case() -> None:
        bench = Bench(FakeEngine(), FixedSlots(5.0))
        await asyncio.sleep(1)
        await bench.async_publish(7)
        assert 5.0 <= await bench.async_until_serving(7, 10.0) <= 6.5
        bench.close()

    run_virtual(async_case())


def test_newer_version_replaces_the_one_that_waits_for_its_turn() -> None:
    """Two versions follow each other faster than the turn comes: only the last is fetched."""

    async def async_case() -> None:
        bench = Bench(FakeEngine(), FixedSlots(5.0))
        await asyncio.sleep(1)
        offset = await bench.async_publish(7)
        await asyncio.sleep(2)
        await bench.async_publish(8, offset)
        await bench.async_until_serving(8, 10.0)
        assert [order[0] for order in bench.engine.orders] == [8]
        bench.close()

    run_virtual(async_case())


def test_busy_store_is_asked_again_no_sooner_than_it_said() -> None:
    """The store refuses twice with Retry-After 2 s.

    What is seen: the order is given again after 2 s and some jitter, until it succeeds.
    """

    async def async_case() -> None:
        bench = Bench(FakeEngine())
        bench.engine.outcomes = [BUSY, BUSY]
        await bench.async_publish(7)
        await bench.async_until_serving(7, 10.0)
        times = [order[2] for order in bench.engine.orders]
        assert len(times) == 3
        assert all(later - sooner >= 2.0 for sooner, later in zip(times, times[1:], strict=False))
        assert bench.metrics.value("cranberryline_weight_orders_total", outcome="store_busy") == 2
        bench.close()

    run_virtual(async_case())


@pytest.mark.parametrize("outcome", [HALF, PlatformError(PlatformReason.CUT), 3])
def test_swap_that_goes_wrong_is_repaired(outcome: Any) -> None:
    """A swap fails half way, its answer is lost, or another version is loaded than was ordered.

    What is seen: the engine serves the version in force within seconds, by the same fence.
    """

    async def async_case() -> None:
        bench = Bench(FakeEngine())
        bench.engine.outcomes = [outcome]
        offset = await bench.async_publish(7)
        await bench.async_until_serving(7, 4.0)
        await asyncio.sleep(15)
        assert bench.engine.version == 7
        assert bench.controller.state.verified
        assert {order[1] for order in bench.engine.orders} == {offset}
        bench.close()

    run_virtual(async_case())


def test_engine_that_restarted_is_brought_back() -> None:
    """The engine crashes and comes back with version 1, minutes after the swap.

    What is seen: it serves the version in force again within a poll of 5 s, its report's lag and
    the swap. Nobody publishes anything.
    """

    async def async_case() -> float:
        bench = Bench(FakeEngine())
        await bench.async_publish(7)
        await bench.async_until_serving(7, 4.0)
        await asyncio.sleep(120)
        bench.engine.restart(1)
        took = await bench.async_until_serving(7, 10.0)
        bench.close()
        return took

    assert run_virtual(async_case()) < 8.0


def test_side_process_that_restarted_orders_nothing_anew() -> None:
    """The engine already serves the version in force when the side process starts."""

    async def async_case() -> None:
        engine = FakeEngine(version=7)
        bench = Bench(engine)
        await bench.async_publish(7)
        await asyncio.sleep(20)
        assert engine.orders == []
        assert bench.controller.state.verified
        bench.close()

    run_virtual(async_case())


def test_no_order_while_no_entry_can_confirm() -> None:
    """The side process loses all entries after a weights record, before its turn.

    What is seen: no order, since a newer record may be in force; one within seconds of an entry's
    return, by the newest record.
    """

    async def async_case() -> None:
        bench = Bench(FakeEngine(), FixedSlots(1.0))
        await asyncio.sleep(1)
        offset = await bench.async_publish(7)
        await bench.cluster.async_until_all_have(offset, 2.0)
        bench.cluster.cut = {frozenset(("entry-0", "side-0")), frozenset(("entry-1", "side-0"))}
        await bench.async_publish(8, offset)
        await asyncio.sleep(20)
        assert bench.engine.orders == []
        bench.cluster.cut = set()
        await bench.async_until_serving(8, 10.0)
        assert [order[0] for order in bench.engine.orders] == [8]
        bench.close()

    run_virtual(async_case())


def test_pause_before_the_order_makes_the_knowledge_old() -> None:
    """The process is paused for a minute just after an entry confirmed its fold.

    A newer record came into force meanwhile, and the engine does not check fences. What is seen:
    the order by the older record is not given; the process asks again and orders the newer.
    """

    async def async_case() -> None:
        bench = Bench(FakeEngine(checks_fence=False))
        confirm = bench.side.async_confirm
        paused: list[bool] = []

        async def async_confirm(wait: timedelta) -> Any:
            answer = await confirm(wait)
            if isinstance(answer, Ok) and not paused:
                paused.append(True)
                bench.cluster.cut = {frozenset((name, "side-0")) for name in ("entry-0", "entry-1")}
                await bench.async_publish(8, offset)
                await asyncio.sleep(60)
                bench.cluster.cut = set()
            return answer

        bench.side.async_confirm = async_confirm  # type: ignore[method-assign]
        offset = await bench.async_publish(7)
        await bench.async_until_serving(8, 80.0)
        assert paused
        assert [order[0] for order in bench.engine.orders] == [8]
        assert bench.metrics.value("cranberryline_retries_total", reason="weights_knowledge_old")
        bench.close()

    run_virtual(async_case())


def test_answer_that_waited_in_a_buffer_confirms_nothing() -> None:
    """A confirmation is asked for, its answer comes only after a minute, as after a pause.

    What is seen: the time that counts is when it was asked, so the answer is too old to act on.
    """

    async def async_case() -> None:
        bench = Bench(FakeEngine())
        await asyncio.sleep(1)
        side = bench.side
        before = bench.cluster.clock.monotonic()
        confirmed = await side.async_confirm(timedelta(seconds=1))
        assert confirmed.unwrap() - before < timedelta(seconds=0.2)
        bench.cluster.cut = {frozenset(("entry-0", "side-0")), frozenset(("entry-1", "side-0"))}
        asked = asyncio.create_task(side.async_confirm(timedelta(seconds=60)))
        await asyncio.sleep(30)
        side.on_message("entry-0", bench.cluster.nodes["entry-0"].sync.relay.delta_since(99))
        answer = await asked
        assert bench.cluster.clock.monotonic() - answer.unwrap() >= timedelta(seconds=29)
        bench.close()

    run_virtual(async_case())


def test_order_whose_answer_cannot_be_read_is_given_again() -> None:
    """The engine's client raises over an answer that it was not written for.

    What is seen: the version in force is served a few seconds later; no order stays in flight.
    """

    async def async_case() -> None:
        bench = Bench(FakeEngine())
        bench.engine.outcomes = [KeyError("weight_version")]
        await bench.async_publish(7)
        await bench.async_until_serving(7, 10.0)
        assert bench.metrics.value("cranberryline_drops_total", reason="task_failed") == 1
        bench.close()

    run_virtual(async_case())


def test_stale_fence_is_not_repeated() -> None:
    """The engine has had a higher fencing number from a predecessor of this process.

    What is seen: one order at most, then none until a newer record.
    """

    async def async_case() -> None:
        engine = FakeEngine()
        engine.fence = 50
        engine.lag = 1000.0
        bench = Bench(engine)
        offset = await bench.async_publish(7)
        await asyncio.sleep(3)
        assert len(engine.orders) <= 1
        assert engine.version == 1
        assert offset < 50
        bench.close()

    run_virtual(async_case())


def test_slots_spread_the_swaps_of_a_service() -> None:
    """Each of 20 samplers works out its own turn; no two share one, and the store's rate holds."""
    names = [f"vm-{number}" for number in range(20)]
    spec = ServiceSpec("engine", "m", fetches_per_second=4.0, swap_fraction=1.0)
    delays = sorted(ShiftSlots(name, lambda: names).delay(spec, 7) for name in names)
    gaps = [later - sooner for sooner, later in zip(delays, delays[1:], strict=False)]
    assert delays[0] == timedelta()
    assert all(gap == timedelta(seconds=0.25) for gap in gaps)

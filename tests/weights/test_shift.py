"""Test the orders that make engines load requested versions."""

import asyncio
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.leases import LeaseKeeper
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.orders import EngineReport, OrderOutcome, OrderPort, VersionOrder
from cranberryline.weights.shift import EngineStart, VersionScheduler, place_on_engines
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

MODEL = "m"


@attrs.define
class Engine:
    """An engine that takes 0.9 s to load.

    The next `unanswered_orders` orders get no response and are executed after `delay_s` seconds.
    """

    version: int = 1
    sequence: int = 0
    unanswered_orders: int = 0
    delay_s: float = 3.0
    busy: bool = False
    history: list[int] = attrs.field(factory=list)


class FakeOrders(OrderPort):
    """An order port to fake engines, by the key of their start."""

    def __init__(self, count: int) -> None:
        self.engines = {f"e{number}": Engine() for number in range(count)}
        self.max_loading = 0
        self.orders: list[tuple[str, VersionOrder]] = []
        self.unreachable: set[str] = set()

    async def async_report(self, upstream: str) -> Result[EngineReport, PlatformError]:
        """Return what the engine serves."""
        await asyncio.sleep(0.002)
        if upstream in self.unreachable:
            return Err(PlatformError(PlatformReason.UNREACHABLE, may_have_run=False))
        engine = self.engines[upstream]
        return Ok(EngineReport(engine.sequence, engine.busy, 0, {MODEL: engine.version}))

    async def async_order(self, upstream: str, order: VersionOrder) -> OrderOutcome:
        """Accept an order, or execute it late and without a response."""
        self.orders.append((upstream, order))
        engine = self.engines[upstream]
        if engine.unanswered_orders:
            engine.unanswered_orders -= 1
            asyncio.get_running_loop().call_later(engine.delay_s, self._execute, upstream, order)
            await asyncio.sleep(1.2)
            return OrderOutcome.UNKNOWN
        if engine.busy or order.sequence != engine.sequence:
            return OrderOutcome.BUSY
        self._execute(upstream, order)
        return OrderOutcome.TAKEN

    def _execute(self, upstream: str, order: VersionOrder) -> None:
        engine = self.engines[upstream]
        if order.sequence != engine.sequence:
            return
        engine.sequence += 1
        engine.busy = True
        self.max_loading = max(self.max_loading, sum(e.busy for e in self.engines.values()))
        asyncio.get_running_loop().call_later(0.9, self._on_loaded, engine, order.version)

    @staticmethod
    def _on_loaded(engine: Engine, version: int) -> None:
        engine.busy = False
        engine.version = version
        engine.history.append(version)


class Harness:
    """A lease holder with its scheduler and its engines."""

    def __init__(self, engines: int, lag: int = 0) -> None:
        clock = LoopClock()
        self.orders = FakeOrders(engines)
        self.link = StoreLink(FakeStore())
        health = StoreHealth(clock)
        self.lease = LeaseKeeper(self.link, "front-1", timedelta(seconds=3), clock, health)
        self.version_scheduler = VersionScheduler(
            self.orders,
            self.lease,
            self._views,
            lambda _service: (MODEL,),
            lambda _model: lag,
            lambda _service: False,
            lambda _engine, _model, _version: None,
            clock,
            Metrics(),
        )
        coroutines = (
            self.lease.tail.async_run(),
            self.lease.async_run(),
            self.version_scheduler.async_run(),
        )
        self.tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]

    def _views(self) -> dict[str, list[EngineStart]]:
        engines = self.orders.engines.items()
        return {"s": [EngineStart(name, {MODEL: engine.version}) for name, engine in engines]}

    @property
    def versions(self) -> set[int]:
        """Return the versions that the engines serve."""
        return {engine.version for engine in self.orders.engines.values()}


def test_all_engines_load_the_requested_version_two_at_a_time() -> None:
    """Six engines load for 0.9 s each: all within five seconds, never more than two at once."""

    async def async_case() -> None:
        harness = Harness(6)
        await asyncio.sleep(1)
        harness.version_scheduler.request_version(MODEL, 2)
        await asyncio.sleep(5)
        assert harness.versions == {2}
        assert harness.orders.max_loading == 2
        assert len(harness.orders.orders) == 6
        assert {order.token for _, order in harness.orders.orders} == {harness.lease.token()}

    run_virtual(async_case())


def test_twenty_engines_load_within_the_time_of_three_loads() -> None:
    """In a large service eight engines load at once, so all serve it in under four seconds."""

    async def async_case() -> None:
        harness = Harness(20)
        await asyncio.sleep(1)
        harness.version_scheduler.request_version(MODEL, 2)
        await asyncio.sleep(4)
        assert harness.versions == {2}
        assert harness.orders.max_loading <= 8

    run_virtual(async_case())


def test_order_executed_late_does_not_bring_back_an_older_version() -> None:
    """An order gets no response and is executed three seconds later, after newer orders.

    Its sequence number is older than theirs, so the engine ignores it.
    """

    async def async_case() -> None:
        harness = Harness(1)
        await asyncio.sleep(1)
        harness.orders.engines["e0"].unanswered_orders = 1
        harness.version_scheduler.request_version(MODEL, 2)
        await asyncio.sleep(1.5)
        harness.version_scheduler.request_version(MODEL, 3)
        await asyncio.sleep(8)
        engine = harness.orders.engines["e0"]
        assert engine.version == 3
        assert engine.history == sorted(engine.history)

    run_virtual(async_case())


def test_unreachable_engine_does_not_delay_the_others() -> None:
    """One engine is unreachable; the others load, and it loads once it is reachable again."""

    async def async_case() -> None:
        harness = Harness(3)
        await asyncio.sleep(1)
        harness.orders.unreachable.add("e1")
        harness.version_scheduler.request_version(MODEL, 2)
        await asyncio.sleep(4)
        outdated = {name for name, engine in harness.orders.engines.items() if engine.version == 1}
        assert outdated == {"e1"}
        harness.orders.unreachable.clear()
        await asyncio.sleep(6)
        assert harness.versions == {2}

    run_virtual(async_case())


def test_no_order_is_sent_without_the_lease() -> None:
    """The store stops responding; once the lease has expired, requested versions are not ordered."""

    async def async_case() -> None:
        harness = Harness(2)
        await asyncio.sleep(1)
        harness.link.silent = True
        await asyncio.sleep(4)
        harness.version_scheduler.request_version(MODEL, 2)
        await asyncio.sleep(4)
        assert harness.orders.orders == []

    run_virtual(async_case())


def test_older_requested_version_is_ignored() -> None:
    """Requested versions are read again after a restart, in any order."""

    async def async_case() -> None:
        harness = Harness(1)
        harness.version_scheduler.request_version(MODEL, 5)
        harness.version_scheduler.request_version(MODEL, 4)
        assert harness.version_scheduler.requested_versions == {MODEL: 5}

    run_virtual(async_case())


# An engine restarts under the same id while a node orders it to load a version. Its sequence numbers
# start at 0 again, so a number that the previous start reported can match by chance. The new start
# would then load what was decided for the previous one: a step's engines load twice, or load a
# version that the trainer never requested.


class RestartingOrders(FakeOrders):
    """An order port to engines that restart; the starts in `ended_starts` have ended."""

    def __init__(self, count: int) -> None:
        super().__init__(count)
        self.ended_starts: set[str] = set()
        self.report_requests = 0

    async def async_report(self, upstream: str) -> Result[EngineReport, PlatformError]:
        """Return START_OVER for an ended start, as the port does after a newer registration."""
        self.report_requests += 1
        if upstream in self.ended_starts:
            await asyncio.sleep(0.002)
            return Err(PlatformError(PlatformReason.START_OVER, may_have_run=False))
        return await super().async_report(upstream)

    def restart(self, previous: str, new: str, version: int) -> None:
        """Replace an engine's previous start by a new one."""
        self.ended_starts.add(previous)
        self.engines.pop(previous)
        self.engines[new] = Engine(version=version)


class RestartingHarness(Harness):
    """A harness whose engines restart; `e0@2` is the second start of `e0`."""

    def __init__(self, engines: int) -> None:
        super().__init__(engines)
        self.orders = RestartingOrders(engines)
        self.version_scheduler._orders = self.orders

    def _views(self) -> dict[str, list[EngineStart]]:
        engines = self.orders.engines.items()
        return {
            "s": [
                EngineStart(key, {MODEL: engine.version}, key.partition("@")[0])
                for key, engine in engines
            ]
        }


def test_load_is_abandoned_when_the_engine_restarts() -> None:
    """The engine restarts with the old version while the node waits for its load to end.

    No more orders are sent to the previous start. The new start gets an order of its own with its
    own sequence number, at once and not only after the load timeout of four seconds.
    """

    async def async_case() -> None:
        harness = RestartingHarness(1)
        await asyncio.sleep(1)
        harness.orders.engines["e0"].sequence = 7
        harness.version_scheduler.request_version(MODEL, 2)
        await asyncio.sleep(0.2)
        harness.orders.restart("e0", "e0@2", 1)
        await asyncio.sleep(1.2)
        sent = [(key, order.sequence) for key, order in harness.orders.orders]
        assert sent == [("e0", 7), ("e0@2", 0)]
        await asyncio.sleep(2)
        assert harness.versions == {2} and len(harness.orders.orders) == 2

    run_virtual(async_case())


def test_restarted_engine_not_yet_registered_is_not_polled_without_delay() -> None:
    """For some seconds the engine reports a newer start than the one registered in the store.

    Without a delay, the node that sends orders would poll it a hundred times a second.
    """

    async def async_case() -> None:
        harness = RestartingHarness(1)
        await asyncio.sleep(1)
        harness.orders.ended_starts.add("e0")
        harness.version_scheduler.request_version(MODEL, 2)
        await asyncio.sleep(2)
        assert 2 <= harness.orders.report_requests <= 8 and harness.orders.orders == []

    run_virtual(async_case())


def test_restart_does_not_move_models_to_other_engines() -> None:
    """Two models share four engines, and one engine restarts with the versions it had.

    Placed by start, models would move, and engines that serve one model would load the other.
    """
    start_keys = [f"e{number}@1" for number in range(4)]
    restarted = ["e0@2", *start_keys[1:]]
    placed = []
    for keys in (start_keys, restarted):
        views = [EngineStart(key, {}, key.partition("@")[0]) for key in keys]
        placement = place_on_engines({"m0": 0, "m1": 0}, views)
        placed.append(
            {
                model: [key.partition("@")[0] for key in starts]
                for model, starts in placement.items()
            }
        )
    assert placed[0] == placed[1]
    assert place_on_engines({"m0": 0}, [EngineStart("e5", {})]) == {"m0": ["e5"]}

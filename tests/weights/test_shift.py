"""Orders that move engines to named versions: fenced, with preconditions, a few at a time."""

import asyncio
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.leases import LeaseKeeper
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.orders import EngineReport, OrderOutcome, OrderPort, VersionOrder
from cranberryline.weights.shift import EngineView, VersionShifter, place_on_engines
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

MODEL = "m"


@attrs.define
class Engine:
    """An engine that loads for 0.9 s; `lose` orders get no answer and are carried out late."""

    version: int = 1
    sequence: int = 0
    lose: int = 0
    late_s: float = 3.0
    busy: bool = False
    history: list[int] = attrs.field(factory=list)


class FakeOrders(OrderPort):
    """Engines by id, as the order port shows them."""

    def __init__(self, count: int) -> None:
        self.engines = {f"e{number}": Engine() for number in range(count)}
        self.most_busy = 0
        self.orders: list[tuple[str, VersionOrder]] = []
        self.dark: set[str] = set()

    async def async_report(self, upstream: str) -> Result[EngineReport, PlatformError]:
        """Tell what the engine serves."""
        await asyncio.sleep(0.002)
        if upstream in self.dark:
            return Err(PlatformError(PlatformReason.UNREACHABLE, may_have_run=False))
        engine = self.engines[upstream]
        return Ok(EngineReport(engine.sequence, engine.busy, 0, {MODEL: engine.version}))

    async def async_order(self, upstream: str, order: VersionOrder) -> OrderOutcome:
        """Take an order, or carry it out late and unanswered."""
        self.orders.append((upstream, order))
        engine = self.engines[upstream]
        if engine.lose:
            engine.lose -= 1
            asyncio.get_running_loop().call_later(engine.late_s, self._carry_out, upstream, order)
            await asyncio.sleep(1.2)
            return OrderOutcome.UNKNOWN
        if engine.busy or order.sequence != engine.sequence:
            return OrderOutcome.BUSY
        self._carry_out(upstream, order)
        return OrderOutcome.TAKEN

    def _carry_out(self, upstream: str, order: VersionOrder) -> None:
        engine = self.engines[upstream]
        if order.sequence != engine.sequence:
            return
        engine.sequence += 1
        engine.busy = True
        self.most_busy = max(self.most_busy, sum(e.busy for e in self.engines.values()))
        asyncio.get_running_loop().call_later(0.9, self._loaded, engine, order.version)

    @staticmethod
    def _loaded(engine: Engine, version: int) -> None:
        engine.busy = False
        engine.version = version
        engine.history.append(version)


class Scene:
    """A holder, its shifter and its engines."""

    def __init__(self, engines: int, lag: int = 0) -> None:
        clock = LoopClock()
        self.orders = FakeOrders(engines)
        self.link = StoreLink(FakeStore())
        health = StoreHealth(clock)
        self.lease = LeaseKeeper(self.link, "front-1", timedelta(seconds=3), clock, health)
        self.shifter = VersionShifter(
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
        work = (
            self.lease.tail.async_run(),
            self.lease.async_run(),
            self.shifter.async_run(),
        )
        self.tasks = [asyncio.ensure_future(part) for part in work]

    def _views(self) -> dict[str, list[EngineView]]:
        engines = self.orders.engines.items()
        return {"s": [EngineView(name, {MODEL: engine.version}) for name, engine in engines]}

    @property
    def versions(self) -> set[int]:
        """Return what the engines serve."""
        return {engine.version for engine in self.orders.engines.values()}


def test_all_engines_reach_the_named_version_two_at_a_time() -> None:
    """Six engines, 0.9 s each: within five seconds, and never more than two load at once."""

    async def scene() -> None:
        made = Scene(6)
        await asyncio.sleep(1)
        made.shifter.want(MODEL, 2)
        await asyncio.sleep(5)
        assert made.versions == {2}
        assert made.orders.most_busy == 2
        assert len(made.orders.orders) == 6
        assert {order.token for _, order in made.orders.orders} == {made.lease.token()}

    run_virtual(scene())


def test_twenty_engines_move_within_the_time_of_three_loads() -> None:
    """A large service: eight load at once, so a version is everywhere in under four seconds."""

    async def scene() -> None:
        made = Scene(20)
        await asyncio.sleep(1)
        made.shifter.want(MODEL, 2)
        await asyncio.sleep(4)
        assert made.versions == {2}
        assert made.orders.most_busy <= 8

    run_virtual(scene())


def test_an_order_carried_out_late_brings_no_older_version_back() -> None:
    """An order gets no answer and is carried out three seconds later, after newer ones.

    It names the sequence number from before them, so the engine does nothing.
    """

    async def scene() -> None:
        made = Scene(1)
        await asyncio.sleep(1)
        made.orders.engines["e0"].lose = 1
        made.shifter.want(MODEL, 2)
        await asyncio.sleep(1.5)
        made.shifter.want(MODEL, 3)
        await asyncio.sleep(8)
        engine = made.orders.engines["e0"]
        assert engine.version == 3
        assert engine.history == sorted(engine.history)

    run_virtual(scene())


def test_an_engine_out_of_reach_does_not_hold_up_the_others() -> None:
    """One engine is dark; the others move, and it moves when it is back."""

    async def scene() -> None:
        made = Scene(3)
        await asyncio.sleep(1)
        made.orders.dark.add("e1")
        made.shifter.want(MODEL, 2)
        await asyncio.sleep(4)
        left = {name for name, engine in made.orders.engines.items() if engine.version == 1}
        assert left == {"e1"}
        made.orders.dark.clear()
        await asyncio.sleep(6)
        assert made.versions == {2}

    run_virtual(scene())


def test_no_order_is_given_without_the_lease() -> None:
    """The store falls silent: once the lease has run out, versions that are named wait."""

    async def scene() -> None:
        made = Scene(2)
        await asyncio.sleep(1)
        made.link.silent = True
        await asyncio.sleep(4)
        made.shifter.want(MODEL, 2)
        await asyncio.sleep(4)
        assert made.orders.orders == []

    run_virtual(scene())


def test_an_older_name_changes_nothing() -> None:
    """Names are read again after a restart, in any order."""

    async def scene() -> None:
        made = Scene(1)
        made.shifter.want(MODEL, 5)
        made.shifter.want(MODEL, 4)
        assert made.shifter.wanted == {MODEL: 5}

    run_virtual(scene())


# An engine starts again under its id while a node moves it to a version. Ordered by what its former
# start reported, the new one would load what was decided for another: its numbers start anew at 0 and
# fit. The trainer sees a step's engines load twice, or a version that it never asked for.


class RestartingOrders(FakeOrders):
    """Engines by start; those in `over` have been followed by another."""

    def __init__(self, count: int) -> None:
        super().__init__(count)
        self.over: set[str] = set()
        self.asked = 0

    async def async_report(self, upstream: str) -> Result[EngineReport, PlatformError]:
        """Tell that a start is over, as the port does for one that its entry no longer names."""
        self.asked += 1
        if upstream in self.over:
            await asyncio.sleep(0.002)
            return Err(PlatformError(PlatformReason.START_OVER, may_have_run=False))
        return await super().async_report(upstream)

    def start_again(self, former: str, new: str, version: int) -> None:
        """Let an engine's next start follow its former one."""
        self.over.add(former)
        self.engines.pop(former)
        self.engines[new] = Engine(version=version)


class RestartingScene(Scene):
    """A scene whose engines start again; `e0@2` is the second start of `e0`."""

    def __init__(self, engines: int) -> None:
        super().__init__(engines)
        self.orders = RestartingOrders(engines)
        self.shifter._orders = self.orders

    def _views(self) -> dict[str, list[EngineView]]:
        engines = self.orders.engines.items()
        return {
            "s": [
                EngineView(key, {MODEL: engine.version}, key.partition("@")[0])
                for key, engine in engines
            ]
        }


def test_a_load_ends_with_the_start_that_it_was_for() -> None:
    """The engine starts again, with the old version, while the node waits for its load to end.

    Nothing more is sent to the former start, and the new one is brought to the version by an order of
    its own, which names its own sequence number. It begins at once, not after the four seconds for
    which a silent engine's load is kept up.
    """

    async def scene() -> None:
        made = RestartingScene(1)
        await asyncio.sleep(1)
        made.orders.engines["e0"].sequence = 7
        made.shifter.want(MODEL, 2)
        await asyncio.sleep(0.2)
        made.orders.start_again("e0", "e0@2", 1)
        await asyncio.sleep(1.2)
        given = [(key, order.sequence) for key, order in made.orders.orders]
        assert given == [("e0", 7), ("e0@2", 0)]
        await asyncio.sleep(2)
        assert made.versions == {2} and len(made.orders.orders) == 2

    run_virtual(scene())


def test_an_engine_that_is_further_than_its_entry_is_not_asked_without_pause() -> None:
    """Its report tells of a newer start than the store does so far, for up to some seconds.

    Asked again at once, it would be asked a hundred times a second by the node that gives orders.
    """

    async def scene() -> None:
        made = RestartingScene(1)
        await asyncio.sleep(1)
        made.orders.over.add("e0")
        made.shifter.want(MODEL, 2)
        await asyncio.sleep(2)
        assert 2 <= made.orders.asked <= 8 and made.orders.orders == []

    run_virtual(scene())


def test_a_restart_moves_no_model_to_another_engine() -> None:
    """Two models share four engines; one starts again with what it had.

    Placed by its start, models would change places, and engines that serve one would load the other.
    """
    by_start = [f"e{number}@1" for number in range(4)]
    again = ["e0@2", *by_start[1:]]
    placed = []
    for keys in (by_start, again):
        views = [EngineView(key, {}, key.partition("@")[0]) for key in keys]
        found = place_on_engines({"m0": 0, "m1": 0}, views)
        placed.append({model: [key.partition("@")[0] for key in at] for model, at in found.items()})
    assert placed[0] == placed[1]
    assert place_on_engines({"m0": 0}, [EngineView("e5", {})]) == {"m0": ["e5"]}

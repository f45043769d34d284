"""Move engines to the versions that trainers name, a few at a time, under the lease."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

import attrs
from result import Err

from cranberryline.decisions.version_placement import (
    ModelNeed,
    count_engines_per_version,
    max_concurrent_loads,
    next_load,
    place_models,
)
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.leases import LeaseKeeper
from cranberryline.ports.errors import PlatformReason
from cranberryline.ports.orders import OrderOutcome, OrderPort, VersionOrder

__all__ = ["EngineView", "VersionShifter", "place_on_engines"]

_LOGGER = get_logger(__name__)

_LOOK_AGAIN = timedelta(milliseconds=500)
_LOAD_TIME = timedelta(milliseconds=950)
_REPORT_PAUSE = timedelta(milliseconds=200)
_GIVE_UP = timedelta(seconds=4)
_PAUSE_AFTER_FAILURE = timedelta(milliseconds=300)


@attrs.frozen
class EngineView:
    """A start of an engine as the shifter sees it; `versions` is what it is known to serve.

    `place` is the same for all starts of one engine, which begin with the version that it had. Models
    placed by the start would move to other engines whenever one starts again, and be loaded there.
    """

    id: str
    versions: Mapping[str, int]
    place: str = ""


@attrs.frozen(eq=False)
class _Load:
    """A load under way."""

    model: str
    version: int
    task: asyncio.Task[None]


class VersionShifter:
    """Give the orders that bring engines to the named versions, while this node holds the lease."""

    def __init__(
        self,
        orders: OrderPort,
        lease: LeaseKeeper,
        engines: Callable[[], dict[str, list[EngineView]]],
        models: Callable[[str], tuple[str, ...]],
        lag: Callable[[str], int],
        one_version: Callable[[str], bool],
        learn: Callable[[str, str, int], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.wanted: dict[str, int] = {}
        self._orders = orders
        self._lease = lease
        self._engines = engines
        self._models = models
        self._lag = lag
        self._one_version = one_version
        self._learn = learn
        self._clock = clock
        self._metrics = metrics
        self._wake = asyncio.Event()
        self._named_at: dict[str, timedelta] = {}
        self._loading: dict[str, _Load] = {}

    def want(self, model: str, version: int) -> None:
        """Take a version that a trainer named; an older one changes nothing."""
        if version > self.wanted.get(model, 0):
            self.wanted[model] = version
            self._named_at[model] = self._clock.monotonic()
            _LOGGER.info("version_named", model=model, version=version)
            self._wake.set()

    async def async_run(self) -> None:
        """Give orders until cancelled."""
        while True:
            if self._lease.token() is not None:
                self._start_due()
            self._wake.clear()
            try:
                async with asyncio.timeout(_LOOK_AGAIN.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def async_close(self) -> None:
        """Give no more orders."""
        tasks = [load.task for load in self._loading.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_due(self) -> None:
        for service, engines in self._engines().items():
            by_id = {engine.id: engine for engine in engines}
            lags = {model: self._lag(model) for model in self._models(service)}
            part = count_engines_per_version(len(lags), len(by_id))
            places = place_on_engines(lags, engines)
            loading = len(self._loading.keys() & by_id.keys())
            for _ in range(max_concurrent_loads(len(by_id)) - loading):
                needs = [self._need(model, lags[model], places[model], by_id) for model in lags]
                chosen = next_load(needs, part, self._loading)
                if chosen is None:
                    break
                need, engine = chosen
                self._start(engine, need.model, need.wanted, self._one_version(service))

    def _need(
        self, model: str, lag: int, engines: list[str], by_id: Mapping[str, EngineView]
    ) -> ModelNeed:
        versions = {engine: by_id[engine].versions.get(model, 0) for engine in engines}
        for engine, load in self._loading.items():
            if load.model == model and engine in versions:
                versions[engine] = max(versions[engine], load.version)
        named_at = self._named_at.get(model, timedelta())
        return ModelNeed(model, self.wanted.get(model, 0), lag, named_at, versions)

    def _start(self, engine: str, model: str, version: int, finish_runs: bool) -> None:
        task = asyncio.ensure_future(self._async_shift(engine, model, version, finish_runs))
        self._loading[engine] = _Load(model, version, task)

        def done(_: object) -> None:
            self._loading.pop(engine, None)
            self._wake.set()

        task.add_done_callback(done)

    async def _async_shift(self, engine: str, model: str, version: int, finish_runs: bool) -> None:
        """Bring one start of an engine to a version, or stop for now, and for good once it is over."""
        give_up = self._clock.monotonic() + _GIVE_UP
        ordered = False
        while self._clock.monotonic() < give_up and self.wanted.get(model, 0) == version:
            reported = await self._orders.async_report(engine)
            if isinstance(reported, Err):
                await self._clock.async_sleep(_PAUSE_AFTER_FAILURE)
                if reported.unwrap_err().reason is PlatformReason.START_OVER:
                    return
                continue
            report = reported.unwrap()
            serves = report.versions.get(model, 0)
            if serves >= version:
                self._learn(engine, model, serves)
                return
            if report.busy or ordered:
                ordered = False
                await self._clock.async_sleep(_REPORT_PAUSE)
                continue
            order = VersionOrder(model, version, "", 0, report.sequence, finish_runs)
            ordered = await self._async_order(engine, order)

    async def _async_order(self, engine: str, wanted: VersionOrder) -> bool:
        """Send one order; True if the engine should be at work on it now.

        The order names the sequence number that the engine reported: an order that is carried out
        seconds late finds another one there and does nothing, where it would else bring back an
        older version.
        """
        token = self._lease.token()
        if token is None:
            await self._clock.async_sleep(_PAUSE_AFTER_FAILURE)
            return False
        order = attrs.evolve(wanted, holder=self._lease.holder, token=token)
        outcome = await self._orders.async_order(engine, order)
        self._metrics.orders.labels(outcome.value).inc()
        _LOGGER.info(
            "version_ordered",
            upstream=engine,
            model=order.model,
            version=order.version,
            token=token,
            sequence=order.sequence,
            outcome=outcome,
        )
        if outcome is OrderOutcome.TAKEN:
            await self._clock.async_sleep(_LOAD_TIME)
            return True
        await self._clock.async_sleep(_REPORT_PAUSE)
        return False


def place_on_engines(
    lags: Mapping[str, int], engines: Sequence[EngineView]
) -> dict[str, list[str]]:
    """Return for each model the starts of the engines that are to serve it; `lags` are in versions."""
    at_place = {engine.place or engine.id: engine.id for engine in engines}
    placed = place_models(lags, at_place)
    return {model: [at_place[name] for name in placed[model]] for model in lags}

"""Order engines to load the model versions that trainers request."""

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

__all__ = ["EngineStart", "VersionScheduler", "place_on_engines"]

_LOGGER = get_logger(__name__)

_CHECK_INTERVAL = timedelta(milliseconds=500)
_EXPECTED_LOAD_DURATION = timedelta(milliseconds=950)
_REPORT_POLL_INTERVAL = timedelta(milliseconds=200)
# Frees the engine's loading slot if the engine doesn't respond; the load is then scheduled again.
_LOAD_TIMEOUT = timedelta(seconds=4)
_RETRY_DELAY = timedelta(milliseconds=300)


@attrs.frozen
class EngineStart:
    """One start of an engine (a run of its process), and the versions it is known to serve by model.

    `start_key` identifies the start. `engine_id` is the same for all starts of an engine; empty
    means the same as `start_key`. Models are placed by engine, because a restarted engine
    serves the versions it had before. If they were placed by start, each restart would move models
    to other engines and load them there.
    """

    start_key: str
    versions: Mapping[str, int]
    engine_id: str = ""


@attrs.frozen(eq=False)
class _Load:
    """A load in progress on an engine."""

    model: str
    version: int
    task: asyncio.Task[None]


class VersionScheduler:
    """Order engines to load the requested versions while this node holds the lease.

    Only a limited number of each service's engines load at the same time.
    """

    def __init__(
        self,
        orders: OrderPort,
        lease: LeaseKeeper,
        engines: Callable[[], dict[str, list[EngineStart]]],
        models: Callable[[str], tuple[str, ...]],
        allowed_lag: Callable[[str], int],
        finish_runs: Callable[[str], bool],
        record_version: Callable[[str, str, int], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Initialize the scheduler.

        `engines` returns the engine starts by service, `models` the models of a service and
        `allowed_lag` the number of versions that a model's trainer allows an engine to be behind.
        `finish_runs` returns whether a service's engines finish their runs before they load.
        `record_version` is called with the start's key, the model and the version that it serves.
        """
        self.requested_versions: dict[str, int] = {}
        self._orders = orders
        self._lease = lease
        self._engines = engines
        self._models = models
        self._allowed_lag = allowed_lag
        self._finish_runs = finish_runs
        self._record_version = record_version
        self._clock = clock
        self._metrics = metrics
        self._wake = asyncio.Event()
        self._requested_at: dict[str, timedelta] = {}
        self._loading: dict[str, _Load] = {}

    def request_version(self, model: str, version: int) -> None:
        """Record the version that a trainer requests; a version that is not newer is ignored."""
        if version > self.requested_versions.get(model, 0):
            self.requested_versions[model] = version
            self._requested_at[model] = self._clock.monotonic()
            _LOGGER.info("version_named", model=model, version=version)
            self._wake.set()

    async def async_run(self) -> None:
        """Order loads until cancelled."""
        while True:
            if self._lease.token() is not None:
                self._start_due_loads()
            self._wake.clear()
            try:
                async with asyncio.timeout(_CHECK_INTERVAL.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def async_close(self) -> None:
        """Cancel the loads in progress."""
        tasks = [load.task for load in self._loading.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_due_loads(self) -> None:
        for service, engines in self._engines().items():
            engines_by_key = {engine.start_key: engine for engine in engines}
            lags = {model: self._allowed_lag(model) for model in self._models(service)}
            engines_per_version = count_engines_per_version(len(lags), len(engines_by_key))
            placement = place_on_engines(lags, engines)
            loading = len(self._loading.keys() & engines_by_key.keys())
            for _ in range(max_concurrent_loads(len(engines_by_key)) - loading):
                needs = [
                    self._model_need(model, lags[model], placement[model], engines_by_key)
                    for model in lags
                ]
                chosen = next_load(needs, engines_per_version, self._loading)
                if chosen is None:
                    break
                need, engine = chosen
                self._start_load(engine, need.model, need.wanted, self._finish_runs(service))

    def _model_need(
        self, model: str, lag: int, engines: list[str], engines_by_key: Mapping[str, EngineStart]
    ) -> ModelNeed:
        versions = {engine: engines_by_key[engine].versions.get(model, 0) for engine in engines}
        for engine, load in self._loading.items():
            if load.model == model and engine in versions:
                versions[engine] = max(versions[engine], load.version)
        requested_at = self._requested_at.get(model, timedelta())
        return ModelNeed(model, self.requested_versions.get(model, 0), lag, requested_at, versions)

    def _start_load(self, engine: str, model: str, version: int, finish_runs: bool) -> None:
        task = asyncio.ensure_future(self._async_load(engine, model, version, finish_runs))
        self._loading[engine] = _Load(model, version, task)

        def on_done(_: object) -> None:
            self._loading.pop(engine, None)
            self._wake.set()

        task.add_done_callback(on_done)

    async def _async_load(self, engine: str, model: str, version: int, finish_runs: bool) -> None:
        """Order one start of an engine to load a version until it serves that version.

        Stops after the load timeout, when a newer version is requested, or when the start has
        ended.
        """
        deadline = self._clock.monotonic() + _LOAD_TIMEOUT
        ordered = False
        while (
            self._clock.monotonic() < deadline and self.requested_versions.get(model, 0) == version
        ):
            reported = await self._orders.async_report(engine)
            if isinstance(reported, Err):
                await self._clock.async_sleep(_RETRY_DELAY)
                if reported.unwrap_err().reason is PlatformReason.START_OVER:
                    return
                continue
            report = reported.unwrap()
            serving_version = report.versions.get(model, 0)
            if serving_version >= version:
                self._record_version(engine, model, serving_version)
                return
            if report.busy or ordered:
                ordered = False
                await self._clock.async_sleep(_REPORT_POLL_INTERVAL)
                continue
            order = VersionOrder(model, version, "", 0, report.sequence, finish_runs)
            ordered = await self._async_order(engine, order)

    async def _async_order(self, engine: str, unleased_order: VersionOrder) -> bool:
        """Send one order and return whether the engine should be loading now.

        The order carries the sequence number that the engine reported. The engine ignores an order
        that arrives seconds late, because its sequence number has changed since. Without it, a
        late order would bring back an older version.
        """
        token = self._lease.token()
        if token is None:
            await self._clock.async_sleep(_RETRY_DELAY)
            return False
        order = attrs.evolve(unleased_order, holder=self._lease.holder, token=token)
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
            await self._clock.async_sleep(_EXPECTED_LOAD_DURATION)
            return True
        await self._clock.async_sleep(_REPORT_POLL_INTERVAL)
        return False


def place_on_engines(
    lags: Mapping[str, int], engines: Sequence[EngineStart]
) -> dict[str, list[str]]:
    """Return the keys of the engine starts that have to serve each model; `lags` is in versions."""
    start_keys = {engine.engine_id or engine.start_key: engine.start_key for engine in engines}
    placed = place_models(lags, start_keys)
    return {model: [start_keys[name] for name in placed[model]] for model in lags}

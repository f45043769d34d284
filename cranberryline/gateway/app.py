"""Put the parts of a gateway together, start them and stop them in order."""

import asyncio
import gc
import random
import sys
import uuid
from collections.abc import Collection, Coroutine
from datetime import timedelta
from typing import Any

from result import Err
from tornado.web import Application

from cranberryline.dispatch.direct import DirectUpstreams
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.dispatch.upstreams import UpstreamTable
from cranberryline.exit_code import ExitCode
from cranberryline.helpers.clock import Clock, SystemClock
from cranberryline.helpers.http_server import GracefulServer, InputLimits, open_http_server
from cranberryline.helpers.logging import Level, get_logger, set_level
from cranberryline.helpers.metrics import Metrics, MetricsHandler
from cranberryline.helpers.shutdown import Shutdown, StopOutcome
from cranberryline.helpers.tail import KeyedTail, PartitionTail, StoreHealth
from cranberryline.jobs import JobState
from cranberryline.jobs.mark_keeper import MarkManager
from cranberryline.jobs.runner import JobRunner, RunnerDependencies
from cranberryline.jobs.service import JobService
from cranberryline.leases import LeaseKeeper
from cranberryline.platform.adapter import UsersPlatform
from cranberryline.platform.ports import NamedVersion, PlatformPort
from cranberryline.ports.store import KeyedRecord
from cranberryline.routes import ActiveRoutes, RouteTable
from cranberryline.settings import GatewaySettings
from cranberryline.upstreams.directory import Directory, Registration
from cranberryline.weights.lags import TrainerLags
from cranberryline.weights.shift import VersionScheduler

from .handler import GatewayContext, ReadyHandler
from .holds import PATH_HOLDS, HoldsHandler, QuarantineParts, make_quarantine
from .ingress import IngressHandler
from .links import DirectLinks
from .no_log import NoLog
from .nodes import NodeBook, NodeSign
from .registrations import Registrations
from .relay import PATH_RELAY, RelayedLog, RelayHandler
from .reload import SettingsWatch
from .stop import StopParts, async_stop_gateway
from .tasks import leave_log_to_handlers, run_soon, tell_failure

__all__ = ["GatewayProcess", "run"]

_LOGGER = get_logger(__name__)

_TICK = timedelta(milliseconds=200)
# A tenth of the time within which a draining upstream must get no more work, and a tenth of that in which
# a dead node is noticed. With eight VMs they save 7 of 36 calls a second and VM to the store, counted there;
# without them the polls of the two topics that every VM writes to grow with the number of VMs.
_GATHER_UPSTREAMS = timedelta(milliseconds=200)
_GATHER_SIGNS = timedelta(milliseconds=300)
# How long jobs wait for routes and upstreams after a start, each; both are there within 20 ms of a sound store.
_PLAIN_FIRST = timedelta(milliseconds=300)
# How long a start waits for what the other gateways hold; a store that is out for that topic alone must not keep
# callers from sound upstreams.
_HOLDS_PATIENCE = timedelta(seconds=2)


class GatewayProcess:
    """One gateway."""

    def __init__(self, cfg: GatewaySettings, platform: PlatformPort, clock: Clock) -> None:
        self._cfg = cfg
        self._platform = platform
        self._clock = clock
        self._tasks: list[asyncio.Future[Any]] = []
        self._servers: list[GracefulServer] = []
        self._ids = iter(range(1, sys.maxsize))
        self.stopping = False
        self.metrics = Metrics()
        self.routes = ActiveRoutes()
        self.health = StoreHealth(clock, self.metrics)
        self.store = RelayedLog(platform.log, self._relay_peers, clock, self.metrics)
        self.directory = Directory(clock, self.health, run_soon)
        self.registrations = Registrations(platform, self.directory, self.routes, self.metrics)
        self.table = UpstreamTable()
        self.directs = DirectUpstreams(
            clock,
            self.metrics,
            NoLog(),
            uuid.uuid4().hex,
            lambda: next(self._ids),
            self.routes.spec,
            self._wake,
            platform.connect,
        )
        self.links = DirectLinks(self.table, self.directs)
        self.quarantine, self._holds_tail = make_quarantine(
            QuarantineParts(
                cfg.vm_id,
                platform,
                self.store,
                self.directory,
                clock,
                self.health,
                self.metrics,
                self._live_now,
            )
        )
        rng = random.Random()
        self.dispatcher = Dispatcher(
            clock, rng, self.table, self.routes, self.metrics, cfg.data_center, self.quarantine
        )
        self.jobs = JobService(
            self.store, cfg.partitions, clock, self.health, self.metrics, cfg.keep_jobs
        )
        self.nodes = NodeBook(
            self.store,
            platform.topic_nodes,
            NodeSign(cfg.vm_id, cfg.data_center, cfg.peer),
            clock,
            lambda: self._nodes_tail.current_at,
            self._on_nodes,
            self.health,
        )
        self.marks = MarkManager(
            self.jobs,
            self.store,
            platform.topic_marks,
            clock,
            self.health,
            cfg.vm_id,
            self._live_now,
        )
        self.runner = JobRunner(
            RunnerDependencies(
                self.jobs,
                self.routes,
                self.dispatcher,
                platform.edge,
                self.directory,
                clock,
                self.metrics,
                cfg.vm_id,
                self.nodes.live,
            )
        )
        self.lease = LeaseKeeper(self.store, cfg.vm_id, cfg.lease, clock, self.health)
        self.version_scheduler = VersionScheduler(
            platform.orders(self.directory.get),
            self.lease,
            self.registrations.engines,
            self._models,
            self._lag,
            self._one_version,
            self.directory.record_version,
            clock,
            self.metrics,
        )
        self._config = self._tail(platform.topic_operator, self._on_operator)
        self._servers_tail = self._tail(
            platform.topic_upstreams, self.registrations.take, _GATHER_UPSTREAMS
        )
        self._nodes_tail = self._tail(platform.topic_nodes, self.nodes.take, _GATHER_SIGNS)
        self._lags = TrainerLags()
        self.jobs.book.listen(self._on_job)
        self.routes.listen(self._on_routes)
        self.directory.listen(self._on_registration)
        self.directory.listen_superseded(self.directs.abort_requests)
        self.directory.membership.listen(self._on_members)

    @property
    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        loaded = self._config.loaded.is_set() and self._servers_tail.loaded.is_set()
        loaded = loaded and self._holds_known()
        return not self.stopping and loaded and self.routes.table is not None and self.jobs.loaded

    def start(self) -> None:
        """Open the ports and start the tasks."""
        self._started_at = self._clock.monotonic()
        context = GatewayContext(
            self._clock,
            self.metrics,
            self._platform.edge,
            self.routes,
            self.dispatcher,
            self.jobs,
            random.Random(),
            holds_known=self._holds_known,
        )
        self._context = context
        limits = self._limits = InputLimits(
            self._cfg.max_body_bytes, self._cfg.max_header_bytes, self._cfg.slow_sender_timeout
        )
        app = Application(
            [(r".*", IngressHandler, {"context": context})], log_function=leave_log_to_handlers
        )
        self._callers = open_http_server(app, self._cfg.listen, limits, self.metrics)
        status = Application(
            [
                (r"/metrics", MetricsHandler, {"metrics": self.metrics}),
                (PATH_HOLDS, HoldsHandler, {"quarantine": self.quarantine}),
                (r".*", ReadyHandler, {"ready": lambda: self.ready}),
            ],
            log_function=leave_log_to_handlers,
        )
        self._status = open_http_server(status, self._cfg.ready_listen, limits, self.metrics)
        relay = Application(
            [(PATH_RELAY, RelayHandler, {"log": self.store})], log_function=leave_log_to_handlers
        )
        self._peers = open_http_server(relay, self._cfg.peer, limits, self.metrics)
        self._servers += (self._callers, self._peers)
        for tail in (*self._first_tails(), self.lease.tail):
            self._spawn(tail.async_run())
        self._spawn(self.quarantine.async_run())
        for part in self.jobs.tails:
            self._spawn(self._async_follow(part))
        self._spawn(self.marks.async_run())
        self._spawn(self.nodes.async_run())
        self._spawn(self.runner.async_run())
        self._spawn(self.lease.async_run())
        self._spawn(self.version_scheduler.async_run())
        self._spawn(self._async_tick())
        _LOGGER.info("started", vm_id=self._cfg.vm_id, data_center=self._cfg.data_center)

    def apply_settings(self, cfg: GatewaySettings) -> None:
        """Take changed settings into force; addresses hold until the next start."""
        set_level(Level[cfg.log_level.upper()])
        self.lease.set_length(cfg.lease)
        self._cfg = cfg

    async def async_stop(self) -> StopOutcome:
        """Fail the ready check, hand work over, wait for the balancer, finish what is in flight."""
        self.stopping = True
        self._context.stopping = True
        self.runner.stopping = True
        self.lease.stopping = True
        self.nodes.stopping = True
        parts = StopParts(
            self._callers,
            self._peers,
            self.nodes,
            self.store.end_reads,
            lambda: self.runner.busy,
            self._on_close,
        )
        return await async_stop_gateway(parts, self._cfg.stop_timeout, self._clock)

    def _on_close(self) -> None:
        self._context.closed = True

    async def async_close(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.runner.async_close()
        await self.jobs.async_close()
        await self.quarantine.async_close()
        await self.version_scheduler.async_close()

    def _first_tails(self) -> tuple[KeyedTail, ...]:
        """Return what is read before plain requests and jobs can be served as they should."""
        return (self._config, self._servers_tail, self._nodes_tail, self._holds_tail)

    def _holds_known(self) -> bool:
        """Tell whether held requests are known, or could not be read for so long that others must be served."""
        now = self._clock.monotonic()
        return self._holds_tail.loaded.is_set() or now - self._started_at >= _HOLDS_PATIENCE

    def _live_now(self) -> Collection[str]:
        return self.nodes.live(self._clock.monotonic())

    def _relay_peers(self) -> list[str]:
        return [
            sign.peer
            for sign in self.nodes.signs()
            if sign.peer and not sign.stopping and sign.node != self._cfg.vm_id
        ]

    def _tail(self, topic: str, on_key: Any, gather: timedelta = timedelta()) -> KeyedTail:
        return KeyedTail(self.store, topic, self._clock, self.health, on_key, gather)

    async def _async_follow(self, tail: PartitionTail) -> None:
        """Follow a partition of jobs from its mark on, once plain requests can be served.

        After a start everywhere at once, callers wait for routes and upstreams, some milliseconds of
        reading; decoding the jobs of the last minutes before them takes ten times that.
        """
        for first in self._first_tails():
            try:
                async with asyncio.timeout(_PLAIN_FIRST.total_seconds()):
                    await first.loaded.wait()
            except TimeoutError:
                break
        await self.marks.loaded.wait()
        await tail.async_run()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.ensure_future(work)
        task.add_done_callback(tell_failure)
        self._tasks.append(task)

    async def _async_tick(self) -> None:
        while True:
            await self._clock.async_sleep(_TICK)
            self.directory.expire()

    def _on_operator(self, record: KeyedRecord) -> None:
        read = self._platform.read_operator(record)
        if isinstance(read, Err):
            # What was in force stays in force; the operator's next record may be whole again.
            detail = read.unwrap_err()
            self.health.unsound("operator_record_unreadable", key=record.key, detail=detail)
            return
        change = read.unwrap()
        if isinstance(change, RouteTable):
            self.routes.apply(change)
        elif isinstance(change, NamedVersion):
            self.version_scheduler.request_version(change.model, change.version)

    def _on_routes(self, table: RouteTable) -> None:
        self._limits.max_body_bytes = table.limits.body_bytes
        self._limits.max_header_bytes = table.limits.header_bytes
        for server in self._servers:
            # Callers may rest on a connection up to the limit; closed sooner, their next request
            # would be lost.
            server.conn_params.header_timeout = table.limits.idle_timeout.total_seconds()
        _LOGGER.info("config_applied", version=table.version, routes=len(table.routes))
        self.directs.update_concurrency()
        self._wake()

    def _on_registration(self, row: Registration) -> None:
        if self.routes.set_slots(row.service, row.slots):
            # The lane gives turns by the new number; what the ways do not let run would wait unseen in them.
            self.directs.update_concurrency()

    def _on_members(self) -> None:
        self.links.apply(self.directory.membership)
        self._wake()

    def _on_nodes(self) -> None:
        self.runner.wake()

    def _wake(self) -> None:
        self.dispatcher.wake()
        self.runner.wake()

    def _models(self, service: str) -> tuple[str, ...]:
        table = self.routes.table
        engine = None if table is None else table.services.get(service)
        return () if engine is None else engine.models

    def _lag(self, model: str) -> int:
        """Return how many versions before the named one the model's trainer allows."""
        return self._lags.allowed_lag(
            model, self.version_scheduler.requested_versions.get(model, 0)
        )

    def _on_job(self, state: JobState) -> None:
        job = state.head
        if job.min_version is not None and not state.listed and not state.ended:
            named = self.version_scheduler.requested_versions.get(job.model, 0)
            self._lags.record_job(job.model, job.min_version, named)

    def _one_version(self, service: str) -> bool:
        """Tell whether some route wants each text made by one version."""
        table = self.routes.table
        routes = () if table is None else table.routes
        return any(
            route.single_version and any(share.service == service for share in route.services)
            for route in routes
        )


async def _async_run(cfg: GatewaySettings, path: str) -> int:
    gateway = GatewayProcess(cfg, UsersPlatform(cfg.store), SystemClock())
    shutdown = Shutdown(gateway.async_stop, cfg.stop_timeout, gateway.metrics)
    shutdown.install()
    # Modules and parts live as long as the process. Walked through again with each full collection, some 50,000
    # objects cost 40 ms at a time, the first one while the jobs of the last minutes are read: 22 us for each
    # result instead of 4 (`script/bench fold`).
    gc.freeze()
    try:
        gateway.start()
    except OSError as exc:
        _LOGGER.error("cannot_listen", error=str(exc))
        return ExitCode.UNAVAILABLE
    watch = SettingsWatch(path, cfg, gateway.apply_settings, SystemClock())
    watch.install()
    watching = asyncio.ensure_future(watch.async_run())
    outcome = await shutdown.async_wait()
    watching.cancel()
    await gateway.async_close()
    return outcome.exit_code


def run(cfg: GatewaySettings, path: str) -> int:
    """Run a gateway until it is told to stop; return the exit code."""
    return asyncio.run(_async_run(cfg, path))

"""Creates the components of a gateway process, starts them and stops them in order."""

import asyncio
import random
import sys
import uuid
from collections.abc import Collection, Coroutine
from datetime import timedelta
from typing import Any

from cranberryline.decisions.read_budget import ReadBudget
from cranberryline.dispatch.direct import DirectUpstreams
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.confirmation import confirm_by_tail
from cranberryline.helpers.http_server import GracefulServer
from cranberryline.helpers.logging import Level, get_logger, set_level
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.shutdown import StopOutcome
from cranberryline.helpers.store_health import StoreHealth, source_name
from cranberryline.helpers.tail import KeyedTail
from cranberryline.jobs.mark_keeper import MarkManager
from cranberryline.jobs.runner import JobRunner, RunnerDependencies
from cranberryline.jobs.service import JobService
from cranberryline.jobs.text_memory import TextMemory
from cranberryline.leases import LeaseKeeper
from cranberryline.platform.ports import PlatformPort
from cranberryline.routes import ActiveRoutes, RouteTable
from cranberryline.settings import GatewaySettings
from cranberryline.upstreams.directory import Directory, Registration
from cranberryline.weights.shift import VersionScheduler
from cranberryline.workspaces import KeyCheck

from .controls import GatewayControls
from .handler import GatewayContext
from .holds import QuarantineParts, make_quarantine
from .links import DirectLinks
from .nodes import NodeHeartbeat, NodeRegistry
from .operator_records import OperatorRecords
from .paced_log import PacedLog
from .peer_copies import PeerCopies
from .recent_reads import RecentReads
from .refusing_log import RefusingLog
from .registration_gate import RegistrationGate
from .registrations import Registrations
from .relay import RelayedLog
from .relay_calls import Redaction
from .servers import ServerOpener, make_peer_application, make_status_application
from .slots import GatewaySlots, SlotStore
from .startup import StartupTails
from .stop import StopParts, async_stop_gateway
from .tasks import log_task_failure, run_soon
from .usage import GatewayUsage
from .version_needs import VersionNeeds

__all__ = ["GatewayProcess"]

_LOGGER = get_logger(__name__)

_EXPIRY_INTERVAL = timedelta(milliseconds=200)
# Pauses after a poll that returned records: without them, polls of these two topics grow with the
# number of VMs; with eight VMs they save 7 of 36 store calls per second and VM. Each is a tenth of its
# time limit: for giving no more work to a draining upstream, and for detecting a dead node.
_UPSTREAMS_POLL_PAUSE = timedelta(milliseconds=200)
_HEARTBEATS_POLL_PAUSE = timedelta(milliseconds=300)


class GatewayProcess:
    """A gateway process: serves callers and runs the items of batch jobs."""

    def __init__(self, cfg: GatewaySettings, platform: PlatformPort, clock: Clock) -> None:
        self._cfg = cfg
        self._platform = platform
        self._clock = clock
        self._tasks: list[asyncio.Future[Any]] = []
        self._http_servers: list[GracefulServer] = []
        self._request_ids = iter(range(1, sys.maxsize))
        self.stopping = False
        self.metrics = Metrics()
        self._opener = ServerOpener(cfg, self.metrics)
        self.routes = ActiveRoutes()
        self.health = StoreHealth(clock, self.metrics)
        # Topics whose changes have to be in force within a bound.
        urgent = self._urgent_topics = (
            platform.topic_operator,
            platform.topic_upstreams,
            platform.topic_quarantine,
        )
        redaction = Redaction(platform.topic_operator, platform.without_secrets)
        self.store = RelayedLog(
            PacedLog(
                platform.log,
                ReadBudget(cfg.store_reads),
                lambda: self.nodes.live_count,
                clock,
                self.metrics.reads_paced.inc,
                urgent,
            ),
            self._relay_peers,
            clock,
            self.metrics,
            redaction,
            urgent,
        )
        self.copies = PeerCopies(self._relay_peers, clock, redaction)
        self.registration_gate = RegistrationGate(clock, self.metrics)
        self.directory = Directory(
            clock,
            self.health,
            run_soon,
            source_name(platform.topic_upstreams),
            self.registration_gate.unread_for,
        )
        self.registrations = Registrations(platform, self.directory, self.routes, self.metrics)
        self.upstreams = UpstreamTable(self.directory.served_versions)
        self.direct_upstreams = DirectUpstreams(
            clock,
            self.metrics,
            RefusingLog(),
            uuid.uuid4().hex,
            lambda: next(self._request_ids),
            self.routes.spec,
            self._wake,
            platform.connect,
            self.registration_gate,
        )
        self.controls = GatewayControls(cfg, platform, self.store, clock, self.health, self.metrics)
        self.links = DirectLinks(self.upstreams, self.direct_upstreams, self.controls.is_cordoned)
        self.quarantine, self._quarantine_tail = make_quarantine(
            QuarantineParts(
                cfg.vm_id,
                platform,
                self.store,
                self.directory,
                clock,
                self.health,
                self.metrics,
                self._live_nodes,
            )
        )
        rng = random.Random()
        self.dispatcher = Dispatcher(
            clock, rng, self.upstreams, self.routes, self.metrics, cfg.data_center, self.quarantine
        )
        self.jobs = JobService(
            self.store, cfg.partitions, clock, self.health, self.metrics, cfg.keep_jobs
        )
        self.nodes = NodeRegistry(
            self.store,
            platform.topic_nodes,
            NodeHeartbeat(cfg.vm_id, cfg.data_center, cfg.peer),
            clock,
            lambda: self._nodes_tail.current_at,
            self._wake,
            self.health,
        )
        self.marks = MarkManager(
            self.jobs,
            self.store,
            platform.topic_marks,
            clock,
            self.health,
            cfg.vm_id,
            self._live_nodes,
        )
        self.slots = GatewaySlots(
            cfg,
            clock,
            self.metrics,
            self.directory,
            self.routes,
            self.upstreams,
            self.nodes,
            SlotStore(self.store, platform.topic_slots, self.health),
            self.controls.controls,
        )
        self.lease = LeaseKeeper(self.store, cfg.vm_id, cfg.lease, clock, self.health)
        needs = VersionNeeds(
            self.routes, lambda model: self.version_scheduler.requested_versions.get(model, 0)
        )
        self.version_scheduler = VersionScheduler(
            platform.orders(self.directory.get),
            self.lease,
            self.registrations.engines,
            needs.models,
            needs.allowed_lag,
            needs.finish_runs,
            self.directory.record_version,
            clock,
            self.metrics,
        )
        self.operator_records = OperatorRecords(
            platform, self.routes, self.health, self.version_scheduler.request_version
        )
        self._config_tail = self._make_tail(
            platform.topic_operator, self.operator_records.apply_record
        )
        self.confirmation = confirm_by_tail(self._config_tail, clock, cfg.config_max_age)
        self.recent_reads = RecentReads(self.confirmation, self.registration_gate)
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
                self.controls.live_nodes,
                lambda: self.recent_reads.async_confirm(clock.monotonic()),
                self.confirmation.async_confirm_read_since,
                self.slots.paces,
                self.slots.source,
                self.controls.may_start,
                self.slots.lengths,
                TextMemory(self._opener.memory),
            )
        )
        self.usage = GatewayUsage(
            cfg, platform, self.store, self.lease, self.nodes, clock, self.health, self.metrics
        )
        self._upstreams_tail = self._make_tail(
            platform.topic_upstreams, self.registrations.apply_record, _UPSTREAMS_POLL_PAUSE
        )
        self.registration_gate.follow(self._upstreams_tail, cfg.registrations_max_age)
        self._nodes_tail = self._make_tail(
            platform.topic_nodes, self.nodes.apply_record, _HEARTBEATS_POLL_PAUSE
        )
        self._startup = StartupTails(
            (self._config_tail, self._upstreams_tail, self._nodes_tail),
            self._quarantine_tail,
            clock,
        )
        self.key_check = KeyCheck(self._config_tail.unconfirmed_for, cfg.key_max_age)
        self.jobs.book.listen(needs.record_job)
        self.routes.listen(self._on_routes)
        self.directory.listen(self._on_registration)
        self.directory.listen_versions(self.upstreams.versions_changed)
        self.directory.listen_superseded(self.direct_upstreams.abort_requests)
        self.controls.attach(self.directory.membership, self.links, self.nodes, self._wake)
        self.directory.membership.listen(self._on_membership_changed)

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send callers to this gateway."""
        loaded = self._config_tail.loaded.is_set() and self._upstreams_tail.loaded.is_set()
        loaded = loaded and self._startup.is_quarantine_ready() and self.controls.ready
        # Jobs cannot be read while the store is out; other requests are served by a peer's records.
        loaded = loaded and (self.jobs.loaded or self.copies.in_use)
        return not self.stopping and loaded and self.routes.table is not None

    def start(self) -> None:
        """Open the ports and start the background tasks; raises OSError if a port is in use."""
        self._platform.account_responses(self._opener.memory.open)
        self.jobs.listen_batches(self._account_jobs)
        context = GatewayContext(
            self._clock,
            self.metrics,
            self._platform.edge,
            self.routes,
            self.dispatcher,
            self.jobs,
            random.Random(),
            self.key_check,
            self.recent_reads,
            self._opener.memory,
            self.usage.counter,
            quarantine_ready=self._startup.is_quarantine_ready,
        )
        self._context = context
        self._caller_server = self._opener.open_callers(context)
        status = make_status_application(
            self.metrics,
            self.quarantine,
            lambda: self.ready,
            [*self.slots.status_handlers, *self.controls.handlers()],
        )
        self._admin_server = self._opener.open_admin(status)
        peers = make_peer_application(self.store, self.copies, self.slots.peer_handlers)
        self._peer_server = self._opener.open_peers(peers)
        self._http_servers += (self._caller_server, self._peer_server)
        for tail in (*self._startup.tails, self.lease.tail):
            self._start_task(tail.async_run())
        for coroutine in (
            self.copies.async_run(),
            self.quarantine.async_run(),
            *(
                self._startup.async_follow_partition(tail, self.marks.loaded)
                for tail in self.jobs.tails
            ),
            self.marks.async_run(),
            self.nodes.async_run(),
            self.runner.async_run(),
            self.lease.async_run(),
            self.version_scheduler.async_run(),
            self._async_expire_registrations(),
            *self.usage.tasks(),
            *self.controls.tasks(),
            *self.slots.tasks(),
        ):
            self._start_task(coroutine)
        _LOGGER.info("started", vm_id=self._cfg.vm_id, data_center=self._cfg.data_center)

    def apply_settings(self, cfg: GatewaySettings) -> None:
        """Apply changed settings; changed addresses take effect at the next start."""
        set_level(Level[cfg.log_level.upper()])
        self.lease.set_length(cfg.lease)
        self.key_check.max_age = cfg.key_max_age
        self.confirmation.max_age = cfg.config_max_age
        self.registration_gate.set_max_age(cfg.registrations_max_age)
        self._cfg = cfg

    async def async_stop(self) -> StopOutcome:
        """Fail the readiness check, hand over work, wait for the load balancer and drain requests."""
        self.stopping = True
        self._context.stopping = True
        self.runner.stopping = True
        self.lease.stopping = True
        self.nodes.stopping = True
        parts = StopParts(
            self._caller_server,
            self._peer_server,
            self.nodes,
            self.store.cancel_peer_reads,
            lambda: self.runner.busy,
            self._mark_closed,
        )
        return await async_stop_gateway(parts, self._cfg.stop_timeout, self._clock)

    def _mark_closed(self) -> None:
        self.slots.stop_answering()
        self._context.closed = True

    async def async_close(self) -> None:
        """Cancel the background tasks and close the components."""
        await self.usage.async_close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.runner.async_close()
        await self.slots.async_close()
        await self.jobs.async_close()
        await self.quarantine.async_close()
        await self.version_scheduler.async_close()

    def _live_nodes(self) -> Collection[str]:
        return self.nodes.live_nodes(self._clock.monotonic())

    def _relay_peers(self) -> list[str]:
        seeds = [address for address in self._cfg.seeds if address != self._cfg.peer]
        return self.nodes.relay_peers() or seeds

    def _make_tail(self, topic: str, on_key: Any, poll_pause: timedelta = timedelta()) -> KeyedTail:
        on_key, urgent = self.copies.keep(topic, on_key), topic in self._urgent_topics
        tail = KeyedTail(self.store, topic, self._clock, self.health, on_key, poll_pause, urgent)
        return self.copies.follow(tail)

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(log_task_failure)
        self._tasks.append(task)

    async def _async_expire_registrations(self) -> None:
        while True:
            await self._clock.async_sleep(_EXPIRY_INTERVAL)
            self.directory.expire()

    def _account_jobs(self) -> None:
        self._opener.memory.keep("jobs", self.jobs.book.held_bytes)

    def _on_routes(self, table: RouteTable) -> None:
        self._opener.apply_limits(table.limits)
        for server in self._http_servers:
            # Closing an idle connection before this limit could lose the caller's next request.
            server.conn_params.header_timeout = table.limits.idle_timeout.total_seconds()
        _LOGGER.info("config_applied", version=table.version, routes=len(table.routes))
        self.direct_upstreams.update_concurrency()
        self._wake()

    def _on_registration(self, row: Registration) -> None:
        if self.routes.set_slots(row.service, row.slots):
            # Links with the old limit would queue requests without the scheduler seeing them.
            self.direct_upstreams.update_concurrency()

    def _on_membership_changed(self, changed: Collection[str]) -> None:
        self.links.apply(self.directory.membership, changed)
        self._wake()

    def _wake(self) -> None:
        self.dispatcher.wake()
        self.runner.wake()

"""The side process, through which all requests to its upstream pass."""

import asyncio
import uuid
from collections.abc import Coroutine, Iterable
from datetime import timedelta
from typing import Any

import zmq

from cranberryline.configs import Revision
from cranberryline.configs.relay import RelayPort
from cranberryline.execution.claims import ClaimService
from cranberryline.execution.execution import Execution
from cranberryline.execution.runner import Runner
from cranberryline.exit_code import ExitCode
from cranberryline.helpers.clock import Clock, SystemClock
from cranberryline.helpers.http_server import (
    ClientLimits,
    GracefulServer,
    InputLimits,
    open_http_server,
)
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.memory import ConnectionShare, connection_limit, open_account
from cranberryline.helpers.metrics import Metrics, MetricsHandler
from cranberryline.helpers.problem import ProblemHandler
from cranberryline.helpers.raw_body import RawBodyApplication
from cranberryline.helpers.shutdown import Shutdown
from cranberryline.ports.clients import HttpEngine, HttpLog
from cranberryline.requests import RequestRegistry
from cranberryline.settings import SideSettings
from cranberryline.settings.const import DEFAULT_MAX_HEADER_BYTES, DEFAULT_SLOW_SENDER_TIMEOUT
from cranberryline.transport import Connection
from cranberryline.transport.model import (
    ConfigDelta,
    ConfigRequest,
    Load,
    Members,
    Message,
    Welcome,
)

from .config_sync import SideConfigSync
from .server import PeerServer, ServerEvents
from .weights import StaggeredSwapDelay, WeightsController

__all__ = ["SideProcess", "run"]

_LOGGER = get_logger(__name__)

# Three times the longest heartbeat interval of an entry.
_ENTRY_SILENCE_TIMEOUT = timedelta(seconds=15)
_SILENCE_CHECK_INTERVAL = timedelta(seconds=5)
_MAX_ADMIN_BODY_BYTES = 1024 * 1024
_DRAIN_POLL_INTERVAL = timedelta(milliseconds=20)


class _EntryRelayPort(RelayPort):
    """Sends configuration messages to the connected entries."""

    def __init__(self, side: "SideProcess") -> None:
        self._side = side

    def entry_peers(self) -> Iterable[str]:
        """Return the connected entries."""
        server = self._side.server
        return [] if server is None else [conn.vm_id for conn in server.listener.connections]

    def side_peers(self) -> Iterable[str]:
        """Return an empty list, because side processes are not connected to each other."""
        return []

    def send(self, peer: str, message: Message) -> None:
        """Send a message to an entry; drop and count it if the entry is not connected."""
        server = self._side.server
        conn = None if server is None else server.listener.get(peer)
        if server is None or conn is None:
            self._side.metrics.drop("peer_not_connected")
            return
        server.listener.send(conn, message)


class SideProcess(ServerEvents):
    """Create, connect, start and stop the components of a side process."""

    def __init__(self, cfg: SideSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._ctx = zmq.Context()
        self._http: GracefulServer | None = None
        self._tasks: set[asyncio.Future[Any]] = set()
        self._members = Members(cfg.service, (), 0)
        self.server: PeerServer | None = None
        self.incarnation = uuid.uuid4().hex
        self.metrics = Metrics()
        self.memory = open_account(None, self.metrics)
        self.request_registry = RequestRegistry(self.incarnation)
        self.engine = HttpEngine(cfg.upstream_url)
        self.claims = ClaimService(HttpLog(cfg.log_url), cfg.service, self.incarnation, clock)
        execution = Execution(clock, self.metrics, self.engine, self.claims)
        self.runner = Runner(clock, execution, self.metrics, self.request_registry)
        self.sync = SideConfigSync(_EntryRelayPort(self), clock, self.metrics)
        swap_delay_policy = StaggeredSwapDelay(
            cfg.vm_id, lambda: self._members.ids, lambda: self._members.count
        )
        self.weights = WeightsController(
            cfg.service, self.sync, self.engine, swap_delay_policy, clock, self.metrics
        )
        self.sync.fold.listen(self._apply_concurrency)

    @property
    def ready(self) -> bool:
        """Return whether this process accepts new requests."""
        return self.sync.current and not self.request_registry.draining

    def config_offset(self) -> int:
        """Return the log offset up to which this process has the configuration."""
        return self.sync.fold.offset

    def load(self) -> Load | None:
        """Return the current load report."""
        return Load(
            running=self.request_registry.running,
            queued=self.request_registry.queued,
            queued_tokens=self.runner.queued_tokens,
            slots=self.runner.concurrency,
            weight_version=self.weights.state.serving,
            config_offset=self.config_offset(),
        )

    def welcome(self) -> Welcome:
        """Return the Welcome message with this process's identity, incarnation and state."""
        return Welcome(
            vm_id=self._cfg.vm_id,
            incarnation=self.incarnation,
            service=self._cfg.service,
            data_center=self._cfg.data_center,
            config_offset=self.config_offset(),
            draining=self.request_registry.draining,
        )

    def on_connected(self, conn: Connection) -> None:
        """Handle a new connection from an entry."""
        self.sync.on_peer(conn.vm_id, conn.config_offset)

    def on_disconnected(self, conn: Connection) -> None:
        """Handle the end of an entry's connection."""
        self.sync.on_peer_lost(conn.vm_id)

    def on_config_offset(self, conn: Connection) -> None:
        """Handle the configuration offset that an entry reported in a heartbeat."""
        self.sync.on_peer(conn.vm_id, conn.config_offset)

    def on_config_message(self, conn: Connection, msg: ConfigDelta | ConfigRequest) -> None:
        """Handle configuration records, or a request for them, from an entry."""
        self.sync.on_message(conn.vm_id, msg)

    def on_members(self, msg: Members) -> None:
        """Store the list of VMs if it is for this upstream's service."""
        if msg.service == self._cfg.service:
            self._members = msg

    def start(self) -> None:
        """Open the ports and start the background tasks.

        Raises OSError if a port is in use.
        """
        self.server = PeerServer(
            self._ctx,
            self._cfg.peer,
            self._clock,
            self.runner,
            self.metrics,
            self.memory,
            self.welcome,
            self,
        )
        self._http = _start_http_server(self._cfg.listen, self)
        self._start_task(self.sync.async_run())
        self._start_task(self.weights.async_run())
        self._start_task(self._async_drop_silent_entries())
        _LOGGER.info("side_started", vm_id=self._cfg.vm_id, incarnation=self.incarnation)

    async def async_stop(self) -> None:
        """Refuse queued and new requests, announce the drain, and wait for running requests.

        The drain is announced again after the last response. Messages arrive in order, so an entry
        that acknowledges this second announcement has received all responses. Without it, closing
        the socket would drop responses still queued for a slow link: the requests have run, but
        their callers would receive truncated responses.
        """
        self.runner.drain()
        if self.server is not None:
            self.server.refuse_offers()
        await self._async_announce_drain()
        await self.runner.async_wait_idle()
        await self.claims.async_stop()
        await self._async_announce_drain()

    async def _async_announce_drain(self) -> None:
        """Announce the drain to the entries and wait until they have acknowledged it.

        A request that an entry sends before it reads the announcement would otherwise reach a
        closed socket. Its caller would be told that the request may have run, although it was
        never read. While the socket is open, the request is answered as not run and can run on
        another upstream. Entries that have been silent beyond the connection's silence limit are
        not waited for, because they have closed the connection themselves.
        """
        if self.server is None:
            return
        self.server.listener.announce_drain(self.incarnation, self._cfg.stop_timeout)
        while self.server.listener.drain_unread:
            await self._clock.async_sleep(_DRAIN_POLL_INTERVAL)

    async def async_close(self) -> None:
        """Cancel the background tasks and close the ports."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._http is not None:
            self._http.stop()
        if self.server is not None:
            self.server.close()
        self._ctx.destroy(linger=0)

    def _apply_concurrency(self, _: Revision) -> None:
        spec = self.sync.fold.service(self._cfg.service)
        if spec is None:
            return
        self.runner.set_concurrency(spec.concurrency)

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_drop_silent_entries(self) -> None:
        while True:
            await self._clock.async_sleep(_SILENCE_CHECK_INTERVAL)
            if self.server is not None:
                self.server.listener.drop_silent(_ENTRY_SILENCE_TIMEOUT)


class _HealthHandler(ProblemHandler):
    """Health and readiness endpoint."""

    def initialize(self, side: SideProcess, readiness: bool) -> None:
        """Set the process to report on, and whether to report its readiness or its health."""
        self._side = side
        self._readiness = readiness

    def get(self) -> None:
        """Respond with status 200, or 503 from the readiness endpoint while not ready."""
        healthy = self._side.ready or not self._readiness
        self.set_status(200 if healthy else 503)
        self.finish({"ok": healthy})


def _start_http_server(address: str, side: SideProcess) -> GracefulServer:
    app = RawBodyApplication(
        [
            ("/health", _HealthHandler, {"side": side, "readiness": False}),
            ("/ready", _HealthHandler, {"side": side, "readiness": True}),
            ("/metrics", MetricsHandler, {"metrics": side.metrics}),
        ]
    )
    limits = InputLimits(
        _MAX_ADMIN_BODY_BYTES, DEFAULT_MAX_HEADER_BYTES, DEFAULT_SLOW_SENDER_TIMEOUT
    )
    clients = ClientLimits(
        side.memory, max_connections=connection_limit(None, ConnectionShare.ADMIN)
    )
    return open_http_server(app, address, limits, side.metrics, clients)


async def _async_run(cfg: SideSettings) -> int:
    side = SideProcess(cfg, SystemClock())
    shutdown = Shutdown(side.async_stop, cfg.stop_timeout, side.metrics)
    shutdown.install()
    try:
        side.start()
    except OSError as exc:
        # Another process, possibly a paused earlier instance, still holds the port. The process
        # manager must end it first, because two side processes must not serve the same VM.
        _LOGGER.error("cannot_listen", error=str(exc))
        await side.async_close()
        return ExitCode.UNAVAILABLE
    outcome = await shutdown.async_wait()
    await side.async_close()
    return outcome.exit_code


def run(cfg: SideSettings) -> int:
    """Run a side process until it receives a stop signal; return the exit code."""
    return asyncio.run(_async_run(cfg))

"""The side process: the only door to its upstream."""

import asyncio
import uuid
from collections.abc import Coroutine, Iterable
from datetime import timedelta
from typing import Any

import zmq
from tornado.httpserver import HTTPServer
from tornado.web import Application

from cranberryline.configs import Revision
from cranberryline.configs.relay import RelayPort
from cranberryline.execution.claims import ClaimService
from cranberryline.execution.execution import Execution
from cranberryline.execution.runner import Runner
from cranberryline.exit_code import ExitCode
from cranberryline.helpers.clock import Clock, SystemClock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics, MetricsHandler
from cranberryline.helpers.problem import ProblemHandler
from cranberryline.helpers.shutdown import Shutdown
from cranberryline.ports.clients import HttpEngine, HttpLog
from cranberryline.requests import RequestRegistry
from cranberryline.settings import SideSettings
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
from .weights import ShiftSlots, WeightsController

__all__ = ["SideProcess", "run"]

_LOGGER = get_logger(__name__)

# Three times the longest heartbeat interval of an entry.
_ENTRY_SILENT_AFTER = timedelta(seconds=15)
_SWEEP_INTERVAL = timedelta(seconds=5)
_STOP_POLL = timedelta(milliseconds=20)


class _Relay(RelayPort):
    """Send configuration to the connected entries."""

    def __init__(self, side: "SideProcess") -> None:
        self._side = side

    def entry_peers(self) -> Iterable[str]:
        """Return the connected entries."""
        server = self._side.server
        return [] if server is None else [conn.vm_id for conn in server.listener.connections]

    def side_peers(self) -> Iterable[str]:
        """Return nobody: side processes do not talk to each other."""
        return []

    def send(self, peer: str, message: Message) -> None:
        """Send a message to an entry; one that cannot be sent is dropped and counted."""
        server = self._side.server
        conn = None if server is None else server.listener.get(peer)
        if server is None or conn is None:
            self._side.metrics.drop("peer_not_connected")
            return
        server.listener.send(conn, message)


class SideProcess(ServerEvents):
    """Put the parts of a side process together."""

    def __init__(self, cfg: SideSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._ctx = zmq.Context()
        self._http: HTTPServer | None = None
        self._tasks: set[asyncio.Future[Any]] = set()
        self._members = Members(cfg.service, (), 0)
        self.server: PeerServer | None = None
        self.incarnation = uuid.uuid4().hex
        self.metrics = Metrics()
        self.book = RequestRegistry(self.incarnation)
        self.engine = HttpEngine(cfg.upstream_url)
        self.claims = ClaimService(HttpLog(cfg.log_url), cfg.service, self.incarnation, clock)
        execution = Execution(clock, self.metrics, self.engine, self.claims)
        self.runner = Runner(clock, execution, self.metrics, self.book)
        self.sync = SideConfigSync(_Relay(self), clock, self.metrics)
        slots = ShiftSlots(cfg.vm_id, lambda: self._members.ids, lambda: self._members.count)
        self.weights = WeightsController(
            cfg.service, self.sync, self.engine, slots, clock, self.metrics
        )
        self.sync.fold.listen(self._on_revision)

    @property
    def ready(self) -> bool:
        """Tell whether new work is welcome."""
        return self.sync.current and not self.book.draining

    def config_offset(self) -> int:
        """Return how much configuration this process has."""
        return self.sync.fold.offset

    def load(self) -> Load | None:
        """Return the present load report."""
        return Load(
            running=self.book.running,
            queued=self.book.queued,
            queued_tokens=self.runner.queued_tokens,
            slots=self.runner.concurrency,
            weight_version=self.weights.state.serving,
            config_offset=self.config_offset(),
        )

    def welcome(self) -> Welcome:
        """Say who this is, in which life."""
        return Welcome(
            vm_id=self._cfg.vm_id,
            incarnation=self.incarnation,
            service=self._cfg.service,
            data_center=self._cfg.data_center,
            config_offset=self.config_offset(),
            draining=self.book.draining,
        )

    def on_connected(self, conn: Connection) -> None:
        """Take in an entry."""
        self.sync.on_peer(conn.vm_id, conn.config_offset)

    def on_disconnected(self, conn: Connection) -> None:
        """Forget an entry that is out of reach."""
        self.sync.on_peer_lost(conn.vm_id)

    def on_offset(self, conn: Connection) -> None:
        """Take what an entry says of how much configuration it has."""
        self.sync.on_peer(conn.vm_id, conn.config_offset)

    def on_config(self, conn: Connection, msg: ConfigDelta | ConfigRequest) -> None:
        """Take configuration, or a request for it, from an entry."""
        self.sync.on_message(conn.vm_id, msg)

    def on_members(self, msg: Members) -> None:
        """Take the members of this upstream's service."""
        if msg.service == self._cfg.service:
            self._members = msg

    def start(self) -> None:
        """Open the ports and start the tasks."""
        self.server = PeerServer(
            self._ctx,
            self._cfg.peer,
            self._clock,
            self.runner,
            self.metrics,
            self.welcome,
            self,
        )
        self._http = _listen(self._cfg.listen, self)
        self._spawn(self.sync.async_run())
        self._spawn(self.weights.async_run())
        self._spawn(self._async_sweep())
        _LOGGER.info("side_started", vm_id=self._cfg.vm_id, incarnation=self.incarnation)

    async def async_stop(self) -> None:
        """Refuse what has not begun, tell the entries, and finish what runs.

        The entries are told again behind the last answer: once they have read that, they have the answers before
        it. Closed without, the socket would drop what a slow link has not taken; the calls ran, and callers
        would see their answers break off.
        """
        self.runner.drain()
        await self._async_announce_drain()
        await self.runner.async_wait_idle()
        await self.claims.async_stop()
        await self._async_announce_drain()

    async def _async_announce_drain(self) -> None:
        """Tell the entries that this process stops, and wait until they have read so.

        What an entry sends before it reads that would reach a socket that has closed. Its caller is told that the
        request may have run, though it was never read; read here, it is vouched for and runs elsewhere. An entry
        that is silent for longer has given the connection up itself.
        """
        if self.server is None:
            return
        self.server.listener.announce_drain(self.incarnation, self._cfg.stop_timeout)
        while self.server.listener.drain_unread:
            await self._clock.async_sleep(_STOP_POLL)

    async def async_close(self) -> None:
        """End the tasks and close the ports."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._http is not None:
            self._http.stop()
        if self.server is not None:
            self.server.listener.close()
        self._ctx.destroy(linger=0)

    def _on_revision(self, _: Revision) -> None:
        spec = self.sync.fold.service(self._cfg.service)
        if spec is None:
            return
        self.runner.set_concurrency(spec.concurrency)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_sweep(self) -> None:
        while True:
            await self._clock.async_sleep(_SWEEP_INTERVAL)
            if self.server is not None:
                self.server.listener.drop_silent(_ENTRY_SILENT_AFTER)


class _HealthHandler(ProblemHandler):
    """Answer whether the process lives, or is ready for work."""

    def initialize(self, side: SideProcess, readiness: bool) -> None:
        """Take the process."""
        self._side = side
        self._readiness = readiness

    def get(self) -> None:
        """Answer 200 or 503."""
        good = self._side.ready or not self._readiness
        self.set_status(200 if good else 503)
        self.finish({"ok": good})


def _listen(address: str, side: SideProcess) -> HTTPServer:
    app = Application(
        [
            ("/health", _HealthHandler, {"side": side, "readiness": False}),
            ("/ready", _HealthHandler, {"side": side, "readiness": True}),
            ("/metrics", MetricsHandler, {"metrics": side.metrics}),
        ],
        log_function=lambda _: None,
    )
    server = HTTPServer(app)
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)
    return server


async def _async_run(cfg: SideSettings) -> int:
    side = SideProcess(cfg, SystemClock())
    shutdown = Shutdown(side.async_stop, cfg.stop_timeout, side.metrics)
    shutdown.install()
    try:
        side.start()
    except OSError as exc:
        # Another process, perhaps a paused predecessor, still holds the port. Whoever starts
        # processes has to end that one first; two would act beside one VM.
        _LOGGER.error("cannot_listen", error=str(exc))
        await side.async_close()
        return ExitCode.UNAVAILABLE
    outcome = await shutdown.async_wait()
    await side.async_close()
    return outcome.exit_code


def run(cfg: SideSettings) -> int:
    """Run a side process until it is told to stop; return the exit code."""
    return asyncio.run(_async_run(cfg))

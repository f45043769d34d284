"""The entry process: serves callers, trainers and operators."""

import asyncio
import itertools
import uuid
from datetime import timedelta

import zmq
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cranberryline.helpers.clock import Clock, SystemClock
from cranberryline.helpers.logging import get_logger, set_up_logging
from cranberryline.helpers.metrics import Metrics, MetricsHandler
from cranberryline.helpers.problem import write_problem
from cranberryline.helpers.shutdown import Shutdown
from cranberryline.platform.clients import HttpVmList
from cranberryline.platform.model import VmList, VmRole, VmState
from cranberryline.settings import EntrySettings
from cranberryline.transport import BadFrame
from cranberryline.transport.model import Hello, Welcome

from .dispatch import Dispatcher, PeerTable
from .errors import RefusalReason
from .peers import PeerEvents, SidePeer
from .proxy import DEFAULT_TIMEOUT, CompletionHandler, ProxyContext, ServiceHandler

__all__ = ["EntryProcess", "run"]

_LOGGER = get_logger(__name__)

# The balancer asks for /ready every second or two; this long it may still send new connections.
_BALANCER_NOTICE = timedelta(seconds=3)
_VM_LIST_WAIT = timedelta(seconds=20)
_VM_LIST_PAUSE = timedelta(seconds=1)


class EntryProcess(PeerEvents):
    """Put the parts of an entry together."""

    def __init__(self, cfg: EntrySettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self.metrics = Metrics()
        self.incarnation = uuid.uuid4().hex
        self.peers = PeerTable()
        self.dispatcher = Dispatcher(clock, self.peers)
        self.stopping = False
        self.accepting = True
        self._ctx = zmq.Context()
        self._ids = itertools.count(1)
        self._vm_list = HttpVmList(cfg.vm_list_url)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._http: HTTPServer | None = None

    @property
    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return bool(self.peers.all()) and not self.stopping

    def hello(self) -> Hello:
        """Say who dials."""
        return Hello(
            self._cfg.vm_id, self.incarnation, "entry", self._cfg.data_center, self.config_offset()
        )

    def on_up(self, peer: SidePeer, welcome: Welcome) -> None:
        """Let waiting requests look at a new connection."""
        _LOGGER.info("peer_up", peer=peer.vm_id, incarnation=welcome.incarnation)
        self.dispatcher.wake()

    def on_down(self, peer: SidePeer) -> None:
        """Log a lost connection."""
        _LOGGER.info("peer_down", peer=peer.vm_id)

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Count a frame that could not be read."""
        self.metrics.bad_frame(bad.reason.value)

    def apply_vm_list(self, vms: VmList) -> None:
        """Dial new upstreams, and let go of those that have left."""
        live = {vm.id: vm for vm in vms.vms if vm.role is VmRole.UPSTREAM}
        for vm_id in [name for name in self._tasks if name not in live]:
            self._tasks.pop(vm_id).cancel()
            self.peers.remove(vm_id)
        for vm in live.values():
            if vm.id in self._tasks or vm.state is not VmState.LIVE:
                continue
            peer = SidePeer(
                self._ctx, self._clock, vm.id, vm.peer, self.hello, self, lambda: next(self._ids)
            )
            self.peers.add(vm.service, peer)
            self._tasks[vm.id] = asyncio.ensure_future(peer.async_run())

    async def async_watch_vm_list(self) -> None:
        """Follow the platform's VM list."""
        known = 0
        while True:
            result = await self._vm_list.async_list(known, _VM_LIST_WAIT)
            vms = result.ok()
            if vms is not None:
                known = vms.version
                self.apply_vm_list(vms)
            if result.is_err():
                await self._clock.async_sleep(_VM_LIST_PAUSE)

    def start(self) -> None:
        """Open the HTTP port."""
        self._http = _listen(self._cfg, self)
        _LOGGER.info("entry_ready", vm_id=self._cfg.vm_id, incarnation=self.incarnation)

    async def async_stop(self) -> None:
        """Fail the health check, wait for the balancer, close the port, finish what is in flight."""
        self.stopping = True
        await self._clock.async_sleep(_BALANCER_NOTICE)
        if self._http is not None:
            self._http.stop()
        while self.dispatcher.in_flight:
            await self._clock.async_sleep(timedelta(milliseconds=50))
        if self._http is not None:
            await self._http.close_all_connections()

    def close(self) -> None:
        """Close the sockets."""
        for task in self._tasks.values():
            task.cancel()
        self._ctx.destroy(linger=0)


class _HealthHandler(RequestHandler):
    """Answer whether the process lives, or is ready for work."""

    def initialize(self, entry: EntryProcess, readiness: bool) -> None:
        """Take the process."""
        self._entry = entry
        self._readiness = readiness

    def get(self) -> None:
        """Answer 200 or 503; the health check fails first in a planned stop."""
        good = self._entry.ready if self._readiness else not self._entry.stopping
        self.set_status(200 if good else 503)
        self.finish({"ready": self._entry.ready})


class _NotFoundHandler(RequestHandler):
    """Answer paths that do not exist."""

    def prepare(self) -> None:
        """Refuse with a problem."""
        write_problem(self, 404, RefusalReason.BAD_REQUEST.value, "no such path")


def _listen(cfg: EntrySettings, entry: EntryProcess) -> HTTPServer:
    context = ProxyContext(
        clock=entry._clock,
        metrics=entry.metrics,
        dispatcher=entry.dispatcher,
        service_for_model=lambda model: model if entry.peers.knows(model) else None,
        timeout_for=lambda _: DEFAULT_TIMEOUT,
        knows=entry.peers.knows,
        accepting=lambda: entry.accepting,
    )
    app = Application(
        [
            (r"/services/([^/]+)/(.*)", ServiceHandler, {"context": context}),
            (r"/v1/(completions|chat/completions)", CompletionHandler, {"context": context}),
            ("/health", _HealthHandler, {"entry": entry, "readiness": False}),
            ("/ready", _HealthHandler, {"entry": entry, "readiness": True}),
            ("/metrics", MetricsHandler, {"metrics": entry.metrics}),
        ],
        default_handler_class=_NotFoundHandler,
        log_function=lambda _: None,
    )
    server = HTTPServer(
        app,
        max_body_size=cfg.max_body_bytes,
        max_header_size=cfg.max_header_bytes,
        body_timeout=cfg.slow_sender_timeout.total_seconds(),
    )
    host, _, port = cfg.listen.rpartition(":")
    server.listen(int(port), host)
    return server


async def _async_run(cfg: EntrySettings) -> int:
    entry = EntryProcess(cfg, SystemClock())
    shutdown = Shutdown(entry.async_stop, cfg.stop_timeout, entry.metrics)
    shutdown.install()
    entry.start()
    watch = asyncio.ensure_future(entry.async_watch_vm_list())
    outcome = await shutdown.async_wait()
    watch.cancel()
    entry.close()
    return outcome.exit_code


def run(cfg: EntrySettings) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    writer = set_up_logging(cfg.log_level, vm_id=cfg.vm_id, role="entry")
    try:
        return asyncio.run(_async_run(cfg))
    finally:
        writer.close()

"""The entry process: serves callers, trainers and operators."""

import asyncio
import itertools
import random
import uuid
from collections.abc import Coroutine, Iterable
from datetime import timedelta
from typing import Any

import zmq
from tornado.httpserver import HTTPServer

from cranberryline.configs.relay import RelayPort
from cranberryline.helpers.clock import Clock, SystemClock
from cranberryline.helpers.logging import get_logger, set_up_logging
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.shutdown import Shutdown
from cranberryline.platform.clients import HttpLog, HttpVmList
from cranberryline.settings import EntrySettings
from cranberryline.transport import BadFrame, Dialer, DialerEvents
from cranberryline.transport.model import (
    ConfigDelta,
    ConfigRequest,
    Drain,
    Hello,
    Load,
    Members,
    Message,
    Welcome,
)

from .config_sync import EntryConfigSync
from .dispatch import Dispatcher, ServiceBook
from .http import Route, async_close_http, listen_http
from .links import SideLinks
from .membership import MembershipWatch
from .mesh import EntryMesh, MeshEvents
from .proxy import ProxyContext
from .upstreams import PeerTable

__all__ = ["EntryProcess", "run"]

_LOGGER = get_logger(__name__)

# The balancer asks for /ready every second or two; this long it may still send new connections.
_BALANCER_NOTICE = timedelta(seconds=3)
_PEER_SILENT_AFTER = timedelta(seconds=15)
_SWEEP_INTERVAL = timedelta(seconds=5)
_STOP_POLL = timedelta(milliseconds=50)


class _Relay(RelayPort):
    """Send configuration over the mesh to entries and over the links to side processes."""

    def __init__(self, mesh: EntryMesh, links: SideLinks, metrics: Metrics) -> None:
        self._mesh = mesh
        self._links = links
        self._metrics = metrics

    def entry_peers(self) -> Iterable[str]:
        """Return the connected entries."""
        return self._mesh.connected()

    def side_peers(self) -> Iterable[str]:
        """Return the connected side processes."""
        return self._links.connected()

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer; one that cannot be sent is dropped and counted."""
        if not self._links.send(peer, message) and not self._mesh.send(peer, message):
            self._metrics.drop("peer_not_connected")


class EntryProcess(DialerEvents, MeshEvents):
    """Put the parts of an entry together."""

    def __init__(self, cfg: EntrySettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._ctx = zmq.Context()
        self._ids = itertools.count(1)
        self._http: HTTPServer | None = None
        self._tasks: set[asyncio.Future[Any]] = set()
        self.incarnation = uuid.uuid4().hex
        self.stopping = False
        self.metrics = Metrics()
        self.table = PeerTable()
        self.watch = MembershipWatch(HttpVmList(cfg.vm_list_url), clock, self.metrics)
        self.members = self.watch.membership
        self.links = SideLinks(
            self._ctx, clock, cfg.vm_id, self.hello, self.next_id, self, self.table, self.metrics
        )
        self.mesh = EntryMesh(self._ctx, clock, cfg.vm_id, self.hello, self.next_id, self)
        self.log = HttpLog(cfg.log_url)
        self.sync = EntryConfigSync(
            cfg.vm_id,
            self.log,
            _Relay(self.mesh, self.links, self.metrics),
            lambda: [vm.id for vm in self.members.entries()],
            clock,
            self.metrics,
        )
        self.book = ServiceBook(self.sync.fold)
        self.dispatcher = Dispatcher(clock, random.Random(), self.table, self.book, self.metrics)
        self.members.listen(self._on_members)
        self.sync.fold.listen(lambda _: self.dispatcher.wake())

    @property
    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return not self.stopping and self.sync.current and self.members.version > 0

    def next_id(self) -> int:
        """Return a request id that this life of the process never uses again."""
        return next(self._ids)

    def hello(self) -> Hello:
        """Say who dials."""
        return Hello(
            self._cfg.vm_id, self.incarnation, "entry", self._cfg.data_center, self.config_offset()
        )

    def config_offset(self) -> int:
        """Return how much configuration this entry has."""
        return self.sync.fold.offset

    def on_up(self, peer: Dialer, welcome: Welcome) -> None:
        """Take in a side process that was reached."""
        _LOGGER.info("side_up", peer=peer.vm_id, incarnation=welcome.incarnation)
        self.watch.on_welcome(welcome)
        self.sync.on_peer(peer.vm_id, welcome.config_offset)
        self._send_members(peer)
        self.dispatcher.wake()

    def on_down(self, peer: Dialer) -> None:
        """Forget what was known of a side process that is out of reach."""
        _LOGGER.info("side_down", peer=peer.vm_id)
        self.sync.on_peer_lost(peer.vm_id)

    def on_drain(self, peer: Dialer, msg: Drain) -> None:
        """Give a side process that announced its stop no new work."""
        _LOGGER.info("side_drains", peer=peer.vm_id, incarnation=msg.incarnation)
        self.watch.on_drain(peer.vm_id, msg)

    def on_load(self, peer: Dialer, msg: Load) -> None:
        """Let waiting requests look at the upstreams again."""
        self.dispatcher.wake()

    def on_offset(self, peer: Dialer, offset: int) -> None:
        """Take what a side process says of how much configuration it has."""
        self._on_peer_offset(peer.vm_id, offset)

    def on_config(self, peer: Dialer, msg: ConfigDelta | ConfigRequest) -> None:
        """Take configuration, or a request for it, from a side process."""
        self.sync.on_message(peer.vm_id, msg)

    def on_entry_offset(self, vm_id: str, offset: int) -> None:
        """Take what another entry says of how much configuration it has."""
        self._on_peer_offset(vm_id, offset)

    def on_entry_lost(self, vm_id: str) -> None:
        """Forget what was known of an entry that is out of reach."""
        self.sync.on_peer_lost(vm_id)

    def on_entry_config(self, vm_id: str, msg: ConfigDelta | ConfigRequest) -> None:
        """Take configuration, or a request for it, from another entry."""
        self.sync.on_message(vm_id, msg)

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Count a frame that could not be read."""
        self.metrics.bad_frame(bad.reason.value)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a piece of work in the background until the process ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start(self) -> None:
        """Open the ports and start the tasks."""
        self.mesh.listen(self._cfg.peer)
        self._http = listen_http(
            self._cfg,
            self._proxy_context(),
            self.metrics,
            alive=lambda: not self.stopping,
            ready=lambda: self.ready,
            more=self._routes(),
        )
        self.spawn(self.sync.async_run())
        self.spawn(self.watch.async_run())
        self.spawn(self._async_sweep())
        _LOGGER.info("entry_started", vm_id=self._cfg.vm_id, incarnation=self.incarnation)

    async def async_stop(self) -> None:
        """Fail the health check, wait for the balancer, close the port, finish what is in flight."""
        self.stopping = True
        await self._clock.async_sleep(_BALANCER_NOTICE)
        if self._http is None:
            return
        self._http.stop()
        while self.dispatcher.in_flight:
            await self._clock.async_sleep(_STOP_POLL)
        await async_close_http(self._http)

    def close(self) -> None:
        """End the tasks and close the sockets."""
        for task in list(self._tasks):
            task.cancel()
        self.links.close()
        self.mesh.close()
        self._ctx.destroy(linger=0)

    def _routes(self) -> list[Route]:
        return []

    def _proxy_context(self) -> ProxyContext:
        return ProxyContext(
            clock=self._clock,
            metrics=self.metrics,
            dispatcher=self.dispatcher,
            book=self.book,
            ready=lambda: self.sync.current,
        )

    def _on_members(self) -> None:
        self.links.apply(self.members)
        for peer in self.table.all():
            self._send_members(peer)
        self.mesh.apply_members(self.members.entries())
        self.sync.on_members()
        self.dispatcher.wake()

    def _on_peer_offset(self, vm_id: str, offset: int) -> None:
        self.sync.on_peer(vm_id, offset)

    def _send_members(self, peer: Dialer) -> None:
        """Tell a side process who else serves its service, for the order of weight swaps."""
        row = self.members.get(peer.vm_id)
        if row is not None:
            ids = tuple(vm.id for vm in self.members.upstreams(row.service))
            peer.send(Members(row.service, ids))

    async def _async_sweep(self) -> None:
        while True:
            await self._clock.async_sleep(_SWEEP_INTERVAL)
            self.mesh.drop_silent(_PEER_SILENT_AFTER)


async def _async_run(cfg: EntrySettings) -> int:
    entry = EntryProcess(cfg, SystemClock())
    shutdown = Shutdown(entry.async_stop, cfg.stop_timeout, entry.metrics)
    shutdown.install()
    entry.start()
    outcome = await shutdown.async_wait()
    entry.close()
    return outcome.exit_code


def run(cfg: EntrySettings) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    writer = set_up_logging(cfg.log_level, vm_id=cfg.vm_id, role="entry")
    try:
        return asyncio.run(_async_run(cfg))
    finally:
        writer.close()

"""The entry process: serves callers, trainers and operators."""

import asyncio
import itertools
import random
import sys
import uuid
from collections.abc import Coroutine, Iterable, Sequence
from datetime import timedelta
from typing import Any

import zmq
from result import Err, Ok
from tornado.web import RequestHandler

from cranberryline.configs import Revision, ServiceSpec
from cranberryline.configs.checkpoint import CheckpointPolicy
from cranberryline.configs.publish import ConfigPublisher
from cranberryline.configs.relay import RelayPort
from cranberryline.dispatch.direct import DirectUpstreams
from cranberryline.dispatch.dispatch import Dispatcher, ServiceCatalog
from cranberryline.dispatch.upstreams import UpstreamTable
from cranberryline.exit_code import ExitCode
from cranberryline.helpers.clock import Clock, SystemClock
from cranberryline.helpers.http_server import GracefulServer
from cranberryline.helpers.logging import get_logger, once_per_burst
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.problem import write_problem
from cranberryline.helpers.shutdown import Shutdown
from cranberryline.helpers.tokens import Role, TokenRefusal, TokenTable, load_tokens
from cranberryline.ports.clients import HttpLog, HttpScorer, HttpVmList
from cranberryline.ports.model import VmEntry
from cranberryline.samples.hedging import SlowestFirst
from cranberryline.samples.runner import RunnerPorts
from cranberryline.samples.table import StepTable
from cranberryline.settings import EntrySettings
from cranberryline.transport import BadFrame, Dialer, DialerEvents, UpstreamLink
from cranberryline.transport.model import (
    ConfigDelta,
    ConfigRequest,
    Drain,
    Hello,
    Load,
    Message,
    PeerRequest,
    Welcome,
)

from .config_sync import EntryConfigSync
from .dialing import Dialing
from .http import Route, listen_http
from .links import SideLinks
from .membership import MembershipWatch
from .mesh import EntryMesh, MeshEvents, PeerReply
from .notices import MemberNotices
from .operators import OperatorContext, PeerStatus, operator_routes
from .proxy import ProxyContext
from .rollouts import FoldRolloutConfig, MeshStepOwners, SampleDispatcher, ZeroScorer
from .trainer_handlers import trainer_routes
from .trainers import TrainerService

__all__ = ["EntryProcess", "run"]

_LOGGER = get_logger(__name__)

# The balancer asks for /ready every second or two; this long it may still send new connections.
_BALANCER_NOTICE = timedelta(seconds=3)
_PEER_SILENT_AFTER = timedelta(seconds=15)
_SWEEP_INTERVAL = timedelta(seconds=5)
_STOP_POLL = timedelta(milliseconds=50)
# In this time the first request of a connection arrives that was made just before the port closed.
_ARRIVAL = timedelta(milliseconds=50)


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

    def __init__(self, cfg: EntrySettings, tokens: TokenTable, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._ctx = zmq.Context()
        self._ids = itertools.count(1)
        self._http: GracefulServer | None = None
        self._tasks: set[asyncio.Future[Any]] = set()
        self.incarnation = uuid.uuid4().hex
        self.stopping = False
        self.metrics = Metrics()
        self.table = UpstreamTable()
        self.watch = MembershipWatch(HttpVmList(cfg.vm_list_url), clock, self.metrics)
        self.members = self.watch.membership
        self.notices = MemberNotices(self.members)
        self.log = HttpLog(cfg.log_url)
        self.directs = self._make_directs()
        dialing = Dialing(self._ctx, clock, cfg.vm_id, self.hello, self.next_id)
        self.links = SideLinks(dialing, self, self.table, self.metrics, self.directs)
        self.mesh = EntryMesh(dialing, self)
        self.sync = EntryConfigSync(
            cfg.vm_id,
            self.log,
            _Relay(self.mesh, self.links, self.metrics),
            self._live_entries,
            clock,
            self.metrics,
            checkpoints=CheckpointPolicy(cfg.log_retention),
        )
        self.book = ServiceCatalog(self.sync.fold)
        self.dispatcher = Dispatcher(
            clock, random.Random(), self.table, self.book, self.metrics, cfg.data_center
        )
        self.tokens = tokens
        scorer = ZeroScorer() if cfg.scorer_url is None else HttpScorer(cfg.scorer_url)
        rollouts = FoldRolloutConfig(self.sync.fold)
        ports = RunnerPorts(
            SampleDispatcher(self.dispatcher, self.book, clock),
            scorer,
            SlowestFirst(),
            self.metrics,
            clock,
        )
        self.steps = StepTable(ports, rollouts)
        owners = MeshStepOwners(cfg.vm_id, self.mesh, self._live_entries)
        self.trainers = TrainerService(self.steps, rollouts, owners)
        self.members.listen(self._on_members)
        self.sync.fold.listen(self._on_revision)

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
        self.notices.forget(peer.vm_id)
        self._send_members([peer])
        self.dispatcher.wake()

    def on_down(self, peer: Dialer) -> None:
        """Forget what was known of a side process that is out of reach."""
        _LOGGER.info("side_down", peer=peer.vm_id)
        self.notices.forget(peer.vm_id)
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
        self.sync.on_peer(peer.vm_id, offset)

    def on_config(self, peer: Dialer, msg: ConfigDelta | ConfigRequest) -> None:
        """Take configuration, or a request for it, from a side process."""
        self.sync.on_message(peer.vm_id, msg)

    def on_entry_offset(self, vm_id: str, offset: int) -> None:
        """Take what another entry says of how much configuration it has."""
        self.sync.on_peer(vm_id, offset)

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
        """Fail the health check, wait for the balancer, close the port, finish what is in flight.

        The server itself says what is in flight, from the read of a request to the last byte of its answer. By
        the dispatcher's count alone connections would be closed under answers that still leave, under operators'
        calls, and under a request that has been read and waits for its handler.
        """
        self.stopping = True
        await self._clock.async_sleep(_BALANCER_NOTICE)
        if self._http is None:
            return
        self._http.stop()
        await self._clock.async_sleep(_ARRIVAL)
        _LOGGER.info("connections_at_rest_closed", count=self._http.close_at_rest())
        await self.trainers.async_close()
        while self._http.open_requests or self.dispatcher.in_flight:
            await self._clock.async_sleep(_STOP_POLL)
        # A call that must not be stopped runs on after its caller has left.
        await self.directs.async_stop()
        await self.mesh.async_stop()
        await self._http.close_all_connections()

    async def async_close(self) -> None:
        """End the tasks and close the sockets."""
        if self._http is not None and self._http.open_requests:
            _LOGGER.error("stop_cut", open_requests=self._http.open_requests)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.links.async_close()
        await self.mesh.async_close()
        self._ctx.destroy(linger=0)

    def _make_directs(self) -> DirectUpstreams:
        return DirectUpstreams(
            self._clock,
            self.metrics,
            self.log,
            self.incarnation,
            self.next_id,
            self._service_spec,
            self._on_room,
        )

    def _service_spec(self, service: str) -> ServiceSpec | None:
        return self.sync.fold.service(service)

    def _on_room(self) -> None:
        self.dispatcher.wake()

    def _live_entries(self) -> list[str]:
        return [vm.id for vm in self.members.entries()]

    def _on_revision(self, _: Revision) -> None:
        self.directs.update_concurrency()
        self.dispatcher.wake()
        self.steps.wake()

    async def async_serve_peer(self, req: PeerRequest) -> PeerReply:
        """Answer a trainer's call that another entry passed on."""
        status, body = await self.trainers.async_serve_peer(req.method, req.path, req.body)
        return PeerReply(status, body)

    def _routes(self) -> list[Route]:
        operators = OperatorContext(
            vm_id=self._cfg.vm_id,
            fold=self.sync.fold,
            publisher=ConfigPublisher(self.log, self.sync, self._clock),
            metrics=self.metrics,
            is_config_current=lambda: self.sync.current,
            peers=self._peer_status,
            tokens=self.tokens,
        )
        return [*operator_routes(operators), *trainer_routes(self.trainers, self._check_trainer)]

    def _check_trainer(self, handler: RequestHandler, trainer: str) -> bool:
        """Let a trainer ask for its own steps only."""
        checked = self.tokens.check(handler.request.headers.get("Authorization"), Role.TRAINER)
        if isinstance(checked, Ok) and checked.unwrap() == trainer:
            return True
        refusal = checked.err() or TokenRefusal.WRONG_ROLE
        self.metrics.refuse(refusal.value)
        write_problem(handler, refusal.status, refusal.value, "this trainer's token is needed")
        return False

    def _peer_status(self) -> list[PeerStatus]:
        return [self._row_status(vm) for vm in self.members.all() if vm.id != self._cfg.vm_id]

    def _row_status(self, vm: VmEntry) -> PeerStatus:
        link = self.links.get(vm.id)
        load = None if link is None else link.load
        return PeerStatus(
            id=vm.id,
            role=vm.role.value,
            service=vm.service,
            state=self.members.state(vm.id).value,
            connected=vm.id in self.links.connected() or vm.id in self.mesh.connected(),
            config_offset=self.sync.relay.known(vm.id),
            weight_version=None if load is None else load.weight_version,
        )

    def _proxy_context(self) -> ProxyContext:
        return ProxyContext(
            clock=self._clock,
            metrics=self.metrics,
            dispatcher=self.dispatcher,
            catalog=self.book,
            tokens=self.tokens,
            ready=lambda: self.sync.current,
            log=once_per_burst("cranberryline.entry.proxy", self._clock),
        )

    def _on_members(self) -> None:
        self.links.apply(self.members)
        self._send_members(self.table.all())
        self.mesh.apply_members(self.members.entries())
        self.sync.on_members()
        self.dispatcher.wake()

    def _send_members(self, peers: Sequence[UpstreamLink]) -> None:
        """Tell side processes who else serves their service, for the order of weight swaps."""
        connected = {peer.vm_id: peer for peer in peers if peer.welcome is not None}
        for vm_id, notice in self.notices.due(connected):
            connected[vm_id].send(notice)

    async def _async_sweep(self) -> None:
        while True:
            await self._clock.async_sleep(_SWEEP_INTERVAL)
            self.mesh.drop_silent(_PEER_SILENT_AFTER)


async def _async_run(cfg: EntrySettings, tokens: TokenTable) -> int:
    entry = EntryProcess(cfg, tokens, SystemClock())
    shutdown = Shutdown(entry.async_stop, cfg.stop_timeout, entry.metrics)
    shutdown.install()
    try:
        entry.start()
    except OSError as exc:
        # Another process, perhaps a paused predecessor, still holds the port. Whoever starts
        # processes has to end that one first; two would act beside one VM.
        _LOGGER.error("cannot_listen", error=str(exc))
        await entry.async_close()
        return ExitCode.UNAVAILABLE
    outcome = await shutdown.async_wait()
    await entry.async_close()
    return outcome.exit_code


def run(cfg: EntrySettings) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    tokens = load_tokens(cfg.tokens_file)
    if isinstance(tokens, Err):
        sys.stderr.write(f"{tokens.unwrap_err()}\n")
        return ExitCode.USAGE
    return asyncio.run(_async_run(cfg, tokens.unwrap()))

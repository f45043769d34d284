"""The entry process, which serves callers, trainers and operators."""

import asyncio
import itertools
import random
import sys
import uuid
from collections.abc import Collection, Coroutine, Iterable, Sequence
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
from cranberryline.dispatch.table import UpstreamTable
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
from .dialing import DialContext
from .http import Route, listen_http
from .links import UpstreamLinks
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

# The load balancer polls /ready every 1 to 2 s, and sends new connections until a poll fails.
_LOAD_BALANCER_DELAY = timedelta(seconds=3)
_PEER_TIMEOUT = timedelta(seconds=15)
_PEER_TIMEOUT_CHECK_INTERVAL = timedelta(seconds=5)
_STOP_POLL_INTERVAL = timedelta(milliseconds=50)
# Allows for the first request of a connection that was made just before the port was closed.
_LAST_REQUEST_DELAY = timedelta(milliseconds=50)


class _PeerRelay(RelayPort):
    """Send configuration to entries over the mesh, and to side processes over the links."""

    def __init__(self, mesh: EntryMesh, links: UpstreamLinks, metrics: Metrics) -> None:
        self._mesh = mesh
        self._links = links
        self._metrics = metrics

    def entry_peers(self) -> Iterable[str]:
        """Return the VM ids of the connected entries."""
        return self._mesh.connected()

    def side_peers(self) -> Iterable[str]:
        """Return the VM ids of the connected side processes."""
        return self._links.connected()

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer; if it is not connected, drop the message and count the drop."""
        if not self._links.send(peer, message) and not self._mesh.send(peer, message):
            self._metrics.drop("peer_not_connected")


class EntryProcess(DialerEvents, MeshEvents):
    """Create the components of an entry, connect them, and start and stop them."""

    def __init__(self, cfg: EntrySettings, tokens: TokenTable, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._zmq_context = zmq.Context()
        self._request_ids = itertools.count(1)
        self._http: GracefulServer | None = None
        self._tasks: set[asyncio.Future[Any]] = set()
        self.incarnation = uuid.uuid4().hex
        self.stopping = False
        self.metrics = Metrics()
        self.table = UpstreamTable()
        self.membership_watch = MembershipWatch(HttpVmList(cfg.vm_list_url), clock, self.metrics)
        self.members = self.membership_watch.membership
        self.notices = MemberNotices(self.members)
        self.log = HttpLog(cfg.log_url)
        self.direct_upstreams = self._make_direct_upstreams()
        dial_context = DialContext(self._zmq_context, clock, cfg.vm_id, self.hello, self.next_id)
        self.links = UpstreamLinks(
            dial_context, self, self.table, self.metrics, self.direct_upstreams
        )
        self.mesh = EntryMesh(dial_context, self)
        self.config_sync = EntryConfigSync(
            cfg.vm_id,
            self.log,
            _PeerRelay(self.mesh, self.links, self.metrics),
            self._live_entries,
            clock,
            self.metrics,
            checkpoints=CheckpointPolicy(cfg.log_retention),
        )
        self.catalog = ServiceCatalog(self.config_sync.fold)
        self.dispatcher = Dispatcher(
            clock,
            random.Random(),
            self.table,
            self.catalog,
            self.metrics,
            cfg.data_center,
            sharers=lambda: len(self.members.entries()),
        )
        self.tokens = tokens
        scorer = ZeroScorer() if cfg.scorer_url is None else HttpScorer(cfg.scorer_url)
        rollouts = FoldRolloutConfig(self.config_sync.fold)
        ports = RunnerPorts(
            SampleDispatcher(self.dispatcher, self.catalog, clock),
            scorer,
            SlowestFirst(),
            self.metrics,
            clock,
        )
        self.step_table = StepTable(ports, rollouts)
        owners = MeshStepOwners(cfg.vm_id, self.mesh, self._live_entries)
        self.trainers = TrainerService(self.step_table, rollouts, owners)
        self.members.listen(self._on_members)
        self.config_sync.fold.listen(self._on_revision)

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send requests to this entry."""
        return not self.stopping and self.config_sync.current and self.members.version > 0

    def next_id(self) -> int:
        """Return a request id that is unique within this incarnation of the process."""
        return next(self._request_ids)

    def hello(self) -> Hello:
        """Return the message that identifies this entry on a new outgoing connection."""
        return Hello(
            self._cfg.vm_id, self.incarnation, "entry", self._cfg.data_center, self.config_offset()
        )

    def config_offset(self) -> int:
        """Return the log offset up to which this entry has the configuration."""
        return self.config_sync.fold.offset

    def on_up(self, peer: Dialer, welcome: Welcome) -> None:
        """Handle a new connection to a side process: apply its state and send it the members."""
        _LOGGER.info("side_up", peer=peer.vm_id, incarnation=welcome.incarnation)
        self.membership_watch.on_welcome(welcome)
        self.config_sync.on_peer(peer.vm_id, welcome.config_offset)
        self.notices.forget(peer.vm_id)
        self._send_members([peer])
        self.dispatcher.wake()

    def on_down(self, peer: Dialer) -> None:
        """Discard the state of a side process whose connection was lost."""
        _LOGGER.info("side_down", peer=peer.vm_id)
        self.notices.forget(peer.vm_id)
        self.config_sync.on_peer_lost(peer.vm_id)

    def on_drain(self, peer: Dialer, msg: Drain) -> None:
        """Send no new requests to a side process that announced its stop."""
        _LOGGER.info("side_drains", peer=peer.vm_id, incarnation=msg.incarnation)
        self.membership_watch.on_drain(peer.vm_id, msg)

    def on_load(self, peer: Dialer, msg: Load) -> None:
        """Reschedule queued requests after an upstream reported its load."""
        self.dispatcher.wake()

    def on_offset(self, peer: Dialer, offset: int) -> None:
        """Handle the configuration offset that a side process reported."""
        self.config_sync.on_peer(peer.vm_id, offset)

    def on_config(self, peer: Dialer, msg: ConfigDelta | ConfigRequest) -> None:
        """Handle configuration records, or a request for them, from a side process."""
        self.config_sync.on_message(peer.vm_id, msg)

    def on_entry_offset(self, vm_id: str, offset: int) -> None:
        """Handle the configuration offset that another entry reported."""
        self.config_sync.on_peer(vm_id, offset)

    def on_entry_disconnected(self, vm_id: str) -> None:
        """Discard the state of an entry when its last connection was lost."""
        self.config_sync.on_peer_lost(vm_id)

    def on_entry_config(self, vm_id: str, msg: ConfigDelta | ConfigRequest) -> None:
        """Handle configuration records, or a request for them, from another entry."""
        self.config_sync.on_message(vm_id, msg)

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Count an invalid frame by its reason."""
        self.metrics.bad_frame(bad.reason.value)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background; it is cancelled when the process ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start(self) -> None:
        """Open the ports and start the background tasks; raises OSError if a port is in use."""
        self.mesh.listen(self._cfg.peer)
        self._http = listen_http(
            self._cfg,
            self._proxy_context(),
            self.metrics,
            alive=lambda: not self.stopping,
            ready=lambda: self.ready,
            extra_routes=self._routes(),
        )
        self.spawn(self.config_sync.async_run())
        self.spawn(self.membership_watch.async_run())
        self.spawn(self._async_drop_timed_out_peers())
        _LOGGER.info("entry_started", vm_id=self._cfg.vm_id, incarnation=self.incarnation)

    async def async_stop(self) -> None:
        """Fail the health checks, wait for the load balancer, close the port, finish open requests.

        The HTTP server counts a request from when it is read to the last byte of the response. With
        only the dispatcher's count, connections would be closed during responses still being sent,
        during operators' calls, and while a request that was read waits for its handler.
        """
        self.stopping = True
        await self._clock.async_sleep(_LOAD_BALANCER_DELAY)
        if self._http is None:
            return
        self._http.stop()
        await self._clock.async_sleep(_LAST_REQUEST_DELAY)
        _LOGGER.info("connections_at_rest_closed", count=self._http.close_at_rest())
        await self.trainers.async_close()
        while self._http.open_requests or self.dispatcher.in_flight:
            await self._clock.async_sleep(_STOP_POLL_INTERVAL)
        # A request that must not be aborted continues after its caller has disconnected.
        await self.direct_upstreams.async_stop()
        await self.mesh.async_stop()
        await self._http.close_all_connections()

    async def async_close(self) -> None:
        """Cancel the background tasks and close the sockets."""
        if self._http is not None and self._http.open_requests:
            # The stop timed out, so these requests are cut off.
            _LOGGER.error("stop_cut", open_requests=self._http.open_requests)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.links.async_close()
        await self.mesh.async_close()
        self._zmq_context.destroy(linger=0)

    def _make_direct_upstreams(self) -> DirectUpstreams:
        return DirectUpstreams(
            self._clock,
            self.metrics,
            self.log,
            self.incarnation,
            self.next_id,
            self._service_spec,
            self._on_slot_free,
        )

    def _service_spec(self, service: str) -> ServiceSpec | None:
        return self.config_sync.fold.service(service)

    def _on_slot_free(self) -> None:
        self.dispatcher.wake()

    def _live_entries(self) -> list[str]:
        return [vm.id for vm in self.members.entries()]

    def _on_revision(self, _: Revision) -> None:
        self.direct_upstreams.update_concurrency()
        self.dispatcher.wake()
        self.step_table.wake()

    async def async_serve_peer(self, req: PeerRequest) -> PeerReply:
        """Handle a trainer's request that another entry forwarded."""
        status, body = await self.trainers.async_serve_peer(req.method, req.path, req.body)
        return PeerReply(status, body)

    def _routes(self) -> list[Route]:
        operators = OperatorContext(
            vm_id=self._cfg.vm_id,
            fold=self.config_sync.fold,
            publisher=ConfigPublisher(self.log, self.config_sync, self._clock),
            metrics=self.metrics,
            is_config_current=lambda: self.config_sync.current,
            peers=self._peer_status,
            tokens=self.tokens,
        )
        return [*operator_routes(operators), *trainer_routes(self.trainers, self._check_trainer)]

    def _check_trainer(self, handler: RequestHandler, trainer: str) -> bool:
        """Return whether the token is this trainer's own; if not, respond with a problem document."""
        token_check = self.tokens.check(handler.request.headers.get("Authorization"), Role.TRAINER)
        if isinstance(token_check, Ok) and token_check.unwrap() == trainer:
            return True
        refusal = token_check.err() or TokenRefusal.WRONG_ROLE
        self.metrics.refuse(refusal.value)
        write_problem(handler, refusal.status, refusal.value, "this trainer's token is needed")
        return False

    def _peer_status(self) -> list[PeerStatus]:
        return [self._vm_status(vm) for vm in self.members.all() if vm.id != self._cfg.vm_id]

    def _vm_status(self, vm: VmEntry) -> PeerStatus:
        link = self.links.get(vm.id)
        load = None if link is None else link.load
        return PeerStatus(
            id=vm.id,
            role=vm.role.value,
            service=vm.service,
            state=self.members.state(vm.id).value,
            connected=vm.id in self.links.connected() or vm.id in self.mesh.connected(),
            config_offset=self.config_sync.relay.acknowledged(vm.id),
            weight_version=None if load is None else load.weight_version,
        )

    def _proxy_context(self) -> ProxyContext:
        return ProxyContext(
            clock=self._clock,
            metrics=self.metrics,
            dispatcher=self.dispatcher,
            catalog=self.catalog,
            tokens=self.tokens,
            ready=lambda: self.config_sync.current,
            log=once_per_burst("cranberryline.entry.proxy", self._clock),
        )

    def _on_members(self, _changed: Collection[str]) -> None:
        self.links.apply(self.members)
        self._send_members(self.table.all())
        self.mesh.apply_members(self.members.entries())
        self.config_sync.on_members()
        self.dispatcher.wake()

    def _send_members(self, peers: Sequence[UpstreamLink]) -> None:
        """Send side processes the members of their service, which set the order of weight swaps."""
        connected = {peer.vm_id: peer for peer in peers if peer.welcome is not None}
        for vm_id, notice in self.notices.take_changed(connected):
            connected[vm_id].send(notice)

    async def _async_drop_timed_out_peers(self) -> None:
        while True:
            await self._clock.async_sleep(_PEER_TIMEOUT_CHECK_INTERVAL)
            self.mesh.drop_timed_out(_PEER_TIMEOUT)


async def _async_run(cfg: EntrySettings, tokens: TokenTable) -> int:
    entry = EntryProcess(cfg, tokens, SystemClock())
    shutdown = Shutdown(entry.async_stop, cfg.stop_timeout, entry.metrics)
    shutdown.install()
    try:
        entry.start()
    except OSError as exc:
        # Another process of this VM, possibly suspended; the supervisor has to end it first.
        _LOGGER.error("cannot_listen", error=str(exc))
        await entry.async_close()
        return ExitCode.UNAVAILABLE
    outcome = await shutdown.async_wait()
    await entry.async_close()
    return outcome.exit_code


def run(cfg: EntrySettings) -> int:
    """Run an entry until it is signalled to stop; return the exit code."""
    tokens = load_tokens(cfg.tokens_file)
    if isinstance(tokens, Err):
        sys.stderr.write(f"{tokens.unwrap_err()}\n")
        return ExitCode.USAGE
    return asyncio.run(_async_run(cfg, tokens.unwrap()))

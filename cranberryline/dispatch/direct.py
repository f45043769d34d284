"""Links to upstreams that have no side process; their requests run in this process."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from cranberryline.configs import ServiceSpec
from cranberryline.configs.const import DEFAULT_CONCURRENCY
from cranberryline.execution.claims import ClaimService
from cranberryline.execution.execution import Execution
from cranberryline.execution.gate import OpenGate, SendGate
from cranberryline.execution.runner import Runner
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.clients import HttpPlainService
from cranberryline.ports.model import LogPort, PlainServicePort, VmEntry
from cranberryline.requests import RequestKey, RequestRegistry, WithdrawOutcome
from cranberryline.transport import Exchange, UpstreamLink
from cranberryline.transport.model import (
    Cancel,
    Credit,
    End,
    Failed,
    Message,
    NotRun,
    Submit,
    Withdraw,
    Withdrawn,
)

__all__ = ["DirectUpstream", "DirectUpstreams"]

# Idle draining links are removed only when the number of upstreams has doubled since the last
# removal. Removing them whenever a link is made would take N * N checks for N upstreams.
_MIN_PRUNE_SIZE = 4
# All requests share one connection, from this process to itself, which never breaks.
_CONNECTION_ID = "direct"


class DirectUpstream(UpstreamLink):
    """Run requests in this process and deliver the runner's messages to their exchanges."""

    def __init__(
        self,
        vm: VmEntry,
        runner: Runner,
        incarnation: str,
        next_id: Callable[[], int],
        on_slot_free: Callable[[], None],
        connected: Callable[[], bool] = lambda: False,
        idle_connections: Callable[[], int] | None = None,
    ) -> None:
        self.vm_id = vm.id
        self.address = vm.address
        self.service = vm.service
        self.runner = runner
        self.draining = False
        self.leaving = False
        self.welcome = None
        self.load = None
        self.load_at = timedelta()
        self.outstanding_at_load = 0
        self._incarnation = incarnation
        self._next_id = next_id
        self._on_slot_free = on_slot_free
        self._connected = connected
        self._idle_connections = idle_connections or (lambda: int(connected()))
        self._exchanges: dict[int, Exchange] = {}
        self._tokens = 0
        self._unfinished: set[int] = set()
        self._orphaned: set[int] = set()
        runner.book.open(_CONNECTION_ID)

    @property
    def usable(self) -> bool:
        """Return whether new requests may be sent to this upstream."""
        return not self.draining

    @property
    def connected(self) -> bool:
        """Return whether an idle connection is open that the next request would reuse."""
        return self._connected()

    @property
    def idle_connections(self) -> int:
        """Return how many idle connections are open that requests would reuse."""
        return self._idle_connections()

    @property
    def unsent(self) -> int:
        """Return how many open requests have not taken a connection yet."""
        return self.runner.unsent

    @property
    def outstanding(self) -> int:
        """Return the number of requests that have not finished, including orphaned ones.

        A non-idempotent request keeps running, and keeps its slot, after its caller has
        disconnected. A side process would include it in its load report. A direct link has no load
        report, so without this count more requests would be sent than the upstream's concurrency.
        """
        return len(self._exchanges) + len(self._orphaned)

    @property
    def outstanding_tokens(self) -> int:
        """Return the expected tokens of the requests whose response is awaited."""
        return self._tokens

    def open(
        self,
        make: Callable[[int, str], Message],
        tokens: int,
        may_go: Callable[[], bool] | None = None,
    ) -> Exchange | None:
        """Run a request; return None, without running it, if this link is draining.

        `may_go` is checked again immediately before the request is sent to the upstream.
        """
        if self.draining:
            return None
        exchange = Exchange(self, self._next_id(), tokens)
        self._exchanges[exchange.id] = exchange
        self._tokens += tokens
        self._unfinished.add(exchange.id)
        self._changed()
        msg = make(exchange.id, self._incarnation)
        if isinstance(msg, Submit):
            self.runner.submit(_request_key(msg.id), msg, self._deliver, may_go)
        return exchange

    def send(self, msg: Message) -> bool:
        """Handle a message about a request immediately, as a side process would."""
        if isinstance(msg, Submit):
            self.runner.submit(_request_key(msg.id), msg, self._deliver)
        elif isinstance(msg, Withdraw):
            self._deliver(Withdrawn(msg.id, self.runner.withdraw(_request_key(msg.id))))
        elif isinstance(msg, Cancel):
            self.runner.cancel(_request_key(msg.id))
        elif isinstance(msg, Credit):
            self.runner.extend_window(_request_key(msg.id), msg.size)
        else:
            return False
        return True

    def forget(self, request_id: int) -> None:
        """Remove a request whose caller no longer awaits it; it is orphaned if it still runs."""
        exchange = self._exchanges.pop(request_id, None)
        if exchange is None:
            return
        self._tokens -= exchange.tokens
        if request_id in self._unfinished:
            self._orphaned.add(request_id)
        self._changed()

    def drain(self) -> None:
        """Accept no new requests; those that were accepted finish."""
        self.draining = True
        self._changed()

    def leave(self) -> None:
        """Accept no new requests, and send none of those that have not been sent yet."""
        self.leaving = True
        self.drain()
        self.runner.drain()

    def _deliver(self, msg: Message) -> None:
        request_id = getattr(msg, "id", 0)
        if _is_final(msg):
            self._finish(request_id)
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.push(msg)

    def _finish(self, request_id: int) -> None:
        self._unfinished.discard(request_id)
        if request_id in self._orphaned:
            self._orphaned.discard(request_id)
            self._changed()
            self._on_slot_free()


class DirectUpstreams:
    """Create direct links to upstreams, and drain all of them on a planned shutdown.

    `gate` is asked directly before a request's first byte is written.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        log: LogPort,
        incarnation: str,
        next_id: Callable[[], int],
        spec: Callable[[str], ServiceSpec | None],
        on_slot_free: Callable[[], None],
        connect: Callable[[VmEntry], PlainServicePort] | None = None,
        gate: SendGate | None = None,
    ) -> None:
        self._gate = gate or OpenGate()
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._spec = spec
        self._incarnation = incarnation
        self._next_id = next_id
        self._on_slot_free = on_slot_free
        self._connect = connect or (lambda vm: HttpPlainService(vm.address))
        self._claims: dict[str, ClaimService] = {}
        self._links: dict[str, list[DirectUpstream]] = {}
        self._prune_at = _MIN_PRUNE_SIZE

    def make(self, vm: VmEntry) -> DirectUpstream:
        """Return a new direct link to an upstream."""
        port = self._connect(vm)
        claims = self._claims_for(vm.service)
        execution = Execution(self._clock, self._metrics, port, claims, self._gate)
        book = RequestRegistry(self._incarnation)
        limit = self._service_concurrency(vm.service)
        runner = Runner(self._clock, execution, self._metrics, book, limit)
        link = DirectUpstream(
            vm,
            runner,
            self._incarnation,
            self._next_id,
            self._on_slot_free,
            port.connected,
            port.idle_connections,
        )
        execution.leaving = lambda: link.leaving
        self._prune(vm.id)
        if len(self._links) >= self._prune_at:
            for vm_id in list(self._links):
                self._prune(vm_id)
            self._prune_at = max(2 * len(self._links), _MIN_PRUNE_SIZE)
        self._links.setdefault(vm.id, []).append(link)
        return link

    def drain(self, link: DirectUpstream) -> None:
        """Send no more requests to an upstream that was removed; those that were sent finish.

        Requests that have not been sent are told as not run, so that another upstream runs them.
        """
        link.leave()

    def abort_requests(self, vm_id: str) -> None:
        """End all requests at an upstream whose process has been replaced.

        The new process is registered under another id. Connections to the old one may stay open
        without sending anything, so each request would otherwise last until its timeout, with its
        caller waiting or its text stalled. Requests that were not sent yet are reported as not run;
        all others may have run.
        """
        for link in self._links.pop(vm_id, []):
            link.leave()
            link.runner.abort_all()

    def update_concurrency(self) -> None:
        """Apply the concurrency of the current configuration to all links."""
        for link in self._all_links():
            link.runner.set_concurrency(self._service_concurrency(link.service))

    async def async_stop(self) -> None:
        """Reject queued requests, wait for running ones, and store the outcomes of keyed calls."""
        for link in self._all_links():
            link.drain()
            link.runner.drain()
        await asyncio.gather(*(link.runner.async_wait_idle() for link in self._all_links()))
        await asyncio.gather(*(claims.async_stop() for claims in self._claims.values()))

    def _all_links(self) -> list[DirectUpstream]:
        return [link for links in self._links.values() for link in links]

    def _prune(self, vm_id: str) -> None:
        """Remove an upstream's draining links that have no outstanding requests."""
        links = self._links.pop(vm_id, [])
        remaining = [link for link in links if not link.draining or link.outstanding]
        if remaining:
            self._links[vm_id] = remaining

    def _claims_for(self, service: str) -> ClaimService:
        claims = self._claims.get(service)
        if claims is None:
            claims = ClaimService(self._log, service, self._incarnation, self._clock)
            self._claims[service] = claims
        return claims

    def _service_concurrency(self, service: str) -> int:
        spec = self._spec(service)
        return DEFAULT_CONCURRENCY if spec is None else spec.concurrency


def _request_key(request_id: int) -> RequestKey:
    return RequestKey(_CONNECTION_ID, request_id)


def _is_final(msg: Message) -> bool:
    """Return whether a message is the last of its request; a withdrawal after the start is not."""
    if isinstance(msg, Withdrawn):
        return msg.outcome != WithdrawOutcome.STARTED.value
    return isinstance(msg, End | NotRun | Failed)

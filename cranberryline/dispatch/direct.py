"""Reach an upstream that has no side process: its requests run in this entry."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from cranberryline.configs import ServiceSpec
from cranberryline.configs.const import DEFAULT_CONCURRENCY
from cranberryline.execution.claims import ClaimService
from cranberryline.execution.execution import Execution
from cranberryline.execution.runner import Runner
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.clients import HttpPlainService
from cranberryline.ports.model import LogPort, PlainServicePort, VmEntry
from cranberryline.requests import RequestKey, SideBook, WithdrawOutcome
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

# Ways that have left are looked through when there are twice as many as the last time: each time that one
# is made, a list of N upstreams would cost N * N looks.
_FEW = 4
# There is one connection, from this entry to itself, and it never breaks.
_CONNECTION = "direct"


class DirectUpstream(UpstreamLink):
    """Hand requests to a runner of this process, and its replies to who waits for them."""

    def __init__(
        self,
        row: VmEntry,
        runner: Runner,
        incarnation: str,
        next_id: Callable[[], int],
        on_room: Callable[[], None],
        connected: Callable[[], bool] = lambda: False,
    ) -> None:
        self.vm_id = row.id
        self.address = row.address
        self.service = row.service
        self.runner = runner
        self.draining = False
        self.welcome = None
        self.load = None
        self.load_at = timedelta()
        self.outstanding_at_load = 0
        self._incarnation = incarnation
        self._next_id = next_id
        self._on_room = on_room
        self._connected = connected
        self._exchanges: dict[int, Exchange] = {}
        self._tokens = 0
        self._unfinished: set[int] = set()
        self._orphans: set[int] = set()
        runner.book.open(_CONNECTION)

    @property
    def usable(self) -> bool:
        """Tell whether new work may be sent here."""
        return not self.draining

    @property
    def connected(self) -> bool:
        """Tell whether the next request would go out on a connection that waits for one."""
        return self._connected()

    @property
    def outstanding(self) -> int:
        """Count the requests whose answer has not ended, those that nobody awaits included.

        A call that must not be stopped runs on after its caller has left and keeps its place. With
        a side process the load report tells of it; here nothing else would, and the entry would
        send more than the upstream is meant to take.
        """
        return len(self._exchanges) + len(self._orphans)

    @property
    def outstanding_tokens(self) -> int:
        """Count the expected tokens of the requests whose answer is awaited."""
        return self._tokens

    def open(
        self,
        make: Callable[[int, str], Message],
        tokens: int,
        may_go: Callable[[], bool] | None = None,
    ) -> Exchange | None:
        """Run a request; None when this way is closed, so that nothing was run."""
        if self.draining:
            return None
        exchange = Exchange(self, self._next_id(), tokens)
        self._exchanges[exchange.id] = exchange
        self._tokens += tokens
        self._unfinished.add(exchange.id)
        msg = make(exchange.id, self._incarnation)
        if isinstance(msg, Submit):
            self.runner.submit(_key(msg.id), msg, self._take, may_go)
        return exchange

    def send(self, msg: Message) -> bool:
        """Do at once what a side process does with a message about a request."""
        if isinstance(msg, Submit):
            self.runner.submit(_key(msg.id), msg, self._take)
        elif isinstance(msg, Withdraw):
            self._take(Withdrawn(msg.id, self.runner.withdraw(_key(msg.id))))
        elif isinstance(msg, Cancel):
            self.runner.cancel(_key(msg.id))
        elif isinstance(msg, Credit):
            self.runner.extend_window(_key(msg.id), msg.size)
        else:
            return False
        return True

    def forget(self, request_id: int) -> None:
        """Drop the record of a request that is over for its caller."""
        exchange = self._exchanges.pop(request_id, None)
        if exchange is None:
            return
        self._tokens -= exchange.tokens
        if request_id in self._unfinished:
            self._orphans.add(request_id)

    def _take(self, msg: Message) -> None:
        request_id = getattr(msg, "id", 0)
        if _is_last(msg):
            self._finish(request_id)
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.push(msg)

    def _finish(self, request_id: int) -> None:
        self._unfinished.discard(request_id)
        if request_id in self._orphans:
            self._orphans.discard(request_id)
            self._on_room()


class DirectUpstreams:
    """Make the direct ways to upstreams, and see to it that a planned stop cuts none of them."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        log: LogPort,
        incarnation: str,
        next_id: Callable[[], int],
        spec: Callable[[str], ServiceSpec | None],
        on_room: Callable[[], None],
        connect: Callable[[VmEntry], PlainServicePort] | None = None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._spec = spec
        self._incarnation = incarnation
        self._next_id = next_id
        self._on_room = on_room
        self._connect = connect or (lambda row: HttpPlainService(row.address))
        self._claims: dict[str, ClaimService] = {}
        self._links: dict[str, list[DirectUpstream]] = {}
        self._prune_at = _FEW

    def make(self, row: VmEntry) -> DirectUpstream:
        """Return a new way to an upstream."""
        port = self._connect(row)
        execution = Execution(self._clock, self._metrics, port, self._claims_of(row.service))
        book = SideBook(self._incarnation)
        limit = self._concurrency(row.service)
        runner = Runner(self._clock, execution, self._metrics, book, limit)
        link = DirectUpstream(
            row, runner, self._incarnation, self._next_id, self._on_room, port.connected
        )
        self._prune(row.id)
        if len(self._links) >= self._prune_at:
            for vm_id in list(self._links):
                self._prune(vm_id)
            self._prune_at = max(2 * len(self._links), _FEW)
        self._links.setdefault(row.id, []).append(link)
        return link

    def retire(self, link: DirectUpstream) -> None:
        """Give an upstream that has left no new work; what it has goes on to its end."""
        link.draining = True

    def end(self, vm_id: str) -> None:
        """Decide at once what is at an upstream of which nothing more will come.

        It has started again, under another id of ours. Its connections may stay open and silent, so
        its runs would be given up one time limit after the other: a caller waits, a text stands still.
        What has not been sent was not run; all else may have been.
        """
        for link in self._links.pop(vm_id, []):
            link.draining = True
            link.runner.abort_all()

    def on_revision(self) -> None:
        """Take the concurrency that the configuration in force allows."""
        for link in self._all():
            link.runner.set_concurrency(self._concurrency(link.service))

    async def async_stop(self) -> None:
        """Refuse what has not begun, finish what runs, and record the outcomes of keyed calls."""
        for link in self._all():
            link.draining = True
            link.runner.drain()
        await asyncio.gather(*(link.runner.async_wait_idle() for link in self._all()))
        await asyncio.gather(*(claims.async_stop() for claims in self._claims.values()))

    def _all(self) -> list[DirectUpstream]:
        return [link for links in self._links.values() for link in links]

    def _prune(self, vm_id: str) -> None:
        """Forget the ways to an upstream that have left and have nothing outstanding."""
        links = self._links.pop(vm_id, [])
        left = [link for link in links if not link.draining or link.outstanding]
        if left:
            self._links[vm_id] = left

    def _claims_of(self, service: str) -> ClaimService:
        claims = self._claims.get(service)
        if claims is None:
            claims = ClaimService(self._log, service, self._incarnation, self._clock)
            self._claims[service] = claims
        return claims

    def _concurrency(self, service: str) -> int:
        spec = self._spec(service)
        return DEFAULT_CONCURRENCY if spec is None else spec.concurrency


def _key(request_id: int) -> RequestKey:
    return RequestKey(_CONNECTION, request_id)


def _is_last(msg: Message) -> bool:
    """Tell whether a request is over with this message."""
    if isinstance(msg, Withdrawn):
        return msg.outcome != WithdrawOutcome.STARTED.value
    return isinstance(msg, End | NotRun | Failed)

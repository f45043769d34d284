"""Test harness: a dispatcher over fake side processes with scripted responses, without sockets."""

import itertools
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

import pytest

from cranberryline.configs import ConfigFold, Kind
from cranberryline.dispatch.dispatch import Dispatcher, ServiceCatalog
from cranberryline.dispatch.model import CallerClass, CallerRequest
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.helpers.clock import Clock, SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.model import LogRecord
from cranberryline.transport import Exchange, UpstreamLink
from cranberryline.transport.model import (
    Cancel,
    Chunk,
    End,
    Head,
    Load,
    Message,
    Submit,
    Withdraw,
    Withdrawn,
)

Script = Callable[["FakeSideProcess", Exchange, Submit], None]


def echo_response(side: "FakeSideProcess", exchange: Exchange, msg: Submit) -> None:
    """Respond immediately and echo the request's body."""
    exchange.push(Head(msg.id, 200, ()))
    exchange.push(Chunk(msg.id, 0, msg.body))
    exchange.push(End(msg.id, 1))


def no_response(side: "FakeSideProcess", exchange: Exchange, msg: Submit) -> None:
    """Send no response."""


class FakeSideProcess(UpstreamLink):
    """Fake of a connection to a side process; `script` responds to each request.

    Tests set its attributes; as with a real link, each change is told to its listener.
    """

    usable = True
    connected = False
    _ids = itertools.count(1)

    def __init__(self, vm_id: str, script: Script = echo_response) -> None:
        self.vm_id = vm_id
        self.address = ""
        self.welcome = None
        self.script = script
        self.draining = False
        self.load: Load | None = None
        self.load_at = timedelta()
        self.outstanding_at_load = 0
        self.submits: list[Submit] = []
        self.sent: list[Message] = []
        self.withdrawn: str | None = "not_run"
        self._exchanges: dict[int, Exchange] = {}
        self.peak = 0

    def __setattr__(self, name: str, value: Any) -> None:
        super().__setattr__(name, value)
        self._changed()

    @property
    def outstanding(self) -> int:
        return len(self._exchanges)

    @property
    def outstanding_tokens(self) -> int:
        return sum(exchange.tokens for exchange in self._exchanges.values())

    def open(
        self,
        make: Callable[[int, str], Submit],
        tokens: int,
        may_go: Callable[[], bool] | None = None,
    ) -> Exchange | None:
        if not self.usable:
            return None
        exchange = Exchange(self, next(self._ids), tokens)  # type: ignore[arg-type]
        self._exchanges[exchange.id] = exchange
        self.peak = max(self.peak, self.outstanding)
        self._changed()
        msg = make(exchange.id, "life-1")
        self.submits.append(msg)
        self.script(self, exchange, msg)
        return exchange

    def send(self, msg: Message) -> bool:
        self.sent.append(msg)
        if isinstance(msg, Withdraw) and msg.id in self._exchanges and self.withdrawn:
            self._exchanges[msg.id].push(Withdrawn(msg.id, self.withdrawn))
        return True

    def grant(self, request_id: int, size: int) -> None:
        pass

    def forget(self, request_id: int) -> None:
        self._exchanges.pop(request_id, None)
        self._changed()

    def cancelled(self) -> bool:
        """Return whether a run was cancelled."""
        return any(isinstance(msg, Cancel) for msg in self.sent)


class DispatcherHarness:
    """A dispatcher over fake side processes of one service."""

    service = "dossiers"

    def __init__(self, clock: Clock, sharers: int = 1, **spec: Any) -> None:
        self.clock = clock
        self.fold = ConfigFold()
        self.metrics = Metrics()
        self.table = UpstreamTable()
        self.book = ServiceCatalog(self.fold)
        self.dispatcher = Dispatcher(
            clock, Random(7), self.table, self.book, self.metrics, sharers=lambda: sharers
        )
        self.publish("service", self.service, {"type": "plain", "concurrency": 2, **spec})

    def delete(self, kind: Kind, name: str) -> None:
        """Apply the deletion of a record to the configuration."""
        self.publish(kind.value, name, None, self.fold.current_revision(kind, name))

    def publish(self, kind: str, name: str, spec: dict[str, Any] | None, amends: int = 0) -> None:
        """Apply a record to the configuration at the next offset."""
        offset = self.fold.offset + 1
        data = {"kind": kind, "name": name, "schema": 1, "amends": amends, "spec": spec}
        record = LogRecord(offset, datetime(2026, 1, 1, tzinfo=UTC), f"r{offset}", data)
        self.fold.apply(record).unwrap()

    def amend_service(self, **spec: Any) -> None:
        """Amend the service's record in the configuration."""
        amends = self.fold.offset
        self.publish("service", self.service, {"type": "plain", "concurrency": 2, **spec}, amends)

    def add_upstream(self, vm_id: str, script: Script = echo_response) -> FakeSideProcess:
        """Add an upstream with a fake side process."""
        side = FakeSideProcess(vm_id, script)
        self.table.add(self.service, side, "levis")
        return side

    def request(self, **overrides: Any) -> CallerRequest:
        """Return a request whose deadline is in one second."""
        fields = {
            "service": self.service,
            "method": "GET",
            "path": "/",
            "headers": (),
            "body": b"whole",
            "deadline": self.clock.monotonic() + timedelta(seconds=1),
            "caller": "inspecteur",
            "caller_class": CallerClass.APPLICATION,
            **overrides,
        }
        return CallerRequest(**fields)


@pytest.fixture
def harness() -> DispatcherHarness:
    """Return a dispatcher whose service runs two requests at a time on each upstream."""
    return DispatcherHarness(SystemClock())

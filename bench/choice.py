"""Measure what the choice of an upstream costs a request, by the number of upstreams."""

import argparse
import asyncio
import time
from collections.abc import Callable
from datetime import timedelta
from random import Random

from result import Ok

from cranberryline.configs import ServiceSpec
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.dispatch.model import CallerClass, CallerRequest, VersionNeed
from cranberryline.dispatch.table import UpstreamTable
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.routes import ActiveRoutes
from cranberryline.transport import Exchange, UpstreamLink
from cranberryline.transport.model import Message

__all__ = ["main"]

_SIZES = (30, 300, 3_000, 7_300)
_MODELS = 4
_CONCURRENCY = 8
_BUSY_SHARE = 0.25
_TURNS = 2_000
_PREFIXES = 200
_RATE = 100.0
_DEADLINE = timedelta(seconds=60)


class _Link(UpstreamLink):
    """A link whose requests the measurement opens and ends itself."""

    usable = True
    outstanding = 0
    outstanding_tokens = 0

    def __init__(self, vm_id: str, outstanding: int) -> None:
        self.vm_id = vm_id
        self.outstanding = outstanding
        self.draining = False
        self.load = None
        self.load_at = timedelta()
        self.outstanding_at_load = 0

    def open(
        self,
        make: Callable[[int, str], Message],
        tokens: int,
        may_go: Callable[[], bool] | None = None,
    ) -> Exchange | None:
        """Send nothing."""

    def send(self, msg: Message) -> bool:
        """Send nothing."""
        return False

    def forget(self, request_id: int) -> None:
        """Do nothing."""


def _request(
    clock: SystemClock, number: int, is_item: bool, versions: dict[str, int]
) -> CallerRequest:
    fields = {
        "service": "engines",
        "method": "POST",
        "path": "/",
        "headers": (),
        "body": b"",
        "deadline": clock.monotonic() + _DEADLINE,
        "caller": f"caller-{number % _MODELS}",
    }
    if not is_item:
        return CallerRequest(**fields)
    return CallerRequest(
        **fields,
        caller_class=CallerClass.TRAINER,
        tokens=200,
        prefix_key=f"prefix-{number % _PREFIXES}",
        prefix_tokens=50,
        is_wanted=lambda: True,
        eligible=lambda upstream: versions[upstream] == number % _MODELS,
        version_need=VersionNeed(f"model-{number % _MODELS}", 1),
        token_rate=lambda _upstream: _RATE,
    )


async def _async_measure(size: int, is_item: bool) -> float:
    """Return microseconds of processor time for a reservation and its release."""
    clock, rng = SystemClock(), Random(1)
    versions = {f"vm-{number}": number % _MODELS for number in range(size)}
    table = UpstreamTable(lambda vm_id: {f"model-{versions[vm_id]}": 1})
    for vm_id in versions:
        busy = _CONCURRENCY if rng.random() < _BUSY_SHARE else 0
        table.add("engines", _Link(vm_id, busy), "levis")
    routes = ActiveRoutes()
    routes.set_slots("engines", _CONCURRENCY)
    spec: ServiceSpec = routes.spec("engines")
    assert spec.concurrency == _CONCURRENCY
    scheduler = Dispatcher(clock, rng, table, routes, Metrics(), "levis").scheduler("engines")
    requests = [_request(clock, number, is_item, versions) for number in range(_TURNS)]
    scheduler.dispatch_waiting()
    began = time.process_time()
    for req in requests:
        admitted = scheduler.admit(req)
        assert isinstance(admitted, Ok)
        reserved = await scheduler.async_reserve_slot(req, admitted.unwrap(), frozenset())
        scheduler.release(reserved.unwrap(), 1)
    return (time.process_time() - began) / _TURNS * 1e6


def main(argv: list[str]) -> int:
    """Print microseconds a request, for plain requests and for items of jobs."""
    argparse.ArgumentParser(prog="script/bench choice", description=__doc__).parse_args(argv)
    print(f"{'upstreams':>10}{'plain, us':>12}{'item, us':>12}")
    for size in _SIZES:
        plain, item = (asyncio.run(_async_measure(size, is_item)) for is_item in (False, True))
        print(f"{size:>10}{plain:12.0f}{item:12.0f}", flush=True)
    return 0

"""A model of entries that share a service's side processes, in virtual time and with stalls."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from datetime import timedelta
from random import Random

import attrs

from cranberryline.dispatch.model import CollectingSink
from cranberryline.side.load_reports import LoadReporter
from cranberryline.transport import Exchange
from cranberryline.transport.model import Load, Message
from tests.virtual_time import LoopClock

from .conftest import DispatcherHarness, FakeSideProcess, echo_response

UPSTREAMS = 3
CONCURRENCY = 16
RUN_SECONDS = 0.3
QUEUE_SECONDS = 1
LATENCY_SECONDS = 0.001
HEARTBEAT_SECONDS = 1.0
DEADLINE = timedelta(seconds=10)


class StallingProcess:
    """A process that handles one event after the other, and none while it is stalled."""

    def __init__(self, rng: Random, event_seconds: float) -> None:
        self._rng = rng
        self._event_seconds = event_seconds
        self._events: deque[Callable[[], None]] = deque()
        self._stalled_until = 0.0

    def stall(self, seconds: float) -> None:
        """Handle no event for a while."""
        until = asyncio.get_running_loop().time() + seconds
        self._stalled_until = max(self._stalled_until, until)

    def deliver(self, after_seconds: float, event: Callable[[], None]) -> None:
        """Queue an event that arrives after some time."""
        asyncio.get_running_loop().call_later(after_seconds, self._arrive, event)

    def _arrive(self, event: Callable[[], None]) -> None:
        self._events.append(event)
        if len(self._events) == 1:
            self._schedule_next()

    def _schedule_next(self) -> None:
        loop = asyncio.get_running_loop()
        took = self._event_seconds * self._rng.uniform(0.5, 1.5)
        loop.call_at(max(loop.time(), self._stalled_until) + took, self._handle)

    def _handle(self) -> None:
        if asyncio.get_running_loop().time() < self._stalled_until:
            self._schedule_next()
            return
        self._events[0]()
        self._events.popleft()
        if self._events:
            self._schedule_next()


@attrs.define(eq=False)
class _ModelConnection:
    """A connection of an entry to a side process."""

    name: str
    entry: StallingProcess
    link: FakeSideProcess | None = None


class ModelSide:
    """A side process: a first-come queue before its slots, and real load reports."""

    def __init__(self, vm_id: str, process: StallingProcess, rng: Random) -> None:
        self.process = process
        self.connections: list[_ModelConnection] = []
        self._vm_id = vm_id
        self._rng = rng
        self._running = 0
        self._queue: deque[tuple[_ModelConnection, Exchange, Message]] = deque()
        self._reporter = LoadReporter(
            LoopClock(),
            lambda: Load(self._running, len(self._queue), 0, CONCURRENCY, None, 0),
            self._send_load,  # type: ignore[arg-type]
            lambda: self.connections,  # type: ignore[arg-type,return-value]
        )

    def connect(self, name: str, entry: StallingProcess, harness: DispatcherHarness) -> None:
        """Connect an entry."""
        conn = _ModelConnection(name, entry)

        def submit(link: FakeSideProcess, exchange: Exchange, msg: Message) -> None:
            job = (conn, exchange, msg)
            self.process.deliver(LATENCY_SECONDS, lambda: self._submit(job))

        conn.link = harness.add_upstream(self._vm_id, submit)
        self.connections.append(conn)

    async def async_report_with_heartbeats(self) -> None:
        """Report the load to each entry once a second."""
        await asyncio.sleep(self._rng.uniform(0, HEARTBEAT_SECONDS))
        while True:
            for conn in self.connections:
                self.process.deliver(LATENCY_SECONDS, lambda conn=conn: self._reporter.report(conn))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _send_load(self, conn: _ModelConnection, load: Load) -> None:
        def arrive() -> None:
            assert conn.link is not None
            conn.link.load, conn.link.load_at = load, LoopClock().monotonic()
            conn.link.outstanding_at_load = conn.link.outstanding

        conn.entry.deliver(LATENCY_SECONDS, arrive)

    def _submit(self, job: tuple[_ModelConnection, Exchange, Message]) -> None:
        self._queue.append(job)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._running < CONCURRENCY:
            self._running += 1
            job = self._queue.popleft()
            seconds = RUN_SECONDS + self._rng.uniform(0, 0.05)
            self.process.deliver(seconds, lambda job=job: self._end(*job))

    def _end(self, conn: _ModelConnection, exchange: Exchange, msg: Message) -> None:
        self._running -= 1
        self._start_queued()
        conn.entry.deliver(LATENCY_SECONDS, lambda: echo_response(conn.link, exchange, msg))
        self._reporter.request_ended()


class SharedService:
    """Two entries, the side processes that they share, and callers."""

    def __init__(self, seed: int, event_seconds: float = 0.001) -> None:
        self.rng = Random(seed)
        self.results: Counter[str] = Counter()
        self.sides = [
            ModelSide(f"up-{number}", StallingProcess(self.rng, event_seconds), self.rng)
            for number in range(UPSTREAMS)
        ]
        self.entries = [StallingProcess(self.rng, event_seconds) for _ in range(2)]
        self._harnesses = [self._build_entry(number) for number in range(len(self.entries))]

    @property
    def processes(self) -> list[StallingProcess]:
        """Return all processes."""
        return [*self.entries, *(side.process for side in self.sides)]

    def _build_entry(self, number: int) -> DispatcherHarness:
        process = self.entries[number]
        harness = DispatcherHarness(
            LoopClock(), len(self.entries), concurrency=CONCURRENCY, queue_seconds=QUEUE_SECONDS
        )
        for side in self.sides:
            side.connect(f"entry-{number}", process, harness)
        scheduler = harness.dispatcher.scheduler(harness.service)
        recheck = scheduler._recheck
        # A timer of a stalled process is as late as everything else.
        scheduler._recheck = lambda: process.deliver(0.0, recheck)  # type: ignore[method-assign]
        return harness

    async def async_request(self, entry: int) -> str:
        """Send a request to an entry; return `ok` or the detail of its refusal."""
        fut: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        harness, process = self._harnesses[entry], self.entries[entry]

        async def async_run() -> None:
            req = harness.request(deadline=harness.clock.monotonic() + DEADLINE)
            result = await harness.dispatcher.async_run(req, CollectingSink())
            answer = "ok" if result.is_ok() else result.unwrap_err().detail
            process.deliver(0.0, lambda: fut.set_result(answer))

        process.deliver(LATENCY_SECONDS, lambda: asyncio.ensure_future(async_run()))
        answer = await fut
        self.results[answer] += 1
        return answer

    async def async_call_repeatedly(self, caller: int, seconds: float) -> None:
        """Send requests one after the other, to the entries in turn."""
        loop = asyncio.get_running_loop()
        turn = caller
        while loop.time() < seconds:
            turn += 1
            await self.async_request(turn % len(self.entries))

    async def async_play(self, callers: int, seconds: float, stalls: int) -> None:
        """Let callers begin at once, and stall processes at moments drawn at random."""
        loop = asyncio.get_running_loop()
        for _ in range(stalls):
            stalled = self.rng.choice(self.processes)
            at = self.rng.uniform(0, seconds)
            loop.call_later(at, stalled.stall, self.rng.uniform(0.1, 0.6))
        reports = [
            asyncio.ensure_future(side.async_report_with_heartbeats()) for side in self.sides
        ]
        await asyncio.gather(
            *(self.async_call_repeatedly(caller, seconds) for caller in range(callers))
        )
        for report in reports:
            report.cancel()

"""Fake gateway with one engine in virtual time, whose peers are in the same process."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

import attrs
from result import Err, Ok, Result

from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.model import CallerRequest, ResponseSink
from cranberryline.gateway.relay import RelayedLog
from cranberryline.gateway.relay_messages import RelayAnswer
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs.codec import encode_events, encode_job, encode_records
from cranberryline.jobs.model import Item, Job, JobEnded, Scorer, TextPiece
from cranberryline.jobs.ports import AnswerHead
from cranberryline.jobs.runner import JobRunner, RunnerDependencies
from cranberryline.jobs.service import JobService
from cranberryline.ports.store import LogRead, StoreError, StoreProblem
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock

CANCEL_BOUND = 3.0
HEARTBEAT_INTERVAL = 0.8
HEARTBEAT_TIMEOUT = timedelta(seconds=0.9)
_NO_UPSTREAM = Refusal(RefusalReason.NO_UPSTREAM)
_BROKEN = Refusal(RefusalReason.UPSTREAM_FAILED, ran=Ran.UNKNOWN)


class SingleEngineDispatcher:
    """Replaces the dispatcher.

    A request is queued for `queue_s` seconds and then runs for `run_s` seconds. Only the first
    `complete_runs` requests complete, all others break. `reached_at` has the time at which each
    request reached the engine.
    """

    def __init__(self, queue_s: float = 0.0, run_s: float = 0.3, complete_runs: int = 0) -> None:
        self.queue_s = queue_s
        self.run_s = run_s
        self.complete_runs = complete_runs
        self.reached_at: list[float] = []

    version = 1

    def total_slots(self, _service: str) -> int:
        """Return the number of slots of the service."""
        return 4

    def upstreams_with_free_slots(self, _service: str) -> list[str]:
        """Return the engines that have a free slot."""
        return ["engine-1"]

    async def async_run(self, req: CallerRequest, sink: ResponseSink) -> Result[str, Refusal]:
        """Send the request to the engine, if that is still allowed after its time in the queue."""
        await asyncio.sleep(self.queue_s)
        if not req.may_send_to("engine-1"):
            return Err(_NO_UPSTREAM)
        self.reached_at.append(asyncio.get_running_loop().time())
        sink.dispatched("engine-1")
        complete_runs, self.complete_runs = self.complete_runs, max(0, self.complete_runs - 1)
        await asyncio.sleep(self.run_s)
        if not complete_runs:
            return Err(_BROKEN)
        await sink.async_head(200, (("version", "1"),))
        await sink.async_chunk(b"id: 0\ndata: a\n\n", last=True)
        return Ok("engine-1")


def make_open_job(scored: bool = False, min_version: int = 1, name: str = "job-1") -> Job:
    """Return a job with one item."""
    scorer = Scorer("score-1", "host.example", "/s/1", b"") if scored else None
    item = Item("item-1", "/p/x", (), b"b", 10, "g0", scorer)
    return Job(name, "host.example", "/p/1", (item,), 0.0, "model", 1, min_version, 1)


def make_routes() -> SimpleNamespace:
    """Return a route table with one route that matches every path."""
    route = SimpleNamespace(
        single_version=False,
        max_wait=None,
        max_attempts=3,
        goal=timedelta(seconds=1),
        timeout=timedelta(seconds=30),
        choose_service=lambda _rng: "engines",
    )
    return SimpleNamespace(
        table=SimpleNamespace(match=lambda _host, _path: route), rank=lambda *_: 0
    )


def _edge() -> SimpleNamespace:
    return SimpleNamespace(
        version_field="version",
        item_headers=lambda _job, _item, last_event: (
            () if last_event is None else (("last", str(last_event)),)
        ),
        scorer_headers=lambda _scorer: (),
        answer_head=lambda headers: AnswerHead("", int(dict(headers)["version"])),
    )


class FailingReadsLink(StoreLink):
    """A connection to a store that accepts appends, while reads can be rejected or time out."""

    reject_reads = False
    time_out_reads = False

    async def async_read(self, *args: Any, **more: Any) -> Result[LogRead, StoreError]:
        """Read, unless reads are set to fail."""
        if self.reject_reads:
            return Err(StoreError(StoreProblem.REFUSED, "status 429"))
        if self.time_out_reads:
            return cast(Any, await self._async_no_answer(args[4]))
        return await super().async_read(*args, **more)


class _Log(RelayedLog):
    """A store connection with peers in this process; calls to peers can be set to fail."""

    def __init__(self, link: StoreLink, others: Mapping[str, "_Log"]) -> None:
        super().__init__(link, lambda: list(others), LoopClock(), Metrics())
        self.peers_unreachable = False
        self.asked = 0
        self._others = others

    async def _async_call_peer(
        self, peer: str, call: Any, timeout: timedelta
    ) -> Result[RelayAnswer, StoreError]:
        self.asked += 1
        await asyncio.sleep(0.002)
        if self.peers_unreachable:
            return Err(StoreError(StoreProblem.REFUSED, "no route"))
        return Ok(await self._others[peer].async_serve(call))


class Node:
    """A gateway as its peers see it: it writes heartbeats, and relays store calls for its peers.

    It also follows the partition of jobs, and so detects that the store does not respond.
    """

    def __init__(self, store: FakeStore, peers: Mapping[str, "Node"] | None = None) -> None:
        self.link = FailingReadsLink(store)
        self.log = _Log(self.link, {name: node.log for name, node in (peers or {}).items()})
        clock, metrics = LoopClock(), Metrics()
        health, keep = StoreHealth(clock), timedelta(seconds=180)
        self.jobs = JobService(self.log, 1, clock, health, metrics, keep)
        self.tasks = [
            asyncio.ensure_future(self._async_send_heartbeats()),
            asyncio.ensure_future(self.jobs.tails[0].async_run()),
        ]

    async def _async_send_heartbeats(self) -> None:
        while True:
            await self.log.async_append("keyed.nodes", 0, [b"sign"], HEARTBEAT_TIMEOUT)
            await asyncio.sleep(HEARTBEAT_INTERVAL)


class Gateway(Node):
    """A gateway's job service and job runner, with one engine."""

    def __init__(
        self,
        store: FakeStore,
        engine: SingleEngineDispatcher,
        peers: Mapping[str, Node] | None = None,
        keep: timedelta = timedelta(seconds=180),
    ) -> None:
        super().__init__(store, peers)
        clock, metrics = LoopClock(), Metrics()
        self.jobs.book._retention = keep
        versions = SimpleNamespace(
            version=lambda _up, _model: engine.version, record_version=lambda *_: None
        )
        dependencies = RunnerDependencies(
            self.jobs,
            cast(Any, make_routes()),
            cast(Any, engine),
            cast(Any, _edge()),
            cast(Any, versions),
            clock,
            metrics,
            "front-1",
            lambda _since: ["front-1"],
        )
        self.runner = JobRunner(dependencies)
        self.tasks.append(asyncio.ensure_future(self.runner.async_run()))

    def disconnect(self) -> None:
        """Disconnect this gateway from the store and from its peers."""
        self.link.silent = True
        self.log.peers_unreachable = True


@attrs.define
class StoreWithJob:
    """A store with one job, and the time at which the end of the job was recorded."""

    store: FakeStore
    at: float = 0.0

    def end_job(self) -> None:
        """Record the end of the job, as another gateway would."""
        self.at = asyncio.get_running_loop().time()
        self.store.append("jobs", 0, encode_records([JobEnded("job-1")]))

    def late_requests(self, engine: SingleEngineDispatcher) -> list[float]:
        """Return when requests reached the engine later than `CANCEL_BOUND` after the end."""
        return [
            request_at for request_at in engine.reached_at if request_at > self.at + CANCEL_BOUND
        ]


def make_store(
    scored: bool = False,
    min_version: int = 1,
    with_partial_text: bool = False,
    versions: tuple[int, ...] = (1,),
) -> FakeStore:
    """Return a store with that job.

    With `with_partial_text`, the log also has an earlier, ended job that stored 40 events of the
    same item.
    """
    store = FakeStore()
    if with_partial_text:
        store.append("jobs", 0, encode_records(encode_job(make_open_job(name="job-0"), "w")))
        store.append("jobs", 0, encode_records([_make_piece(versions), JobEnded("job-0")]))
    job = make_open_job(scored, min_version)
    store.append("jobs", 0, encode_records(encode_job(job, "w")))
    return store


def _make_piece(versions: tuple[int, ...]) -> TextPiece:
    """Return the first 40 events of the item's text."""
    data, crc = encode_events([str(number) for number in range(1, 41)])
    return TextPiece("job-0", 0, "w", 0, 40, 40, versions, data, crc)

"""Tests that an item which fails at some engines is sent to the remaining one."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

from result import Err, Ok, Result

from cranberryline.dispatch.errors import Ran, Refusal, RefusalReason
from cranberryline.dispatch.model import CallerRequest, ResponseSink
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs.codec import encode_job, encode_records
from cranberryline.jobs.model import Item, ItemState, Job
from cranberryline.jobs.ports import AnswerHead
from cranberryline.jobs.runner import JobRunner, RunnerDependencies
from cranberryline.jobs.service import JobService
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual


class ThreeEngines:
    """Replaces the dispatcher; chooses the first engine not avoided. Only the last one works."""

    engines = ("u1", "u2", "u3")

    def __init__(self) -> None:
        self.requested: list[str] = []

    def total_slots(self, _service: str) -> int:
        """Return the number of slots of the service."""
        return 4

    async def async_run(self, req: CallerRequest, sink: ResponseSink) -> Result[str, Refusal]:
        """Answer with status 500 at all engines except the last one."""
        candidates = [engine for engine in self.engines if engine not in req.avoid] or self.engines
        self.requested.append(candidates[0])
        sink.dispatched(candidates[0])
        await asyncio.sleep(0.05)
        if not req.may_send_to(candidates[0]):
            return Err(Refusal(RefusalReason.NO_UPSTREAM, Ran.NO))
        if candidates[0] != self.engines[-1]:
            await sink.async_head(500, ())
            return Ok(candidates[0])
        await sink.async_head(200, (("version", "1"),))
        await sink.async_chunk(b"id: 1\ndata: a\n\n", last=True)
        return Ok(candidates[0])


def _make_runner_dependencies(
    jobs: JobService, engines: ThreeEngines, clock: LoopClock
) -> RunnerDependencies:
    route = SimpleNamespace(
        single_version=False,
        max_wait=None,
        max_attempts=3,
        goal=timedelta(seconds=1),
        choose_service=lambda _rng: "engines",
    )
    edge = SimpleNamespace(
        version_field="version",
        item_headers=lambda _job, _item, _last: (),
        answer_head=lambda headers: AnswerHead("", int(dict(headers)["version"])),
    )
    versions = SimpleNamespace(version=lambda _up, _model: 1, record_version=lambda *_: None)
    table = SimpleNamespace(match=lambda _host, _path: route)
    stubs = (SimpleNamespace(table=table, rank=lambda *_: 0), engines, edge, versions)
    dependencies = [cast(Any, stub) for stub in stubs]
    return RunnerDependencies(
        jobs, *dependencies, clock, Metrics(), "front-1", lambda _since: ["front-1"]
    )


def test_item_does_not_alternate_between_two_failing_engines() -> None:
    """Two of three engines answer every request with 500, and prefix affinity prefers them.

    If only the last failed engine was avoided, the third request would go to the first engine
    again. After the three attempts that its route allows, the item would be listed as dead although
    the third engine works.
    """

    async def scenario() -> None:
        store, engines, clock = FakeStore(), ThreeEngines(), LoopClock()
        item = Item("item-1", "/p/x", (), b"b", 10, "g0")
        job = Job("job-1", "host.example", "/p/1", (item,), 0.0, "model", 1, 1, 1)
        store.append("jobs", 0, encode_records(encode_job(job, "w")))
        health, keep = StoreHealth(clock), timedelta(seconds=180)
        jobs = JobService(StoreLink(store), 1, clock, health, Metrics(), keep)
        runner = JobRunner(_make_runner_dependencies(jobs, engines, clock))
        tasks = [
            asyncio.ensure_future(loop_coroutine)
            for loop_coroutine in (jobs.tails[0].async_run(), runner.async_run())
        ]
        await asyncio.sleep(5)
        results = jobs.book.jobs["job-1"].results
        assert [result.state for _, result in results] == [ItemState.COMPLETED]
        assert engines.requested == ["u1", "u2", "u3"]
        for task in tasks:
            task.cancel()

    run_virtual(scenario())

"""Which items a node starts, and when."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs.codec import encode_job, encode_records
from cranberryline.jobs.model import ItemResult, ItemState, JobEnded, JobRecord
from cranberryline.jobs.runner import JobRunner, RunnerParts
from cranberryline.jobs.service import JobService
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

from .test_book import make_job


class Node:
    """A node whose runner notes what it starts."""

    def __init__(self, link: StoreLink) -> None:
        clock, metrics = LoopClock(), Metrics()
        keep = timedelta(seconds=180)
        self.jobs = JobService(link, 1, clock, StoreHealth(clock), metrics, keep)
        parts = RunnerParts(
            self.jobs,
            cast(Any, SimpleNamespace(table=object())),
            cast(Any, SimpleNamespace(places=lambda _service: 1)),
            cast(Any, None),
            cast(Any, None),
            clock,
            metrics,
            "front-1",
            lambda _since: ["front-1"],
        )
        self.runner = JobRunner(parts)
        self.started: list[tuple[str, int]] = []
        self.runner._start_item = (  # type: ignore[method-assign]
            lambda state, index: self.started.append((state.job.id, index))
        )
        work = (self.jobs.tails[0].async_run(), self.runner.async_run())
        self.tasks = [asyncio.ensure_future(part) for part in work]


def test_a_node_that_starts_runs_nothing_of_a_job_whose_end_it_has_not_read_yet() -> None:
    """All nodes are killed; one starts and reads the partition in pages.

    A job that ended long ago comes a page before its end. Run in between, its items would reach
    engines after the trainer was told that the job is over.
    """

    async def scene() -> None:
        store = FakeStore()
        for name in ("job-1", "job-2"):
            store.append("jobs", 0, encode_records(encode_job(make_job(name), "w")))
        store.append("jobs", 0, encode_records([JobEnded("job-1")]))
        link = StoreLink(store)
        link.page = 1
        node = Node(link)
        await asyncio.sleep(1)
        assert {name for name, _ in node.started} == {"job-2"}

    run_virtual(scene())


def test_what_ended_is_remembered_while_the_partition_is_read_on() -> None:
    """An item ended here and is not listed yet, and for a moment the partition has more to read.

    The item is still not due afterwards: forgotten in that moment, it would be run a second time.
    """

    async def scene() -> None:
        store = FakeStore()
        store.append("jobs", 0, encode_records(encode_job(make_job("job-1"), "w")))
        node = Node(StoreLink(store))
        await asyncio.sleep(0.1)
        node.runner._ended["job-1"].add(0)
        node.started.clear()
        tail = node.jobs.tails[0]
        for at_end in (False, True):
            tail.at_end = at_end
            node.runner._start_due()
        assert node.started and ("job-1", 0) not in node.started

    run_virtual(scene())


def test_a_result_that_comes_as_the_writer_ends_is_recorded() -> None:
    """The store takes the last result at hand, and another item ends before the loop's next turn.

    The writer has looked for more and is over, and still counts as at work: the result was left to
    it, and nothing wrote it. The trainer waited for its last result until another item of the
    partition ended at this node, or another node ran the item anew after seconds.
    """

    async def scene() -> None:
        store, result = FakeStore(), ItemResult(ItemState.COMPLETED, "text")
        store.append("jobs", 0, encode_records(encode_job(make_job("job-1"), "w")))
        node = Node(StoreLink(store))
        await asyncio.sleep(0.1)
        state, loop = node.jobs.book.jobs["job-1"], asyncio.get_running_loop()
        record = node.jobs.async_record

        async def async_record_and_end_another(job_id: str, records: list[JobRecord]) -> bool:
            taken = await record(job_id, records)
            node.jobs.async_record = record  # type: ignore[method-assign]
            answer = loop.create_future()

            def answer_and_end_another() -> None:
                """Wake the writer; the other item ends after it, before anything that follows."""
                answer.set_result(None)
                loop.call_soon(node.runner._finish, state, 1, result)

            loop.call_soon(answer_and_end_another)
            await answer
            return taken

        node.jobs.async_record = async_record_and_end_another  # type: ignore[method-assign]
        node.runner._finish(state, 0, result)
        await asyncio.sleep(2)
        assert state.done == {0, 1}

    run_virtual(scene())

"""Tests submitting, reading and ending jobs for each kind of store failure."""

import asyncio
from datetime import timedelta

from result import Err, Ok

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.partition import partition_of
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs import ItemResult, ItemState, JobEnded, ResultRecord, encode_records
from cranberryline.jobs.errors import JobProblem
from cranberryline.jobs.service import JobService
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

from .test_book import make_job

PARTITIONS = 4
RETENTION = timedelta(seconds=180)


class Node:
    """A node whose job service follows the store."""

    def __init__(self, store: FakeStore) -> None:
        self.link = StoreLink(store)
        clock = LoopClock()
        self.jobs = JobService(
            self.link, PARTITIONS, clock, StoreHealth(clock), Metrics(), RETENTION
        )
        self.tasks = [asyncio.ensure_future(tail.async_run()) for tail in self.jobs.tails]


async def _async_start_nodes(store: FakeStore, count: int) -> list[Node]:
    nodes = [Node(store) for _ in range(count)]
    await asyncio.sleep(0.1)
    return nodes


def test_job_accepted_at_one_node_is_known_at_all_nodes() -> None:
    """A job submitted at two nodes must be accepted by both, and exist once at a third."""

    async def scenario() -> None:
        one, two, three = await _async_start_nodes(FakeStore(), 3)
        job = make_job()
        answers = await asyncio.gather(one.jobs.async_submit(job), two.jobs.async_submit(job))
        assert all(isinstance(answer, Ok) for answer in answers)
        page = (await three.jobs.async_read("job-1", 0, timedelta())).unwrap()
        assert (page.total, page.next) == (4, 0)

    run_virtual(scenario())


def test_job_is_rejected_and_does_not_run_if_the_store_rejects_it() -> None:
    """The store rejects every append.

    The caller must be told within 1.2 s that the job was not stored, and no node may ever see the
    job.
    """

    async def scenario() -> None:
        one, two = await _async_start_nodes(FakeStore(), 2)
        one.link.refusing = lambda _topic, _part: True
        began_at = LoopClock().monotonic()
        answer = await one.jobs.async_submit(make_job())
        assert answer.unwrap_err().problem is JobProblem.NOT_STORED
        assert LoopClock().monotonic() - began_at < timedelta(seconds=1.2)
        await asyncio.sleep(5)
        assert two.jobs.book.jobs == {}

    run_virtual(scenario())


def test_job_is_accepted_if_only_the_answer_of_the_append_is_lost() -> None:
    """The store has stored the job, but its answer is lost.

    The job is found by reading back the log, so the caller must not be told that it was rejected.
    """

    async def scenario() -> None:
        (one,) = await _async_start_nodes(FakeStore(), 1)
        one.link.lost = 1
        assert isinstance(await one.jobs.async_submit(make_job()), Ok)

    run_virtual(scenario())


def test_append_that_may_take_effect_later_is_not_reported_as_rejected() -> None:
    """The append takes effect four seconds later.

    The caller must be told that the job may run, since a rejection guarantees that it never does. A
    second submission is then accepted because the job is known.
    """

    async def scenario() -> None:
        one, two = await _async_start_nodes(FakeStore(), 2)
        one.link.lost, one.link.late = 1, timedelta(seconds=4)
        answer = await one.jobs.async_submit(make_job())
        assert answer.unwrap_err().problem is JobProblem.MAY_BE_STORED
        await asyncio.sleep(5)
        assert "job-1" in two.jobs.book.jobs
        assert isinstance(await two.jobs.async_submit(make_job()), Ok)

    run_virtual(scenario())


def test_caller_is_told_when_to_retry_before_it_times_out() -> None:
    """The store does not respond while a job is submitted.

    Within 1.05 s the caller must be told that the job may have been stored. The retry delay grows
    with the duration of the outage, so that the caller's few retries outlast it.
    """

    async def scenario() -> None:
        (one,) = await _async_start_nodes(FakeStore(), 1)
        one.link.silent = True
        began_at = LoopClock().monotonic()
        first = (await one.jobs.async_submit(make_job())).unwrap_err()
        assert LoopClock().monotonic() - began_at < timedelta(seconds=1.05)
        assert first.problem is JobProblem.MAY_BE_STORED
        await asyncio.sleep(3)
        later = (await one.jobs.async_submit(make_job())).unwrap_err()
        assert first.retry_after and later.retry_after
        assert timedelta() < first.retry_after < later.retry_after

    run_virtual(scenario())


def test_disconnected_node_does_not_report_a_job_as_unknown() -> None:
    """A node without a connection to the store is asked for a job that another node accepted."""

    async def scenario() -> None:
        one, two = await _async_start_nodes(FakeStore(), 2)
        two.link.silent = True
        await one.jobs.async_submit(make_job())
        read = await two.jobs.async_read("job-1", 0, timedelta())
        assert read.unwrap_err().problem is JobProblem.UNCERTAIN
        read_unknown = await one.jobs.async_read("job-2", 0, timedelta())
        assert read_unknown.unwrap_err().problem is JobProblem.UNKNOWN_JOB

    run_virtual(scenario())


def test_lagging_node_returns_no_empty_page_for_a_listed_result() -> None:
    """A node stopped receiving records before another node listed a result.

    When asked for that position, it must first read to the end of the partition.
    """

    async def scenario() -> None:
        one, two = await _async_start_nodes(FakeStore(), 2)
        await one.jobs.async_submit(make_job())
        await asyncio.sleep(0.1)
        for task in two.tasks:
            task.cancel()
        result = ItemResult(ItemState.COMPLETED, "text", (1,), "s")
        assert await one.jobs.async_record("job-1", [ResultRecord("job-1", 3, result)])
        page = (await two.jobs.async_read("job-1", 0, timedelta())).unwrap()
        assert [(item.id, found.text) for item, found in page.results] == [("job-1-i3", "text")]

    run_virtual(scenario())


def test_waiting_read_returns_as_soon_as_a_result_is_recorded() -> None:
    """A read that waits for results must not wait until its timeout if a result arrives earlier."""

    async def scenario() -> None:
        one, two = await _async_start_nodes(FakeStore(), 2)
        await one.jobs.async_submit(make_job())
        read = asyncio.ensure_future(two.jobs.async_read("job-1", 0, timedelta(seconds=1)))
        await asyncio.sleep(0.3)
        result = ItemResult(ItemState.DEAD)
        await one.jobs.async_record("job-1", [ResultRecord("job-1", 0, result)])
        await asyncio.sleep(0.05)
        assert read.done() and read.result().unwrap().next == 1

    run_virtual(scenario())


def test_restart_of_all_nodes_restores_jobs_and_result_positions() -> None:
    """All nodes are killed; new ones must restore jobs, results and positions."""

    async def scenario() -> None:
        store = FakeStore()
        nodes = await _async_start_nodes(store, 2)
        await nodes[0].jobs.async_submit(make_job())
        for index in (2, 0, 3):
            result = ItemResult(ItemState.COMPLETED, f"t{index}")
            await nodes[index % 2].jobs.async_record(
                "job-1", [ResultRecord("job-1", index, result)]
            )
        await asyncio.sleep(0.1)
        before = (await nodes[0].jobs.async_read("job-1", 0, timedelta())).unwrap()
        for node in nodes:
            for task in node.tasks:
                task.cancel()
        for node in await _async_start_nodes(store, 3):
            page = (await node.jobs.async_read("job-1", 0, timedelta())).unwrap()
            assert page == before

    run_virtual(scenario())


def test_ending_a_job_is_durable_and_idempotent() -> None:
    """A job is ended at two nodes; both calls must succeed and no node may continue it."""

    async def scenario() -> None:
        one, two = await _async_start_nodes(FakeStore(), 2)
        await one.jobs.async_submit(make_job())
        assert isinstance(await two.jobs.async_end("job-1"), Ok)
        assert isinstance(await one.jobs.async_end("job-1"), Ok)
        assert isinstance(await one.jobs.async_end("job-9"), Err)
        assert not one.jobs.book.jobs["job-1"].open

    run_virtual(scenario())


def test_deleted_records_do_not_stop_a_starting_node() -> None:
    """The oldest records were deleted before a node starts; it must read the remaining ones."""

    async def scenario() -> None:
        store = FakeStore()
        (one,) = await _async_start_nodes(store, 1)
        await one.jobs.async_submit(make_job("job-1"))
        await asyncio.sleep(0.1)
        for key, records in store.records.items():
            store.first[key] = len(records)
        await one.jobs.async_submit(make_job("job-2"))
        (late_node,) = await _async_start_nodes(store, 1)
        assert isinstance(await late_node.jobs.async_find("job-2"), Ok)

    run_virtual(scenario())


def test_gap_in_one_partition_does_not_end_jobs_of_another() -> None:
    """A gateway is disconnected while the oldest records of one partition are deleted.

    Jobs of that partition may have ended unnoticed and must not continue; those of others must.
    """

    async def scenario() -> None:
        store = FakeStore()
        (node,) = await _async_start_nodes(store, 1)
        jobs = [make_job(f"job-{number}") for number in range(8)]
        for job in jobs:
            assert (await node.jobs.async_submit(job)).is_ok()
        await asyncio.sleep(0.1)
        partition = partition_of("job-0", PARTITIONS)
        node.link.silent = True
        store.append("jobs", partition, encode_records([JobEnded("another"), JobEnded("third")]))
        store.first[("jobs", partition)] = len(store.records[("jobs", partition)]) - 1
        await asyncio.sleep(4)
        node.link.silent = False
        await asyncio.sleep(4)
        states = node.jobs.book.jobs.values()
        assert {state.open for state in states} == {True, False}
        assert all(
            state.open != (partition_of(state.job.id, PARTITIONS) == partition) for state in states
        )

    run_virtual(scenario())

"""Submitting, reading and ending jobs while the store fails in each of its ways."""

import asyncio
from datetime import timedelta

from result import Err, Ok

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs import ItemResult, ItemState, JobEnded, ResultRecord, encode_records
from cranberryline.jobs.errors import JobProblem
from cranberryline.jobs.partition import partition_of
from cranberryline.jobs.service import JobService
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

from .test_book import make_job

PARTS = 4
KEEP = timedelta(seconds=180)


class Node:
    """A node's job service, following the store."""

    def __init__(self, store: FakeStore) -> None:
        self.link = StoreLink(store)
        clock = LoopClock()
        self.jobs = JobService(self.link, PARTS, clock, StoreHealth(clock), Metrics(), KEEP)
        self.tasks = [asyncio.ensure_future(tail.async_run()) for tail in self.jobs.tails]


async def _async_nodes(store: FakeStore, count: int) -> list[Node]:
    nodes = [Node(store) for _ in range(count)]
    await asyncio.sleep(0.1)
    return nodes


def test_a_job_taken_at_one_node_is_known_at_all() -> None:
    """Submitted at two nodes at once, read at a third: accepted by both, there once."""

    async def scene() -> None:
        one, two, three = await _async_nodes(FakeStore(), 3)
        job = make_job()
        taken = await asyncio.gather(one.jobs.async_submit(job), two.jobs.async_submit(job))
        assert all(isinstance(answer, Ok) for answer in taken)
        page = (await three.jobs.async_read("job-1", 0, timedelta())).unwrap()
        assert (page.total, page.next) == (4, 0)

    run_virtual(scene())


def test_a_refused_append_is_a_refusal_and_nothing_runs() -> None:
    """The store says that nothing was done, again and again.

    The caller hears a refusal within a second, and no node ever knows the job.
    """

    async def scene() -> None:
        one, two = await _async_nodes(FakeStore(), 2)
        one.link.refusing = lambda _topic, _part: True
        began = LoopClock().monotonic()
        answer = await one.jobs.async_submit(make_job())
        assert answer.unwrap_err().problem is JobProblem.NOT_KEPT
        assert LoopClock().monotonic() - began < timedelta(seconds=1.2)
        await asyncio.sleep(5)
        assert two.jobs.book.jobs == {}

    run_virtual(scene())


def test_an_append_without_an_answer_is_never_a_refusal() -> None:
    """The store keeps the job and its answer is lost.

    Read back it is there, so the caller gets its acceptance.
    """

    async def scene() -> None:
        (one,) = await _async_nodes(FakeStore(), 1)
        one.link.lost = 1
        assert isinstance(await one.jobs.async_submit(make_job()), Ok)

    run_virtual(scene())


def test_an_append_that_may_come_late_is_told_as_unknown() -> None:
    """The append takes effect four seconds later.

    The caller is told that it may run, since a refusal would promise that it never does; the second
    submission is then accepted as known.
    """

    async def scene() -> None:
        one, two = await _async_nodes(FakeStore(), 2)
        one.link.lost, one.link.late = 1, timedelta(seconds=4)
        answer = await one.jobs.async_submit(make_job())
        assert answer.unwrap_err().problem is JobProblem.MAY_BE_KEPT
        await asyncio.sleep(5)
        assert "job-1" in two.jobs.book.jobs
        assert isinstance(await two.jobs.async_submit(make_job()), Ok)

    run_virtual(scene())


def test_a_caller_hears_when_to_come_back_before_it_leaves() -> None:
    """The store is silent for four seconds when a job comes.

    Within a second the caller is told that the job may be kept, and to come back later than after a
    short failure: its few tries reach past the outage.
    """

    async def scene() -> None:
        (one,) = await _async_nodes(FakeStore(), 1)
        one.link.silent = True
        began = LoopClock().monotonic()
        first = (await one.jobs.async_submit(make_job())).unwrap_err()
        assert LoopClock().monotonic() - began < timedelta(seconds=1.05)
        assert first.problem is JobProblem.MAY_BE_KEPT
        await asyncio.sleep(3)
        later = (await one.jobs.async_submit(make_job())).unwrap_err()
        assert first.retry_after and later.retry_after
        assert timedelta() < first.retry_after < later.retry_after

    run_virtual(scene())


def test_a_node_that_cannot_ask_the_store_says_so_and_never_that_there_is_no_job() -> None:
    """A node cut from the store is asked for a job that others took: it is not sure."""

    async def scene() -> None:
        one, two = await _async_nodes(FakeStore(), 2)
        two.link.silent = True
        await one.jobs.async_submit(make_job())
        read = await two.jobs.async_read("job-1", 0, timedelta())
        assert read.unwrap_err().problem is JobProblem.NOT_SURE
        sure = await one.jobs.async_read("job-2", 0, timedelta())
        assert sure.unwrap_err().problem is JobProblem.UNKNOWN_JOB

    run_virtual(scene())


def test_no_empty_page_where_another_node_listed_a_result() -> None:
    """A node's poll went silent before a result was listed elsewhere.

    Asked for that position it reads to the end of the partition first.
    """

    async def scene() -> None:
        one, two = await _async_nodes(FakeStore(), 2)
        await one.jobs.async_submit(make_job())
        await asyncio.sleep(0.1)
        for task in two.tasks:
            task.cancel()
        result = ItemResult(ItemState.COMPLETED, "text", (1,), "s")
        assert await one.jobs.async_record("job-1", [ResultRecord("job-1", 3, result)])
        page = (await two.jobs.async_read("job-1", 0, timedelta())).unwrap()
        assert [(item.id, found.text) for item, found in page.results] == [("job-1-i3", "text")]

    run_virtual(scene())


def test_a_reader_is_woken_by_the_result_that_it_waits_for() -> None:
    """A read with a wait returns as soon as a result stands, not at its end."""

    async def scene() -> None:
        one, two = await _async_nodes(FakeStore(), 2)
        await one.jobs.async_submit(make_job())
        read = asyncio.ensure_future(two.jobs.async_read("job-1", 0, timedelta(seconds=1)))
        await asyncio.sleep(0.3)
        result = ItemResult(ItemState.DEAD)
        await one.jobs.async_record("job-1", [ResultRecord("job-1", 0, result)])
        await asyncio.sleep(0.05)
        assert read.done() and read.result().unwrap().next == 1

    run_virtual(scene())


def test_all_nodes_killed_at_once_list_the_same_afterwards() -> None:
    """Every process is killed. What the store has brings back jobs, results and their positions."""

    async def scene() -> None:
        store = FakeStore()
        nodes = await _async_nodes(store, 2)
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
        for node in await _async_nodes(store, 3):
            again = (await node.jobs.async_read("job-1", 0, timedelta())).unwrap()
            assert again == before

    run_virtual(scene())


def test_an_end_is_kept_and_may_be_repeated() -> None:
    """The job is ended at one node, again at another: both say so, and no node goes on."""

    async def scene() -> None:
        one, two = await _async_nodes(FakeStore(), 2)
        await one.jobs.async_submit(make_job())
        assert isinstance(await two.jobs.async_end("job-1"), Ok)
        assert isinstance(await one.jobs.async_end("job-1"), Ok)
        assert isinstance(await one.jobs.async_end("job-9"), Err)
        assert not one.jobs.book.jobs["job-1"].open

    run_virtual(scene())


def test_deleted_records_do_not_stop_a_tail() -> None:
    """The store deleted the oldest records before a node started: it goes on from what is kept."""

    async def scene() -> None:
        store = FakeStore()
        (one,) = await _async_nodes(store, 1)
        await one.jobs.async_submit(make_job("job-1"))
        await asyncio.sleep(0.1)
        for key, kept in store.records.items():
            store.first[key] = len(kept)
        await one.jobs.async_submit(make_job("job-2"))
        (late,) = await _async_nodes(store, 1)
        assert isinstance(await late.jobs.async_find("job-2"), Ok)

    run_virtual(scene())


def test_a_gap_in_one_partition_ends_no_job_of_another() -> None:
    """A gateway is cut off while the oldest records of one partition are deleted.

    Jobs there may have ended unread and get no more work; those of the other partition go on.
    """

    async def scene() -> None:
        store = FakeStore()
        (node,) = await _async_nodes(store, 1)
        jobs = [make_job(f"job-{number}") for number in range(8)]
        for job in jobs:
            assert (await node.jobs.async_submit(job)).is_ok()
        await asyncio.sleep(0.1)
        gone = partition_of("job-0", PARTS)
        node.link.silent = True
        store.append("jobs", gone, encode_records([JobEnded("another"), JobEnded("third")]))
        store.first[("jobs", gone)] = len(store.records[("jobs", gone)]) - 1
        await asyncio.sleep(4)
        node.link.silent = False
        await asyncio.sleep(4)
        states = node.jobs.book.jobs.values()
        assert {state.open for state in states} == {True, False}
        assert all(state.open != (partition_of(state.job.id, PARTS) == gone) for state in states)

    run_virtual(scene())

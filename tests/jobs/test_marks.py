"""Nodes start at the marks of partitions, and know as much about older jobs as other nodes."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
from result import Result

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs.codec import encode_job, encode_records
from cranberryline.jobs.const import (
    MARK_INTERVAL,
    MARKS_READ_TIMEOUT,
    RESULT_READ_PERIOD,
    TOPIC_JOBS,
)
from cranberryline.jobs.errors import JobProblem
from cranberryline.jobs.mark_keeper import MarkManager
from cranberryline.jobs.marks import PartitionMark, decode_mark, encode_mark
from cranberryline.jobs.model import ItemResult, ItemState, JobEnded, JobRecord, ResultRecord
from cranberryline.jobs.service import JobService
from cranberryline.ports.store import StoreError
from tests.jobs.test_book import make_job
from tests.jobs.test_first_reads import MB_A_SECOND, Bandwidth, SharedReads
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

RETENTION = timedelta(seconds=180)
MARKS = "keyed.marks"
ITEMS = 4


class Node:
    """A node that follows one partition from its mark, and writes marks."""

    def __init__(
        self, store: FakeStore, name: str = "front-1", link: StoreLink | None = None
    ) -> None:
        self.link = StoreLink(store) if link is None else link
        clock = LoopClock()
        health = StoreHealth(clock)
        self.jobs = JobService(self.link, 1, clock, health, Metrics(), RETENTION)
        self.marks = MarkManager(self.jobs, self.link, MARKS, clock, health, name, lambda: [name])
        self.tasks = [
            asyncio.ensure_future(work) for work in (self.marks.async_run(), self._follow())
        ]

    async def _follow(self) -> None:
        await self.marks.loaded.wait()
        await self.jobs.tails[0].async_run()

    async def async_stop(self) -> None:
        """Stop like a process that is killed."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.jobs.async_close()

    async def async_listed(self, job_id: str) -> list[str] | JobProblem:
        """Return the texts that the node lists for a job, or the reason why it lists none."""
        read = await self.jobs.async_read(job_id, 0, timedelta())
        if read.is_err():
            return read.unwrap_err().problem
        return [result.text for _, result in read.unwrap().results]


def _append(store: FakeStore, *records: JobRecord) -> None:
    store.append(TOPIC_JOBS, 0, encode_records(records))


def _add_job(store: FakeStore, job_id: str, results: int = 0, ended: bool = False) -> None:
    _append(store, *encode_job(make_job(job_id, ITEMS), "a"))
    for index in range(results):
        result = ItemResult(ItemState.COMPLETED, f"{job_id} text {index}")
        _append(store, ResultRecord(job_id, index, result))
    if ended:
        _append(store, JobEnded(job_id))


async def _async_write_mark(store: FakeStore) -> None:
    """Let a node read everything and write the mark, then stop it."""
    node = Node(store, "front-0")
    await asyncio.sleep(3 * MARK_INTERVAL.total_seconds())
    await node.async_stop()


async def _async_node_after_finished_job() -> Node:
    """Return a node that started at a mark after the records of a finished job."""
    store = FakeStore()
    _add_job(store, "old", ITEMS, ended=True)
    await _async_write_mark(store)
    node = Node(store)
    await asyncio.sleep(0.1)
    return node


def _newest_mark(store: FakeStore) -> PartitionMark:
    link = StoreLink(store)
    keyed = link.unpack_keyed(store.records[MARKS, 0][-1])
    assert keyed is not None
    return decode_mark(keyed.value).unwrap()


def test_a_starting_node_reads_only_the_open_jobs() -> None:
    """One of twenty-one jobs is open.

    The node lists it with its results, and has read nothing of the finished jobs.
    """

    async def scene() -> None:
        store = FakeStore()
        for number in range(20):
            _add_job(store, f"old-{number}", ITEMS, ended=True)
        _add_job(store, "job-1", 2)
        await _async_write_mark(store)
        node = Node(store)
        await asyncio.sleep(0.1)
        assert list(node.jobs.book.jobs) == ["job-1"]
        assert await node.async_listed("job-1") == ["job-1 text 0", "job-1 text 1"]
        await node.async_stop()

    run_virtual(scene())


@pytest.mark.parametrize("ended", [True, False])
def test_a_job_before_the_mark_is_listed_as_on_other_nodes(ended: bool) -> None:
    """A result of a finished job is stored after the mark; its position is the same on every node.

    A list built only from the records after the mark, or only from those before it, would lack a
    result that a caller has read.
    """

    async def scene() -> None:
        store = FakeStore()
        _add_job(store, "old", ITEMS if not ended else 3, ended)
        first = Node(store, "front-0")
        await asyncio.sleep(RESULT_READ_PERIOD.total_seconds() + 3)
        _append(store, ResultRecord("old", 3, ItemResult(ItemState.COMPLETED, "old text 3")))
        _append(store, JobEnded("old"))
        node = Node(store)
        await asyncio.sleep(0.1)
        assert _newest_mark(store).offset > 0 and node.jobs.book.jobs == {}
        texts = [f"old text {index}" for index in range(ITEMS)]
        assert await first.async_listed("old") == texts
        assert await node.async_listed("old") == texts
        for each in (first, node):
            await each.async_stop()

    run_virtual(scene())


def test_a_delayed_copy_of_a_finished_job_does_not_reopen_it() -> None:
    """An unacknowledged append takes effect after the end of the job and after the mark."""

    async def scene() -> None:
        store = FakeStore()
        _add_job(store, "old", 1, ended=True)
        await _async_write_mark(store)
        _append(store, *encode_job(make_job("old", ITEMS), "late"))
        node = Node(store)
        await asyncio.sleep(0.1)
        assert node.jobs.book.jobs == {}
        assert (await node.jobs.async_submit(make_job("old", ITEMS))).is_ok()
        assert await node.async_listed("old") == ["old text 0"]
        assert not node.jobs.book.jobs["old"].open
        await node.async_stop()

    run_virtual(scene())


def test_a_job_is_reported_unknown_only_after_a_complete_read() -> None:
    """The store stops answering after the start, so it is uncertain whether a job exists.

    Once the store answers again, the old job is found and the other one is reported as unknown.
    """

    async def scene() -> None:
        node = await _async_node_after_finished_job()
        node.link.silent = True
        assert await node.async_listed("old") is JobProblem.UNCERTAIN
        assert await node.async_listed("none") is JobProblem.UNCERTAIN
        node.link.silent = False
        await asyncio.sleep(4)
        assert await node.async_listed("none") is JobProblem.UNKNOWN_JOB
        assert len(await node.async_listed("old")) == ITEMS  # type: ignore[arg-type]
        await node.async_stop()

    run_virtual(scene())


def test_concurrent_requests_for_old_jobs_share_one_read() -> None:
    """Twenty callers request a job before the mark; the partition is read once."""

    async def scene() -> None:
        node = await _async_node_after_finished_job()
        starts: list[int] = []
        read = node.link.async_read

        async def async_read_recorded(
            topic: str, part: int, start: int, *args: Any
        ) -> Result[Any, StoreError]:
            starts.append(start)
            return await read(topic, part, start, *args)

        node.link.async_read = async_read_recorded  # type: ignore[method-assign]
        await asyncio.gather(*(node.async_listed("old") for _ in range(20)))
        assert starts.count(0) == 1
        await node.async_stop()

    run_virtual(scene())


@pytest.mark.parametrize(
    "value",
    [b"nonsense", encode_mark(PartitionMark(-1)), encode_mark(PartitionMark(10_000))],
    ids=["unreadable", "before the first record", "past the end"],
)
def test_an_invalid_mark_loses_no_job(value: bytes) -> None:
    """Another writer has corrupted a mark; the partition is read from its oldest record."""

    async def scene() -> None:
        store = FakeStore()
        _add_job(store, "job-1", 1)
        StoreLink(store).put(MARKS, "0", value)
        node = Node(store)
        await asyncio.sleep(0.2)
        assert list(node.jobs.book.jobs) == ["job-1"]
        await node.async_stop()

    run_virtual(scene())


def test_unreadable_marks_delay_a_start_for_a_bounded_time() -> None:
    """The partition of the marks is unavailable, those of the jobs are available.

    The node reads all jobs instead.
    """

    async def scene() -> None:
        store = FakeStore()
        _add_job(store, "old", ITEMS, ended=True)
        await _async_write_mark(store)
        link = StoreLink(store)
        link.refusing = lambda topic, _part: topic == MARKS
        node = Node(store, link=link)
        await asyncio.sleep(MARKS_READ_TIMEOUT.total_seconds() + 0.2)
        assert list(node.jobs.book.jobs) == ["old"]
        await node.async_stop()

    run_virtual(scene())


def test_a_delayed_older_mark_is_still_valid() -> None:
    """A suspended writer overwrites a newer mark with its old one.

    All open jobs are still found.
    """

    async def scene() -> None:
        store = FakeStore()
        _add_job(store, "old", ITEMS, ended=True)
        await _async_write_mark(store)
        delayed_record = store.records[MARKS, 0][-1]
        _add_job(store, "next", ITEMS, ended=True)
        _add_job(store, "job-1", 1)
        await _async_write_mark(store)
        store.append(MARKS, 0, [delayed_record])
        node = Node(store)
        await asyncio.sleep(0.1)
        assert node.jobs.book.jobs["job-1"].open
        assert not node.jobs.book.jobs["next"].open
        await node.async_stop()

    run_virtual(scene())


def test_only_one_node_writes_the_mark_of_a_partition() -> None:
    """Three nodes are live.

    Each mark is written only by the node that rendezvous hashing ranks first, and only when it
    changed.
    """

    async def scene() -> None:
        store = FakeStore()
        _add_job(store, "job-1", 1)
        nodes = [Node(store, f"front-{number}") for number in range(3)]
        for node in nodes:
            node.marks._live_nodes = lambda: ["front-0", "front-1", "front-2"]
        await asyncio.sleep(5 * MARK_INTERVAL.total_seconds())
        assert len(store.records[MARKS, 0]) == 1
        for node in nodes:
            await node.async_stop()

    run_virtual(scene())


class _BoundedReads(SharedReads):
    """A connection to a store of limited bandwidth; a record has the weight of its bytes."""

    weigh: Callable[[bytes], float] = staticmethod(lambda record: len(record) / 1024**2)

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[Any, StoreError]:
        """Return the page after the time that its transfer takes."""
        found = await StoreLink.async_read(self, topic, part, start, wait, timeout)
        if found.is_ok():
            await asyncio.sleep(self.bandwidth.send(sum(map(self.weigh, found.unwrap().records))))
        return found


@pytest.mark.parametrize("count", [9, 36, 91])
def test_the_start_time_of_all_nodes_depends_only_on_open_jobs(count: int) -> None:
    """Three minutes of ended jobs precede an open one; all nodes read only the open one.

    Reading from the oldest record, 91 nodes needed the entire bandwidth of the store for seconds.
    """

    async def scene() -> None:
        store, bandwidth = FakeStore(), Bandwidth()
        for number in range(45):
            _add_job(store, f"old-{number}", ITEMS, ended=True)
            _append(store, ResultRecord(f"old-{number}", 0, _long_result()))
        _add_job(store, "job-1", 2)
        await _async_write_mark(store)
        nodes = [
            Node(store, f"front-{number}", _BoundedReads(store, bandwidth))
            for number in range(count)
        ]
        await asyncio.sleep(0.2)
        assert all(list(node.jobs.book.jobs) == ["job-1"] for node in nodes)
        assert bandwidth.sent_mb < 0.1 * MB_A_SECOND
        for node in nodes:
            await node.async_stop()

    run_virtual(scene())


def _long_result() -> ItemResult:
    text = "".join(f"{number:x}" for number in range(30_000))
    return ItemResult(ItemState.COMPLETED, text)

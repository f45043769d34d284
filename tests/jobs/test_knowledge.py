"""What a gateway knows of a job never seems younger than it is, and misses no end.

Work that reaches an engine later than three seconds after the end was recorded shows a gap; each test
plays one way to it.
"""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.jobs.codec import encode_job, encode_records
from cranberryline.jobs.const import KNOWN_WITHIN
from cranberryline.jobs.model import Item, Job, JobEnded
from cranberryline.ports.const import DEFAULT_CONNECT_TIMEOUT
from tests.store_fake import FakeStore
from tests.virtual_time import run_virtual

from .gateway_fake import (
    CANCEL_BOUND,
    Gateway,
    Node,
    SingleEngineDispatcher,
    StoreWithJob,
    make_open_job,
    make_store,
)


@pytest.mark.parametrize("too_slow", [False, True])
def test_reads_that_fail_for_all_do_not_say_that_nothing_is_written(too_slow: bool) -> None:
    """The store turns all reads away, or is too slow with them, and takes appends: signs, and the end.

    No gateway can read, and each hears the same from its peers. Taken for an outage of the store, the
    end would go unheard for as long as it lasts.
    """

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        peer = Node(ended.store)
        gateway = Gateway(ended.store, engine, {"peer-1": peer})
        await asyncio.sleep(1)
        for node in (gateway, peer):
            node.link.reject_reads, node.link.time_out_reads = not too_slow, too_slow
        await asyncio.sleep(2)
        ended.end_job()
        await asyncio.sleep(12)
        assert engine.reached_at and ended.late_requests(engine) == []

    run_virtual(scene())


def test_a_gateway_that_knows_no_peer_is_not_all() -> None:
    """All others stop or have not been heard of yet, so no peer can be asked; the store is silent here."""

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        gateway = Gateway(ended.store, engine)
        await asyncio.sleep(1)
        gateway.link.silent = True
        ended.end_job()
        await asyncio.sleep(12)
        assert engine.reached_at and ended.late_requests(engine) == []

    run_virtual(scene())


def test_an_outage_for_all_does_not_cover_what_was_missed_before_it() -> None:
    """A gateway is cut off alone for five seconds, in which the job ends; then the store is out for all."""

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        peer = Node(ended.store)
        gateway = Gateway(ended.store, engine, {"peer-1": peer})
        await asyncio.sleep(1)
        gateway.disconnect()
        ended.end_job()
        await asyncio.sleep(5)
        gateway.log.peers_unreachable = gateway.link.silent = False
        for node in (gateway, peer):
            node.link.refusing = lambda _topic, _part: True
        await asyncio.sleep(5)
        assert engine.reached_at and ended.late_requests(engine) == []

    run_virtual(scene())


def test_the_way_to_the_engine_is_within_what_is_left() -> None:
    """A request may get its upstream just before its knowledge is too old, and then has to connect."""
    assert timedelta(seconds=CANCEL_BOUND) > KNOWN_WITHIN + DEFAULT_CONNECT_TIMEOUT


def test_a_run_of_a_job_that_stays_open_for_long_hears_its_end() -> None:
    """A job is older than what is kept for readers, and still open; its item is repeated until its end."""

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        gateway = Gateway(ended.store, engine, keep=timedelta(seconds=3))
        await asyncio.sleep(3.5)
        ended.store.append("jobs", 0, encode_records([JobEnded("another")]))
        await asyncio.sleep(1)
        ended.end_job()
        await asyncio.sleep(8)
        assert engine.reached_at and ended.late_requests(engine) == []
        ended.store.append("jobs", 0, encode_records([JobEnded("another")]))
        await asyncio.sleep(1)
        assert "job-1" not in gateway.jobs.book.jobs

    run_virtual(scene())


def test_an_end_that_was_deleted_before_it_was_read_counts_as_read() -> None:
    """A gateway is cut off until the partition's oldest records, the end with them, are deleted."""

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        gateway = Gateway(ended.store, engine)
        await asyncio.sleep(1)
        gateway.disconnect()
        ended.end_job()
        ended.store.append("jobs", 0, encode_records([JobEnded("another")]))
        ended.store.first[("jobs", 0)] = len(ended.store.records[("jobs", 0)]) - 1
        await asyncio.sleep(5)
        gateway.link.silent = False
        await asyncio.sleep(8)
        assert engine.reached_at and ended.late_requests(engine) == []

    run_virtual(scene())


def test_a_late_copy_does_not_open_a_job_whose_first_copy_was_deleted() -> None:
    """The partition keeps the end and a copy appended after it; a gateway that starts reads just these."""

    async def scene() -> None:
        ended, engine = StoreWithJob(FakeStore()), SingleEngineDispatcher()
        ended.end_job()
        ended.store.append("jobs", 0, encode_records(encode_job(make_open_job(), "late")))
        Gateway(ended.store, engine)
        await asyncio.sleep(8)
        assert ended.late_requests(engine) == []

    run_virtual(scene())


def test_the_age_that_is_told_is_that_of_a_request_that_went_out() -> None:
    """An item waits four seconds for its place, cut off; its turn is refused, and nothing went out."""

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher(queue_s=4.0)
        gateway = Gateway(ended.store, engine)
        await asyncio.sleep(0.5)
        gateway.disconnect()
        await asyncio.sleep(4.5)
        runs = [running.run for running in gateway.runner._running.values()]
        assert engine.reached_at == [] and [run.job_data_age for run in runs] == [None]

    run_virtual(scene())


def test_items_that_wait_for_knowledge_ask_for_it_now_and_then() -> None:
    """Two hundred items wait while no peer answers; each refused question is a call that costs."""

    async def scene() -> None:
        items = tuple(
            Item(f"item-{number}", "/p/x", (), b"b", 10, f"g{number}", None)
            for number in range(200)
        )
        job = Job("job-1", "host.example", "/p/1", items, 0.0, "model", 1, 1, 200)
        store = FakeStore()
        store.append("jobs", 0, encode_records(encode_job(job, "w")))
        peers = {"peer-1": Node(store), "peer-2": Node(store)}
        gateway = Gateway(store, SingleEngineDispatcher(), peers)
        await asyncio.sleep(0.5)
        gateway.log.peers_unreachable = True
        gateway.link.refusing = lambda _topic, _part: True
        await asyncio.sleep(5)
        before = gateway.log.asked
        await asyncio.sleep(2)
        assert (gateway.log.asked - before) / 2 < 30

    run_virtual(scene())

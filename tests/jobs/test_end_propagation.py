"""A gateway learns of the end of a job by each path: peers, its own call, or a later read."""

import asyncio

from cranberryline.jobs.codec import encode_job, encode_records
from tests.virtual_time import run_virtual

from .gateway_fake import (
    Gateway,
    Node,
    SingleEngineDispatcher,
    StoreWithJob,
    make_open_job,
    make_store,
)


def test_refused_peers_are_not_taken_for_a_full_outage() -> None:
    """The store refuses half of the VMs, including this one; another VM records the end.

    Two peers are queried each time, so sometimes the store serves neither of them; a later query
    reaches a peer that it does serve.
    """

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        peers = {f"peer-{number}": Node(ended.store) for number in range(5)}
        gateway = Gateway(ended.store, engine, peers)
        await asyncio.sleep(1)
        for node in [gateway, *list(peers.values())[:2]]:
            node.link.refusing = lambda _topic, _part: True
        await asyncio.sleep(2)
        ended.end_job()
        await asyncio.sleep(12)
        assert engine.reached_at and ended.late_requests(engine) == []

    run_virtual(scene())


def test_a_delayed_copy_does_not_reopen_a_job() -> None:
    """A copy that took effect after the end changes nothing while the first copy is stored."""

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        Gateway(ended.store, engine)
        await asyncio.sleep(1)
        ended.end_job()
        ended.store.append("jobs", 0, encode_records(encode_job(make_open_job(), "late")))
        await asyncio.sleep(8)
        assert engine.reached_at and ended.late_requests(engine) == []

    run_virtual(scene())


def test_an_end_without_acknowledgement_stops_work_here() -> None:
    """The append of the end is not acknowledged, so the trainer gets status 504.

    The record was stored nevertheless, and is read.
    """

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        gateway = Gateway(ended.store, engine)
        await asyncio.sleep(1)
        gateway.link.lost = 1
        ended.at = asyncio.get_running_loop().time()
        await gateway.jobs.async_end("job-1")
        await asyncio.sleep(8)
        assert engine.reached_at and ended.late_requests(engine) == []

    run_virtual(scene())


def test_an_acknowledged_end_stops_work_although_it_is_not_read() -> None:
    """The end is acknowledged, and this gateway cannot reach the store from then on."""

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        gateway = Gateway(ended.store, engine)
        await asyncio.sleep(1)
        assert (await gateway.jobs.async_end("job-1")).is_ok()
        ended.at = asyncio.get_running_loop().time()
        gateway.link.refusing = lambda _topic, _part: True
        await asyncio.sleep(8)
        moments = [moment for moment in engine.reached_at if moment > ended.at + 0.1]
        assert engine.reached_at and moments == []

    run_virtual(scene())

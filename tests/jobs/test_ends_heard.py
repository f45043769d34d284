"""An end reaches a gateway's work by every way there is: through peers, its own call, a later read."""

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


def test_peers_that_are_turned_away_too_do_not_stand_for_all() -> None:
    """Half of the VMs are turned away, this one among them; another one records the end.

    Two peers are asked each time, so now and then none of them is served: with the next question one is.
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


def test_a_late_copy_does_not_open_a_job_again() -> None:
    """A copy that took effect after the end changes nothing while the first one is kept."""

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        Gateway(ended.store, engine)
        await asyncio.sleep(1)
        ended.end_job()
        ended.store.append("jobs", 0, encode_records(encode_job(make_open_job(), "late")))
        await asyncio.sleep(8)
        assert engine.reached_at and ended.late_requests(engine) == []

    run_virtual(scene())


def test_an_end_recorded_here_without_an_answer_stops_work_here() -> None:
    """The end's append gets no answer, so the trainer is told 504; it stands, and is read."""

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


def test_an_end_recorded_here_stops_work_here_though_it_cannot_be_read() -> None:
    """The end is acknowledged, and this gateway hears nothing of the store from then on."""

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

"""No work of a job starts based on a view of the job that may be older than its end.

After all gateways had been killed, slow ones started items while still reading jobs: an engine got
items 4.3 s and 20.6 s after the trainer was told that the job had ended.
"""

import asyncio
from typing import Any, cast

import attrs
import pytest

from tests.virtual_time import VirtualLoop, run_virtual

from .gateway_fake import Gateway, Node, SingleEngineDispatcher, StoreWithJob, make_store


def test_a_job_that_ended_while_a_slow_vm_decoded_is_not_started() -> None:
    """A starting VM with a fraction of a core needs four seconds to decode the result of one read.

    The read reached the end of the partition, so the job appears open, but its end was recorded
    just afterwards. An item started now would reach the engine four seconds after the trainer was
    told of the end.
    """

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        gateway = Gateway(ended.store, engine)
        apply = gateway.jobs.book.apply

        def apply_slowly(record: Any, offset: int) -> Any:
            applied = apply(record, offset)
            if not ended.at:
                ended.end_job()
                cast(VirtualLoop, asyncio.get_running_loop()).jump(4.0)
            return applied

        gateway.jobs.book.apply = apply_slowly  # type: ignore[method-assign]
        await asyncio.sleep(8)
        assert ended.late_requests(engine) == []

    run_virtual(scene())


@attrs.frozen
class NetworkPartition:
    """An engine, whether items are scored, and when the gateway is partitioned and the job ends."""

    engine: SingleEngineDispatcher
    scored: bool
    at: float


NETWORK_PARTITIONS = {
    # Runs fail and are retried.
    "repeated": lambda: NetworkPartition(SingleEngineDispatcher(), scored=False, at=1.0),
    # The item waits four seconds in the queue before it is dispatched.
    "late_turn": lambda: NetworkPartition(
        SingleEngineDispatcher(queue_s=4.0), scored=False, at=0.5
    ),
    # The text is complete, and its scoring request is sent repeatedly.
    "scored": lambda: NetworkPartition(
        SingleEngineDispatcher(complete_runs=1), scored=True, at=0.5
    ),
}


@pytest.mark.parametrize("case", NETWORK_PARTITIONS)
def test_an_isolated_gateway_sends_no_more_work(case: str) -> None:
    """A gateway loses the store and its peers, but still reaches engines.

    The job ends at another gateway. Without a limit on the age of its view, the isolated gateway
    would send the remaining work of the job for as long as the partition lasts, for a trainer that
    no longer waits.
    """

    async def scene() -> None:
        partition = NETWORK_PARTITIONS[case]()
        ended = StoreWithJob(make_store(partition.scored))
        gateway = Gateway(ended.store, partition.engine, {"peer-1": Node(ended.store)})
        await asyncio.sleep(partition.at)
        gateway.disconnect()
        ended.end_job()
        await asyncio.sleep(12)
        assert partition.engine.reached_at or partition.engine.queue_s
        assert ended.late_requests(partition.engine) == []

    run_virtual(scene())


@pytest.mark.parametrize("silent", [False, True])
def test_work_continues_during_a_full_store_outage(silent: bool) -> None:
    """No node reaches the store, so no end can have been recorded and work continues.

    Results are listed as soon as the store is back; if work stopped, a trainer would wait for all
    of it. A store that does not answer is detected once polls have timed out, after about four
    seconds; one that refuses is detected immediately.
    """

    async def scene() -> None:
        engine, store = SingleEngineDispatcher(), make_store()
        peer = Node(store)
        gateway = Gateway(store, engine, {"peer-1": peer})
        await asyncio.sleep(1)
        for node in (gateway, peer):
            node.link.silent = silent
            node.link.refusing = lambda _topic, _part: not silent
        await asyncio.sleep(9)
        times = [0.0, *engine.reached_at, 10.0]
        gaps = [later - sooner for sooner, later in zip(times, times[1:], strict=False)]
        assert max(gaps) < (5 if silent else 2)

    run_virtual(scene())

"""No work for a job starts on knowledge of it that may be older than its end.

Seen: an engine got an item 4.3 s and another 20.6 s after the trainer had been told that its job was
over. All gateways had been killed; the slow ones were still reading jobs when they started items of
them. Each test plays another way to the same state: the end is in the store, and this gateway starts,
repeats or scores an item by what it read before.
"""

import asyncio
from typing import Any, cast

import attrs
import pytest

from tests.virtual_time import VirtualLoop, run_virtual

from .gateway_fake import Gateway, Node, SingleEngineDispatcher, StoreWithJob, make_store


def test_a_job_that_ended_while_a_slow_vm_took_in_what_it_had_read_is_not_begun() -> None:
    """A VM with a fraction of a core starts, and takes four seconds to decode what one read brought.

    The read reached the partition's end, so the job looks open; its end came just after. Begun now, its
    item reaches the engine four seconds after the trainer was told.
    """

    async def scene() -> None:
        ended, engine = StoreWithJob(make_store()), SingleEngineDispatcher()
        gateway = Gateway(ended.store, engine)
        take = gateway.jobs.book.apply

        def slowly(record: Any) -> None:
            take(record)
            if not ended.at:
                ended.end_job()
                cast(VirtualLoop, asyncio.get_running_loop()).jump(4.0)

        gateway.jobs.book.apply = slowly  # type: ignore[method-assign]
        await asyncio.sleep(8)
        assert ended.late_requests(engine) == []

    run_virtual(scene())


@attrs.frozen
class CutOff:
    """An engine, whether items are scored, and when the gateway is cut off and the job ends."""

    engine: SingleEngineDispatcher
    scored: bool
    at: float


CUT_OFF = {
    # Runs break off, and are repeated.
    "repeated": lambda: CutOff(SingleEngineDispatcher(), scored=False, at=1.0),
    # The item waits four seconds for a place, and its turn comes.
    "late_turn": lambda: CutOff(SingleEngineDispatcher(queue_s=4.0), scored=False, at=0.5),
    # The text is whole, and its scoring request is sent again and again.
    "scored": lambda: CutOff(SingleEngineDispatcher(complete_runs=1), scored=True, at=0.5),
}


@pytest.mark.parametrize("case", CUT_OFF)
def test_a_gateway_that_hears_nobody_sends_nothing_more(case: str) -> None:
    """A gateway is cut off from the store and from its peers, while it still reaches engines.

    The job ends at another gateway. What this one still has to do for it goes out for as long as
    the cut lasts, and an engine works for a trainer who is gone.
    """

    async def scene() -> None:
        cut = CUT_OFF[case]()
        ended = StoreWithJob(make_store(cut.scored))
        gateway = Gateway(ended.store, cut.engine, {"peer-1": Node(ended.store)})
        await asyncio.sleep(cut.at)
        gateway.disconnect()
        ended.end_job()
        await asyncio.sleep(12)
        assert cut.engine.reached_at or cut.engine.queue_s
        assert ended.late_requests(cut.engine) == []

    run_virtual(scene())


@pytest.mark.parametrize("silent", [False, True])
def test_work_goes_on_while_the_store_is_out_for_all(silent: bool) -> None:
    """Nobody reaches the store, so no end can have been recorded: steps go on as well as they can.

    What is made now is listed as soon as the store is back; stopped, a trainer would wait for all of it.
    A store that falls silent is known as such once polls have run into their limits, after some four
    seconds; one that refuses is known at once.
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
        moments = [0.0, *engine.reached_at, 10.0]
        pauses = [later - sooner for sooner, later in zip(moments, moments[1:], strict=False)]
        assert max(pauses) < (5 if silent else 2)

    run_virtual(scene())

"""Checkpoints of long texts, and how the next run resumes after a node was killed.

Without them, the longest text of a nearly complete step starts over and takes as long as the step
may. Each text is stored every second, so the next run asks the engine to continue after the last
stored event.
"""

import asyncio

import pytest
from result import Err, Ok, Result

from cranberryline.dispatch.errors import Refusal, RefusalReason
from cranberryline.dispatch.model import CallerRequest, ResponseSink
from cranberryline.jobs.codec import encode_job, encode_records
from cranberryline.jobs.const import TEXTS_READ_TIMEOUT
from cranberryline.jobs.model import ItemState, JobEnded
from cranberryline.jobs.text_checkpointer import CHECKPOINT_INTERVAL, MAX_PIECE_READERS
from tests.jobs.gateway_fake import Gateway, Node, SingleEngineDispatcher, make_open_job, make_store
from tests.store_fake import FakeStore
from tests.virtual_time import run_virtual

LARGE_FLEET = MAX_PIECE_READERS + 1
EVENTS = 200
EVENT_S = 0.04
TEXT_S = EVENTS * EVENT_S + 1


class TextEngine(SingleEngineDispatcher):
    """Generates a text of `EVENTS` events, after the event that the request names."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[tuple[float, int]] = []

    async def async_run(self, req: CallerRequest, sink: ResponseSink) -> Result[str, Refusal]:
        """Generate the events one by one."""
        last = int(dict(req.headers).get("last", "0"))
        if not req.may_send_to("engine-1"):
            return Err(Refusal(RefusalReason.NO_UPSTREAM))
        self.requests.append((asyncio.get_running_loop().time(), last))
        sink.dispatched("engine-1")
        await sink.async_head(200, (("version", str(self.version)),))
        for number in range(last + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            await sink.async_chunk(f"id: {number}\ndata: {number}\n\n".encode(), number == EVENTS)
        return Ok("engine-1")


def _gateway(store: FakeStore, engine: TextEngine, nodes: int) -> Gateway:
    """Return a gateway that stores texts as in a fleet of the given size."""
    gateway = Gateway(store, engine)
    gateway.runner._keeper._node_count = lambda: nodes
    return gateway


async def _async_kill(gateway: Gateway) -> None:
    for task in gateway.tasks:
        task.cancel()
    await asyncio.gather(*gateway.tasks, return_exceptions=True)
    await gateway.runner.async_close()


async def _async_complete_text(gateway: Gateway) -> str:
    await asyncio.sleep(TEXT_S)
    ((_, result),) = gateway.jobs.book.jobs["job-1"].results
    assert result.state is ItemState.COMPLETED and result.versions == (1,)
    return result.text


COMPLETE_TEXT = "\n".join(str(number) for number in range(1, EVENTS + 1))


@pytest.mark.parametrize("killed_at", [0.7, 2.5, 5.0])
@pytest.mark.parametrize("nodes", [1, LARGE_FLEET])
def test_the_next_node_resumes_after_the_last_stored_event(killed_at: float, nodes: int) -> None:
    """At most the time between two pieces plus the time of an append is generated again."""

    async def scene() -> None:
        store, engine = make_store(), TextEngine()
        first = _gateway(store, engine, nodes)
        await asyncio.sleep(killed_at)
        await _async_kill(first)
        second = _gateway(store, engine, nodes)
        assert await _async_complete_text(second) == COMPLETE_TEXT
        (_, first_resumed_after), (resumed_at, resumed_after) = engine.requests
        generated = (killed_at - engine.requests[0][0]) / EVENT_S
        assert first_resumed_after == 0 and resumed_at - killed_at < 0.5
        assert (
            generated - (CHECKPOINT_INTERVAL.total_seconds() + 0.1) / EVENT_S
            <= resumed_after
            <= generated
        )
        await _async_kill(second)

    run_virtual(scene())


@pytest.mark.parametrize("nodes", [1, LARGE_FLEET])
def test_a_text_is_stored_once_the_store_is_available_again(nodes: int) -> None:
    """The store refuses the node from 1.5 s to 3.5 s, and the node is killed at 6 s.

    It takes one second until its reads reach the store again, and another one until the next piece.
    """

    async def scene() -> None:
        store, engine = make_store(), TextEngine()
        first = _gateway(store, engine, nodes)
        await asyncio.sleep(1.5)
        first.link.refusing = lambda topic, _part: topic in ("jobs", "texts")
        await asyncio.sleep(2)
        first.link.refusing = lambda _topic, _part: False
        await asyncio.sleep(2.5)
        await _async_kill(first)
        second = _gateway(store, engine, nodes)
        assert await _async_complete_text(second) == COMPLETE_TEXT
        assert engine.requests[1][1] * EVENT_S > 6 - CHECKPOINT_INTERVAL.total_seconds() - 0.2
        await _async_kill(second)

    run_virtual(scene())


@pytest.mark.parametrize("nodes", [1, LARGE_FLEET])
def test_an_unacknowledged_piece_that_was_stored_is_harmless(nodes: int) -> None:
    """The first append is stored but not acknowledged.

    The piece is appended again, and other pieces follow it.
    """

    async def scene() -> None:
        store, engine = make_store(), TextEngine()
        first = _gateway(store, engine, nodes)
        await asyncio.sleep(0.5)
        first.link.lost = 1
        await asyncio.sleep(4.5)
        assert not first.link.lost
        await _async_kill(first)
        second = _gateway(store, engine, nodes)
        assert await _async_complete_text(second) == COMPLETE_TEXT
        assert engine.requests[1][1] > 85
        await _async_kill(second)

    run_virtual(scene())


def test_an_idle_node_makes_no_checkpoints() -> None:
    """Without a running text there are no store calls and no wake-ups of the event loop."""

    async def scene() -> None:
        store = FakeStore()
        idle = Gateway(store, TextEngine())
        await asyncio.sleep(60)
        keeper = idle.runner._keeper
        assert not keeper._wake.is_set() and not keeper._append_tasks
        assert not store.records[("jobs", 0)]
        await _async_kill(idle)

    run_virtual(scene())


def test_a_large_fleet_reads_one_announcement_per_text() -> None:
    """Pieces that every node reads would use up the store's read bandwidth with dozens of nodes.

    They would do so again when all nodes start. The topic of the jobs gets only the offset at which
    the texts start, in less than 100 bytes; a node that runs no item of the job reads none of the
    five pieces.
    """

    async def scene() -> None:
        store = make_store()
        gateway = _gateway(store, TextEngine(), LARGE_FLEET)
        before = len(store.records["jobs", 0])
        await asyncio.sleep(5.5)
        (announcement,) = store.records["jobs", 0][before:]
        assert len(announcement) < 100 and len(store.records["texts", 0]) >= 4
        bystander = Node(store)
        await asyncio.sleep(2)
        state = bystander.jobs.book.jobs["job-1"]
        assert state.texts_start == 0 and state.texts_read_offset == 0
        await _async_kill(gateway)

    run_virtual(scene())


def test_a_text_starts_over_if_its_pieces_cannot_be_read_in_time() -> None:
    """The partition of the texts is unavailable; the run waits one second and no longer."""

    async def scene() -> None:
        store, engine = make_store(), TextEngine()
        first = _gateway(store, engine, LARGE_FLEET)
        await asyncio.sleep(3)
        await _async_kill(first)
        second = _gateway(store, engine, LARGE_FLEET)
        second.link.refusing = lambda topic, _part: topic == "texts"
        await asyncio.sleep(1)
        assert await _async_complete_text(second) == COMPLETE_TEXT
        restarted_at, resumed_after = engine.requests[1]
        assert resumed_after == 0 and restarted_at < 3 + TEXTS_READ_TIMEOUT.total_seconds() + 0.5
        await _async_kill(second)

    run_virtual(scene())


def test_an_unacknowledged_announcement_is_repeated() -> None:
    """The announcement is neither acknowledged nor stored.

    Repeated with a later piece, it still names the offset of the first piece.
    """

    async def scene() -> None:
        store, engine = make_store(), TextEngine()
        first = _gateway(store, engine, LARGE_FLEET)
        await asyncio.sleep(0.5)
        first.link.refusing = lambda topic, _part: topic == "jobs"
        await asyncio.sleep(2)
        first.link.refusing = lambda _topic, _part: False
        await asyncio.sleep(2.5)
        assert first.jobs.book.jobs["job-1"].texts_start == 0
        await _async_kill(first)
        second = _gateway(store, engine, LARGE_FLEET)
        assert await _async_complete_text(second) == COMPLETE_TEXT
        assert engine.requests[1][1] > 60
        await _async_kill(second)

    run_virtual(scene())


def test_pieces_of_ended_jobs_are_deleted() -> None:
    """Pieces are deleted once their job has ended, because the store has limited space.

    The pieces of an open job stay.
    """

    async def scene() -> None:
        store, engine = make_store(), TextEngine()
        first = _gateway(store, engine, LARGE_FLEET)
        await asyncio.sleep(4)
        store.append("jobs", 0, encode_records([JobEnded("job-1")]))
        store.append("jobs", 0, encode_records(encode_job(make_open_job(name="job-2"), "a")))
        await asyncio.sleep(3)
        start_offset = first.jobs.book.jobs["job-2"].texts_start
        assert start_offset is not None and start_offset > 0
        await first.jobs.texts.async_trim(0)
        assert store.first["texts", 0] == start_offset
        await _async_kill(first)

    run_virtual(scene())


def test_a_text_of_an_outdated_version_is_not_resumed() -> None:
    """A later job requests the group again and requires at least version 2."""

    async def scene() -> None:
        store, engine = make_store(min_version=2, with_partial_text=True), TextEngine()
        engine.version = 2
        gateway = Gateway(store, engine)
        await asyncio.sleep(0.5)
        assert engine.requests[0][1] == 0
        await _async_kill(gateway)

    run_virtual(scene())


def test_a_later_job_resumes_a_text_of_an_earlier_one() -> None:
    """The group was not complete in time and is submitted again with the same item IDs."""

    async def scene() -> None:
        store, engine = make_store(min_version=1, with_partial_text=True), TextEngine()
        gateway = Gateway(store, engine)
        await asyncio.sleep(0.5)
        assert engine.requests[0][1] == 40
        await asyncio.sleep(TEXT_S)
        states = gateway.jobs.book.jobs
        ((_, result),) = states["job-1"].results
        assert result.text == COMPLETE_TEXT
        await _async_kill(gateway)

    run_virtual(scene())


def test_a_stored_text_without_versions_is_not_resumed() -> None:
    """A valid record of another writer names no versions.

    The item is generated from the start, and the missing versions do not end its run.
    """

    async def scene() -> None:
        store, engine = make_store(with_partial_text=True, versions=()), TextEngine()
        gateway = Gateway(store, engine)
        assert await _async_complete_text(gateway) == COMPLETE_TEXT
        assert engine.requests[0][1] == 0
        await _async_kill(gateway)

    run_virtual(scene())

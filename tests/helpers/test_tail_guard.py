"""Records that whoever takes them cannot take, and lists and positions of the store that are odd."""

import asyncio
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import eliot
import pytest
from result import Err, Ok, Result

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import KeyedTail, PartitionTail, StoreHealth
from cranberryline.ports.store import KeyedRecord, KeyedSnapshot, StoreError, StoreProblem
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual


@pytest.fixture
def logged() -> Iterator[list[dict[str, Any]]]:
    """Return what is logged during the test."""
    found: list[dict[str, Any]] = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


class Stubborn(StoreLink):
    """A store that says of every offset that its record has been deleted, and names none that is kept."""

    reads = 0

    async def async_read(self, *_args: Any, **_more: Any) -> Result[Any, StoreError]:
        """Tell that the records are gone."""
        self.reads += 1
        await asyncio.sleep(0.001)
        return Err(StoreError(StoreProblem.GONE))


def _raise(*_args: Any) -> None:
    raise OverflowError("a number that nobody meant")


def test_a_taker_that_raises_does_not_end_a_partitions_tail(
    logged: list[dict[str, Any]],
) -> None:
    """A record is read, and whoever takes it raises.

    1. The tail takes it as told and counts it; a burst of them makes one line in the log.
    2. The sound record behind it is taken, and the tail is at the partition's end.

    Raised through the tail, it ended the task that reads on: nothing was heard any more, for good.
    """

    async def scene() -> None:
        metrics, heard, clock = Metrics(), [], LoopClock()

        def take(_offset: int, data: bytes) -> None:
            if data == b"bad":
                _raise()
            heard.append(data)

        link = StoreLink(FakeStore())
        link.store.append("jobs", 0, [b"bad", b"good", b"bad"])
        health = StoreHealth(clock, metrics)
        tail = PartitionTail(link, "jobs", 0, clock, health, take, _raise)
        following = asyncio.ensure_future(tail.async_run())
        await asyncio.sleep(0.1)
        link.store.append("jobs", 0, [b"bad", b"also good"])
        await asyncio.sleep(0.1)
        assert not following.done() and tail.at_end
        following.cancel()
        assert heard == [b"good", b"also good"]
        # Three records, and the end of each of two reads.
        assert metrics.value("cranberryline_drops_total", reason="record_not_taken") == 5

    run_virtual(scene())
    assert len([line for line in logged if line["message_type"] == "record_not_taken"]) == 1


def test_a_taker_that_raises_does_not_end_the_tail_of_a_topic_of_keys() -> None:
    """It raises while the first list is taken, at a change, and at a key that was dropped."""

    async def scene() -> None:
        heard: list[tuple[str, bytes]] = []
        link, clock = StoreLink(FakeStore()), LoopClock()

        def take(record: KeyedRecord) -> None:
            if record.key == "bad":
                _raise()
            heard.append((record.key, record.value))

        for key in ("a", "bad", "b"):
            link.put("keyed.x", key, b"1")
        tail = KeyedTail(link, "keyed.x", clock, StoreHealth(clock), take)
        following = asyncio.ensure_future(tail.async_run())
        await asyncio.sleep(0.1)
        for key, value in (("bad", b"2"), ("bad", b""), ("a", b"2")):
            link.put("keyed.x", key, value)
        await asyncio.sleep(0.1)
        assert not following.done() and tail.loaded.is_set()
        following.cancel()
        assert heard == [("a", b"1"), ("b", b"1"), ("a", b"2")]

    run_virtual(scene())


def test_a_record_that_is_not_taken_leaves_a_read_to_the_end_whole() -> None:
    """A caller's read to the end meets the bad record: the caller is answered all the same."""

    async def scene() -> None:
        link, clock = StoreLink(FakeStore()), LoopClock()
        tail = PartitionTail(link, "jobs", 0, clock, StoreHealth(clock), _raise)
        await tail._async_step()
        link.store.append("jobs", 0, [b"bad"])
        assert await tail.async_sync(timedelta(seconds=1))
        assert tail.offset == 1

    run_virtual(scene())


def test_rows_that_could_not_be_read_are_counted() -> None:
    """The store lists a row that is none: the others are there, and the row is counted."""

    async def scene() -> None:
        heard: list[str] = []
        link, clock, metrics = StoreLink(FakeStore()), LoopClock(), Metrics()

        async def newest(_topic: str, _timeout: timedelta) -> Result[KeyedSnapshot, StoreError]:
            return Ok(KeyedSnapshot((KeyedRecord("a", b"1", 0),), 4, 3))

        link.async_newest = newest  # type: ignore[method-assign]
        health = StoreHealth(clock, metrics)
        tail = KeyedTail(link, "keyed.x", clock, health, lambda row: heard.append(row.key))
        assert await tail._async_step() is None
        assert heard == ["a"] and tail.offset == 4
        assert metrics.value("cranberryline_drops_total", reason="store_record_unreadable") == 3

    run_virtual(scene())


def test_deleted_records_without_a_position_to_go_on_from_are_asked_for_with_pauses() -> None:
    """The answer says that the records are gone and cannot be read beyond that.

    Asked again at once, the store would be called a thousand times a second by every node.
    """

    async def scene() -> None:
        clock = LoopClock()
        partition, keyed = Stubborn(FakeStore()), Stubborn(FakeStore())
        tails = [
            PartitionTail(partition, "jobs", 0, clock, StoreHealth(clock), lambda *_: None),
            KeyedTail(keyed, "keyed.x", clock, StoreHealth(clock), lambda _: None),
        ]
        following = [asyncio.ensure_future(tail.async_run()) for tail in tails]
        await asyncio.sleep(10)
        for task in following:
            task.cancel()
        assert 10 <= partition.reads <= 100 and 10 <= keyed.reads <= 100

    run_virtual(scene())

"""Following topics of the store."""

import asyncio
from datetime import timedelta
from typing import Any, cast

import attrs
import pytest
from result import Err, Result

from cranberryline.helpers.tail import KeyedTail, PartitionTail, StoreHealth
from cranberryline.ports.store import LogRead, StoreError, StoreProblem
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, VirtualLoop, run_virtual


def test_a_gathering_tail_hears_every_record_in_a_few_polls() -> None:
    """Twenty VMs write forty signs within two seconds: all are heard, in a tenth of the polls."""

    async def scene() -> None:
        heard: list[str] = []
        link, clock = StoreLink(FakeStore()), LoopClock()
        reads = 0
        read = link.async_read

        async def counted(*args: object, **more: object) -> object:
            nonlocal reads
            reads += 1
            return await read(*args, **more)  # type: ignore[arg-type]

        link.async_read = counted  # type: ignore[method-assign, assignment]
        tail = KeyedTail(
            link,
            "keyed.x",
            clock,
            StoreHealth(clock),
            lambda record: heard.append(record.key),
            timedelta(milliseconds=300),
        )
        following = asyncio.ensure_future(tail.async_run())
        for number in range(40):
            link.put("keyed.x", f"vm{number}", b"sign")
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.4)
        following.cancel()
        assert heard == [f"vm{number}" for number in range(40)]
        assert reads <= 10

    run_virtual(scene())


class SharedOutage(StoreLink):
    """A way to a store that, while `out`, no other node reaches either."""

    out_since: timedelta | None = None

    async def async_read(self, *args: Any, **more: Any) -> Result[Any, StoreError]:
        """Read, or tell that nobody reaches the store."""
        if self.out_since is not None:
            return Err(StoreError(StoreProblem.REFUSED, "503", out_since=self.out_since))
        return await super().async_read(*args, **more)


def _partition(link: StoreLink) -> PartitionTail:
    clock = LoopClock()
    return PartitionTail(link, "jobs", 0, clock, StoreHealth(clock), lambda _offset, _data: None)


def test_what_is_known_of_a_quiet_partition_stays_young() -> None:
    """Polls that bring nothing are answered after their wait: nothing was written up to then."""

    async def scene() -> None:
        tail = _partition(StoreLink(FakeStore()))
        assert tail.age() is None
        following = asyncio.ensure_future(tail.async_run())
        oldest = timedelta()
        await asyncio.sleep(0.1)
        for _ in range(100):
            await asyncio.sleep(0.05)
            oldest = max(oldest, tail.age() or timedelta.max)
        following.cancel()
        assert oldest < timedelta(seconds=1.1)

    run_virtual(scene())


def test_what_is_known_ages_while_one_node_is_cut_off_and_not_while_all_are() -> None:
    """Cut off alone, others may write unheard; while nobody reaches the store there is nothing to hear."""

    async def scene() -> None:
        link = SharedOutage(FakeStore())
        tail = _partition(link)
        following = asyncio.ensure_future(tail.async_run())
        await asyncio.sleep(0.1)
        link.out_since = LoopClock().elapsed()
        await asyncio.sleep(5)
        shared = tail.age()
        link.out_since, link.silent = None, True
        await asyncio.sleep(5)
        alone = tail.age()
        following.cancel()
        assert shared is not None and shared < timedelta(seconds=1.1)
        assert alone is not None and alone > timedelta(seconds=4)

    run_virtual(scene())


def test_between_two_pages_the_age_of_what_is_known_is_not_known() -> None:
    """The newest of what has been read may be older by all that is left to read."""

    async def scene() -> None:
        store = FakeStore()
        store.append("jobs", 0, [b"a", b"b", b"c"])
        link = StoreLink(store)
        link.page = 1
        tail = _partition(link)
        ages = []
        for _ in range(3):
            await tail._async_step()
            ages.append(tail.age())
        assert ages[:2] == [None, None] and ages[2] is not None

    run_virtual(scene())


class AnswersAtOnce(StoreLink):
    """A store that does not wait for a record, and a loop that is busy before its answer is taken in."""

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read without waiting, as a probe does."""
        read = await super().async_read(topic, part, start, timedelta(), timeout)
        if wait:
            cast(VirtualLoop, asyncio.get_running_loop()).jump(1.1)
        return read.map(lambda found: attrs.evolve(found, at_once=True))


def test_a_probe_answered_at_once_and_taken_in_late_is_as_old_as_its_question() -> None:
    """While the store is lost directly a read does not wait, and its empty answer lies unread for 1.1 s."""

    async def scene() -> None:
        tail = _partition(AnswersAtOnce(FakeStore()))
        await tail._async_step()
        asked = asyncio.get_running_loop().time()
        await tail._async_step()
        assert tail.current_at is not None
        assert tail.current_at.total_seconds() <= asked + 0.01

    run_virtual(scene())


class _Suspendable(LoopClock):
    """A monotonic time that stands still while the VM is suspended."""

    suspended = timedelta()

    def elapsed(self) -> timedelta:
        """Return the time with the suspension."""
        return self.monotonic() + self.suspended


@pytest.mark.parametrize("within_a_read", [False, True])
def test_a_suspended_vm_wakes_up_with_old_knowledge(within_a_read: bool) -> None:
    """The monotonic time stood still for a minute, between two reads or within one."""

    async def scene() -> None:
        clock, link = _Suspendable(), StoreLink(FakeStore())
        tail = PartitionTail(link, "jobs", 0, clock, StoreHealth(clock), lambda *_: None)
        if within_a_read:
            asyncio.get_running_loop().call_later(0.001, _suspend, clock)
        await tail._async_step()
        if not within_a_read:
            _suspend(clock)
        age = tail.age()
        assert age is not None and age > timedelta(seconds=59)

    run_virtual(scene())


def _suspend(clock: _Suspendable) -> None:
    clock.suspended = timedelta(minutes=1)

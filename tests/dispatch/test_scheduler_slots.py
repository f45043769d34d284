"""Free slots of upstreams that another entry sends requests to as well."""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.dispatch.model import CollectingSink
from cranberryline.helpers.clock import SystemClock
from cranberryline.transport.model import Load

from .conftest import DispatcherHarness, FakeSideProcess, no_response

CONCURRENCY = 8


@pytest.fixture
def wide_harness() -> DispatcherHarness:
    """Return a dispatcher whose service runs eight requests at a time on each upstream."""
    return DispatcherHarness(SystemClock(), concurrency=CONCURRENCY)


def _set_load_report(side: FakeSideProcess, others: int) -> None:
    """Make a side process report `others` requests of other entries besides the own ones."""
    side.outstanding_at_load = side.outstanding
    side.load_at = SystemClock().monotonic()
    side.load = Load(side.outstanding + others, 0, 0, CONCURRENCY, None, 0)


def _start_requests(
    harness: DispatcherHarness, caller: str, count: int
) -> list[asyncio.Task[object]]:
    return [
        asyncio.ensure_future(
            harness.dispatcher.async_run(harness.request(caller=caller), CollectingSink())
        )
        for _ in range(count)
    ]


async def _async_cancel_all(tasks: list[asyncio.Task[object]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def test_each_freed_slot_is_reserved_once(wide_harness: DispatcherHarness) -> None:
    """More requests are sent than slots are free, because reservations are not counted.

    The load reports show one free slot on each of two upstreams. All slots are reserved before the
    first request is sent, so a reservation must count as a request.
    """
    sides = [
        wide_harness.add_upstream("up-1", no_response),
        wide_harness.add_upstream("up-2", no_response),
    ]

    async def async_main() -> None:
        for side in sides:
            _set_load_report(side, CONCURRENCY)
        tasks = _start_requests(wide_harness, "inspecteur", 10)
        await asyncio.sleep(0.01)
        assert [len(side.submits) for side in sides] == [0, 0]
        for side in sides:
            _set_load_report(side, CONCURRENCY - 1)
        wide_harness.dispatcher.wake()
        await asyncio.sleep(0.01)
        assert [len(side.submits) for side in sides] == [1, 1]
        await _async_cancel_all(tasks)

    asyncio.run(async_main())


def test_reserve_for_other_callers_is_kept_if_another_entry_uses_half(
    wide_harness: DispatcherHarness,
) -> None:
    """A heavy caller takes all slots, because the reserve is computed from all slots that exist.

    Another entry uses half of the slots of each upstream. The heavy caller may use all others but
    the reserve, so that a caller with few requests is served immediately.
    """
    sides = [
        wide_harness.add_upstream("up-1", no_response),
        wide_harness.add_upstream("up-2", no_response),
    ]

    async def async_main() -> None:
        for side in sides:
            _set_load_report(side, CONCURRENCY // 2)
        light = _start_requests(wide_harness, "light", 1)
        await asyncio.sleep(0.01)
        heavy = _start_requests(wide_harness, "heavy", 20)
        await asyncio.sleep(0.01)
        assert sum(len(side.submits) for side in sides) == CONCURRENCY - 1
        late = _start_requests(wide_harness, "light", 1)
        await asyncio.sleep(0.01)
        assert sum(len(side.submits) for side in sides) == CONCURRENCY
        await _async_cancel_all(light + heavy + late)

    asyncio.run(async_main())


def test_reservation_of_a_disconnected_caller_is_released(wide_harness: DispatcherHarness) -> None:
    """A slot stays reserved if the caller disconnects just as it is reserved."""
    side = wide_harness.add_upstream("up-1", no_response)

    async def async_main() -> None:
        _set_load_report(side, CONCURRENCY)
        disconnected = _start_requests(wide_harness, "inspecteur", CONCURRENCY)
        await asyncio.sleep(0.01)
        _set_load_report(side, 0)
        wide_harness.dispatcher.wake()
        await _async_cancel_all(disconnected)
        assert not side.submits
        tasks = _start_requests(wide_harness, "inspecteur", CONCURRENCY)
        await asyncio.sleep(0.01)
        assert len(side.submits) == CONCURRENCY
        await _async_cancel_all(tasks)

    asyncio.run(async_main())


def test_old_report_of_full_upstreams_does_not_delay_a_caller(
    wide_harness: DispatcherHarness,
) -> None:
    """A caller of an idle entry waits although the upstream is free again.

    The last load report is seconds old and shows no free slot. An idle connection gets a report
    only every five seconds, and the requests of the other entry may have ended long before.
    """
    side = wide_harness.add_upstream("up-1")

    async def async_main() -> None:
        _set_load_report(side, CONCURRENCY)
        side.load_at -= timedelta(seconds=1.8)
        task = _start_requests(wide_harness, "inspecteur", 1)[0]
        await asyncio.sleep(0.01)
        assert not side.submits
        assert (await task).is_ok()  # type: ignore[attr-defined]

    asyncio.run(async_main())

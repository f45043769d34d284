"""Reports of use by gateways, over the platform's own messages."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import pytest

from stand_ins.platform_usage import PlatformUsage

from .conftest import Platform, async_platform, async_until, play
from .test_workspaces import KEY, OTHER_KEY, WITH_KEYS, _scored_openly

WINDOW = timedelta(seconds=1)
LATE = timedelta(seconds=3)
Scene = Callable[[Platform, PlatformUsage], Coroutine[Any, Any, None]]


def _play(scene: Scene, gateways: int = 2) -> None:
    async def whole() -> None:
        api = PlatformUsage()
        api.start()
        platform = await async_platform(0, **WITH_KEYS)
        platform.more = {"usage_api": api.address, "report_window": WINDOW, "report_late": LATE}
        for _ in range(gateways):
            await platform.async_add_gateway()
        await async_until(lambda: any(g.lease.token() is not None for g in platform.gateways))
        try:
            await scene(platform, api)
            assert api.problems == []
        finally:
            api.stop()

    play(whole())


async def _async_total(api: PlatformUsage, expected: dict[str, int]) -> None:
    """Wait until the reports add up to what is expected."""

    def total() -> Counter[str]:
        return sum((Counter(counts) for counts in api.counts().values()), Counter())

    await async_until(lambda: total() == expected, 8)


def _count_records(platform: Platform) -> list[bytes]:
    return [
        record
        for (topic, _), records in platform.store.records.items()
        if topic == "usage_counts"
        for record in records
    ]


def test_what_ran_is_counted_once_for_its_workspace() -> None:
    """Rejected, refused and public requests and items of jobs are not counted; retries are not."""

    async def scene(platform: Platform, api: PlatformUsage) -> None:
        for number in range(6):
            key = KEY if number < 4 else OTHER_KEY
            answer = await platform.async_call(
                "POST", "/files/x", number % 2, b"", Attempt_Id=f"r{number}", Api_Key=key
            )
            assert answer.code == 200
        plain = [sampler for sampler in platform.samplers if not sampler.model]
        plain[0].shed = 3
        for number in range(3):
            await platform.async_call(
                "POST", "/once/x", 0, b"", Attempt_Id=f"once{number}", Api_Key=OTHER_KEY
            )
        await platform.async_call("POST", "/open/x", 0, b"", Attempt_Id="open")
        await platform.async_call("POST", "/files/x", 0, b"", Attempt_Id="no", Api_Key="unknown")
        await platform.async_call("GET", "/none/x", 0, Attempt_Id="none", Api_Key=KEY)
        await platform.async_call(
            "POST", "/jobs/j1", 0, _scored_openly(), Attempt_Id="j1", Api_Key=KEY
        )
        await platform.async_results("j1", 4, Api_Key=KEY)
        await platform.async_call("POST", "/stream/x", 1, b"", Attempt_Id="s", Api_Key=KEY)
        await _async_total(api, {"alpha": 5, "beta": 5})

    _play(scene)


@pytest.mark.parametrize("status", [429, 503])
def test_a_report_is_repeated_until_the_api_takes_it(status: int) -> None:
    """The API turns calls away for a second."""

    async def scene(platform: Platform, api: PlatformUsage) -> None:
        await platform.async_call("POST", "/files/x", 0, b"", Attempt_Id="r", Api_Key=KEY)
        api.status = status
        await asyncio.sleep(2.5)
        api.status = 0
        await _async_total(api, {"alpha": 1})

    _play(scene, 1)


def test_a_late_call_of_a_killed_holder_changes_nothing() -> None:
    """Reports of the holder get no answer; it is killed, and they are carried out later."""

    async def scene(platform: Platform, api: PlatformUsage) -> None:
        for number in range(2):
            await platform.async_call(
                "POST", "/files/x", number, b"", Attempt_Id=f"r{number}", Api_Key=KEY
            )
        await async_until(lambda: len(_count_records(platform)) == 2)
        api.lose, api.late_s = 5, 1.0
        await async_until(lambda: api.lose < 5)
        holder = next(g for g in platform.gateways if g.lease.token() is not None)
        for task in holder._tasks:
            task.cancel()
        api.lose = 0
        await async_until(lambda: len({call.holder for call in api.accepted}) == 2, 10)
        # The new holder sends windows that can still be in time first.
        await _async_total(api, {"alpha": 2})
        assert all(sum(counts.values()) <= 2 for counts in api.counts().values())
        assert sum(sum(counts.values()) for counts in api.counts().values()) == 2

    _play(scene)


def test_a_planned_stop_stores_its_counts() -> None:
    """A gateway answers a request and stops at once; its count is in the report."""

    async def scene(platform: Platform, api: PlatformUsage) -> None:
        holder = next(n for n, g in enumerate(platform.gateways) if g.lease.token() is not None)
        other = 1 - holder
        await platform.async_call("POST", "/files/x", other, b"", Attempt_Id="r", Api_Key=KEY)
        await platform.gateways[other].async_close()
        await _async_total(api, {"alpha": 1})

    _play(scene)

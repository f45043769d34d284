"""The bounds of a gateway's stop: how long it takes, and how it is told."""

import asyncio
from datetime import timedelta

import pytest

from cranberryline.gateway import stop as gateway_stop
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.shutdown import StopOutcome

from .conftest import async_platform, async_until, play


def test_a_planned_stop_finishes_what_it_has() -> None:
    """A request is under way when the stop begins: it is answered, and its connection closes."""

    async def scene() -> None:
        platform = await async_platform()
        for sampler in platform.samplers:
            sampler.delay_s = 1
        call = asyncio.ensure_future(platform.async_call("GET", "/files/x", Attempt_Id="r1"))
        gateway = platform.gateways[0]
        await async_until(lambda: gateway.dispatcher.in_flight == 1)
        began = SystemClock().monotonic()
        stop = asyncio.ensure_future(gateway.async_stop())
        await asyncio.sleep(0)
        assert not gateway.ready
        answer = await call
        assert answer.code == 200 and answer.headers["Connection"] == "close"
        await stop
        await gateway.async_close()
        assert (SystemClock().monotonic() - began) < platform.settings[0].stop_timeout

    play(scene())


def test_a_stop_that_is_forced_cuts_what_is_under_way() -> None:
    """A second signal ends the process while requests are under way, and every task is cancelled.

    Their callers see a connection that breaks off. An empty answer with status 200 would look whole: the
    server's framework sends one for a handler that returns without having answered.
    """

    async def scene() -> None:
        platform = await async_platform()
        for sampler in platform.samplers:
            sampler.delay_s = 30
        calls = [
            asyncio.ensure_future(platform.async_call("GET", path, Attempt_Id=f"r{number}"))
            for number, path in enumerate(("/files/x", "/once/x", "/api/lots/j0?after=0"))
        ]
        gateway = platform.gateways[0]
        await async_until(lambda: gateway.dispatcher.in_flight == 2)
        for task in asyncio.all_tasks():
            if "_execute" in repr(task.get_coro()):
                task.cancel()
        answers = await asyncio.gather(*calls, return_exceptions=True)
        assert not [answer for answer in answers[:2] if not isinstance(answer, Exception)]

    play(scene())


def test_a_stop_that_cuts_a_request_says_so(monkeypatch: pytest.MonkeyPatch) -> None:
    """An upstream is stuck: the stop reaches its bound, and is not told as graceful."""
    monkeypatch.setattr(gateway_stop, "_BALANCER_NOTICE", timedelta())
    monkeypatch.setattr(gateway_stop, "_FINISH_SHARE", 0.1)

    async def scene() -> None:
        platform = await async_platform()
        for sampler in platform.samplers:
            sampler.delay_s = 30
        gateway = platform.gateways[0]
        call = asyncio.ensure_future(platform.async_call("GET", "/files/x", Attempt_Id="stuck"))
        await async_until(lambda: gateway.dispatcher.in_flight == 1)
        assert await gateway.async_stop() is StopOutcome.TIMED_OUT
        await gateway.async_close()
        await asyncio.wait((call,))
        assert await (await async_platform()).gateways[0].async_stop() is StopOutcome.GRACEFUL

    play(scene())


def test_a_silent_store_takes_nothing_of_a_stop_s_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The store answers nothing when a gateway is told to stop.

    Its last sign of life waits for the store until that is given up. Waited for first, the time for the
    balancer and for what is under way would begin after it, and end past the kill.
    """
    notice = timedelta(seconds=0.8)
    monkeypatch.setattr(gateway_stop, "_BALANCER_NOTICE", notice)

    async def scene() -> None:
        platform = await async_platform()
        platform.store.append_s = 30
        gateway = platform.gateways[0]
        began = SystemClock().monotonic()
        await gateway.async_stop()
        took = SystemClock().monotonic() - began
        await gateway.async_close()
        assert took < notice + timedelta(seconds=0.5)

    play(scene())

"""Waiting for a change that happens many times."""

import asyncio
from datetime import timedelta

from cranberryline.helpers.pulse import Pulse
from tests.virtual_time import run_virtual


def test_each_change_wakes_who_waits_then() -> None:
    """A change before the wait does not count; without one the wait times out."""

    async def scenario() -> None:
        pulse, loop = Pulse(), asyncio.get_running_loop()
        pulse.notify()
        began = loop.time()
        assert not await pulse.async_wait(timedelta(seconds=1))
        assert loop.time() - began >= 1
        waiting = [asyncio.ensure_future(pulse.async_wait(timedelta(seconds=5))) for _ in range(3)]
        await asyncio.sleep(0.5)
        pulse.notify()
        assert await asyncio.gather(*waiting) == [True] * 3
        assert loop.time() - began < 2

    run_virtual(scenario())

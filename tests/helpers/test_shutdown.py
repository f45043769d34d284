"""Planned stops, by real signals to a process and in one loop."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta

import pytest

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.shutdown import Shutdown, StopOutcome

_SHORT = timedelta(seconds=0.05)
_LONG = timedelta(seconds=60)
_METRIC = "cranberryline_stops_total"


async def _async_hang() -> None:
    """Wait for work that never ends."""
    await asyncio.Event().wait()


async def _async_refuse_to_end() -> None:
    """Wait for work that never ends, and go on when cancelled."""
    while True:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            await asyncio.sleep(0.5)
            return


async def _async_fail() -> None:
    """Raise in the middle of a stop."""
    raise RuntimeError("broken")


async def _async_done() -> None:
    """Stop at once."""


async def _async_cut() -> StopOutcome:
    """Reach a bound of its own before the process's."""
    return StopOutcome.TIMED_OUT


@pytest.mark.parametrize(
    ("stop", "timeout", "requests", "outcome"),
    [
        (_async_cut, _LONG, 1, StopOutcome.TIMED_OUT),
        (_async_done, _LONG, 1, StopOutcome.GRACEFUL),
        (_async_hang, _SHORT, 1, StopOutcome.TIMED_OUT),
        (_async_hang, _LONG, 2, StopOutcome.FORCED),
        (_async_refuse_to_end, _LONG, 2, StopOutcome.FORCED),
        (_async_fail, _LONG, 1, StopOutcome.FAILED),
    ],
)
def test_a_stop_ends_once_within_its_bound(
    stop: Callable[[], Awaitable[StopOutcome | None]],
    timeout: timedelta,
    requests: int,
    outcome: StopOutcome,
) -> None:
    """Whatever the stop does, it ends, and the outcome is counted."""
    metrics = Metrics()

    async def async_run() -> StopOutcome:
        shutdown = Shutdown(stop, timeout, metrics, forced_timeout=_SHORT)
        assert not shutdown.stopping
        loop = asyncio.get_running_loop()
        for i in range(requests):
            loop.call_later(0.01 * i, shutdown.request)
        found = await asyncio.wait_for(shutdown.async_wait(), 30)
        assert shutdown.stopping
        return found

    assert asyncio.run(async_run()) is outcome
    assert metrics.value(_METRIC, outcome=outcome.value) == 1
    assert (outcome.exit_code == 0) == (outcome is StopOutcome.GRACEFUL)


_PROGRAM = """
import asyncio, sys, time
from datetime import timedelta
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.shutdown import Shutdown

async def stop():
    print("stopping", flush=True)
    if sys.argv[1] == "hang": await asyncio.sleep(60)
    if sys.argv[1] == "block": time.sleep(60)

async def main():
    shutdown = Shutdown(stop, timedelta(seconds=60), Metrics(), timedelta(seconds=0.2))
    shutdown.install()
    print("ready", flush=True)
    return (await shutdown.async_wait()).exit_code

sys.exit(asyncio.run(main()))
"""


@pytest.mark.parametrize(
    ("behaviour", "signals", "code"),
    [
        ("quick", [signal.SIGTERM], 0),
        ("quick", [signal.SIGINT], 0),
        ("hang", [signal.SIGTERM, signal.SIGTERM], 1),
        ("block", [signal.SIGTERM, signal.SIGINT], 1),
    ],
)
def test_a_process_obeys_signals(behaviour: str, signals: list[signal.Signals], code: int) -> None:
    """A planned stop meets an upstream that never answers, or a loop that hangs altogether.

    The first signal starts the graceful stop; the second one ends the process soon, also when the
    loop no longer runs and could not act on it: a timer thread does.
    """
    process = subprocess.Popen(
        [sys.executable, "-c", _PROGRAM, behaviour],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    try:
        assert process.stdout is not None
        assert process.stdout.readline() == b"ready\n"
        process.send_signal(signals[0])
        assert process.stdout.readline() == b"stopping\n"
        for signum in signals[1:]:
            time.sleep(0.1)
            process.send_signal(signum)
        assert process.wait(timeout=20) == code
    finally:
        process.kill()
        process.communicate()

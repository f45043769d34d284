"""Planned stops: the first signal stops gracefully, the second at once, both within a bound."""

import asyncio
import enum
import os
import signal
import threading
from collections.abc import Awaitable, Callable
from datetime import timedelta
from types import FrameType

from .logging import get_logger
from .metrics import Metrics

__all__ = ["Shutdown", "StopOutcome"]

_LOGGER = get_logger(__name__)

_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_DEFAULT_FORCED = timedelta(seconds=2)
_EXIT_FAILURE = 1


class StopOutcome(enum.StrEnum):
    """How a planned stop ended."""

    GRACEFUL = "graceful"
    TIMED_OUT = "timed_out"  # work in flight outlasted the bound
    FORCED = "forced"  # a second signal came
    FAILED = "failed"  # the stop itself raised

    @property
    def exit_code(self) -> int:
        """Return 0 only for a stop that cut nothing off."""
        return 0 if self is StopOutcome.GRACEFUL else _EXIT_FAILURE


class Shutdown:
    """Run the graceful stop of a process once, within a bound.

    The stop returns how it ended where it has a bound of its own, else None for a stop that cut nothing off.

    A stop that waits for a stuck upstream would never end and the platform would kill the process
    untold; the bound ends it, counted and logged. A second signal must work even if the event loop
    hangs, so a timer thread ends the process then.
    """

    def __init__(
        self,
        stop: Callable[[], Awaitable[StopOutcome | None]],
        timeout: timedelta,
        metrics: Metrics,
        forced_timeout: timedelta = _DEFAULT_FORCED,
        exit_now: Callable[[int], object] = os._exit,
    ) -> None:
        self._stop = stop
        self._timeout = timeout
        self._metrics = metrics
        self._forced_timeout = forced_timeout
        self._exit_now = exit_now
        self._requested = asyncio.Event()
        self._forced = asyncio.Event()
        self._signals_seen = 0
        self._timer: threading.Timer | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._previous: dict[signal.Signals, object] = {}

    @property
    def stopping(self) -> bool:
        """Tell whether a stop was asked for."""
        return self._requested.is_set()

    def install(self) -> None:
        """Listen for SIGTERM and SIGINT; call it on the running loop, in the main thread."""
        self._loop = asyncio.get_running_loop()
        for signum in _SIGNALS:
            self._previous[signum] = signal.signal(signum, self._on_signal)

    def remove(self) -> None:
        """Give the signals back; the timer of a forced stop goes on, as its bound covers the exit."""
        for signum, handler in self._previous.items():
            signal.signal(signum, handler)  # type: ignore[arg-type]
        self._previous.clear()

    def request(self) -> None:
        """Ask for a stop; asked a second time, stop at once."""
        if not self._requested.is_set():
            self._requested.set()
            return
        self._forced.set()

    async def async_wait(self) -> StopOutcome:
        """Wait till a stop is asked for, run it, and return how it ended."""
        await self._requested.wait()
        _LOGGER.info("stop_requested", timeout_s=self._timeout.total_seconds())
        outcome = await self._async_run_stop()
        self._metrics.stops.labels(outcome.value).inc()
        log = _LOGGER.info if outcome is StopOutcome.GRACEFUL else _LOGGER.error
        log("stopped", outcome=outcome.value)
        return outcome

    async def _async_run_stop(self) -> StopOutcome:
        """Run the stop against its bound and against a second signal."""
        stop = asyncio.ensure_future(self._stop())
        forced = asyncio.ensure_future(self._forced.wait())
        await asyncio.wait(
            (stop, forced),
            timeout=self._timeout.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        forced.cancel()
        if stop.done():
            return _outcome(stop)
        stop.cancel()
        await asyncio.wait((stop,), timeout=self._forced_timeout.total_seconds())
        return StopOutcome.FORCED if self._forced.is_set() else StopOutcome.TIMED_OUT

    def _on_signal(self, signum: int, _frame: FrameType | None) -> None:
        """Pass a signal to the loop, and bound the whole from the second one on."""
        self._signals_seen += 1
        if self._signals_seen > 1 and self._timer is None:
            bound = 2 * self._forced_timeout.total_seconds()
            self._timer = threading.Timer(bound, self._exit_now, (_EXIT_FAILURE,))
            self._timer.daemon = True
            self._timer.start()
        if self._loop is not None and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self.request)


def _outcome(stop: "asyncio.Future[StopOutcome | None]") -> StopOutcome:
    """Return how a finished stop ended."""
    if stop.cancelled():
        return StopOutcome.FAILED
    exc = stop.exception()
    if exc is None:
        return stop.result() or StopOutcome.GRACEFUL
    _LOGGER.error("stop_failed", error=repr(exc))
    return StopOutcome.FAILED

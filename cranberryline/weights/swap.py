"""State machine of one engine's weight swaps."""

from collections import Counter
from datetime import timedelta
from typing import Any

from .const import MAX_VERSION, REPORT_LAG
from .errors import SwapProblem
from .model import SwapOrder

__all__ = ["SwapState"]


class SwapState:
    """Decide when to order an engine to load weights, one order at a time.

    Only a record with a higher log offset replaces the target. The version served is taken from
    the engine's responses and reports, never from the order; after a failed order it is unknown
    until the engine reports it. All times are monotonic.
    """

    def __init__(self, report_lag: timedelta = REPORT_LAG) -> None:
        self._report_lag = report_lag
        self._target: SwapOrder | None = None
        self._in_flight: SwapOrder | None = None
        self._serving: int | None = None
        self._verified = False
        self._last_order_ended_at: timedelta | None = None
        self._engine_fence = 0
        self.problem_counts: Counter[SwapProblem] = Counter()

    @property
    def target(self) -> SwapOrder | None:
        """Return the order for the version that the engine has to serve, None before the first."""
        return self._target

    @property
    def serving(self) -> int | None:
        """Return the version that the engine last reported, None if it is unknown."""
        return self._serving

    @property
    def in_flight(self) -> SwapOrder | None:
        """Return the order that the engine has not responded to yet."""
        return self._in_flight

    @property
    def verified(self) -> bool:
        """Return whether a load report has shown the target version since the last order."""
        return self._verified

    @property
    def highest_fence(self) -> int:
        """Return the highest fencing token seen in records and in the engine's reports."""
        return max(self._engine_fence, 0 if self._target is None else self._target.fence)

    def set_target(self, version: int, fence: int) -> bool:
        """Set the target from a weights record and return whether it changed.

        A record with a lower offset than the target's is ignored and counted as a problem.
        """
        if self._target is not None and fence <= self._target.fence:
            if fence < self._target.fence:
                self.problem_counts[SwapProblem.OLD_FENCE] += 1
            return False
        self._target = SwapOrder(version, fence)
        self._verified = False
        return True

    def needed_order(self) -> SwapOrder | None:
        """Return the order to send to the engine now, or None.

        An engine that reports a higher fencing token than the target's was ordered by an earlier
        run of this process, because of a record that this run has not read yet. An order now would
        bring back an older version.
        """
        if self._target is None or self._in_flight is not None:
            return None
        if self._target.fence < self._engine_fence or self._serving == self._target.version:
            return None
        return self._target

    def begin(self, order: SwapOrder) -> bool:
        """Mark an order as in flight; return False if it is no longer the needed one."""
        if order != self.needed_order():
            return False
        self._in_flight = order
        self._serving = None
        self._verified = False
        return True

    def on_loaded(self, order: SwapOrder, version: Any, now: timedelta) -> bool:
        """Handle the engine's response; return whether it serves the ordered version."""
        if not self._finish_order(order, now):
            return False
        if not _is_version(version):
            self.problem_counts[SwapProblem.BAD_REPORT] += 1
            return False
        self._serving = version
        self._engine_fence = max(self._engine_fence, order.fence)
        if version != order.version:
            self.problem_counts[SwapProblem.OTHER_VERSION] += 1
            return False
        return True

    def on_failed(self, order: SwapOrder, now: timedelta) -> None:
        """Handle an order that failed or whose response was lost.

        The version served is unknown until the next load report. Until then the order is sent
        again, which is safe because it is idempotent.
        """
        if self._finish_order(order, now):
            self.problem_counts[SwapProblem.FAILED] += 1

    def on_not_started(self, order: SwapOrder, serving: int | None, now: timedelta) -> None:
        """Handle an order that the engine rejected before it changed anything.

        `serving` is the version that the engine served before the order.
        """
        if self._finish_order(order, now):
            self._serving = serving
            self.problem_counts[SwapProblem.NOT_STARTED] += 1

    def on_stale_fence(self, order: SwapOrder, now: timedelta) -> None:
        """Handle a fencing token that the engine rejected: only a newer record may be ordered."""
        if not self._finish_order(order, now):
            return
        self.problem_counts[SwapProblem.STALE_FENCE] += 1
        self._engine_fence = max(self._engine_fence, order.fence + 1)

    def on_report(self, version: Any, fence: Any, asked_at: timedelta) -> None:
        """Handle a load report that was requested at `asked_at`.

        A report requested within the report lag after an order may have been made before the order
        ended, so it can only confirm the target. Otherwise each engine would swap twice, which
        wastes the store's request quota and delays the engines' requests.
        """
        if (version is not None and not _is_version(version)) or not _is_fencing_token(fence):
            self.problem_counts[SwapProblem.BAD_REPORT] += 1
            return
        if self._in_flight is not None:
            return
        if (
            self._last_order_ended_at is not None
            and asked_at - self._last_order_ended_at < self._report_lag
        ):
            if self._target is not None and version == self._target.version == self._serving:
                self._verified = True
            return
        self._engine_fence = fence
        if self._verified and version != self._serving:
            self.problem_counts[SwapProblem.OTHER_VERSION] += 1
        self._serving = version
        self._verified = self._target is not None and version == self._target.version

    def _finish_order(self, order: SwapOrder, now: timedelta) -> bool:
        if order != self._in_flight:
            self.problem_counts[SwapProblem.LATE_ANSWER] += 1
            return False
        self._in_flight = None
        self._last_order_ended_at = now
        return True


def _is_version(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_VERSION


def _is_fencing_token(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_VERSION

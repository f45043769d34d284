"""The state of one engine's weights: what was ordered, and what it truly serves."""

from collections import Counter
from datetime import timedelta
from typing import Any

from .const import MAX_VERSION, REPORT_LAG
from .errors import SwapTrouble
from .model import SwapOrder

__all__ = ["SwapState"]


class SwapState:
    """Decide when an engine has to be ordered to load weights; there is one order at a time.

    The target only moves to a record of a higher offset. What the engine serves comes from the
    engine alone, never from what was ordered; after a failure it is unknown until the engine says.
    """

    def __init__(self, report_lag: timedelta = REPORT_LAG) -> None:
        self._report_lag = report_lag
        self._target: SwapOrder | None = None
        self._in_flight: SwapOrder | None = None
        self._serving: int | None = None
        self._verified = False
        self._settled_at: timedelta | None = None
        self._engine_fence = 0
        self.troubles: Counter[SwapTrouble] = Counter()

    @property
    def target(self) -> SwapOrder | None:
        """Return what the engine has to serve."""
        return self._target

    @property
    def serving(self) -> int | None:
        """Return the version that the engine last said it serves, None when unknown."""
        return self._serving

    @property
    def in_flight(self) -> SwapOrder | None:
        """Return the order that the engine has not answered."""
        return self._in_flight

    @property
    def verified(self) -> bool:
        """Return whether a load report has shown the target since the last order."""
        return self._verified

    @property
    def highest_fence(self) -> int:
        """Return the highest fencing number met: of records, and of the engine's reports."""
        return max(self._engine_fence, 0 if self._target is None else self._target.fence)

    def set_target(self, version: int, fence: int) -> bool:
        """Take the weights in force; one that is older than the target changes nothing."""
        if self._target is not None and fence <= self._target.fence:
            if fence < self._target.fence:
                self.troubles[SwapTrouble.OLD_FENCE] += 1
            return False
        self._target = SwapOrder(version, fence)
        self._verified = False
        return True

    def needed(self) -> SwapOrder | None:
        """Return the order that the engine needs now, or None.

        An engine whose own fence is above the target's was ordered by a record that this process
        has not seen yet, by its predecessor: ordering now would take the engine back.
        """
        if self._target is None or self._in_flight is not None:
            return None
        if self._target.fence < self._engine_fence or self._serving == self._target.version:
            return None
        return self._target

    def begin(self, order: SwapOrder) -> bool:
        """Note that an order is being sent; False when it is no longer the one needed."""
        if order != self.needed():
            return False
        self._in_flight = order
        self._serving = None
        self._verified = False
        return True

    def on_loaded(self, order: SwapOrder, version: Any, now: timedelta) -> bool:
        """Take the engine's answer; return whether it serves what was ordered."""
        if not self._end(order, now):
            return False
        if not _is_version(version):
            self.troubles[SwapTrouble.BAD_REPORT] += 1
            return False
        self._serving = version
        self._engine_fence = max(self._engine_fence, order.fence)
        if version != order.version:
            self.troubles[SwapTrouble.OTHER_VERSION] += 1
            return False
        return True

    def on_failed(self, order: SwapOrder, now: timedelta) -> None:
        """Note an order that failed, or whose answer was lost: the engine serves we know not what.

        A load report will tell; until then the engine is ordered again, which is harmless.
        """
        if self._end(order, now):
            self.troubles[SwapTrouble.FAILED] += 1

    def on_not_started(self, order: SwapOrder, serving: int | None, now: timedelta) -> None:
        """Note an order that the engine put off before it changed anything."""
        if self._end(order, now):
            self._serving = serving
            self.troubles[SwapTrouble.NOT_STARTED] += 1

    def on_stale_fence(self, order: SwapOrder, now: timedelta) -> None:
        """Note that the engine has had a higher fencing number: only a newer record may order."""
        if not self._end(order, now):
            return
        self.troubles[SwapTrouble.STALE_FENCE] += 1
        self._engine_fence = max(self._engine_fence, order.fence + 1)

    def on_report(self, version: Any, fence: Any, asked_at: timedelta) -> None:
        """Take a load report; one asked for too soon after an order may be older than its end.

        Without the lag a report made before the swap would bring a second swap to each sampler,
        and hold the store's rate and the samplers' work up for nothing.
        """
        if (version is not None and not _is_version(version)) or not _is_fence(fence):
            self.troubles[SwapTrouble.BAD_REPORT] += 1
            return
        if self._in_flight is not None:
            return
        if self._settled_at is not None and asked_at - self._settled_at < self._report_lag:
            if self._target is not None and version == self._target.version == self._serving:
                self._verified = True
            return
        self._engine_fence = fence
        if self._verified and version != self._serving:
            self.troubles[SwapTrouble.OTHER_VERSION] += 1
        self._serving = version
        self._verified = self._target is not None and version == self._target.version

    def _end(self, order: SwapOrder, now: timedelta) -> bool:
        if order != self._in_flight:
            self.troubles[SwapTrouble.LATE_ANSWER] += 1
            return False
        self._in_flight = None
        self._settled_at = now
        return True


def _is_version(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_VERSION


def _is_fence(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_VERSION

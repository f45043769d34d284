"""Capacity of a service's slots, measured by how long single requests take a slot."""

from datetime import timedelta

import attrs

from .rate_meter import RateMeter

__all__ = ["SlotCapacity"]

# A request counts as overdue after this multiple of the time that its tokens are expected to take.
OVERDUE_FACTOR = 2.0


@attrs.define
class _Run:
    """A request in a slot; its slot time is recorded up to `recorded_until`."""

    tokens: int
    started: timedelta
    recorded_until: timedelta


class SlotCapacity:
    """Measures the capacity of a service while requests wait for its slots.

    It is the tokens per second of slot time that leave a slot, times the slots in use (Little's
    law). One completed request is enough for an estimate. The tokens of all slots per wall-clock
    time need many: of requests that start and end together, the first one appears to be all that
    the slots served in that time.

    Failed requests count like completed ones, since they make room for the next request as well.
    The slot time of an overdue request counts while it still runs, because an upstream that is
    frozen ends nothing.

    Processes that share a service take slots from each other all the time, and a queue keeps some
    in reserve, so the share of the slots that are in use here is averaged.
    """

    def __init__(self) -> None:
        self._rate = RateMeter()
        self._share = RateMeter()
        self._share_in_use = 0.0
        self._saturated_until: timedelta | None = None
        self._total_slots = 0
        self._running: dict[int | str, _Run] = {}

    @property
    def measured_seconds(self) -> float:
        """Return the slot time that the rate is measured over, weighted by age."""
        return self._rate.measured_seconds

    @property
    def saturated(self) -> bool:
        """Return whether requests wait or would have to."""
        return self._saturated_until is not None

    def set_slots(self, in_use: int, total: int, saturated: bool, now: timedelta) -> None:
        """Set how many slots of all this process uses, and whether it may use no more.

        A total of 0 is ignored, so that the queue stays bounded while no upstream is connected.
        """
        if self._saturated_until is not None:
            spent = now - self._saturated_until
            self._share.record(self._share_in_use * spent.total_seconds(), spent, now)
        self._saturated_until = now if saturated and total else None
        if total:
            self._total_slots, self._share_in_use = total, in_use / total

    def start(self, item_id: int | str, tokens: int, now: timedelta) -> None:
        """Note that a request takes a slot."""
        self._running[item_id] = _Run(tokens, now, now)

    def discard(self, item_id: int | str) -> None:
        """Forget a request that left its slot without showing how fast the slot is."""
        self._running.pop(item_id, None)

    def record_end(self, item_id: int | str, now: timedelta) -> None:
        """Record that a request ran and left its slot.

        It counts only under saturation: an engine with free slots runs each request faster.
        """
        run = self._running.pop(item_id, None)
        if run is not None and self.saturated:
            self._rate.record(run.tokens, now - run.recorded_until, now)

    def record_overdue(self, now: timedelta) -> None:
        """Record the slot time so far of requests that run for longer than expected."""
        rate = self._rate.tokens_per_second(now)
        if rate <= 0:
            return
        for run in self._running.values():
            expected = timedelta(seconds=run.tokens / rate)
            if now - run.started > expected * OVERDUE_FACTOR:
                self._rate.record(0.0, now - run.recorded_until, now)
                run.recorded_until = now

    def tokens_per_second(self, now: timedelta) -> float:
        """Return the capacity, 0 if there is no recent measurement.

        A share above the average is in use already, so no less than that can be had.
        """
        share = max(self._share.tokens_per_second(now), self._share_in_use)
        return self._rate.tokens_per_second(now) * share * self._total_slots

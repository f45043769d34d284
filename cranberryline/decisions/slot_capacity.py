"""Capacity of a service's slots, measured by how long single requests take a slot."""

from datetime import timedelta

import attrs

from .rate_meter import STALLED_TOKENS_PER_SECOND, RateMeter

__all__ = ["CapacityFactors", "SlotCapacity"]

# A request counts as overdue after this multiple of the time that its tokens are expected to take.
OVERDUE_FACTOR = 2.0
# Saturated time after which the measured share of the slots counts as much as the fair share.
FAIR_SHARE_TIME = timedelta(seconds=1)


@attrs.frozen
class CapacityFactors:
    """What a capacity is computed from, for the log.

    The capacity is `slot_rate` (tokens per second of slot time) times `share` times `total_slots`,
    less `lost_to_overdue` (tokens per second).
    """

    slot_rate: float
    share: float
    total_slots: int
    lost_to_overdue: float

    @property
    def tokens_per_second(self) -> float:
        """Return the capacity, 0 if the rate is unknown."""
        if self.slot_rate <= 0:
            return 0.0
        capacity = self.slot_rate * self.share * self.total_slots - self.lost_to_overdue
        return max(capacity, STALLED_TOKENS_PER_SECOND)


@attrs.define
class _Run:
    """A request in a slot; `started` moves on by time that does not count."""

    tokens: int
    started: timedelta


class SlotCapacity:
    """Measures the capacity of a service while requests wait for its slots.

    It is the tokens per second of slot time that leave a slot, times the slots in use (Little's
    law). One completed request is enough for an estimate. The tokens of all slots per wall-clock
    time need many: of requests that start and end together, the first one appears to be all that
    the slots served in that time.

    Failed requests count like completed ones, since they make room for the next request as well.
    The slot of an overdue request counts at the rate that its running time shows so far, because
    an upstream that is frozen ends nothing. Its other slots are as fast as before.

    Processes that share a service take slots from each other all the time, and a queue keeps some
    in reserve, so the share of the slots that are in use here is averaged. At the beginning it
    shows only who came first: a process that has few slots then gets more as soon as the requests
    of the others end. Until it is measured for long enough, the fair share counts as well.
    """

    def __init__(self) -> None:
        self._rate = RateMeter()
        self._rate_at_any_load = RateMeter()
        self._share = RateMeter()
        self._share_in_use = 0.0
        self._fair_share = 0.0
        self._saturated_until: timedelta | None = None
        self._total_slots = 0
        self._running: dict[int | str, _Run] = {}
        self._running_tokens = 0

    @property
    def measured_seconds(self) -> float:
        """Return the slot time that the rate is measured over, weighted by age."""
        return self._rate.measured_seconds

    @property
    def saturated(self) -> bool:
        """Return whether requests wait or would have to."""
        return self._saturated_until is not None

    def set_slots(
        self, in_use: int, total: int, saturated: bool, now: timedelta, fair_share: float = 0.0
    ) -> None:
        """Set how many slots of all this process uses, and whether it may use no more.

        `fair_share` is the part of the slots that it gets if all processes have work waiting, 0 if
        that is not known. A total of 0 is ignored, so that the queue stays bounded while no upstream is connected.
        """
        if self._saturated_until is not None:
            spent = now - self._saturated_until
            self._share.record(self._share_in_use * spent.total_seconds(), spent, now)
        self._saturated_until = now if saturated and total else None
        self._fair_share = fair_share
        if total:
            self._total_slots, self._share_in_use = total, in_use / total

    def start(self, item_id: int | str, tokens: int, now: timedelta) -> None:
        """Note that a request of at least one token takes a slot."""
        self._running[item_id] = _Run(tokens, now)
        self._running_tokens += tokens

    def discard(self, item_id: int | str) -> None:
        """Forget a request that left its slot without showing how fast the slot is."""
        self._pop(item_id)

    def record_end(self, item_id: int | str, now: timedelta) -> None:
        """Record that a request ran and left its slot."""
        run = self._pop(item_id)
        if run is None:
            return
        self._rate_at_any_load.record(run.tokens, now - run.started, now)
        if self.saturated:
            self._rate.record(run.tokens, now - run.started, now)

    def _pop(self, item_id: int | str) -> _Run | None:
        run = self._running.pop(item_id, None)
        if run is not None:
            self._running_tokens -= run.tokens
        return run

    def exclude_pause(self, duration: timedelta, now: timedelta) -> None:
        """Do not count the last `duration`, in which this process did not run.

        Responses were not read in that time, so it says nothing about the upstreams.
        """
        for run in self._running.values():
            run.started = min(run.started + duration, now)
        if self._saturated_until is not None:
            self._saturated_until = min(self._saturated_until + duration, now)

    def tokens_per_second(self, now: timedelta) -> float:
        """Return the capacity, 0 if there is no recent measurement."""
        return self.factors(now).tokens_per_second

    def factors(self, now: timedelta) -> CapacityFactors:
        """Return what the capacity is computed from."""
        rate = self._slot_rate(now)
        lost = 0.0 if rate <= 0 else self._lost_to_overdue(rate, now)
        return CapacityFactors(rate, self._expected_share(now), self._total_slots, lost)

    def _expected_share(self, now: timedelta) -> float:
        """Return the share of the slots that this process can use.

        A share above the average is in use already, so no less than that can be had.
        """
        share = self._share.tokens_per_second(now)
        if share < self._fair_share:
            measured, fair = self._share.measured_seconds, FAIR_SHARE_TIME.total_seconds()
            share = (share * measured + self._fair_share * fair) / (measured + fair)
        return max(share, self._share_in_use)

    def _slot_rate(self, now: timedelta) -> float:
        """Return the tokens per second of slot time, 0 if unknown.

        An engine with free slots runs each request faster, so only ends under saturation count.
        The first few of these may all come from one upstream that was stalled, so the rate at any
        load also counts until as many tokens were measured as are running.
        """
        rate = self._rate.tokens_per_second(now)
        if rate <= 0:
            return 0.0
        if self._rate.measured_tokens < self._running_tokens:
            return max(rate, self._rate_at_any_load.tokens_per_second(now))
        return rate

    def _lost_to_overdue(self, rate: float, now: timedelta) -> float:
        """Return by how many tokens per second slots with overdue requests are slower than `rate`.

        The oldest requests come first, and none has less than one token.
        """
        lost = 0.0
        for run in self._running.values():
            seconds = (now - run.started).total_seconds()
            if seconds * rate <= OVERDUE_FACTOR:
                break
            if seconds * rate > run.tokens * OVERDUE_FACTOR:
                lost += rate - run.tokens / seconds
        return lost

"""Admission, queueing and routing of one service's requests in this process."""

import asyncio
import itertools
from collections.abc import Callable, Mapping
from datetime import timedelta
from random import Random

import attrs
from result import Err, Ok, Result

from cranberryline.configs import ServiceSpec
from cranberryline.decisions import (
    AdmissionLimits,
    AdmissionPolicy,
    AdmissionRequest,
    AdmissionView,
    Priority,
    QueueSettings,
    Refuse,
    RetryBudget,
    RouteRequest,
    SlotCapacity,
    WorkItem,
    WorkQueue,
)
from cranberryline.decisions.const import DEFAULT_QUEUE_SECONDS
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import once_per_burst

from .candidates import choose_upstream
from .errors import Refusal, RefusalReason
from .model import CallerRequest
from .pool import UpstreamPool
from .upstreams import Upstream

__all__ = ["ServiceScheduler", "SlotReservation"]

# A request that expires or finds no upstream after its admission may be retried this soon.
_RETRY_AFTER = timedelta(seconds=1)
# A load report becomes outdated without an event, so a non-empty queue is checked this often.
# Running requests are, too, to notice when this process does not run.
_RECHECK_INTERVAL = timedelta(milliseconds=250)
# A shorter delay of a check is the load of this process.
_MIN_PAUSE = timedelta(milliseconds=50)
_REFUSAL_LOG_INTERVAL = timedelta(seconds=1)


@attrs.frozen
class SlotReservation:
    """A slot of an upstream for one request; it must be released by `ServiceScheduler.release`."""

    item: WorkItem
    upstream: Upstream
    reserved_at: timedelta


@attrs.define(eq=False)
class _Waiter:
    """A queued request, and the future that receives its reservation or refusal."""

    req: CallerRequest
    avoid: frozenset[str]
    fut: asyncio.Future[Result[SlotReservation, Refusal]]
    reservation: SlotReservation | None = None


class ServiceScheduler:
    """Admit, queue and route the requests of one service.

    `shares` maps callers to their weights in the queue. It is a live view: a change of the
    configuration applies from the next request on. `sharers` returns how many processes use the
    same upstreams, this one included.
    """

    def __init__(
        self,
        service: str,
        clock: Clock,
        rng: Random,
        pool: UpstreamPool,
        spec: Callable[[], ServiceSpec],
        shares: Mapping[str, float],
        data_center: str = "",
        sharers: Callable[[], int] = lambda: 1,
    ) -> None:
        self.budget = RetryBudget()
        self._sharers = sharers
        self._service = service
        self._data_center = data_center
        self._clock = clock
        self._rng = rng
        self._pool = pool
        self._spec = spec
        self._queue = WorkQueue(0, QueueSettings(caller_weights=shares))
        self.shares = shares
        self._capacity = SlotCapacity()
        self._checked_at = timedelta()
        self._refusal_log = once_per_burst(__name__, clock, _REFUSAL_LOG_INTERVAL)
        self._waiters: dict[int | str, _Waiter] = {}
        self._ids = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def capacity(self) -> float:
        """Return the tokens per second that this process can have served, 0 if unknown."""
        return self._capacity.tokens_per_second(self._clock.monotonic())

    def admit(self, req: CallerRequest) -> Result[timedelta, Refusal]:
        """Admit a request and return the latest time at which it may start, or refuse it."""
        now = self._clock.monotonic()
        self._exclude_pause(now)
        policy = AdmissionPolicy(self._limits())
        view = AdmissionView(
            queued=self._queue.queued,
            running=self._queue.running,
            slots=self._updated_pool().usable_slots,
            tokens_per_second=self.capacity,
        )
        request = AdmissionRequest(
            caller=req.queue_key,
            priority=Priority(req.caller_class),
            rank=req.rank,
            tokens=max(req.tokens, 1),
            remaining=req.start_deadline - now,
        )
        decision = policy.decide(view, request, self._rng)
        if isinstance(decision, Refuse):
            self._log_refusal(decision, view)
            return Err(
                Refusal(
                    RefusalReason.OVERLOADED,
                    retry_after=decision.retry_after,
                    detail=decision.reason.value,
                )
            )
        return Ok(now + decision.start_within)

    def _log_refusal(self, decision: Refuse, view: AdmissionView) -> None:
        factors = self._capacity.factors(self._clock.monotonic())
        self._refusal_log.info(
            "admission_refused",
            service=self._service,
            reason=decision.reason.value,
            estimated_wait_s=round(decision.estimated_wait.total_seconds(), 3),
            capacity=round(view.tokens_per_second, 3),
            capacity_measured_s=round(self._capacity.measured_seconds, 3),
            slots=view.slots,
            running=len(view.running),
            queued=len(view.queued),
            slot_rate=round(factors.slot_rate, 3),
            share=round(factors.share, 3),
            total_slots=factors.total_slots,
            lost_to_overdue=round(factors.lost_to_overdue, 3),
        )

    async def async_reserve_slot(
        self, req: CallerRequest, start_by: timedelta, avoid: frozenset[str]
    ) -> Result[SlotReservation, Refusal]:
        """Wait for a slot of an upstream; a refusal is final, and the attempt was not run."""
        now = self._clock.monotonic()
        item = WorkItem(
            id=next(self._ids),
            caller=req.queue_key,
            priority=Priority(req.caller_class),
            rank=req.rank,
            tokens=max(req.tokens, 1),
            arrived=now,
            start_by=start_by,
        )
        waiter = _Waiter(req, avoid, asyncio.get_running_loop().create_future())
        self._waiters[item.id] = waiter
        self._queue.push(item)
        self.dispatch_waiting()
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            self._cancel(item, waiter)
            raise

    def release(self, reservation: SlotReservation, tokens: int, was_run: bool = True) -> None:
        """Release the slot of an attempt that ended with `tokens` tokens, and fill it again.

        `was_run` is False if the upstream confirmed that it did not run the attempt.
        """
        now = self._clock.monotonic()
        self._exclude_pause(now)
        item_id = reservation.item.id
        self._queue.finish(item_id)
        reservation.upstream.complete(tokens, now - reservation.reserved_at, now)
        if was_run:
            self._pool.record_ended(reservation.upstream.id)
            self._capacity.record_end(item_id, now)
        else:
            self._capacity.discard(item_id)
        self.dispatch_waiting()

    def release_unused(self, reservation: SlotReservation) -> None:
        """Release a slot to which no request was sent, and fill it again."""
        self._discard(reservation)
        self.dispatch_waiting()

    def _discard(self, reservation: SlotReservation) -> None:
        self._queue.finish(reservation.item.id)
        self._capacity.discard(reservation.item.id)
        reservation.upstream.release()

    def dispatch_waiting(self) -> None:
        """Reserve slots for queued requests as long as upstreams have free ones."""
        now = self._clock.monotonic()
        self._exclude_pause(now)
        self._queue.slots = self._updated_pool().usable_slots
        while self._waiters:
            pool = self._updated_pool()
            if not pool.free and not pool.failing:
                break
            item = self._queue.pop(now)
            if item is None:
                break
            self._reserve_slot(item, now)
        self._expire_overdue()
        self._track_saturation(now)

    def _track_saturation(self, now: timedelta) -> None:
        """Tell the capacity how many slots are in use, and whether more are wanted."""
        waiting = len(self._queue) > 0
        in_use = len(self._queue.running)
        saturated = waiting or 0 < self._queue.slots <= in_use
        total = self.total_slots
        fair_share = 1 / max(1, self._sharers())
        self._capacity.set_slots(in_use, total, saturated, now, fair_share)

    def _exclude_pause(self, now: timedelta) -> None:
        """Exclude the time since the last call if this process has not run for most of it.

        While the timer is set, it calls at least once per `_RECHECK_INTERVAL`.
        """
        pause = now - self._checked_at - _RECHECK_INTERVAL
        if self._timer is not None and pause >= _MIN_PAUSE:
            self._capacity.exclude_pause(pause, now)
        self._checked_at = now

    def _reserve_slot(self, item: WorkItem, now: timedelta) -> None:
        waiter = self._waiters.pop(item.id)
        upstream = self._route(item, waiter, now)
        if upstream is None:
            self._queue.finish(item.id)
            self._resolve(waiter, Err(_no_upstream_refusal()))
            return
        upstream.reserve(now)
        self._capacity.start(item.id, item.tokens, now)
        waiter.reservation = SlotReservation(item, upstream, now)
        self._resolve(waiter, Ok(waiter.reservation))

    def _route(self, item: WorkItem, waiter: _Waiter, now: timedelta) -> Upstream | None:
        req = waiter.req
        if req.is_wanted is not None and not req.is_wanted():
            return None
        routed = RouteRequest(
            tokens=max(req.tokens, 1),
            priority=item.priority,
            data_center=self._data_center,
            prefix_key=req.prefix_key or None,
            prefix_tokens=req.prefix_tokens,
            excluded=waiter.avoid,
            may_probe=req.idempotent,
            short=req.token_rate is None,
        )
        return choose_upstream(self._pool, req, routed, now, self._rng)

    def _expire_overdue(self) -> None:
        now = self._clock.monotonic()
        for item in self._queue.expire(now):
            waiter = self._waiters.pop(item.id, None)
            if waiter is not None:
                self._resolve(waiter, Err(_expired_refusal(waiter.req, now)))
        self._schedule_recheck(now)

    def _schedule_recheck(self, now: timedelta) -> None:
        wait = _RECHECK_INTERVAL
        expiry = self._queue.next_expiry()
        if expiry is not None:
            wait = min(max(expiry - now, timedelta()), wait)
        elif not len(self._queue.running):
            return
        loop = asyncio.get_running_loop()
        # Fires 1 ms late, so that the request has expired by then.
        due = loop.time() + wait.total_seconds() + 0.001
        if self._timer is not None:
            if self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due, self._recheck)

    def _recheck(self) -> None:
        self._exclude_pause(self._clock.monotonic())
        self._timer = None
        self.dispatch_waiting()

    def _cancel(self, item: WorkItem, waiter: _Waiter) -> None:
        self._waiters.pop(item.id, None)
        if self._queue.cancel(item.id) is None:
            # The slot was reserved just as the caller disconnected.
            self._queue.finish(item.id)
            if waiter.reservation is not None:
                self._discard(waiter.reservation)
        self.dispatch_waiting()

    @staticmethod
    def _resolve(waiter: _Waiter, result: Result[SlotReservation, Refusal]) -> None:
        if not waiter.fut.done():
            waiter.fut.set_result(result)

    def has_free_slot(self, vm_id: str) -> bool:
        """Return whether an upstream has a free slot, as far as this node knows."""
        pool = self._updated_pool()
        return vm_id in pool.free or vm_id in pool.failing

    @property
    def total_slots(self) -> int:
        """Return how many requests the usable upstreams can run at once."""
        pool = self._updated_pool()
        return pool.usable_count * pool.concurrency

    def _updated_pool(self) -> UpstreamPool:
        """Return the pool with the slots that this process can use.

        The queue's reserves are fractions of its usable slots. Other entries use some of the
        service's slots; if the reserves were fractions of all of them, this process might never use
        enough to reach a reserve.
        """
        self._pool.update(self._spec().concurrency, self._clock.monotonic())
        return self._pool

    def _limits(self) -> AdmissionLimits:
        spec = self._spec()
        queue_times = dict(DEFAULT_QUEUE_SECONDS)
        queue_times[Priority.APPLICATION] = timedelta(seconds=spec.queue_seconds)
        return AdmissionLimits(queue_seconds=queue_times, caller_weights=self.shares)


def _no_upstream_refusal() -> Refusal:
    return Refusal(RefusalReason.NO_UPSTREAM, retry_after=_RETRY_AFTER)


def _expired_refusal(req: CallerRequest, now: timedelta) -> Refusal:
    deadline_passed = now >= req.start_deadline
    reason = RefusalReason.DEADLINE if deadline_passed else RefusalReason.OVERLOADED
    return Refusal(reason, retry_after=_RETRY_AFTER, detail="expired")

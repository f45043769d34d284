"""Bring the engine beside this process to the weights in force."""

import abc
import random
from collections.abc import Callable, Collection
from datetime import timedelta

from result import Err, Ok

from cranberryline.configs.model import ServiceSpec
from cranberryline.configs.supervise import async_keep_running
from cranberryline.decisions.weight_swap import SwapSettings, hashed_swap_delay, swap_delay
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import once_per_burst
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import EngineLoad, EnginePort
from cranberryline.weights import SwapOrder, SwapState

from .config_sync import SideConfigSync

__all__ = ["ShiftSlots", "SwapSlots", "WeightsController"]

# Entries answer a confirmation within milliseconds; what is older was read before a pause.
MAX_KNOWLEDGE_AGE = timedelta(seconds=1)
CONFIRM_WAIT = timedelta(milliseconds=800)
ORDER_TIMEOUT = timedelta(seconds=60)
POLL_SETTLED = timedelta(seconds=5)
POLL_UNSETTLED = timedelta(seconds=1)
MIN_BACKOFF = timedelta(milliseconds=500)
MAX_BACKOFF = timedelta(seconds=10)
STORE_BUSY_STATUSES = frozenset({429, 503})

ORDER_LOADED = "loaded"
ORDER_OTHER_VERSION = "other_version"
ORDER_STALE_FENCE = "stale_fence"
ORDER_STORE_BUSY = "store_busy"
ORDER_FAILED = "failed"
RETRY_UNCONFIRMED = "weights_unconfirmed"
RETRY_KNOWLEDGE_OLD = "weights_knowledge_old"
DROP_BAD_LOAD = "engine_load_"


class SwapSlots(abc.ABC):
    """Spread the swaps of a service's samplers over time."""

    @abc.abstractmethod
    def delay(self, spec: ServiceSpec, version: int) -> timedelta:
        """Return how long after a version came into force this sampler swaps."""


class ShiftSlots(SwapSlots):
    """Take the turn that the weight shift decision gives to this member of the service.

    Of a large service only the count of the members is known, not who they are.
    """

    def __init__(
        self,
        vm_id: str,
        members: Callable[[], Collection[str]],
        count: Callable[[], int] = lambda: 0,
    ) -> None:
        self._vm_id = vm_id
        self._members = members
        self._count = count

    def delay(self, spec: ServiceSpec, version: int) -> timedelta:
        """Return the delay of this member's turn."""
        settings = SwapSettings(
            store_rate=spec.fetches_per_second, max_swapping_fraction=spec.swap_fraction
        )
        members = {*self._members(), self._vm_id}
        count = self._count()
        if count > len(members):
            return hashed_swap_delay(self._vm_id, count, spec.model, version, settings).delay
        return swap_delay(self._vm_id, members, spec.model, version, settings).delay


class WeightsController:
    """The task that orders the engine, verifies what it serves, and repairs a difference."""

    def __init__(
        self,
        service: str,
        sync: SideConfigSync,
        engine: EnginePort,
        slots: SwapSlots,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.state = SwapState()
        self._service = service
        self._sync = sync
        self._engine = engine
        self._slots = slots
        self._clock = clock
        self._metrics = metrics
        self._logger = once_per_burst(__name__, clock)
        self._due = timedelta()
        self._backoff = MIN_BACKOFF
        self._next_poll = timedelta()

    async def async_run(self) -> None:
        """Run until cancelled."""
        await self._sync.async_wait_current()
        await async_keep_running(
            "weights", self._async_follow, self._clock, self._logger, self._metrics
        )

    async def _async_follow(self) -> None:
        while True:
            self._take_target()
            await self._async_poll_load()
            if self._ready():
                await self._async_order()
                continue
            await self._sync.async_wait_move(self._wait())

    def _spec(self) -> ServiceSpec | None:
        return self._sync.fold.service(self._service)

    def _take_target(self) -> None:
        found = self._sync.fold.weights(self._service)
        spec = self._spec()
        if found is None or spec is None:
            return
        weights, fence = found
        if self.state.set_target(weights.version, fence):
            self._due = self._clock.monotonic() + self._slots.delay(spec, weights.version)
            self._backoff = MIN_BACKOFF

    def _ready(self) -> bool:
        return (
            self.state.needed_order() is not None
            and self._spec() is not None
            and self._clock.monotonic() >= self._due
        )

    def _wait(self) -> timedelta:
        now = self._clock.monotonic()
        waits = [self._next_poll - now]
        if self.state.needed_order() is not None and self._spec() is not None:
            waits.append(self._due - now)
        return max(min(waits), timedelta(milliseconds=1))

    async def _async_poll_load(self) -> None:
        """Ask the engine what it serves, often until the target is verified, then seldom.

        Without it an engine that restarted with older weights would serve them until the next
        record, and its samples would be thrown away as stale.
        """
        if self.state.target is None:
            self._next_poll = self._clock.monotonic() + POLL_SETTLED
            return
        asked = self._clock.monotonic()
        if asked < self._next_poll:
            return
        answer = await self._engine.async_load()
        if isinstance(answer, Ok):
            self.on_load(answer.ok_value, asked)
        else:
            self._drop(DROP_BAD_LOAD + answer.err_value.reason.value)
        settled = self.state.verified and self.state.needed_order() is None
        self._next_poll = self._clock.monotonic() + (POLL_SETTLED if settled else POLL_UNSETTLED)

    def on_load(self, load: EngineLoad, asked_at: timedelta) -> None:
        """Take a load report that was asked for at a monotonic time."""
        self.state.on_report(load.weight_version, load.fence, asked_at)

    async def _async_order(self) -> None:
        confirmed = await self._sync.async_confirm(CONFIRM_WAIT)
        if isinstance(confirmed, Err):
            self._retry(RETRY_UNCONFIRMED, MIN_BACKOFF)
            return
        self._take_target()
        order, spec = self.state.needed_order(), self._spec()
        if order is None or spec is None or not self._ready():
            return
        # A process that was paused here acts on what it knew before the pause, and would take the
        # engine back to older weights. The age is checked last; what a pause after it lets through
        # is refused by the engine's fence, or put right as soon as the newer record is folded.
        if self._clock.monotonic() - confirmed.ok_value > MAX_KNOWLEDGE_AGE:
            self._retry(RETRY_KNOWLEDGE_OLD, timedelta())
            return
        before = self.state.serving
        if self.state.begin(order):
            await self._async_send(order, spec, before)

    async def _async_send(self, order: SwapOrder, spec: ServiceSpec, before: int | None) -> None:
        try:
            answer = await self._engine.async_load_weights(
                spec.model, order.version, order.fence, ORDER_TIMEOUT
            )
        except Exception:
            # An order left in flight would keep every later one back.
            self.state.on_failed(order, self._clock.monotonic())
            self._back_off(timedelta())
            raise
        now = self._clock.monotonic()
        self._next_poll = now
        if isinstance(answer, Ok):
            loaded = self.state.on_loaded(order, answer.ok_value, now)
            self._count(ORDER_LOADED if loaded else ORDER_OTHER_VERSION, order)
            if loaded:
                self._backoff = MIN_BACKOFF
            else:
                self._back_off(timedelta())
            return
        self._on_error(order, answer.err_value, before, now)

    def _on_error(
        self, order: SwapOrder, error: PlatformError, before: int | None, now: timedelta
    ) -> None:
        if error.reason is PlatformReason.STALE_FENCE:
            self.state.on_stale_fence(order, now)
            self._count(ORDER_STALE_FENCE, order)
            return
        hint = timedelta(seconds=error.retry_after_s or 0)
        if error.status in STORE_BUSY_STATUSES:
            self.state.on_not_started(order, before, now)
            self._count(ORDER_STORE_BUSY, order)
        else:
            self.state.on_failed(order, now)
            self._count(ORDER_FAILED, order, detail=error.detail)
        self._back_off(hint)

    def _back_off(self, at_least: timedelta) -> None:
        # Samplers that the store refused together would come back together without the jitter.
        wait = at_least + self._backoff * random.random()
        self._due = self._clock.monotonic() + wait
        self._backoff = min(self._backoff * 2, MAX_BACKOFF)

    def _retry(self, reason: str, wait: timedelta) -> None:
        self._metrics.retry(reason)
        self._due = self._clock.monotonic() + wait

    def _count(self, outcome: str, order: SwapOrder, **fields: object) -> None:
        self._metrics.orders.labels(outcome).inc()
        log = self._logger.info if outcome == ORDER_LOADED else self._logger.warning
        log("weights_" + outcome, version=order.version, fence=order.fence, **fields)

    def _drop(self, reason: str) -> None:
        self._metrics.drop(reason)
        self._logger.warning(reason)

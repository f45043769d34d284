"""Keep the engine next to this side process on the published weight version."""

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

__all__ = ["StaggeredSwapDelay", "SwapDelayPolicy", "WeightsController"]

# Entries confirm within milliseconds; an older confirmation dates from before a process pause.
MAX_CONFIRMATION_AGE = timedelta(seconds=1)
CONFIRMATION_TIMEOUT = timedelta(milliseconds=800)
ORDER_TIMEOUT = timedelta(seconds=60)
VERIFIED_POLL_INTERVAL = timedelta(seconds=5)
UNVERIFIED_POLL_INTERVAL = timedelta(seconds=1)
MIN_BACKOFF = timedelta(milliseconds=500)
MAX_BACKOFF = timedelta(seconds=10)
STORE_BUSY_STATUSES = frozenset({429, 503})

ORDER_LOADED = "loaded"
ORDER_OTHER_VERSION = "other_version"
ORDER_STALE_FENCE = "stale_fence"
ORDER_STORE_BUSY = "store_busy"
ORDER_FAILED = "failed"
RETRY_UNCONFIRMED = "weights_unconfirmed"
# The confirmation was older than MAX_CONFIRMATION_AGE when the order was about to be sent.
RETRY_CONFIRMATION_TOO_OLD = "weights_knowledge_old"
# Prefix; the reason of the failed load report request follows.
DROP_LOAD_REPORT_PREFIX = "engine_load_"


class SwapDelayPolicy(abc.ABC):
    """Policy that spreads the weight swaps of a service's samplers over time."""

    @abc.abstractmethod
    def delay(self, spec: ServiceSpec, version: int) -> timedelta:
        """Return the delay from when the version takes effect until this sampler swaps."""


class StaggeredSwapDelay(SwapDelayPolicy):
    """Compute this member's delay from its position among the service's members.

    For a large service only the number of members is known, not their VM ids.
    """

    def __init__(
        self,
        vm_id: str,
        members: Callable[[], Collection[str]],
        count: Callable[[], int] = lambda: 0,
    ) -> None:
        self._vm_id = vm_id
        self._members = members
        self._member_count = count

    def delay(self, spec: ServiceSpec, version: int) -> timedelta:
        """Return the delay of this member's swap."""
        settings = SwapSettings(
            store_rate=spec.fetches_per_second, max_swapping_fraction=spec.swap_fraction
        )
        members = {*self._members(), self._vm_id}
        count = self._member_count()
        if count > len(members):
            return hashed_swap_delay(self._vm_id, count, spec.model, version, settings).delay
        return swap_delay(self._vm_id, members, spec.model, version, settings).delay


class WeightsController:
    """Order the engine to load the published weights and correct any other served version."""

    def __init__(
        self,
        service: str,
        sync: SideConfigSync,
        engine: EnginePort,
        swap_delay_policy: SwapDelayPolicy,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.state = SwapState()
        self._service = service
        self._sync = sync
        self._engine = engine
        self._swap_delay_policy = swap_delay_policy
        self._clock = clock
        self._metrics = metrics
        self._logger = once_per_burst(__name__, clock)
        self._next_order_at = timedelta()
        self._backoff = MIN_BACKOFF
        self._next_poll_at = timedelta()

    async def async_run(self) -> None:
        """Run until cancelled."""
        await self._sync.async_wait_current()
        await async_keep_running(
            "weights", self._async_control_loop, self._clock, self._logger, self._metrics
        )

    async def _async_control_loop(self) -> None:
        while True:
            self._update_target()
            await self._async_poll_load()
            if self._order_due():
                await self._async_order_weights()
                continue
            await self._sync.async_wait_for_update(self._time_until_next_step())

    def _spec(self) -> ServiceSpec | None:
        return self._sync.fold.service(self._service)

    def _update_target(self) -> None:
        published = self._sync.fold.weights(self._service)
        spec = self._spec()
        if published is None or spec is None:
            return
        weights, fence = published
        if self.state.set_target(weights.version, fence):
            self._next_order_at = self._clock.monotonic() + self._swap_delay_policy.delay(
                spec, weights.version
            )
            self._backoff = MIN_BACKOFF

    def _order_due(self) -> bool:
        return (
            self.state.needed_order() is not None
            and self._spec() is not None
            and self._clock.monotonic() >= self._next_order_at
        )

    def _time_until_next_step(self) -> timedelta:
        now = self._clock.monotonic()
        waits = [self._next_poll_at - now]
        if self.state.needed_order() is not None and self._spec() is not None:
            waits.append(self._next_order_at - now)
        return max(min(waits), timedelta(milliseconds=1))

    async def _async_poll_load(self) -> None:
        """Request the engine's load report: frequently until the target is verified, then rarely.

        Otherwise an engine that restarted with older weights would serve them until the next
        weights record, and its samples would be discarded as stale.
        """
        if self.state.target is None:
            self._next_poll_at = self._clock.monotonic() + VERIFIED_POLL_INTERVAL
            return
        requested_at = self._clock.monotonic()
        if requested_at < self._next_poll_at:
            return
        answer = await self._engine.async_load()
        if isinstance(answer, Ok):
            self.on_load(answer.ok_value, requested_at)
        else:
            self._count_dropped(DROP_LOAD_REPORT_PREFIX + answer.err_value.reason.value)
        on_target = self.state.verified and self.state.needed_order() is None
        self._next_poll_at = self._clock.monotonic() + (
            VERIFIED_POLL_INTERVAL if on_target else UNVERIFIED_POLL_INTERVAL
        )

    def on_load(self, load: EngineLoad, asked_at: timedelta) -> None:
        """Handle a load report that was requested at the monotonic time `asked_at`."""
        self.state.on_report(load.weight_version, load.fence, asked_at)

    async def _async_order_weights(self) -> None:
        confirmed = await self._sync.async_confirm(CONFIRMATION_TIMEOUT)
        if isinstance(confirmed, Err):
            self._retry_in(RETRY_UNCONFIRMED, MIN_BACKOFF)
            return
        self._update_target()
        order, spec = self.state.needed_order(), self._spec()
        if order is None or spec is None or not self._order_due():
            return
        # A process that was paused here would use its state from before the pause and could order
        # older weights. The age is therefore checked last. After a pause that follows the check,
        # the engine's fencing token rejects the order, or the next record corrects the version.
        if self._clock.monotonic() - confirmed.ok_value > MAX_CONFIRMATION_AGE:
            self._retry_in(RETRY_CONFIRMATION_TOO_OLD, timedelta())
            return
        serving_before = self.state.serving
        if self.state.begin(order):
            await self._async_send_order(order, spec, serving_before)

    async def _async_send_order(
        self, order: SwapOrder, spec: ServiceSpec, serving_before: int | None
    ) -> None:
        try:
            answer = await self._engine.async_load_weights(
                spec.model, order.version, order.fence, ORDER_TIMEOUT
            )
        except Exception:
            # An order that stays in flight would block all later orders.
            self.state.on_failed(order, self._clock.monotonic())
            self._back_off(timedelta())
            raise
        now = self._clock.monotonic()
        self._next_poll_at = now
        if isinstance(answer, Ok):
            loaded = self.state.on_loaded(order, answer.ok_value, now)
            self._count_outcome(ORDER_LOADED if loaded else ORDER_OTHER_VERSION, order)
            if loaded:
                self._backoff = MIN_BACKOFF
            else:
                self._back_off(timedelta())
            return
        self._handle_order_error(order, answer.err_value, serving_before, now)

    def _handle_order_error(
        self, order: SwapOrder, error: PlatformError, serving_before: int | None, now: timedelta
    ) -> None:
        if error.reason is PlatformReason.STALE_FENCE:
            self.state.on_stale_fence(order, now)
            self._count_outcome(ORDER_STALE_FENCE, order)
            return
        retry_after = timedelta(seconds=error.retry_after_s or 0)
        if error.status in STORE_BUSY_STATUSES:
            self.state.on_not_started(order, serving_before, now)
            self._count_outcome(ORDER_STORE_BUSY, order)
        else:
            self.state.on_failed(order, now)
            self._count_outcome(ORDER_FAILED, order, detail=error.detail)
        self._back_off(retry_after)

    def _back_off(self, min_wait: timedelta) -> None:
        # Jitter keeps samplers that the store rejected together from retrying together.
        wait = min_wait + self._backoff * random.random()
        self._next_order_at = self._clock.monotonic() + wait
        self._backoff = min(self._backoff * 2, MAX_BACKOFF)

    def _retry_in(self, reason: str, wait: timedelta) -> None:
        self._metrics.retry(reason)
        self._next_order_at = self._clock.monotonic() + wait

    def _count_outcome(self, outcome: str, order: SwapOrder, **fields: object) -> None:
        self._metrics.orders.labels(outcome).inc()
        log = self._logger.info if outcome == ORDER_LOADED else self._logger.warning
        log("weights_" + outcome, version=order.version, fence=order.fence, **fields)

    def _count_dropped(self, reason: str) -> None:
        self._metrics.drop(reason)
        self._logger.warning(reason)

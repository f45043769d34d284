"""An upstream that this process can send requests to, with the state it keeps of it."""

from collections.abc import Callable
from datetime import timedelta

import attrs

from cranberryline.decisions import HealthPolicy, HealthState, RateMeter, UpstreamView
from cranberryline.transport import UpstreamLink
from cranberryline.transport.const import HEARTBEAT_BUSY

__all__ = ["Upstream"]

_HEALTH = HealthPolicy()
# Twice the interval of load reports on a busy connection. On an idle connection reports are so rare
# that the requests of other entries they show may have ended long ago. If those still run, the side
# process queues what is sent in the meantime.
_MAX_LOAD_REPORT_AGE = 2 * HEARTBEAT_BUSY


@attrs.define(eq=False)
class Upstream:
    """An upstream, its link, and its slots, token rate and health as tracked by this process.

    `on_change` is called after each change of the reserved slots or of the health.
    """

    link: UpstreamLink
    data_center: str
    on_change: Callable[[], None] = lambda: None
    token_rate: RateMeter = attrs.field(factory=RateMeter)
    health: HealthState = attrs.field(factory=HealthState)
    _reserved_slots: int = 0
    _cooldown_until: timedelta = timedelta()

    @property
    def id(self) -> str:
        """Return the VM id."""
        return self.link.vm_id

    @property
    def failing(self) -> bool:
        """Return whether it gets no requests except probes."""
        return _HEALTH.is_failing(self.health)

    @property
    def spare_connections(self) -> int:
        """Return how many idle connections are left by the requests that are about to be sent."""
        unopened = max(0, self._reserved_slots - self.link.outstanding)
        return max(0, self.link.idle_connections - unopened - self.link.unsent)

    def has_free_slot(self, concurrency: int, now: timedelta) -> bool:
        """Return whether a slot is free for one more request, as far as this process knows.

        The load report is up to one heartbeat interval old, so own requests are counted locally.
        Those of other entries are the reported requests minus the own ones included in the report.
        """
        return self._own_requests() < concurrency - self._others_requests(now)

    def usable_slots(self, concurrency: int, now: timedelta) -> int:
        """Return how many slots this process can use: those it already uses and the free ones."""
        return max(self._own_requests(), concurrency - self._others_requests(now))

    def load_outdated_at(self, now: timedelta) -> timedelta | None:
        """Return when its load report stops counting, None if none counts now."""
        if self.link.load is None or now - self.link.load_at > _MAX_LOAD_REPORT_AGE:
            return None
        return self.link.load_at + _MAX_LOAD_REPORT_AGE

    def probe_due(self, now: timedelta) -> bool:
        """Return whether a request should be sent to it as a health probe."""
        return _HEALTH.view(self.health, now).probe_due

    def rejects_requests(self, now: timedelta) -> bool:
        """Return whether it has just rejected a request, so that others are preferred."""
        return now < self._cooldown_until

    def reserve(self, now: timedelta) -> None:
        """Reserve a slot for a request; the request may serve as a health probe."""
        self._reserved_slots += 1
        self.on_change()
        if _HEALTH.view(self.health, now).probe_due:
            self.health = _HEALTH.probed(self.health, now)

    def complete(self, tokens: int, duration: timedelta, now: timedelta) -> None:
        """Release the slot of an attempt that ended, and record its tokens and duration."""
        self._reserved_slots -= 1
        self.on_change()
        self.token_rate.record(tokens, duration, now)

    def release(self) -> None:
        """Release a slot to which no request was sent."""
        self._reserved_slots -= 1
        self.on_change()

    def response_completed(self) -> None:
        """Record a complete response."""
        self.health = _HEALTH.succeeded(self.health)
        self.on_change()

    def attempt_failed(self, sent_at: timedelta, now: timedelta) -> None:
        """Record a fault of the upstream in an attempt that started at `sent_at`."""
        self.health = _HEALTH.failed(self.health, now, sent_at)
        self.on_change()

    def request_rejected(self, cooldown: timedelta, now: timedelta) -> None:
        """Record that the upstream rejected a request; others are preferred for `cooldown`."""
        self._cooldown_until = max(self._cooldown_until, now + cooldown)

    def view(self, concurrency: int, now: timedelta, tokens_per_second: float) -> UpstreamView:
        """Return the state of the upstream for routing; the rate is that of a single request."""
        load = self.link.load
        return UpstreamView(
            id=self.link.vm_id,
            data_center=self.data_center,
            slots=concurrency,
            own_requests=self._own_requests(),
            own_tokens=self.link.outstanding_tokens,
            reported_requests=0 if load is None else load.running + load.queued,
            reported_tokens=0 if load is None else load.queued_tokens,
            report_age=None if load is None else now - self.link.load_at,
            tokens_per_second=tokens_per_second,
            weight_version=None if load is None else load.weight_version,
            health=_HEALTH.view(self.health, now),
            draining=self.link.draining,
            connected=self.link.connected,
            recently_refused=self.rejects_requests(now),
        )

    def _own_requests(self) -> int:
        """Return the own requests; reservations count before their requests are sent."""
        return max(self.link.outstanding, self._reserved_slots)

    def _others_requests(self, now: timedelta) -> int:
        load = self.link.load
        if load is None or now - self.link.load_at > _MAX_LOAD_REPORT_AGE:
            return 0
        return max(0, load.running + load.queued - self.link.outstanding_at_load)
